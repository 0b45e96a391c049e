//! In which order waiting requests get the slots of a model whose runner is full.

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use barleyspar_catalog::LoadedModel;
use barleyspar_dispatch::{
    Acquired, Arrival, AttemptKind, Dispatcher, Outcome, PermitId, Query, Ticket,
};
use barleyspar_prefill::TenantKey;
use common::{SECOND, dispatcher_with, query, runner};

const SLOTS: usize = 8;
const CROWD: TenantKey = 1;
const REQUEST_TOKENS: u64 = 2_000;
const OUTCOME: Outcome = Outcome::Success {
    first_byte: Duration::from_millis(100),
};

/// A runner that holds the model, all of whose slots are in use by `tenant`.
struct FullRunner {
    dispatcher: Dispatcher,
    running: Vec<PermitId>,
    waiting: HashMap<Ticket, &'static str>,
    now: Instant,
}

impl FullRunner {
    fn new(tenant: Option<TenantKey>) -> Self {
        let now = Instant::now();
        let mut holder = runner();
        holder.slots = (SLOTS as u16).into();
        holder.models = vec![LoadedModel {
            model: "cold".into(),
            version: 1,
            adapters: Vec::new(),
        }];
        let mut full = Self {
            dispatcher: dispatcher_with(holder, now),
            running: Vec::new(),
            waiting: HashMap::new(),
            now,
        };
        for _ in 0..SLOTS {
            match full.dispatcher.acquire(full.request(tenant), now) {
                Acquired::Granted(grant) => full.running.push(grant.permit),
                other => panic!("a slot is free: {other:?}"),
            }
        }
        full
    }

    fn request(&self, tenant: Option<TenantKey>) -> Query {
        Query {
            request: 0,
            after_stall: false,
            tenant,
            cache_tokens: REQUEST_TOKENS,
            ..query(self.now, 14 * SECOND)
        }
    }

    fn wait(&mut self, query: Query, label: &'static str) {
        match self.dispatcher.acquire(query, self.now) {
            Acquired::Waiting(ticket) => self.waiting.insert(ticket, label),
            other => panic!("all slots are in use: {other:?}"),
        };
    }

    /// Ends all running requests at once. Returns the labels of those that get their slots.
    fn serve_at_once(&mut self) -> Vec<&'static str> {
        for ended in self.running.drain(..) {
            self.dispatcher
                .finish(ended, OUTCOME, Arrival::Over, self.now);
        }
        let answers = self.dispatcher.poll(self.now).into_iter();
        answers.map(|(ticket, _)| self.waiting[&ticket]).collect()
    }

    /// Ends `count` requests, each 10 ms after the one before. Returns the labels of those
    /// that get their slots, in order.
    fn serve(&mut self, count: usize) -> Vec<&'static str> {
        let mut served = Vec::new();
        for _ in 0..count {
            self.now += Duration::from_millis(10);
            let ended = self.running.remove(0);
            self.dispatcher
                .finish(ended, OUTCOME, Arrival::Over, self.now);
            for (ticket, answer) in self.dispatcher.poll(self.now) {
                self.running
                    .push(answer.expect("the request may wait").permit);
                served.push(self.waiting[&ticket]);
            }
        }
        served
    }
}

fn count(served: &[&str], label: &str) -> usize {
    served.iter().filter(|other| **other == label).count()
}

/// A hundred requests of one tenant wait, then four of each of three others come, whose
/// deadlines are later.
#[test]
fn small_tenants_wait_behind_the_crowd_of_another() {
    let mut full = FullRunner::new(Some(CROWD));
    for _ in 0..100 {
        full.wait(full.request(Some(CROWD)), "crowd");
    }
    for (tenant, label) in [(2, "second"), (3, "third"), (4, "fourth")] {
        for _ in 0..4 {
            let mut request = full.request(Some(tenant));
            request.due_at += SECOND;
            full.wait(request, label);
        }
    }
    let served = full.serve(24);
    for label in ["second", "third", "fourth"] {
        assert_eq!(count(&served, label), 4, "{served:?}");
    }
    assert_eq!(count(&served, "crowd"), 12, "{served:?}");
}

/// Two tenants with a hundred requests each; those of the second have later deadlines.
#[test]
fn a_tenant_with_later_deadlines_gets_fewer_slots() {
    let mut full = FullRunner::new(None);
    for _ in 0..100 {
        full.wait(full.request(Some(1)), "early");
        let mut request = full.request(Some(2));
        request.due_at += SECOND;
        full.wait(request, "late");
    }
    let served = full.serve(100);
    let (early, late) = (count(&served, "early"), count(&served, "late"));
    assert!(late * 10 >= early * 8, "{early} {late}");
}

/// All slots become free at once. A hundred requests of one tenant wait, and one of each of
/// three others with later deadlines.
#[test]
fn a_crowd_takes_all_slots_that_become_free_at_once() {
    let mut full = FullRunner::new(None);
    for _ in 0..100 {
        let mut request = full.request(Some(CROWD));
        request.cache_tokens = 4 * REQUEST_TOKENS;
        full.wait(request, "crowd");
    }
    for (tenant, label) in [(2, "second"), (3, "third"), (4, "fourth")] {
        let mut request = full.request(Some(tenant));
        request.due_at += SECOND;
        full.wait(request, label);
    }
    let served = full.serve_at_once();
    assert_eq!(served.len(), SLOTS);
    assert_eq!(count(&served, "crowd"), SLOTS - 3, "{served:?}");
}

#[test]
fn an_urgent_request_waits_behind_less_urgent_ones_of_other_tenants() {
    let mut full = FullRunner::new(Some(CROWD));
    full.wait(full.request(Some(2)), "usual");
    let mut urgent = full.request(Some(CROWD));
    urgent.priority = 0;
    full.wait(urgent, "urgent");
    assert_eq!(full.serve(2), ["urgent", "usual"]);
}

/// Twenty requests wait, then one whose client has less time left.
#[test]
fn a_request_whose_client_leaves_first_is_served_last() {
    let mut full = FullRunner::new(None);
    for _ in 0..20 {
        full.wait(full.request(None), "patient");
    }
    let mut urgent = full.request(None);
    urgent.due_at -= SECOND;
    full.wait(urgent, "leaving");
    assert_eq!(full.serve(1), ["leaving"]);
}

/// A tenant over its share says with each request that it has little time left.
#[test]
fn a_crowd_that_claims_to_be_in_a_hurry_goes_before_other_tenants() {
    let mut full = FullRunner::new(Some(CROWD));
    for _ in 0..100 {
        let mut hurried = full.request(Some(CROWD));
        hurried.due_at -= SECOND;
        full.wait(hurried, "crowd");
    }
    full.wait(full.request(Some(2)), "other");
    let served = full.serve(16);
    assert_eq!(count(&served, "other"), 1, "{served:?}");
}

/// Fifty requests of one tenant come to the runner from others that they left unsent. Then
/// one of its requests waits beside one of another tenant with a later deadline.
#[test]
fn a_tenant_pays_again_for_each_runner_that_its_requests_leave() {
    let mut full = FullRunner::new(None);
    for _ in 0..50 {
        let mut moved = full.request(Some(1));
        moved.attempt = AttemptKind::Unsent;
        let ended = full.running.remove(0);
        full.dispatcher
            .finish(ended, OUTCOME, Arrival::Over, full.now);
        match full.dispatcher.acquire(moved, full.now) {
            Acquired::Granted(grant) => full.running.push(grant.permit),
            other => panic!("a slot is free: {other:?}"),
        }
    }
    full.wait(full.request(Some(1)), "moved");
    let mut request = full.request(Some(2));
    request.due_at += SECOND;
    full.wait(request, "other");
    assert_eq!(full.serve(2), ["moved", "other"]);
}

/// Three waiting requests of one tenant that name as many tokens as can be written, and one
/// of another tenant.
#[test]
fn huge_numbers_of_tokens_overflow_the_shares() {
    let mut full = FullRunner::new(None);
    for _ in 0..3 {
        let mut huge = full.request(Some(CROWD));
        huge.cache_tokens = u64::MAX;
        huge.prompt_tokens = u64::MAX;
        full.wait(huge, "huge");
    }
    full.wait(full.request(Some(2)), "other");
    assert!(!full.serve_at_once().is_empty());
}
