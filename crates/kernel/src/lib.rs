//! Micro-kernel of a node: bounded mailboxes, a registry in which services
//! find each other by name, supervised tasks, and ordered shutdown.
//!
//! The kernel owns no business state. Every task of a node is spawned through
//! it, so that a whole node can be stopped, killed or frozen as one unit.

mod busy;
mod gate;
mod mailbox;
mod registry;
mod stop;
mod supervisor;

pub use busy::BusyTime;
pub use gate::Gate;
pub use mailbox::{Address, Inbox, MailboxError, mailbox};
pub use registry::{Registry, RegistryError};
pub use stop::{StopHandle, StopSignal};
pub use supervisor::{Kernel, Stage};
