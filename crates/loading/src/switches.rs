//! Parts of the planner that can be switched off, to measure what they are worth.

use std::collections::BTreeSet;
use std::str::FromStr;

use thiserror::Error;

/// A part of the planner that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// More urgent requests weigh more.
    Ranks,
    /// A model gains weight while nobody is served of it.
    Starvation,
    /// A load costs the streams beside it.
    Disturbance,
    /// A busy runner that has a copy of the weights is waited for.
    NearCopies,
    /// Loads from the weight store at once are bounded by how slow they get.
    StoreShare,
}

const NAMES: [(Mechanism, &str); 5] = [
    (Mechanism::Ranks, "ranks"),
    (Mechanism::Starvation, "starvation"),
    (Mechanism::Disturbance, "disturbance"),
    (Mechanism::NearCopies, "near-copies"),
    (Mechanism::StoreShare, "store-share"),
];

/// A name that stands for no mechanism.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("there is no mechanism {name:?}; there are {known}")]
pub struct UnknownMechanism {
    name: String,
    known: String,
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, UnknownMechanism> {
        let found = NAMES.iter().find(|(_, known)| *known == name);
        found
            .map(|(mechanism, _)| *mechanism)
            .ok_or_else(|| UnknownMechanism {
                name: name.to_owned(),
                known: NAMES.map(|(_, known)| known).join(", "),
            })
    }
}

/// Which mechanisms are switched off; none usually.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    off: BTreeSet<Mechanism>,
}

impl Switches {
    /// Whether `mechanism` is in use.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}

/// Reads names of mechanisms to switch off, separated by commas.
impl FromStr for Switches {
    type Err = UnknownMechanism;

    fn from_str(names: &str) -> Result<Self, UnknownMechanism> {
        let names = names.split(',').filter(|name| !name.is_empty());
        let off = names.map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self { off })
    }
}
