//! Reads a gateway's copy of the store from outside, as a follower does.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use barleyspar_catalog::{Item, Revision};

use crate::feed::frame::{Frame, Hello};
use crate::feed::state::Update;
use crate::framing::{read, write};
use crate::network::Network;

/// A gateway's copy of the store at one moment.
#[derive(Debug, Clone)]
pub struct CopySnapshot {
    /// The store's revision that the copy shows. Single items may be newer.
    pub revision: Revision,
    /// Time before the snapshot within which changes may be missing.
    pub age: Duration,
    /// The items of the store, in the order of their keys.
    pub items: Vec<Item>,
}

/// Reads the copy of the gateway that accepts followers at `peer_address`. Waits for as long
/// as the copy is empty. Fails if the gateway cannot be reached, has too many followers, or
/// sends something else.
pub async fn read_copy(
    network: &dyn Network,
    peer_address: SocketAddr,
) -> io::Result<CopySnapshot> {
    let mut stream = network.connect(peer_address).await?;
    let revision = Revision::default();
    write(&mut stream, &Hello { revision }).await?;
    let frame: Frame = read(&mut stream).await?;
    match frame.content.decode()? {
        Update::Everything(items) => Ok(CopySnapshot {
            revision: frame.revision,
            age: Duration::from_millis(u64::from(frame.age_ms)),
            items,
        }),
        Update::Events(_) => Err(io::ErrorKind::InvalidData.into()),
    }
}
