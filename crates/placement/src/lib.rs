//! Placement: which runner may hold which model, and who orders it.
//!
//! Two rights are kept apart. A *grant*, in the control log, says which runners
//! may ever hold a model; the *coordinator*, one node at a time, proposes
//! grants out of what the policies decide. A *keeper*, one node for each
//! runner, gives the runner's engine fenced orders within the grants and keeps
//! its accelerator memory within bounds. Two coordinators or two keepers at
//! once do no harm: the log's order and the engine's fence decide.

mod config;
mod coordinator;
mod decisions;
mod estimate;
mod eviction;
mod grants;
mod keeper;
mod list_reader;
mod machines;
mod messages;
mod notices;
mod plan;
mod runner;
mod start;

pub use config::PlacementConfig;
pub use decisions::Decisions;
pub use grants::plan_grants;
pub use keeper::{KeeperHandle, RunnerReport};
pub use messages::{Demand, DemandAnswer, KeeperAnswer, KeeperRequest, RefusalReason};
pub use notices::LeavingNotices;
pub use start::{Placement, PlacementParts, start};

/// Name of the keepers' service that answers calls of other nodes.
pub const KEEPER_SERVICE: &str = "keeper";
/// Name of the service that takes notices of leaving runners.
pub const NOTICE_SERVICE: &str = "leaving-notices";
