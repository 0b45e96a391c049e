//! Client connections to runners and to the store, and the pool of those to runners.

mod connection;
mod excess;
mod pool;
mod received_body;
mod tracked;

pub use connection::{ConnectError, Connection, open_stream};
pub use pool::{Checkout, ConnectionShare, OpenSlot, Pool};
pub use received_body::ReceivedBody;
