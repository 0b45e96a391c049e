//! The order of a store's changes, over all its eras.

use serde::{Deserialize, Serialize};

/// Bits of a fencing token that count an era's changes; a store that makes a thousand a
/// second uses them up in 34 years.
const TOKEN_NUMBER_BITS: u32 = 40;

/// A point in the order of a store's changes.
///
/// A store that comes back from a copy begins another era: it gives out numbers again that
/// it had given out since the copy. Any point of a later era comes after all of the earlier
/// ones, whatever its number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era; 0 for a store that has none.
    pub era: u32,
    /// The store's number for it within the era.
    pub number: u64,
}

impl Revision {
    /// The change with `number` in `era`.
    pub fn new(era: u32, number: u64) -> Self {
        Self { era, number }
    }

    /// The fencing token of a lease that was taken by this change: unique and rising over
    /// all eras.
    pub fn token(self) -> u64 {
        (u64::from(self.era) << TOKEN_NUMBER_BITS) | self.number
    }
}
