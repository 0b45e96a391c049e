//! A node: all services of barleyspar wired together, and its HTTP interfaces.
//!
//! [`Node::start`] takes the ports to the outside world, so the same node runs
//! over real sockets and, in the lab, over an in-memory network in virtual time.

mod caller;
mod caller_auth;
mod errors;
mod explain;
mod http;
mod listener;
mod metrics;
mod node;
mod openai;
mod operator;
mod operator_types;
mod pass_through;
mod serve;
mod settings;

pub use errors::NodeError;
pub use listener::BoundedAcceptor;
pub use node::{Node, NodeIdentity, NodeTuning, Ports};
pub use operator_types::{
    ApplyAnswer, ApplyRequest, ApplyStanding, Explanation, GetAnswer, HolderExplanation,
    ListedObject, OperatorError, StatusAnswer,
};
pub use serve::run;
pub use settings::{Limits, NodeSettings, OperatorSettings};
