//! What was given up may yet arrive: the retry budget counts it until its runner shows that it
//! reads. No network, two runners, and a budget of one retry at a time.

mod common;

use std::time::Instant;

use barleyspar_catalog::{LoadedModel, Runner};
use barleyspar_dispatch::{
    Acquired, Arrival, AttemptKind, BudgetLimits, Dispatcher, Failure, Grant, Outcome, Query,
    RequestNumber,
};

use common::{SECOND, dispatcher_with, query, runner};

const SILENT: Outcome = Outcome::Failed(Failure::Silent);
const ANSWERED: Outcome = Outcome::Success { first_byte: SECOND };

struct Site {
    dispatcher: Dispatcher,
    now: Instant,
}

fn loaded(id: &str) -> Runner {
    Runner {
        id: id.into(),
        name: id.into(),
        models: vec![LoadedModel {
            model: "cold".into(),
            version: 1,
            adapters: Vec::new(),
        }],
        ..runner()
    }
}

impl Site {
    fn new() -> Self {
        let started = Instant::now();
        let mut dispatcher = dispatcher_with(loaded("runner-1"), started);
        dispatcher.update_runner(loaded("runner-2"), started);
        dispatcher.set_budget_limits(BudgetLimits {
            ratio: 0.0,
            window: 10 * SECOND,
            extra: 2.0,
        });
        let mut site = Self {
            dispatcher,
            now: started,
        };
        site.hear_from_runners();
        site
    }

    /// Gets an answer from both runners, so that nothing of a former life may yet arrive, and
    /// waits until that was a window ago.
    fn hear_from_runners(&mut self) {
        let first = self.attempt(0, AttemptKind::First, &[]);
        let first = first.expect("a runner is free");
        let other = self.attempt(0, AttemptKind::First, &[&first]);
        let other = other.expect("a runner is free");
        self.finish(&first, ANSWERED, Arrival::Over);
        self.finish(&other, ANSWERED, Arrival::Over);
        let settling = self.attempt(0, AttemptKind::First, &[]);
        let settling = settling.expect("a runner is free");
        self.finish(&settling, ANSWERED, Arrival::Over);
        self.now += 11 * SECOND;
    }

    /// Makes an attempt of `request` that may not go to the runners in `excluded`; `None` if it
    /// is refused.
    fn attempt(
        &mut self,
        request: RequestNumber,
        attempt: AttemptKind,
        excluded: &[&Grant],
    ) -> Option<Grant> {
        let excluded = excluded.iter().map(|grant| grant.runner.id.clone());
        let query = Query {
            request,
            excluded_runners: excluded.collect(),
            attempt,
            may_wait: false,
            ..query(self.now, SECOND)
        };
        match self.dispatcher.acquire(query, self.now) {
            Acquired::Granted(grant) => Some(grant),
            Acquired::Waiting(_) | Acquired::Refused(_) => None,
        }
    }

    fn finish(&mut self, grant: &Grant, outcome: Outcome, arrival: Arrival) {
        self.dispatcher
            .finish(grant.permit, outcome, arrival, self.now);
    }

    /// Makes a first attempt of `request` that is silent, and a retry that is answered. Returns
    /// the first attempt.
    fn retry_after_silence(&mut self, request: RequestNumber) -> Grant {
        let first = self.attempt(request, AttemptKind::First, &[]);
        let first = first.expect("a runner is free");
        self.finish(&first, SILENT, Arrival::Pending);
        let retry = self.attempt(request, AttemptKind::Retry, &[&first]);
        let retry = retry.expect("the budget allows one retry");
        self.finish(&retry, ANSWERED, Arrival::Over);
        first
    }

    /// Whether the budget allows a retry of a request of its own, which is then not sent.
    fn allows_retry(&mut self) -> bool {
        let retry = self.attempt(1000, AttemptKind::Retry, &[]);
        let Some(retry) = retry else {
            return false;
        };
        self.finish(&retry, Outcome::Abandoned, Arrival::Never);
        true
    }
}

#[test]
fn a_first_attempt_that_arrives_after_its_retry_counts_until_a_window_after_its_arrival() {
    let mut site = Site::new();
    let first = site.retry_after_silence(1);
    site.now += 60 * SECOND;
    assert!(!site.allows_retry(), "the first attempt may yet arrive");
    let other = if &*first.runner.id == "runner-1" {
        loaded("runner-2")
    } else {
        loaded("runner-1")
    };
    site.dispatcher.remove_runner(&other.id, site.now);
    let later = site.attempt(2, AttemptKind::First, &[]);
    let later = later.expect("the silent runner is the only one");
    site.finish(&later, ANSWERED, Arrival::Over);
    site.now += 9 * SECOND;
    assert!(!site.allows_retry(), "it arrived within this window");
    site.now += 2 * SECOND;
    assert!(site.allows_retry());
}

#[test]
fn an_answer_to_what_was_sent_before_does_not_show_that_a_runner_reads() {
    let mut site = Site::new();
    let earlier = site.attempt(2, AttemptKind::First, &[]);
    let earlier = earlier.expect("a runner is free");
    let first = site.retry_after_silence(1);
    site.finish(&earlier, ANSWERED, Arrival::Over);
    site.now += 60 * SECOND;
    let may_be_read = earlier.runner.id != first.runner.id;
    assert!(!site.allows_retry(), "same runner: {}", !may_be_read);
}

#[test]
fn an_attempt_that_was_not_sent_costs_no_retry() {
    let mut site = Site::new();
    let first = site.attempt(1, AttemptKind::First, &[]);
    let first = first.expect("a runner is free");
    site.finish(&first, Outcome::Busy, Arrival::Over);
    for _ in 0..5 {
        assert!(site.allows_retry());
    }
}

#[test]
fn a_retry_that_is_refused_or_cancelled_is_given_back() {
    let mut site = Site::new();
    for id in ["runner-1", "runner-2"] {
        site.dispatcher.remove_runner(id, site.now);
    }
    for _ in 0..5 {
        assert!(site.attempt(1, AttemptKind::Retry, &[]).is_none());
    }
    site.dispatcher.update_runner(loaded("runner-1"), site.now);
    assert!(site.allows_retry());
}

#[test]
fn a_runner_that_is_never_heard_of_again_is_waited_for_two_minutes() {
    let mut site = Site::new();
    let first = site.retry_after_silence(1);
    site.dispatcher.remove_runner(&first.runner.id, site.now);
    site.now += 119 * SECOND;
    assert!(!site.allows_retry());
    site.now += 2 * SECOND;
    assert!(!site.allows_retry(), "a window follows");
    site.now += 11 * SECOND;
    assert!(site.allows_retry());
}

#[test]
fn a_runner_that_is_silent_while_its_entry_stands_is_waited_for_without_end() {
    let mut site = Site::new();
    site.retry_after_silence(1);
    for _ in 0..100 {
        site.now += 60 * SECOND;
        assert!(!site.allows_retry());
    }
}

#[test]
fn a_runner_at_the_address_of_a_former_one_shows_that_nothing_arrives_there() {
    let mut site = Site::new();
    let first = site.retry_after_silence(1);
    let successor = Runner {
        address: first.runner.address,
        ..loaded("runner-3")
    };
    site.dispatcher.update_runner(successor, site.now);
    site.now += 11 * SECOND;
    assert!(site.allows_retry());
}

#[test]
fn runners_are_probed_while_a_retried_request_may_yet_arrive_there() {
    let mut site = Site::new();
    assert!(site.dispatcher.runners_to_probe().is_empty());
    let first = site.retry_after_silence(1);
    let probed = site.dispatcher.runners_to_probe();
    assert_eq!(probed.len(), 1);
    assert_eq!(probed[0].id, first.runner.id);
    site.dispatcher
        .record_reading(&first.runner.id, site.now, site.now);
    assert!(site.dispatcher.runners_to_probe().is_empty());
    site.now += 11 * SECOND;
    assert!(site.allows_retry());
}
