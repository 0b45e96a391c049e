//! A gateway's process: the product's code on the system's sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_domain::Switches;
use barleyspar_gateway::PlacementOptions;
use barleyspar_policy::Program;
use barleyspar_standin::NativeDialect;

use crate::SoakError;
use crate::roles::partition::PartitionedNetwork;
use crate::site::{Neighbours, POLICY, Ports, gateway_settings};

/// A line on a gateway's standard input: a partition begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionCommand {
    /// From whom the gateway is partitioned.
    pub neighbours: Neighbours,
    /// Whether the partition begins.
    pub begins: bool,
}

impl PartitionCommand {
    const ALL: [Self; 4] = [
        Self::new(Neighbours::Gateways, true),
        Self::new(Neighbours::Gateways, false),
        Self::new(Neighbours::Runners, true),
        Self::new(Neighbours::Runners, false),
    ];

    /// Creates the command that begins or ends a partition.
    pub const fn new(neighbours: Neighbours, begins: bool) -> Self {
        Self { neighbours, begins }
    }

    /// The line that tells the command.
    pub fn line(self) -> String {
        format!("{self:?}")
    }

    fn apply(self, network: &PartitionedNetwork) {
        let partition = network.partition_from(self.neighbours);
        if self.begins {
            partition.begin();
        } else {
            partition.end();
        }
    }
}

/// Begins and ends partitions on `network` as the standard input says, until that ends.
fn obey(network: &PartitionedNetwork) {
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let mut commands = PartitionCommand::ALL.into_iter();
        if let Some(command) = commands.find(|command| command.line() == line) {
            command.apply(network);
        }
    }
}

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
    let network = Arc::new(PartitionedNetwork::new(ports));
    let obeying = network.clone();
    std::thread::spawn(move || obey(&obeying));
    Ok(barleyspar_gateway::run(read_settings, settings, dialect, placement, network).await?)
}
