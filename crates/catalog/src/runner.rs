//! Runners as discovery shows them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether a runner takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// It does.
    Available,
    /// It is leaving and takes none.
    Draining,
}

/// A model in a runner's accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: Arc<str>,
    /// Version of its weights.
    pub version: u64,
    /// Its adapters that are loaded.
    pub adapters: Vec<Arc<str>>,
}

/// Copies of weights that a runner keeps outside accelerator memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopies {
    /// Models in host memory.
    pub memory: Vec<Arc<str>>,
    /// Models on disk.
    pub disk: Vec<Arc<str>>,
}

/// One incarnation of a runner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Runner {
    /// The incarnation's id: no two lives of a runner share it, so nothing that is
    /// kept by it outlives the life that it was learnt of.
    pub id: Arc<str>,
    /// The runner's own id, by which it is called and asked for. A runner that
    /// starts again may keep it.
    pub name: Arc<str>,
    /// When this life began, in milliseconds since 1970, where the runner says so.
    pub born: Option<u64>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: RunnerState,
    /// Time until it is gone, where it said so.
    pub remaining: Option<Duration>,
    /// How much longer it stays slow from its start.
    pub warming: Duration,
    /// Number of the heartbeat that wrote the entry.
    pub heartbeat: u64,
    /// Models held; empty for plain services.
    pub models: Vec<HeldModel>,
    /// Copies of weights.
    pub copies: WeightCopies,
}

/// Id of the life of the runner `name` that began at `born`.
pub fn incarnation(name: &Arc<str>, born: Option<u64>) -> Arc<str> {
    match born {
        Some(born) => format!("{name}@{born}").into(),
        None => name.clone(),
    }
}
