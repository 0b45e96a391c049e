//! Decides which runner gets a request and when, by queue, load, health, limits and retry
//! budget, and counts the demand for each model.
//!
//! A state machine without I/O and without a clock of its own: callers pass the current
//! time, and one task drives the [`Dispatcher`].

mod accepts_work;
mod arrivals;
mod brittle;
mod budget;
mod callers_time;
mod candidates;
mod cold_pacing;
mod cold_start;
mod demand;
mod dispatcher;
mod draining;
mod eligibility;
mod expected_retries;
mod first_event_forecast;
mod former_life;
mod health;
mod holders;
mod inventory;
mod limits;
mod outcome;
mod peer_load;
mod prefill_estimates;
mod prompt_demand;
mod query;
mod queue;
mod rate_limit;
mod requested_pauses;
mod runner;
mod runner_updates;
mod selection;
mod sharing_nodes;
mod slot_shares;
mod software_history;
mod split;
mod stream_demand;
mod turnover;
mod unread;
mod waiting;

pub use accepts_work::AcceptsWork;
pub use arrivals::{Arrival, RequestNumber};
pub use barleyspar_catalog::{RunnerKey, runner_key};
pub use brittle::BrittleUpdate;
pub use budget::{BudgetLimits, BudgetShare, BudgetUse, RetryBudget};
pub use callers_time::{answer_due_at, retry_after, spread_retry_after, unread_patience};
pub use demand::DemandItem;
pub use dispatcher::{Dispatcher, Site};
pub use draining::DrainingUpdate;
pub use health::{Failure, Outcome};
pub use inventory::{Inventory, Loading};
pub use limits::{LimitChange, LimitUpdate};
pub use prefill_estimates::RunnerSpeedChange;
pub use prompt_demand::PromptDemandItem;
pub use query::{Acquired, AttemptKind, Grant, PermitId, Query, Refusal, RefusalReason, Ticket};
pub use rate_limit::{AdvertisedLimit, RatePermitAnswer};
pub use software_history::VersionsByService;
pub use split::Splitter;
pub use stream_demand::StreamDemandItem;
