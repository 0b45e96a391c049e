//! The policy language: short rhai programs that decide, for one model, how many replicas
//! it may have, in which zones, and for which customers.
//!
//! A program is a pure function of its [`Context`]. It has no clock, no random source, no
//! I/O, and a bounded number of steps, so every node that runs it on the same context
//! gets the same [`Decision`] or the same error.

mod decision;
mod errors;
mod program;

pub use decision::{Context, Decision};
pub use errors::PolicyError;
pub use program::Program;
