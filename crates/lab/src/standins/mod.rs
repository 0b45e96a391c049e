//! Stand-ins of the platform: engines, plain services, weight store, key-value
//! service and machine list.
//!
//! Each is a struct with asynchronous methods that use only tokio's clock, so
//! it works in real and in virtual time. [`http`] puts them behind real
//! sockets; the fault runs call them over an in-memory network.

pub mod answers;
pub mod decode;
pub mod engine;
pub mod http;
pub mod key_value;
pub mod machines;
pub mod plain;
pub mod violations;
pub mod weight_store;
