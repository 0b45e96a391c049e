//! Which requests wait for a slot of a model whose runner is full.

mod common;

use std::time::{Duration, Instant};

use barleyspar_catalog::LoadedModel;
use barleyspar_dispatch::{Acquired, Arrival, Dispatcher, Outcome, PermitId, Query, RefusalReason};
use common::{SECOND, dispatcher_with, query, runner};

const SLOTS: usize = 8;
const CROWD: u32 = 1;
const OUTCOME: Outcome = Outcome::Success {
    first_byte: Duration::from_millis(50),
};

/// A runner all of whose slots are in use, each for a second at a time.
struct FullRunner {
    dispatcher: Dispatcher,
    running: Vec<PermitId>,
    now: Instant,
}

impl FullRunner {
    /// Measures the time for which requests hold their slots if `is_measured`.
    fn new(is_measured: bool) -> Self {
        let now = Instant::now();
        let holder = barleyspar_catalog::Runner {
            slots: (SLOTS as u16).into(),
            models: vec![LoadedModel {
                model: "cold".into(),
                version: 1,
                adapters: Vec::new(),
            }],
            ..runner()
        };
        let mut full = Self {
            dispatcher: dispatcher_with(holder, now),
            running: Vec::new(),
            now,
        };
        for _ in 0..if is_measured { 3 } else { 1 } {
            full.end_all();
            for _ in 0..SLOTS {
                full.start(query(full.now, 10 * SECOND));
            }
            full.now += SECOND;
        }
        full
    }

    fn start(&mut self, query: Query) {
        match self.dispatcher.acquire(query, self.now) {
            Acquired::Granted(grant) => self.running.push(grant.permit),
            other => panic!("a slot is free: {other:?}"),
        }
    }

    fn end_all(&mut self) {
        for permit in self.running.drain(..) {
            self.dispatcher
                .finish(permit, OUTCOME, Arrival::Over, self.now);
        }
    }

    /// Asks for a slot; returns the time after which a refused client is to come back.
    fn ask(&mut self, query: Query) -> Option<Duration> {
        match self.dispatcher.acquire(query, self.now) {
            Acquired::Waiting(_) => None,
            Acquired::Refused(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Full);
                Some(refusal.retry_after)
            }
            Acquired::Granted(grant) => panic!("all slots are in use: {grant:?}"),
        }
    }

    /// Asks for `count` slots; returns how many of the requests wait.
    fn ask_often(&mut self, count: usize, query: &Query) -> usize {
        (0..count)
            .filter(|_| self.ask(query.clone()).is_none())
            .count()
    }
}

/// Load: 100 requests at once at a runner that ends eight a second. Their clients leave after
/// 2.4 s.
#[test]
fn requests_wait_that_will_not_be_reached() {
    let mut full = FullRunner::new(true);
    let request = query(full.now, 12 * SECOND / 5);
    let waiting = full.ask_often(100, &request);
    // 18 are expected to be served, and 28 may be by chance.
    assert!((18..=30).contains(&waiting), "{waiting}");
    let told = full.ask(request).expect("it cannot be served");
    let expected = SECOND / SLOTS as u32 * waiting as u32;
    assert!(told >= expected && told < expected + SECOND, "{told:?}");
}

/// Load: as before, with clients of more and of less time.
#[test]
fn a_caller_with_more_time_waits_less_often() {
    let waiting: Vec<usize> = (1..=10)
        .map(|seconds| {
            let mut full = FullRunner::new(true);
            let request = query(full.now, seconds * SECOND);
            full.ask_often(100, &request)
        })
        .collect();
    assert!(waiting.is_sorted(), "{waiting:?}");
    assert!(waiting[9] >= 70, "{waiting:?}");
}

/// Nothing is known of how long requests hold their slots.
#[test]
fn requests_are_refused_without_a_measurement() {
    let mut full = FullRunner::new(false);
    let request = query(full.now, SECOND);
    assert_eq!(full.ask_often(50, &request), 50);
}

/// Load: a tenant's requests fill the queue, as far as they can be served; then one of another
/// tenant comes.
#[test]
fn a_crowd_of_one_tenant_makes_another_ones_request_be_refused() {
    let mut full = FullRunner::new(true);
    let crowd = Query {
        request: 0,
        after_stall: false,
        tenant: Some(CROWD),
        cache_tokens: 2_000,
        ..query(full.now, 4 * SECOND)
    };
    assert!(full.ask_often(100, &crowd) < 100);
    let other = Query {
        request: 0,
        after_stall: false,
        tenant: Some(CROWD + 1),
        ..query(full.now, 4 * SECOND)
    };
    assert_eq!(full.ask(other), None);
}

/// Load: more urgent requests fill the queue, and the others are not reached any more.
#[test]
fn requests_wait_on_once_others_go_before_them() {
    let mut full = FullRunner::new(true);
    let usual = query(full.now, 2 * SECOND);
    assert_eq!(full.ask_often(10, &usual), 10);
    let urgent = Query {
        request: 0,
        after_stall: false,
        priority: 0,
        ..usual
    };
    assert!(full.ask_often(100, &urgent) < 30);
    let answers = full.dispatcher.poll(full.now);
    let refused = answers.iter().filter(|(_, answer)| answer.is_err()).count();
    assert!(refused >= 8, "{refused}");
}
