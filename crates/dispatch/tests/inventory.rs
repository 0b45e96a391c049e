//! What a node believes of a runner's models.

mod common;

use std::time::Instant;

use barleyspar_catalog::HeldModel;
use barleyspar_dispatch::{Acquired, Dispatcher, Inventory, Outcome};
use common::{LOAD, SECOND, dispatcher, query, runner};

fn held() -> HeldModel {
    HeldModel {
        model: "cold".into(),
        version: 1,
        adapters: Vec::new(),
    }
}

fn inventory(sequence: u64, models: Vec<HeldModel>, unloading: &[&str]) -> Inventory {
    Inventory {
        runner: runner().id,
        sequence,
        models,
        unloading: unloading.iter().map(|name| (*name).into()).collect(),
        loading: None,
    }
}

fn is_granted(dispatcher: &mut Dispatcher, now: Instant) -> bool {
    let acquired = dispatcher.acquire(query(now, 6 * SECOND, 8 * SECOND), now);
    matches!(acquired, Acquired::Granted(_))
}

/// Found on a scale day of a large site: a runner names a model in its entry
/// until the model's last request has ended, and refuses all new ones.
#[test]
fn a_model_on_its_way_out_gets_no_requests_whatever_the_entry_says() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.update_models(inventory(1, vec![held()], &[]), now);
    assert!(is_granted(&mut dispatcher, now));
    dispatcher.update_models(inventory(2, Vec::new(), &["cold"]), now);
    let later = now + 4 * SECOND;
    let mut entry = runner();
    entry.heartbeat = 9;
    entry.models = vec![held()];
    dispatcher.update_runner(entry, later);
    assert!(!is_granted(&mut dispatcher, later));
    dispatcher.update_models(inventory(3, vec![held()], &[]), later);
    assert!(is_granted(&mut dispatcher, later));
}

#[test]
fn a_runner_with_room_that_refuses_a_model_gets_no_more_for_it_for_a_moment() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.update_models(inventory(1, vec![held()], &[]), now);
    let Acquired::Granted(grant) = dispatcher.acquire(query(now, LOAD, 8 * SECOND), now) else {
        panic!("the runner holds the model");
    };
    dispatcher.finish(grant.permit, Outcome::Busy, now);
    assert!(!is_granted(&mut dispatcher, now));
    assert!(is_granted(&mut dispatcher, now + SECOND));
}

#[test]
fn a_runner_whose_address_another_one_has_is_left_alone_and_reported() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.update_models(inventory(1, vec![held()], &[]), now);
    let Acquired::Granted(grant) = dispatcher.acquire(query(now, LOAD, 8 * SECOND), now) else {
        panic!("the runner holds the model");
    };
    dispatcher.finish(grant.permit, Outcome::Replaced, now);
    assert_eq!(dispatcher.unreachable(now).len(), 1);
    // Found on a scale day: with no other holder it was asked 265 times more.
    assert!(!is_granted(&mut dispatcher, now + 30 * SECOND));
}
