//! What the end of an attempt says about its runner.

use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;

use crate::health::{Failure, Outcome};
use crate::runner::RunnerEntry;

/// Time for which a runner that refused is left alone.
const BUSY_BLOCK: Duration = Duration::from_millis(100);
/// Time for which an address that another runner has is left alone.
const WRONG_RUNNER_BLOCK: Duration = Duration::from_secs(4);

/// Takes in how an attempt at `entry` that wanted `wanted` ended, or goes.
pub fn apply(
    entry: &mut RunnerEntry,
    outcome: Outcome,
    wanted: Option<ModelReference>,
    now: Instant,
) {
    match outcome {
        Outcome::Success { first_byte } | Outcome::PromptRead { first_byte } => {
            entry.health_mut().succeeded(now, first_byte);
        }
        Outcome::Streamed { usual_gap } => {
            if let Some(wanted) = wanted {
                entry.streamed(&wanted.model, usual_gap);
            }
        }
        Outcome::Busy => {
            entry.health_mut().failed(now, Failure::Error);
            match wanted {
                Some(wanted) if entry.has_much_room() => entry.refuses(wanted, now),
                _ => entry.health_mut().busy_for(now, BUSY_BLOCK),
            }
        }
        Outcome::Replaced => {
            entry.health_mut().failed(now, Failure::Unreachable);
            entry.health_mut().block_for(now, WRONG_RUNNER_BLOCK);
            entry.replace();
        }
        Outcome::NotHeld => match wanted {
            Some(wanted) => entry.lacks(wanted, now),
            None => entry.health_mut().block_for(now, WRONG_RUNNER_BLOCK),
        },
        Outcome::Failed(failure) => entry.health_mut().failed(now, failure),
        // For how long it is left alone it has said itself.
        Outcome::Paused | Outcome::Abandoned => {}
    }
}
