//! Number of slots of a runner.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Number of requests that a runner processes at once: few enough that sums and multiples over
/// any number of runners are exact.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u32", into = "u32")]
pub struct SlotCount(u16);

/// A number of slots that no runner has.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0} slots; at most {most} are possible", most = u16::MAX)]
pub struct ImpossibleSlotCount(u32);

impl SlotCount {
    /// Returns the number.
    pub fn get(self) -> u32 {
        self.0.into()
    }
}

impl TryFrom<u32> for SlotCount {
    type Error = ImpossibleSlotCount;

    fn try_from(count: u32) -> Result<Self, ImpossibleSlotCount> {
        u16::try_from(count)
            .map(Self)
            .map_err(|_| ImpossibleSlotCount(count))
    }
}

impl From<u16> for SlotCount {
    fn from(count: u16) -> Self {
        Self(count)
    }
}

impl From<SlotCount> for u32 {
    fn from(count: SlotCount) -> Self {
        count.get()
    }
}
