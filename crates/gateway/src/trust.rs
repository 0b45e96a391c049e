//! The trust boundary between callers and runners: decides which headers cross it.
//!
//! The decision depends on the owner of a header, not on a list of forbidden headers, which
//! would never be complete. A runner obeys the headers of a request, so a caller that could set the
//! system's own headers could have its request held, redirected or refused.

use barleyspar_catalog::HeaderOwner;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName};

/// Returns the headers of a caller's request that are sent on to runners: only those that
/// callers own.
pub fn headers_to_runner(
    owner: impl Fn(&HeaderName) -> HeaderOwner,
    request: &HeaderMap,
) -> HeaderMap {
    filter_headers(request, |name| owner(name) == HeaderOwner::Caller)
}

/// Returns the headers of a runner's answer that are sent on to the caller: all except
/// hop-by-hop headers.
pub fn headers_to_caller(
    owner: impl Fn(&HeaderName) -> HeaderOwner,
    answer: &HeaderMap,
) -> HeaderMap {
    filter_headers(answer, |name| owner(name) != HeaderOwner::Hop)
}

/// Returns the headers for which `may_cross` is true, except those that the sender's
/// `Connection` header declares as hop-by-hop.
fn filter_headers(headers: &HeaderMap, may_cross: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let hop_by_hop: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut filtered = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if may_cross(name) && !hop_by_hop.contains(name) {
            filtered.append(name, value.clone());
        }
    }
    filtered
}

#[cfg(test)]
#[path = "trust_tests.rs"]
mod tests;
