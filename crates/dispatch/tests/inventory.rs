//! A node's view of the models that a runner holds.

mod common;

use std::time::Instant;

use barleyspar_catalog::LoadedModel;
use barleyspar_dispatch::{Acquired, Arrival, Dispatcher, Failure, Inventory, Outcome};
use common::{SECOND, dispatcher, query, runner};

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
    let acquired = dispatcher.acquire(query(now, 8 * SECOND), now);
    matches!(acquired, Acquired::Granted(_))
}

/// While a runner waits for the last request for a model before it unloads the model, its
/// entry still lists the model, but it refuses new requests for it. Such an entry must
/// not override the inventory that lists the model as being unloaded.
#[test]
fn a_model_being_unloaded_gets_no_requests_even_if_the_entry_lists_it() {
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
    let Acquired::Granted(grant) = dispatcher.acquire(query(now, 8 * SECOND), now) else {
        panic!("the runner holds the model");
    };
    dispatcher.finish(grant.permit, Outcome::Busy, Arrival::Over, now);
    assert!(!is_granted(&mut dispatcher, now));
    assert!(is_granted(&mut dispatcher, now + SECOND));
}

#[test]
fn a_runner_replaced_at_its_address_gets_no_requests_and_is_reported() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.apply_inventory(inventory(1, vec![held_model()], &[]), now);
    let Acquired::Granted(grant) = dispatcher.acquire(query(now, 8 * SECOND), now) else {
        panic!("the runner holds the model");
    };
    dispatcher.finish(grant.permit, Outcome::Replaced, Arrival::Over, now);
    assert_eq!(dispatcher.unreachable_runners(now).len(), 1);
    // The runner's block has ended by now. If the runner were not marked as replaced, it
    // would get the request as the only holder of the model.
    assert!(!is_granted(&mut dispatcher, now + 30 * SECOND));
}

/// An entry that follows an inventory closely counts only some seconds later; a late one in
/// between, with an earlier heartbeat, must not make the node forget it.
#[test]
fn a_late_entry_does_not_discard_the_models_of_a_newer_one() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.apply_inventory(inventory(1, Vec::new(), &[]), now);
    let mut newer = runner();
    newer.heartbeat = 9;
    newer.models = vec![held_model()];
    dispatcher.update_runner(newer, now);
    let mut late = runner();
    late.heartbeat = 8;
    dispatcher.update_runner(late, now);
    assert!(is_granted(&mut dispatcher, now + 4 * SECOND));
}

#[test]
fn a_runner_that_answers_with_an_error_is_not_reported_as_unreachable() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.apply_inventory(inventory(1, vec![held_model()], &[]), now);
    for failure in [Failure::Unreachable, Failure::Error] {
        let Acquired::Granted(grant) = dispatcher.acquire(query(now, 8 * SECOND), now) else {
            panic!("the runner holds the model");
        };
        dispatcher.finish(grant.permit, Outcome::Failed(failure), Arrival::Over, now);
    }
    assert!(dispatcher.unreachable_runners(now).is_empty());
}
