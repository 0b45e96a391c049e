//! How gateways that are partitioned from all runners serve.

use crate::checks::{Violation, is_disturbed};
use crate::observations::{Attempt, Observations, Target};
use crate::site::CONTACT_TIME;

/// A gateway without runners serves its callers at least this part as often as the others do.
const LEAST_SHARE: f64 = 2.0 / 3.0;
/// Number of attempts that may fail there besides one in [`TOLERATED_ONE_IN`].
const TOLERATED_FAILURES: f64 = 10.0;
/// See [`TOLERATED_FAILURES`].
const TOLERATED_ONE_IN: f64 = 50.0;

/// Attempts at gateways, and how many were served.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    attempts: usize,
    served: usize,
}

impl Served {
    fn add(&mut self, attempt: &Attempt) {
        self.attempts += 1;
        self.served += usize::from(attempt.is_served());
    }

    fn share(self) -> f64 {
        self.served as f64 / self.attempts.max(1) as f64
    }

    fn failures(self) -> f64 {
        (self.attempts - self.served) as f64
    }
}

/// From the contact time after the partition's beginning on, callers of such gateways are
/// served about as often as those of the others at the same times.
pub(super) fn gateways_without_runners_serve_as_the_others(
    observations: &Observations,
) -> Vec<Violation> {
    let (mut partitioned, mut others) = (Served::default(), Served::default());
    for attempt in &observations.attempts {
        if is_otherwise_struck(observations, attempt) {
            continue;
        }
        if lacks_runners(observations, attempt, |gateway| gateway == attempt.gateway) {
            partitioned.add(attempt);
        } else if lacks_runners(observations, attempt, |gateway| gateway != attempt.gateway) {
            others.add(attempt);
        }
    }
    let tolerated = TOLERATED_FAILURES + partitioned.attempts as f64 / TOLERATED_ONE_IN;
    let is_worse = partitioned.share() < LEAST_SHARE * others.share();
    if partitioned.failures() <= tolerated || !is_worse {
        return Vec::new();
    }
    let seen = format!("{partitioned:?} without runners, {others:?} elsewhere meanwhile");
    vec![Violation::new("gateways_without_runners_serve", seen)]
}

/// Whether a fault other than the loss of the runners touches the attempt's gateway.
fn is_otherwise_struck(observations: &Observations, attempt: &Attempt) -> bool {
    let number = attempt.gateway;
    let targets = [
        Target::Gateway(number),
        Target::ClientLink(number),
        Target::PeerLinks(number),
    ];
    let (from, to) = (attempt.sent_at, attempt.ended_at);
    is_disturbed(observations, &targets, true, from, to)
}

/// Whether, all the time from the attempt's beginning to its end, a gateway that `is_meant` has
/// been without runners for the contact time.
fn lacks_runners(
    observations: &Observations,
    attempt: &Attempt,
    is_meant: impl Fn(u8) -> bool,
) -> bool {
    observations.faults.iter().any(|fault| {
        matches!(fault.target, Target::LinksToRunners(gateway) if is_meant(gateway))
            && fault.from + CONTACT_TIME <= attempt.sent_at
            && fault.until.is_none_or(|until| until >= attempt.ended_at)
    })
}
