//! Fingerprints, which identify a request across its caller's retries.

use std::fmt;

use barleyspar_catalog::Credential;
use barleyspar_domain::rendezvous_weight;
use serde::{Deserialize, Serialize};

/// Identifies a request by the parts that are the same in each retry by its caller: host,
/// path and query, credential and body. A retry's id and deadline are not included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request with `body` to `host` for `target` (path and
    /// query) under the credential `caller`, which is `None` for a request without one.
    pub fn of(host: &str, target: &str, caller: Option<&Credential>, body: &[u8]) -> Self {
        Self(rendezvous_weight(&(host, target, caller), body))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
