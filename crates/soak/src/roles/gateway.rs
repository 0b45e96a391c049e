//! A gateway's process: the product's code on the system's sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_domain::Switches;
use barleyspar_gateway::PlacementOptions;
use barleyspar_policy::Program;
use barleyspar_standin::NativeDialect;

use crate::SoakError;
use crate::site::{POLICY, Ports, gateway_settings};

/// Runs gateway `number` until it has stopped after a SIGTERM.
pub async fn run(number: u8, ports: Ports, store: SocketAddr) -> Result<(), SoakError> {
    let settings = gateway_settings(number, ports, store);
    let placement = PlacementOptions {
        policy: Program::compile(POLICY).expect("the policy is well formed"),
        switches: Switches::default(),
    };
    let reread = settings.clone();
    let read_settings = move || Ok(reread.clone());
    let dialect = Arc::new(NativeDialect);
    Ok(barleyspar_gateway::run(read_settings, settings, dialect, placement).await?)
}
