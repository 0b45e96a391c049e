//! The platform's lagging list of machines.

use async_trait::async_trait;
use barleyspar_domain::RunnerRecord;
use thiserror::Error;

/// The list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("machine list unavailable: {0}")]
pub struct MachineListError(pub String);

/// What a read of the list gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Tag of this content; a later read that gives it learns cheaply that
    /// nothing changed. `None` if the list gives no tags.
    pub tag: Option<String>,
    /// All machines; `None` if nothing changed since the tag that was given.
    pub machines: Option<Vec<RunnerRecord>>,
}

/// Lists live and leaving machines, some seconds late. A machine missing from
/// it is gone for good: if its address comes back it has a new incarnation.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// All machines that run a back end, unless `known` is still the list's tag.
    async fn list(&self, known: Option<&str>) -> Result<Listing, MachineListError>;
}
