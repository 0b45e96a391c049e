//! Messages between routers, coordinators and keepers.

use barleyspar_domain::{AdapterName, ModelName, RunnerName};
use serde::{Deserialize, Serialize};

use crate::RunnerReport;

/// A router's wish that a runner hold a model, and its watch over it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The runner.
    pub runner: RunnerName,
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
    /// Requests waiting at the router; 0 only watches and wakes nothing.
    pub waiting: u32,
    /// Milliseconds until the earliest deadline among them.
    pub deadline_milliseconds: u64,
    /// What the router takes for true; the keeper answers at once if it is not.
    pub known_ready: bool,
    /// Longest wait for an answer, in milliseconds.
    pub wait_milliseconds: u64,
}

/// Why a keeper will not load a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The runner is not granted the model.
    NotGranted,
    /// All accelerator memory is in use.
    NoMemory,
    /// Runners that must give the model up have not confirmed yet.
    Withdrawing,
    /// The runner is leaving.
    Leaving,
    /// The engine can not be reached or refuses orders.
    EngineUnavailable,
    /// The keeper does not know enough of the control log yet.
    NotCurrent,
}

/// A keeper's answer to a [`Demand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DemandAnswer {
    /// The runner holds the model and the adapter.
    Ready {
        /// Replicas the keeper thinks are wanted for all that waits.
        replicas_wanted: u32,
    },
    /// A load is under way or about to begin.
    Loading {
        /// Expected milliseconds until it is ready.
        expected_milliseconds: u64,
        /// Replicas the keeper thinks are wanted for all that waits.
        replicas_wanted: u32,
    },
    /// The model is not held and nothing is done about it, since nobody waits.
    Idle,
    /// The keeper will not load it.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Milliseconds after which it may be asked again.
        retry_after_milliseconds: u64,
    },
    /// This node does not keep the runner.
    NotKeeper,
}

/// A call to the keepers of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// See [`Demand`].
    Demand(Demand),
    /// Confirm that a runner does not hold a model whose grant it lost at a log
    /// position, and never will by an older decision.
    ConfirmReleased {
        /// The runner.
        runner: RunnerName,
        /// The model.
        model: ModelName,
        /// Position at which the grant is being revoked.
        position: u64,
    },
    /// What the node's keepers know of their runners.
    Report,
}

/// An answer of the keepers of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KeeperAnswer {
    /// To [`KeeperRequest::Demand`].
    Demand(DemandAnswer),
    /// To [`KeeperRequest::ConfirmReleased`].
    Released(bool),
    /// To [`KeeperRequest::Report`].
    Report(Vec<RunnerReport>),
}
