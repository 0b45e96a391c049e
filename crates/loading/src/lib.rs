//! Decides which models and adapters are loaded on which runner, and tracks the lease
//! that allows a node to order it. Contains only state machines without I/O; callers pass
//! in the current time.

mod adapters;
mod decisions;
mod demand;
mod lease;
mod load_rate;
mod memory;
mod model_sizes;
mod models;
mod over_limit;
mod placement_index;
mod planner;
mod prompt_demand;
mod reading;
mod replica_counts;
mod store_concurrency;
mod stream_demand;
mod summary;
mod unserved;
mod value;
mod view;

pub use demand::{ClusterDemand, ModelDemand};
pub use lease::{Lease, LeaseSettings};
pub use load_rate::{LoadRateLimiter, LoadRateLimits};
pub use memory::{free_mb, used_mb};
pub use model_sizes::{HeldCopies, KnownSizes, ModelSize, ModelSizes};
pub use planner::{PlannedOrder, Planner, PlannerSettings};
pub use summary::{MostWanted, StepSummary};
pub use view::{PossibleLoad, RunnerCapacity, RunnerView, WeightSource};
