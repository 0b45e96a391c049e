//! Domain types that all crates of barleyspar share: names, verdicts, specifications
//! submitted by operators, runners, grants and fences.
//!
//! The types only order values, validate single values and compute pure functions of them.
//! They do no I/O.

mod decay;
mod fence;
mod grant;
mod name;
mod rendezvous;
mod runner;
mod spec;
mod switches;
mod verdict;

pub use decay::decay_factor;
pub use fence::{Epoch, Fence};
pub use grant::{Grant, Holder, HolderState};
pub use name::{
    AdapterName, CustomerName, ModelName, NameError, NodeName, OperatorName, PolicyName,
    RunnerName, ServiceName, ZoneName,
};
pub use rendezvous::{by_rendezvous_weight, rendezvous_weight};
pub use runner::{Incarnation, RunnerKind, RunnerRecord, RunnerState};
pub use spec::{
    AdapterSpec, CustomerSpec, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, PolicySpec,
    ServiceKind, ServiceSpec,
};
pub use switches::{Mechanism, Switches, UnknownMechanism};
pub use verdict::Verdict;
