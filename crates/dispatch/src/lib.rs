//! Decides which runner gets a request, and when: queue, load, health, retry
//! budget and demand. A state machine without I/O and without a clock of its
//! own; one task drives it.

mod budget;
mod candidates;
mod choice;
mod cold;
mod cold_start;
mod demand;
mod dispatcher;
mod eligibility;
mod health;
mod holders;
mod inventory;
mod knowledge;
mod leaving;
mod limits;
mod outcome;
mod pauses;
mod peer_load;
mod query;
mod queue;
mod rate_limit;
mod runner;
mod split;
mod waiting;

pub use budget::{BudgetLimits, RetryBudget, Share};
pub use demand::DemandItem;
pub use dispatcher::{Dispatcher, Site};
pub use health::{Failure, Outcome};
pub use inventory::{Inventory, Loading};
pub use leaving::LeavingNews;
pub use limits::{LimitChange, LimitNews};
pub use query::{Acquired, AttemptKind, Grant, PermitId, Query, Refusal, RefusalReason, Ticket};
pub use rate_limit::{AdvertisedLimit, RatePermitAnswer};
pub use runner::{RunnerKey, runner_key};
pub use split::Splitter;
