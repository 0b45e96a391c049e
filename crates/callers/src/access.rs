//! Decides whether a request may be served under the credential that it carries.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Bounds, Credential, Route, RouteTable, Tenant};

/// Maximum relative difference between the clock rates of two machines. The error of
/// crystal oscillators is far below a thousandth.
const CLOCK_RATE_ERROR: f64 = 0.001;
/// Maximum rounding error of the staleness of a node's view: it is sent in whole
/// milliseconds, over at most six hops from the store.
const ROUNDING_ERROR: Duration = Duration::from_millis(6);

/// Bounds on the staleness of a node's view of the configuration, one for each decision that
/// depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessBounds {
    /// From this staleness on, no request is served under any credential; `None` if a node
    /// that cannot reach the store may continue to serve.
    pub maximum_serving_staleness: Option<Duration>,
    /// From this staleness on, an unknown credential or route is not rejected as invalid,
    /// because it may be a new one.
    pub maximum_denial_staleness: Duration,
}

impl AccessBounds {
    /// Derives the bounds from those of the site. A credential revoked at time
    /// `t` must not be served after `t + revocation_time`. Therefore, a node whose view was
    /// complete at time `c` refuses from `c + revocation_time` on, or earlier by the maximum
    /// error of its staleness.
    pub fn new(bounds: &Bounds) -> Self {
        let less_maximum_error = |bound: Duration| {
            bound.saturating_sub(bound.mul_f64(CLOCK_RATE_ERROR) + ROUNDING_ERROR)
        };
        Self {
            maximum_serving_staleness: bounds.revocation_time.map(less_maximum_error),
            maximum_denial_staleness: less_maximum_error(bounds.configuration_apply_time),
        }
    }
}

/// A node's local view of the configuration, with its staleness.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationView<'a> {
    /// Routes and tenants that the node applies.
    pub table: &'a RouteTable,
    /// Staleness: time for which the node may have missed changes; `None` if unknown.
    pub staleness: Option<Duration>,
}

impl ConfigurationView<'_> {
    /// Returns whether the staleness is known and below `bound`.
    fn is_fresher_than(&self, bound: Duration) -> bool {
        self.staleness.is_some_and(|staleness| staleness < bound)
    }

    /// Returns whether the view is fresh enough to reject what it does not contain, and to
    /// serve what it contains as the operators want it now.
    pub fn is_certain(&self, bounds: &AccessBounds) -> bool {
        self.is_fresher_than(bounds.maximum_denial_staleness)
    }

    /// Returns whether the view is fresh enough to serve requests under credentials.
    pub fn may_serve(&self, bounds: &AccessBounds) -> bool {
        bounds
            .maximum_serving_staleness
            .is_none_or(|bound| self.is_fresher_than(bound))
    }
}

/// Reason why a request is not served under its credential.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request carries no credential, or one that belongs to no tenant.
    Unknown,
    /// The node's view of the configuration is too stale to decide.
    OldKnowledge,
}

/// Returns the tenant under which a request on `route` with `credential` is served; `None`
/// if the route does not require one.
pub fn authorize(
    view: ConfigurationView<'_>,
    route: &Route,
    credential: Option<&Credential>,
    bounds: &AccessBounds,
) -> Result<Option<Arc<Tenant>>, Denial> {
    if !view.table.requires_tenant(route) {
        return Ok(None);
    }
    if !view.may_serve(bounds) {
        return Err(Denial::OldKnowledge);
    }
    let Some(credential) = credential else {
        return Err(Denial::Unknown);
    };
    match view.table.tenant_of(credential) {
        Some(tenant) => Ok(Some(tenant.clone())),
        None if view.is_certain(bounds) => Err(Denial::Unknown),
        None => Err(Denial::OldKnowledge),
    }
}
