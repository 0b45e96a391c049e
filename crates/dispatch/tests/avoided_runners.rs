//! Where a request goes that has left a runner.

mod common;

use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::{LoadedModel, Runner};
use barleyspar_dispatch::{Acquired, Arrival, Dispatcher, Outcome, Query};
use common::{SECOND, dispatcher_with, query, runner};

fn holder(id: &str) -> Runner {
    Runner {
        id: id.into(),
        models: vec![LoadedModel {
            model: "cold".into(),
            version: 1,
            adapters: Vec::new(),
        }],
        ..runner()
    }
}

/// Returns the runner that a request gets which left `avoided`, and the number of candidates.
fn chosen(dispatcher: &mut Dispatcher, avoided: &[&str], now: Instant) -> (Arc<str>, usize) {
    let query = Query {
        request: 0,
        after_stall: false,
        avoided_runners: avoided.iter().map(|id| Arc::from(*id)).collect(),
        ..query(now, 8 * SECOND)
    };
    let Acquired::Granted(grant) = dispatcher.acquire(query, now) else {
        panic!("the runners have free slots");
    };
    dispatcher.finish(grant.permit, Outcome::Abandoned, Arrival::Over, now);
    (grant.runner.id.clone(), grant.candidates)
}

/// Ten requests, one after the other, for each of two idle runners that was left.
#[test]
fn a_request_returns_to_a_runner_that_it_left() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(holder("a"), now);
    dispatcher.update_runner(holder("b"), now);
    for _ in 0..10 {
        assert_eq!(chosen(&mut dispatcher, &["a"], now), ("b".into(), 1));
        assert_eq!(chosen(&mut dispatcher, &["b"], now), ("a".into(), 1));
    }
}

#[test]
fn a_request_gets_no_runner_if_it_left_all() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(holder("a"), now);
    assert_eq!(chosen(&mut dispatcher, &["a"], now), ("a".into(), 1));
}
