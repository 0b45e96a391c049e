//! A gateway's process: the product's code on the system's sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_domain::Switches;
use barleyspar_gateway::PlacementOptions;
use barleyspar_policy::Program;
use barleyspar_standin::NativeDialect;
use nix::sys::signal::Signal;
use tokio::signal::unix::{SignalKind, signal};

use crate::SoakError;
use crate::roles::partition::PartitionedNetwork;
use crate::site::{POLICY, Ports, gateway_settings};

/// The signal at which a gateway is partitioned from all others.
pub const LOSE_PEERS: Signal = Signal::SIGUSR1;
/// The signal at which it reaches the others again.
pub const REACH_PEERS: Signal = Signal::SIGUSR2;

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
    let network = PartitionedNetwork::new(ports);
    let mut lose_peers = signal(SignalKind::user_defined1()).map_err(SoakError::io("signals"))?;
    let mut reach_peers = signal(SignalKind::user_defined2()).map_err(SoakError::io("signals"))?;
    let partition = network.partition();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = lose_peers.recv() => partition.begin(),
                _ = reach_peers.recv() => partition.end(),
            }
        }
    });
    let network = Arc::new(network);
    Ok(barleyspar_gateway::run(read_settings, settings, dialect, placement, network).await?)
}
