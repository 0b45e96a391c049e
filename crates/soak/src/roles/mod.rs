//! The processes of a soak: what each of them runs.

pub mod gateway;
mod partition;
mod runner;
pub mod store;
pub mod store_client;

use std::net::SocketAddr;

use barleyspar_gateway::ByteStream;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::SoakError;
use crate::site::Ports;

/// Connections that wait to be accepted by a stand-in.
const BACKLOG: usize = 256;

/// What one process runs.
#[derive(Debug, Clone)]
pub enum Role {
    /// The store.
    Store {
        /// Ports of the soak.
        ports: Ports,
    },
    /// A gateway.
    Gateway {
        /// Its number.
        number: u8,
        /// Ports of the soak.
        ports: Ports,
        /// Where it reaches the store.
        store: SocketAddr,
    },
    /// A runner.
    Runner {
        /// Its number.
        number: u8,
        /// Number of its process, from 0.
        life: u32,
        /// Ports of the soak.
        ports: Ports,
        /// Where it reaches the store.
        store: SocketAddr,
    },
}

/// Runs a process of the soak until a signal ends it.
pub fn run_role(role: Role) -> Result<(), SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SoakError::io("runtime"))?;
    match role {
        Role::Store { ports } => runtime.block_on(store::run(ports)),
        Role::Gateway {
            number,
            ports,
            store,
        } => {
            start_logs();
            runtime.block_on(gateway::run(number, ports, store))
        }
        Role::Runner {
            number,
            life,
            ports,
            store,
        } => runtime.block_on(runner::run((number, life), ports, store)),
    }
}

fn start_logs() {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(std::io::stdout)
        .init();
}

/// A connection and the host that opened it, as the stand-ins accept them.
type Accepted = (Box<dyn ByteStream>, std::net::IpAddr);

/// Accepts connections on `address` for a stand-in.
async fn accept_for_stand_in(address: SocketAddr) -> Result<mpsc::Receiver<Accepted>, SoakError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(SoakError::io(format!("listener at {address}")))?;
    let (sender, receiver) = mpsc::channel(BACKLOG);
    tokio::spawn(async move {
        while let Ok((stream, from)) = listener.accept().await {
            // A connection without this option only delays small messages.
            let _ = stream.set_nodelay(true);
            if sender
                .send((Box::new(stream) as Box<dyn ByteStream>, from.ip()))
                .await
                .is_err()
            {
                return;
            }
        }
    });
    Ok(receiver)
}
