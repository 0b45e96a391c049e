//! The trust boundary between callers and runners: which headers cross it.
//!
//! Decided by who owns a header, not by a list of what callers were seen to
//! forge: a runner obeys what comes with a request, so a caller that set one of
//! the system's own headers would have its request held, moved or refused.

use barleyspar_catalog::HeaderOwner;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName};

/// The headers of a caller's request that go on to a runner: the caller's own.
pub fn to_runner(owner: impl Fn(&HeaderName) -> HeaderOwner, caller: &HeaderMap) -> HeaderMap {
    kept(caller, |name| owner(name) == HeaderOwner::Caller)
}

/// The headers of a runner's answer that go on to the caller: all but those of
/// the connection.
pub fn to_caller(owner: impl Fn(&HeaderName) -> HeaderOwner, runner: &HeaderMap) -> HeaderMap {
    kept(runner, |name| owner(name) != HeaderOwner::Hop)
}

/// The headers that `crosses` names, less those that the sender says concern
/// its connection only.
fn kept(headers: &HeaderMap, crosses: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if crosses(name) && !named.contains(name) {
            kept.append(name, value.clone());
        }
    }
    kept
}

#[cfg(test)]
#[path = "trust_tests.rs"]
mod tests;
