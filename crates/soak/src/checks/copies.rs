//! How the gateways' copies of the store agree with it.

use std::collections::BTreeMap;

use crate::checks::Violation;
use crate::observations::{CopyObservation, Observations, StoreObservation};

/// The store's changes by key, each with its number and whether it removed the key.
type History<'a> = BTreeMap<&'a str, Vec<(u64, bool)>>;

/// A copy shows each key as the store had it at the revision that the copy claims, or as a
/// later change left it.
pub(super) fn copies_agree_with_the_store(observations: &Observations) -> Vec<Violation> {
    let mut history = History::new();
    for StoreObservation { change, .. } in &observations.store_changes {
        let changes = history.entry(&change.key).or_default();
        changes.push((change.number, change.removed));
    }
    let mut violations = Vec::new();
    for copy in &observations.copies {
        let unknown = copy.items.keys().find(|key| !history.contains_key(&***key));
        let wrong = history
            .iter()
            .find(|(key, changes)| !may_show(changes, copy.number, copy.items.get(**key).copied()))
            .map(|(key, _)| *key);
        if let Some(key) = wrong.or(unknown.map(String::as_str)) {
            let shown = copy.items.get(key);
            let seen = format!(
                "{key} is at {shown:?} in the copy of gateway {} at {}, asked at {:?}",
                copy.gateway, copy.number, copy.asked_at
            );
            violations.push(Violation::new("copies_agree_with_the_store", seen));
        }
    }
    violations
}

/// Whether a copy at the change `number` may show a key as written by the change `shown`, or
/// not at all. `changes`: those of this key.
fn may_show(changes: &[(u64, bool)], number: u64, shown: Option<u64>) -> bool {
    let left_by = |(number, removed): &(u64, bool)| (!removed).then_some(*number);
    let then = changes.iter().rev().find(|change| change.0 <= number);
    let mut later = changes.iter().filter(|change| change.0 > number);
    then.and_then(left_by) == shown || later.any(|change| left_by(change) == shown)
}

/// A copy has all changes that were made before the time as of which it claims to be complete.
pub(super) fn copies_are_as_young_as_they_claim(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    for copy in &observations.copies {
        let missed = first_missed(observations, copy);
        if let Some(change) = missed {
            let seen = format!(
                "gateway {} at {}, asked at {:?}, claimed an age of {:?} and lacks {} of {:?}",
                copy.gateway, copy.number, copy.asked_at, copy.age, change.change.number, change.at
            );
            violations.push(Violation::new("copies_are_as_young_as_they_claim", seen));
        }
    }
    violations
}

fn first_missed<'a>(
    observations: &'a Observations,
    copy: &CopyObservation,
) -> Option<&'a StoreObservation> {
    let complete_at = copy.asked_at.checked_sub(copy.age)?;
    let changes = observations.store_changes.iter();
    let mut known_then = changes.take_while(|change| change.at <= complete_at);
    known_then.find(|known| known.change.number > copy.number)
}
