//! Calls between nodes.
//!
//! A call goes to a service of another node by name and carries one
//! MessagePack body; it is answered once or fails. Who calls whom, and what the
//! bodies mean, is the services' matter. [`TcpTransport`] carries calls over
//! TCP; the lab carries them over an in-memory network.

mod codec;
mod dispatch;
mod errors;
mod handshake;
mod tcp;
mod traffic;
mod transport;

pub use codec::{decode, encode};
pub use dispatch::{PeerDispatch, PeerHandler};
pub use errors::PeerError;
pub use handshake::SharedSecret;
pub use tcp::{PeerListener, TcpTransport};
pub use traffic::{Counts, Traffic};
pub use transport::{PeerTransport, call};
