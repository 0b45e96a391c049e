//! Decides when prompts are sent to model runners.
//!
//! An engine reads prompts in pieces between the decoding steps of its running streams, so
//! each prompt that it reads delays the next event of each stream. Of all nodes, the
//! *prefill owner* of a runner grants permits to send it prompts, so that within the shortest
//! target gap of its streams it reads prompts only for a part of the time. A request whose
//! prompt cannot be read before its client gives up is refused. If no owner answers, requests
//! are sent without a permit, so a lost owner costs order and no requests.
//!
//! Contains only state machines without I/O; callers pass in the current time.

mod ended;
mod estimates;
mod gaps;
mod messages;
mod owner;
mod pace;
mod queue;
mod runner;
mod schedule;
mod shares;
mod speed;
mod unread;

pub use estimates::{LearnedSpeed, RunnerEstimate, RunnerEstimates, SpeedChange, ToldWait};
pub use messages::{
    MAX_PROMPT_TOKENS, PrefillAnswer, PrefillGrant, PrefillMessage, PrefillReport, PrefillRequest,
    PrefillUpdate, StreamPace, TenantKey, tenant_key,
};
pub use owner::PrefillOwner;
pub use shares::TenantShares;
pub use speed::read_time;
