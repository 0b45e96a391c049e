//! Stand-ins of the platform around real gateways, for tests: an in-memory network, the
//! key-value store, runners and clients. With tokio's paused clock a test takes little real
//! time and is repeatable.

mod client;
mod dialect;
mod fencing;
mod network;
mod runner;
mod runner_body;
mod scripted_server;
mod store;
mod stream_client;
mod two_of_each;
mod world;

pub use client::Answer;
pub use dialect::{NativeDialect, encode, names};
pub use network::{Cut, MemoryNetwork};
pub use runner::{Call, CrashCourse, Fault, RequestedPause, Run, RunnerIdentity, RunnerStandIn};
pub use scripted_server::{Script, ScriptedServer};
pub use store::{StoreData, StoreStandIn};
pub use stream_client::FollowedStream;
pub use world::{
    World, default_bounds, engine_service, one_second_model, plain_service, route, tenant,
};
