//! A node's view of the models that a runner holds.

mod common;

use std::time::Instant;

use barleyspar_catalog::LoadedModel;
use barleyspar_dispatch::{Acquired, Dispatcher, Inventory, Outcome};
use common::{LOAD, SECOND, dispatcher, query, runner};

fn held_model() -> LoadedModel {
    LoadedModel {
        model: "cold".into(),
        version: 1,
        adapters: Vec::new(),
    }
}

fn inventory(sequence: u64, models: Vec<LoadedModel>, unloading: &[&str]) -> Inventory {
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

/// A runner names a model in its entry until the model's last request has ended, but
/// refuses all new ones; the entry must not undo the inventory.
#[test]
fn a_model_that_is_unloaded_gets_no_requests_whatever_the_entry_shows() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.apply_inventory(inventory(1, vec![held_model()], &[]), now);
    assert!(is_granted(&mut dispatcher, now));
    dispatcher.apply_inventory(inventory(2, Vec::new(), &["cold"]), now);
    let later = now + 4 * SECOND;
    let mut entry = runner();
    entry.heartbeat = 9;
    entry.models = vec![held_model()];
    dispatcher.update_runner(entry, later);
    assert!(!is_granted(&mut dispatcher, later));
    dispatcher.apply_inventory(inventory(3, vec![held_model()], &[]), later);
    assert!(is_granted(&mut dispatcher, later));
}

#[test]
fn a_runner_with_room_that_refuses_a_model_gets_no_requests_for_it_for_a_while() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.apply_inventory(inventory(1, vec![held_model()], &[]), now);
    let Acquired::Granted(grant) = dispatcher.acquire(query(now, LOAD, 8 * SECOND), now) else {
        panic!("the runner holds the model");
    };
    dispatcher.finish(grant.permit, Outcome::Busy, now);
    assert!(!is_granted(&mut dispatcher, now));
    assert!(is_granted(&mut dispatcher, now + SECOND));
}

#[test]
fn a_runner_replaced_at_its_address_gets_no_requests_and_is_reported() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.apply_inventory(inventory(1, vec![held_model()], &[]), now);
    let Acquired::Granted(grant) = dispatcher.acquire(query(now, LOAD, 8 * SECOND), now) else {
        panic!("the runner holds the model");
    };
    dispatcher.finish(grant.permit, Outcome::Replaced, now);
    assert_eq!(dispatcher.unreachable_runners(now).len(), 1);
    // Without the mark, a runner that is the only holder gets every further request.
    assert!(!is_granted(&mut dispatcher, now + 30 * SECOND));
}
