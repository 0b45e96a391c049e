//! Stand-ins of the platform around real gateways: an in-memory network, the
//! key-value store, runners, clients. With tokio's paused clock a run takes no
//! real time and repeats.

mod client;
mod dialect;
mod fencing;
mod network;
mod runner;
mod runner_body;
mod store;
mod world;

pub use client::Answer;
pub use dialect::{NativeDialect, encode, names};
pub use network::MemoryNetwork;
pub use runner::{AskedPause, Call, Fault, Run, RunnerStandIn};
pub use store::{Data, StoreStandIn};
pub use world::{World, engine_service, model, plain_service, route, tenant};
