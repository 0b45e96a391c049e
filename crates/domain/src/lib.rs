//! Domain types shared by every part of barleyspar: names, verdicts,
//! specifications submitted by operators, runners, grants and fences.
//!
//! Types here have no behaviour beyond ordering, validation of single values
//! and pure rules. They do no I/O.

mod fading;
mod fence;
mod grant;
mod name;
mod rendezvous;
mod runner;
mod spec;
mod verdict;

pub use fading::part_left;
pub use fence::{Epoch, Fence};
pub use grant::{Grant, Holder, HolderState};
pub use name::{
    AdapterName, CustomerName, ModelName, NameError, NodeName, OperatorName, PolicyName,
    RunnerName, ServiceName, ZoneName,
};
pub use rendezvous::{rank, ranked};
pub use runner::{Incarnation, RunnerKind, RunnerRecord, RunnerState};
pub use spec::{
    AdapterSpec, CustomerSpec, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, PolicySpec,
    ServiceKind, ServiceSpec,
};
pub use verdict::Verdict;
