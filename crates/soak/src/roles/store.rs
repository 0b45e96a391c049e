//! The store's process.

use barleyspar_standin::StoreStandIn;

use crate::SoakError;
use crate::roles::accept_for_stand_in;
use crate::site::Ports;

/// Serves the store until the process is ended.
pub async fn run(ports: Ports) -> Result<(), SoakError> {
    let connections = accept_for_stand_in(ports.store()).await?;
    StoreStandIn::default().serve_connections(connections);
    std::future::pending().await
}
