//! What makes two tries of a caller the same request.

use std::fmt;

use barleyspar_catalog::Credential;
use barleyspar_domain::rank;
use serde::{Deserialize, Serialize};

/// Names a request by what stays the same in each of its tries: host, path and query,
/// caller and body. The id of a try and its deadline are no part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request for `target` (path and query) at `host`.
    pub fn of(host: &str, target: &str, caller: Option<&Credential>, body: &[u8]) -> Self {
        Self(rank(&(host, target, caller), body))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
