//! Choosing which idle models make room for another.

use std::time::Duration;

use barleyspar_domain::ModelName;
use barleyspar_platform::engine::{HeldModel, HoldState};

/// A held model as eviction sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The model.
    pub model: ModelName,
    /// Memory it would free, in bytes.
    pub bytes: u64,
    /// Time since its last use.
    pub idle: Duration,
}

/// The idle models among `held`, with their idle times as of now.
pub fn candidates(
    held: &[HeldModel],
    since_inventory: Duration,
    shortest_idle: Duration,
) -> Vec<Candidate> {
    held.iter()
        .filter(|model| model.state == HoldState::Loaded && model.running == 0)
        .filter(|model| {
            let adapters = model.adapters.iter();
            adapters.clone().all(|a| a.state == HoldState::Loaded)
        })
        .map(|model| Candidate {
            model: model.model.clone(),
            bytes: model.total_bytes(),
            idle: Duration::from_millis(model.idle_milliseconds) + since_inventory,
        })
        .filter(|candidate| candidate.idle >= shortest_idle)
        .collect()
}

/// Models whose removal frees at least `needed` bytes, longest idle first;
/// `None` if all of them together do not.
pub fn choose(mut candidates: Vec<Candidate>, needed: u64) -> Option<Vec<ModelName>> {
    candidates.sort_by(|a, b| b.idle.cmp(&a.idle).then_with(|| a.model.cmp(&b.model)));
    let mut freed = 0;
    let mut chosen: Vec<Candidate> = Vec::new();
    for candidate in candidates {
        if freed >= needed {
            break;
        }
        freed += candidate.bytes;
        chosen.push(candidate);
    }
    if freed < needed {
        return None;
    }
    Some(without_superfluous(chosen, freed, needed))
}

/// Drops those that larger ones chosen later made superfluous.
fn without_superfluous(chosen: Vec<Candidate>, mut freed: u64, needed: u64) -> Vec<ModelName> {
    let mut kept = Vec::new();
    for candidate in chosen {
        if freed - candidate.bytes >= needed {
            freed -= candidate.bytes;
        } else {
            kept.push(candidate.model);
        }
    }
    kept
}
