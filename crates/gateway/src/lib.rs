//! The gateway: accepts callers' HTTP requests, chooses a runner for each and relays the
//! answer. It keeps a copy of the platform's store current, and while it holds the placement
//! lease it decides which models are loaded on which runners.

mod admission;
mod answers;
mod arrivals;
mod attempt;
mod body;
mod context;
mod crashes;
mod discovery;
mod dispatch;
mod essential_tasks;
mod event_gaps;
mod events;
mod exchange;
mod feed;
mod framing;
mod inflight;
mod journal;
mod kept_configuration;
mod lifecycle;
mod listener;
mod messages;
mod metrics;
mod names;
mod network;
mod node;
mod old_view;
mod origins;
mod owners;
mod peers;
mod placement;
mod prefill;
mod quota;
mod rate_permits;
mod reachability;
mod readiness;
mod register;
mod relay;
mod request;
mod restore_tracker;
mod resumption;
mod signals;
mod stagger;
mod stalls;
mod store;
mod stream;
mod tasks;
mod trust;
mod tunnel;
mod upstream;

pub use events::{EventSplitter, EventTooLong, StreamEvent};
pub use feed::{CopySnapshot, read_copy};
pub use network::{ByteStream, Datagrams, Listener, Network, Sockets};
pub use node::{Gateway, NodeError, PlacementOptions, run};
pub use tasks::TaskGroup;
