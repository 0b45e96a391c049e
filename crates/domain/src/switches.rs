//! Mechanisms of the gateway that can be switched off to measure their benefit.

use std::collections::BTreeSet;
use std::str::FromStr;

use thiserror::Error;

/// A mechanism that can be switched off. Variants are named like their settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Requests of higher priority have more weight in the value of a replica.
    Ranks,
    /// Requests that arrive while a model has no replica add to the value of loading it.
    Starvation,
    /// Streams at a runner that a load slows down count as a cost of the load.
    Disturbance,
    /// A busy runner with a local weight copy is considered for a placement, so that a
    /// model may wait for it.
    NearCopies,
    /// Concurrent loads from the weight store are limited by the slowdown observed.
    StoreShare,
    /// Prompts wait for a permit of the prefill owner of their runner.
    Prefill,
    /// The time that runners need to read prompts adds to the need for replicas, and makes
    /// a runner that reads much for other models a worse place for a replica.
    Reading,
}

const NAMES: [(Mechanism, &str); 7] = [
    (Mechanism::Ranks, "ranks"),
    (Mechanism::Starvation, "starvation"),
    (Mechanism::Disturbance, "disturbance"),
    (Mechanism::NearCopies, "near-copies"),
    (Mechanism::StoreShare, "store-share"),
    (Mechanism::Prefill, "prefill"),
    (Mechanism::Reading, "reading"),
];

/// Error for a mechanism name that does not exist; lists the known names.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("unknown mechanism {name:?}; known mechanisms are {known}")]
pub struct UnknownMechanism {
    name: String,
    known: String,
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, UnknownMechanism> {
        let entry = NAMES.iter().find(|(_, known)| *known == name);
        entry
            .map(|(mechanism, _)| *mechanism)
            .ok_or_else(|| UnknownMechanism {
                name: name.to_owned(),
                known: NAMES.map(|(_, known)| known).join(", "),
            })
    }
}

/// The set of mechanisms that are switched off; empty by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    off: BTreeSet<Mechanism>,
}

impl Switches {
    /// Returns whether `mechanism` is applied: it is unless the settings switch it off.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}

/// Parses a comma-separated list of mechanisms to switch off; empty names are ignored.
impl FromStr for Switches {
    type Err = UnknownMechanism;

    fn from_str(names: &str) -> Result<Self, UnknownMechanism> {
        let names = names.split(',').filter(|name| !name.is_empty());
        let off = names.map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self { off })
    }
}
