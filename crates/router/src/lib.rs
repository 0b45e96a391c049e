//! Routing of callers' requests at one node.
//!
//! Requests for models wait in bounded queues until a replica is known to be
//! ready; the keepers of granted runners are asked to make one so. Requests to
//! plain services go to a live instance at once. Every request is answered or
//! refused by its deadline, and every refusal carries a verdict.

mod balance;
mod breaker;
mod budget;
mod claims;
mod config;
mod dispatch;
#[cfg(test)]
mod dispatch_tests;
mod errors;
mod metrics;
mod plain;
mod queue;
#[cfg(test)]
mod queue_tests;
mod replicas;
mod requests;
mod service;
mod start;
mod target;

pub use config::RouterConfig;
pub use errors::{Reason, Refusal};
pub use metrics::{RouterCounters, RouterFigures};
pub use plain::PlainCall;
pub use requests::{AnswerEvent, AnswerStream, ModelRequest};
pub use start::{Router, RouterParts, start};
