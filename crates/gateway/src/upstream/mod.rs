//! Connections to runners and to the store.

mod connection;
mod pool;
mod tracked;

pub use connection::{ConnectError, Connection};
pub use pool::{Checkout, Pool};
