//! A soak of gateways as real processes.
//!
//! The soak starts a store, runners and gateways as processes ([`roles`]), puts a proxy before
//! the links from clients to gateways, from gateways to the store and to runners ([`proxy`]),
//! sends traffic ([`clients`]) and changes the configuration ([`operator`]), while faults that a
//! seed draws strike from outside ([`faults`]). The store tells its changes, and the soak reads
//! the copies that the gateways have of them ([`copies`]). What clients, runners and operators
//! saw is checked against the promises ([`checks`]).
//!
//! The gateways run the product's code on the system's sockets, with the stand-ins' dialect.
//! Links between gateways have no proxy. The soak ends only processes that it started, and uses
//! loopback addresses only.

pub mod arguments;
pub mod checks;
pub mod clients;
pub mod copies;
mod deadly_parts;
pub mod faults;
pub mod followers;
pub mod machines;
pub mod observations;
pub mod operator;
pub mod processes;
pub mod proxy;
pub mod roles;
pub mod site;
pub mod soak;
pub mod summary;

use thiserror::Error;

pub use arguments::{Command, USAGE, parse};
pub use roles::run_role;
pub use soak::run_soak;

/// Why a soak or one of its processes could not go on.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A process could not be started, or a socket or file not be opened.
    #[error("{what}: {cause}")]
    Io {
        /// What was tried.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The gateway's code ended with an error.
    #[error("gateway: {0}")]
    Gateway(#[from] barleyspar_gateway::NodeError),
    /// The site did not serve before the first fault.
    #[error("the site did not serve any request within {0:?} of its start")]
    NotReady(std::time::Duration),
    /// The soak was told to end by SIGTERM.
    #[error("ended by SIGTERM")]
    Terminated,
}

impl SoakError {
    /// Returns a function that adds `what` was tried to an error of the system.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |cause| Self::Io { what, cause }
    }
}
