//! A site in virtual time: the nodes' own code and the stand-ins over
//! an in-memory network.

pub mod engine_port;
pub mod log_recorder;
pub mod network;
pub mod platform_ports;
pub mod site_world;
pub mod transport;
pub mod world;

#[cfg(test)]
mod tests;
