//! Fingerprints, which identify a request across its caller's retries, or a part of prompts
//! across requests.

use std::fmt;

use barleyspar_catalog::Credential;
use barleyspar_domain::rendezvous_weight;
use serde::{Deserialize, Serialize};

/// Identifies a request by the parts that are the same in each retry by its caller: host,
/// path and query, credential and body. A retry's id and deadline are not included. Also
/// identifies a part of prompts ([`Self::of_part`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request with `body` to `host` for `target` (path and
    /// query) under the credential `caller`, which is `None` for a request without one.
    pub fn of(host: &str, target: &str, caller: Option<&Credential>, body: &[u8]) -> Self {
        Self(rendezvous_weight(&(host, target, caller), body))
    }

    /// Returns the fingerprint of the part `id` of prompts for `service`, which differs from that
    /// of any request.
    pub fn of_part(service: &str, id: u64) -> Self {
        Self(rendezvous_weight(&("part", service), &id))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
