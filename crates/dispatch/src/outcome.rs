//! Applies the outcome of an attempt to the dispatcher's record of its runner.

use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;

use crate::health::{Failure, Outcome};
use crate::runner::RunnerEntry;

/// Time for which a runner that refused for lack of room gets no more requests.
const BUSY_BLOCK: Duration = Duration::from_millis(100);
/// Time for which a runner is blocked if another one answers at its address, or if a
/// runner of a plain service answers that it does not hold the model.
const WRONG_RUNNER_BLOCK: Duration = Duration::from_secs(4);

/// Records how an attempt at the runner of `entry` ended, or what an attempt that goes on
/// has shown. `wanted` is the model of the request; `None` for plain services.
pub fn apply_outcome(
    entry: &mut RunnerEntry,
    outcome: Outcome,
    wanted: Option<ModelReference>,
    now: Instant,
) {
    match outcome {
        Outcome::Success { first_byte } | Outcome::PromptRead { first_byte } => {
            entry.health_mut().record_success(now, first_byte);
        }
        Outcome::Streamed { usual_gap } => {
            if let Some(wanted) = wanted {
                entry.record_event_gap(&wanted.model, usual_gap);
            }
        }
        Outcome::Busy => {
            entry.health_mut().record_failure(now, Failure::Error);
            match wanted {
                Some(wanted) if entry.has_mostly_free_slots() => entry.record_refusal(wanted, now),
                _ => entry.health_mut().mark_busy(now, BUSY_BLOCK),
            }
        }
        Outcome::Replaced => {
            entry.health_mut().record_failure(now, Failure::Unreachable);
            entry.health_mut().block(now, WRONG_RUNNER_BLOCK);
            entry.mark_replaced();
        }
        Outcome::NotHeld => match wanted {
            Some(wanted) => entry.record_not_held(wanted, now),
            None => entry.health_mut().block(now, WRONG_RUNNER_BLOCK),
        },
        Outcome::Failed(failure) => entry.health_mut().record_failure(now, failure),
        // A requested pause is recorded from the runner's answer itself, and an abandoned
        // attempt says nothing of the runner.
        Outcome::Paused | Outcome::Abandoned => {}
    }
}
