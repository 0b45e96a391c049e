//! Runners, as their entries in the store describe them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::slots::SlotCount;

/// Short key of a runner's incarnation in messages between nodes.
pub type RunnerKey = u32;

/// Returns the key of the runner incarnation with this id: a hash, the same at all nodes.
pub fn runner_key(id: &str) -> RunnerKey {
    barleyspar_domain::rendezvous_weight("runner", id) as RunnerKey
}

/// Whether a runner accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// The runner accepts new work.
    Available,
    /// The runner completes its current requests, accepts no new work and then exits.
    Draining,
}

/// A model loaded in a runner's accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model, as the runner reports it.
    pub model: Arc<str>,
    /// Version of the loaded weights, as the runner reports it.
    pub version: u64,
    /// Names of the model's adapters that are loaded.
    pub adapters: Vec<Arc<str>>,
}

/// Local weight copies: weights that a runner keeps outside accelerator memory, from which
/// it loads a model faster than from the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopies {
    /// Names of the models with weights in host memory.
    pub memory: Vec<Arc<str>>,
    /// Names of the models with weights on disk.
    pub disk: Vec<Arc<str>>,
}

/// Version of a runner's software, as its entry states it; empty if it states none.
///
/// Runners of several versions may serve one service side by side. What two versions write
/// does not fit together, so a stream continues only at the version that began it. Not to be
/// confused with the version of a model's weights ([`LoadedModel::version`]).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version with this name.
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Returns the version's name; empty for runners that state none.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One incarnation of a runner: the time from one start to its exit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Runner {
    /// Id of the incarnation (see [`incarnation_id`]). Two incarnations of a runner have
    /// different ids, so that state kept under an id is not applied to a later incarnation.
    pub id: Arc<str>,
    /// Name of the runner, which the runner checks in calls to it. A restarted runner may
    /// keep its name.
    pub name: Arc<str>,
    /// Start of the incarnation, in milliseconds since 1970; `None` if the entry does not
    /// state it.
    pub born: Option<u64>,
    /// Name of the service whose requests the runner handles.
    pub service: Arc<str>,
    /// Address on which the runner accepts connections.
    pub address: SocketAddr,
    /// Zone in which the runner runs, as its entry states. Nodes prefer runners of their own
    /// zone.
    pub zone: Arc<str>,
    /// Version of the runner's software.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Number of requests that the runner processes concurrently.
    pub slots: SlotCount,
    /// Whether the runner accepts new work.
    pub state: RunnerState,
    /// Time until the runner exits, counted from the writing of the entry; `None` if the
    /// runner does not state it.
    pub remaining: Option<Duration>,
    /// Time for which the runner remains cold (recently started, with a limit on its request
    /// rate), counted from the writing of the entry; zero if it is not cold.
    pub warming: Duration,
    /// Sequence number of the heartbeat by which the runner wrote the entry.
    pub heartbeat: u64,
    /// Models loaded on the runner; empty for plain services.
    pub models: Vec<LoadedModel>,
    /// Local weight copies that the runner keeps; empty for plain services.
    pub copies: WeightCopies,
}

/// Returns the id of the incarnation of the runner `name` that started at `born`, in
/// milliseconds since 1970. Without `born`, the id is the name.
pub fn incarnation_id(name: &Arc<str>, born: Option<u64>) -> Arc<str> {
    match born {
        Some(born) => format!("{name}@{born}").into(),
        None => name.clone(),
    }
}
