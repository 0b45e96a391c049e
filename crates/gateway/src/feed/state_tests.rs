use std::time::Duration;

use barleyspar_catalog::{Bounds, ColdBounds, Event, Item, QuotaBounds, Revision};
use tokio::time::Instant;

use super::state::{FeedState, Missing};
use super::times::FeedTimes;

/// A revision of the era that most tests use.
fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn item(key: &str, number: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: format!("{key}{number}").into(),
        revision: at(number),
    }
}

pub fn bounds() -> Bounds {
    let second = Duration::from_secs(1);
    Bounds {
        grace_period: 8 * second,
        configuration_apply_time: 2 * second,
        drain_timeout: 2 * second,
        retry_ratio: 0.2,
        retry_window: 10 * second,
        retry_extra: 50.0,
        lease_duration: 3 * second,
        fencing_enforced: true,
        load_window: 5 * second,
        load_overage: 1.1,
        revocation_time: None,
        quota: QuotaBounds {
            window: 8 * second,
            overage: 0.1,
            tolerance: 0.0,
        },
        evacuation_time: None,
        cold: ColdBounds {
            overage: 1.0,
            tolerance: 0.0,
        },
    }
}

fn written(key: &str, revision: u64) -> Event {
    Event::Written(item(key, revision))
}

fn state() -> FeedState {
    let mut state = FeedState::default();
    assert!(state.replace_all(&[item("a", 3), item("b", 12)], at(10)));
    state
}

#[test]
fn an_older_copy_changes_nothing() {
    let mut state = state();
    assert!(!state.replace_all(&[], at(9)));
    assert_eq!(state.revision(), at(10));
}

#[test]
fn known_changes_are_not_applied_again() {
    let mut state = state();
    let events = vec![written("a", 9), written("a", 11), written("b", 11)];
    // The page with `b` was read after the copy's revision was taken.
    assert_eq!(state.apply_events(events, at(13)), vec![written("a", 11)]);
    assert_eq!(state.revision(), at(13));
}

#[test]
fn a_follower_gets_the_batches_that_it_lacks() {
    let mut state = state();
    state.apply_events(vec![written("a", 14)], at(15));
    state.apply_events(vec![written("a", 18)], at(18));
    let Missing::Batches(batches) = state.missing_since(at(15)) else {
        panic!("batches reach back to 15");
    };
    assert_eq!(batches.len(), 1);
    assert_eq!(
        batches[0].packed().events().unwrap(),
        vec![written("a", 18)]
    );
    assert!(matches!(state.missing_since(at(20)), Missing::Batches(none) if none.is_empty()));
}

#[test]
fn a_change_that_a_full_read_showed_early_is_sent_to_followers() {
    let mut parent = state();
    parent.apply_events(vec![written("b", 12)], at(12));
    let mut follower = FeedState::default();
    follower.replace_all(&[item("a", 3), item("b", 5)], at(10));
    let Missing::Batches(batches) = parent.missing_since(follower.revision()) else {
        panic!("batches reach back to 10");
    };
    for batch in batches {
        follower.apply_events(batch.packed().events().unwrap(), batch.to);
    }
    assert_eq!(follower.item_revision("b"), Some(at(12)));
}

#[test]
fn a_follower_far_behind_gets_everything() {
    let mut state = state();
    assert!(
        matches!(state.missing_since(at(9)), Missing::Everything(packed) if packed.items().unwrap().len() == 2)
    );
    for revision in 20..200 {
        state.apply_events(vec![written("a", revision)], at(revision));
    }
    assert!(matches!(
        state.missing_since(at(20)),
        Missing::Everything(_)
    ));
    assert!(
        matches!(state.missing_since(at(190)), Missing::Batches(batches) if batches.len() == 9)
    );
}

#[tokio::test(start_paused = true)]
async fn the_age_counts_from_the_last_confirmation() {
    let mut state = state();
    let began = Instant::now();
    assert_eq!(state.age(began), None);
    assert!(state.confirm(at(10), began, 0));
    assert!(!state.confirm(at(9), began + Duration::from_secs(1), 0));
    let now = began + Duration::from_secs(2);
    assert_eq!(state.age(now), Some(Duration::from_secs(2)));
}

#[tokio::test(start_paused = true)]
async fn confirmations_that_go_round_a_cycle_do_not_keep_a_copy_young() {
    let mut state = state();
    let mut now = Instant::now();
    for depth in 0..100 {
        now += Duration::from_millis(1);
        state.confirm(at(10), now, depth);
    }
    assert!(state.age(now).unwrap() > Duration::from_millis(90));
}

#[test]
fn a_copy_is_overdue_from_its_deadline_on() {
    let times = FeedTimes::new(&bounds());
    let mut state = state();
    let complete_at = Instant::now();
    assert!(state.is_stale(&times, complete_at), "never confirmed");
    state.confirm(at(10), complete_at, 1);
    let deadline = state.stale_at(&times, complete_at);
    let moment = Duration::from_nanos(1);
    assert!(!state.is_stale(&times, deadline - moment));
    // The check stays true as the clock moves on.
    assert!(state.is_stale(&times, deadline));
    assert!(state.is_stale(&times, deadline + moment));
    assert!(state.stale_at(&times, deadline + moment) > deadline);
}

/// Followers of any version decode the full state as a list of items.
#[test]
fn the_packed_full_state_is_a_list_of_items() {
    let items = vec![item("a", 3), item("b", 4)];
    let mut state = FeedState::default();
    state.replace_all(&items, at(4));
    let Missing::Everything(packed) = state.missing_since(at(0)) else {
        panic!("the follower has no data");
    };
    assert_eq!(packed.items().expect("it is a list of items"), items);
}

#[test]
fn batches_for_followers_are_bounded_by_changes_too() {
    let mut state = FeedState::default();
    state.replace_all(&[item("a", 1)], at(1));
    for batch in 0..8 {
        let from = 1 + 1000 * batch;
        let events =
            (from + 1..=from + 1000).map(|revision| written(&format!("k{revision}"), revision));
        state.apply_events(events.collect(), at(from + 1000));
    }
    assert!(matches!(state.missing_since(at(1)), Missing::Everything(_)));
    let Missing::Batches(batches) = state.missing_since(at(7001)) else {
        panic!("the last batch is kept");
    };
    assert_eq!(batches.len(), 1);
}

/// The full state of a store that went back to change 5 in its second era.
fn state_of_next_era() -> FeedState {
    let mut state = state();
    let items = [Item {
        revision: Revision::new(2, 3),
        ..item("a", 3)
    }];
    assert!(state.replace_all(&items, Revision::new(2, 5)));
    state
}

#[test]
fn a_later_era_counts_whatever_its_numbers() {
    let mut state = state_of_next_era();
    assert!(!state.has_key("b"));
    assert!(!state.replace_all(&[], at(20)));
    let late = vec![written("a", 21)];
    assert!(state.apply_events(late, at(21)).is_empty());
    let event = Event::Written(Item {
        revision: Revision::new(2, 6),
        ..item("a", 6)
    });
    let new_events = state.apply_events(vec![event.clone()], Revision::new(2, 6));
    assert_eq!(new_events, vec![event]);
}

#[test]
fn a_follower_of_an_earlier_era_gets_everything() {
    let state = state_of_next_era();
    assert!(matches!(
        state.missing_since(at(20)),
        Missing::Everything(_)
    ));
}
