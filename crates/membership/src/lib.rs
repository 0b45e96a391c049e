//! Membership: which nodes there are, in which zone, and whether they live.
//!
//! Every node knows every node. Nodes probe only members of their own zone and
//! spread changes to them on the probes; a few relays of each zone exchange
//! changes with relays of other zones. A member that does not answer is
//! suspected, and declared dead only after it had time to refute that.
//! Membership decides who *should* keep a runner; it never decides who *may*
//! give it orders: that is the engine's fence.

mod config;
mod messages;
mod record;
mod service;
mod table;
mod view;

pub use config::MembershipConfig;
pub use record::{MemberRecord, MemberStatus};
pub use service::{Identity, MembershipHandle, PeerAhead, start};
pub use table::Table;
pub use view::View;

/// Name of the service that answers calls of other nodes.
pub const PEER_SERVICE: &str = "membership";
