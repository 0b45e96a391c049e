//! Decides which models and adapters are loaded on which runner, and keeps the
//! right to order it. State machines without I/O and without a clock.

mod adapters;
mod board;
mod census;
mod decisions;
mod demand;
mod lease;
mod memory;
mod models;
mod overtaxed;
mod pace;
mod planner;
mod store_share;
mod summary;
mod switches;
mod value;
mod view;

pub use demand::{DemandBook, ModelDemand};
pub use lease::{Lease, LeaseSettings};
pub use memory::{free_mb, used_mb};
pub use pace::{LoadPace, PaceLimits};
pub use planner::{PlannedOrder, Planner, PlannerSettings};
pub use summary::{MostWanted, StepSummary};
pub use switches::{Mechanism, Switches, UnknownMechanism};
pub use view::{RunnerView, Source};
