//! Connections to runners and to the store.

mod connection;
mod pool;
mod tracked;

pub use connection::{ConnectError, Connection, SendError, Sent};
pub use pool::{Checkout, Pool};
