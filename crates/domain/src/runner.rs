//! Runners (back ends) as the platform's machine list describes them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{RunnerName, ServiceName, ZoneName};

/// Number that distinguishes successive incarnations (restarts) of a runner at the same
/// address.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Type of a runner, which determines whether models are loaded on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerKind {
    /// A model engine with an accelerator, on which models are loaded.
    Engine,
    /// An instance of a plain HTTP service, on which no models are loaded.
    Plain,
}

/// Whether a runner may be given new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerState {
    /// The runner may be given new work.
    Live,
    /// The runner is draining: it completes its current requests, takes no new work and
    /// then exits.
    Leaving,
}

/// One runner's entry in the platform's machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// Name of the runner, unique among all runners.
    pub name: RunnerName,
    /// The service whose requests the runner handles.
    pub service: ServiceName,
    /// Whether the runner is a model engine or an instance of a plain service.
    pub kind: RunnerKind,
    /// Zone of the runner, as the machine list states it. The node that keeps the runner is
    /// chosen from this zone if any node of the zone takes work.
    pub zone: ZoneName,
    /// Address on which the runner takes HTTP requests.
    pub address: SocketAddr,
    /// Incarnation of the runner when the entry was written; each restart changes it.
    pub incarnation: Incarnation,
    /// Whether the runner may be given new work.
    pub state: RunnerState,
    /// Size of the accelerator memory, in bytes; 0 for plain services.
    pub memory_bytes: u64,
}
