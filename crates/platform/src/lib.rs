//! Ports to the platform and their HTTP clients.
//!
//! A port is a trait; the node's code knows nothing else of the platform. In
//! production the clients of [`http`] stand behind the ports, in virtual-time
//! runs the lab's in-memory stand-ins do.

pub mod engine;
pub mod http;
pub mod key_value;
pub mod machines;
pub mod plain;

pub use engine::Engine;
pub use key_value::KeyValue;
pub use machines::MachineList;
pub use plain::PlainService;
