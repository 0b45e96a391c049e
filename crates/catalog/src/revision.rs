//! Revisions, which order a store's changes over all of its eras.

use serde::{Deserialize, Serialize};

/// Bits of a fencing token that hold the change's number within the era. At a thousand
/// changes per second, they suffice for 34 years.
const TOKEN_NUMBER_BITS: u32 = 40;

/// Position of a change in the order of all changes of a store.
///
/// A store that is restored from a backup begins a new era: it reuses the numbers that it
/// assigned after the backup was made. Any revision of a later era is greater than all
/// revisions of earlier eras, whatever its number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era (restore generation) of the store; 0 for a store that does not count eras.
    pub era: u32,
    /// Number of the change within the era, assigned by the store.
    pub number: u64,
}

impl Revision {
    /// Returns the revision of the change `number` in the era `era`.
    pub fn new(era: u32, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the fencing token of a lease that was acquired by this change. Tokens are
    /// unique and increase with the revision, over all eras.
    pub fn fencing_token(self) -> u64 {
        (u64::from(self.era) << TOKEN_NUMBER_BITS) | self.number
    }
}
