//! Whether a request may be served under the credential that it carries.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Bounds, Credential, Route, RouteTable, Tenant};

/// Part by which the clocks of two machines may differ in rate: crystals keep
/// within a thousandth by far.
const CLOCK_RATE_ERROR: f64 = 0.001;
/// Largest error of the age that a node knows, from whole milliseconds at each
/// of the six steps from the store at most.
const ROUNDING: Duration = Duration::from_millis(6);

/// How old a node's knowledge may be for what it decides by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessBounds {
    /// From this age on nothing is served under any credential; `None` where a
    /// node that is out of touch may go on.
    pub serve: Option<Duration>,
    /// From this age on a credential that is not known may be a new one.
    pub deny: Duration,
}

impl AccessBounds {
    /// What follows from the bounds that the site promises. A credential taken
    /// away at `t` may not serve a request sent after `t + revocation`: a node
    /// whose knowledge was complete at `c` refuses from `c + revocation` on, less
    /// what its age may be wrong by.
    pub fn new(bounds: &Bounds) -> Self {
        let certain =
            |bound: Duration| bound.saturating_sub(bound.mul_f64(CLOCK_RATE_ERROR) + ROUNDING);
        Self {
            serve: bounds.revocation.map(certain),
            deny: certain(bounds.change_in_force),
        }
    }
}

/// A node's knowledge of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge<'a> {
    /// The routes and tenants in force.
    pub table: &'a RouteTable,
    /// Time for which changes may have been missed; `None` if that is unknown.
    pub age: Option<Duration>,
}

impl Knowledge<'_> {
    fn is_younger_than(&self, bound: Duration) -> bool {
        self.age.is_some_and(|age| age < bound)
    }

    /// Whether it is young enough to serve under credentials.
    pub fn may_serve(&self, bounds: &AccessBounds) -> bool {
        bounds.serve.is_none_or(|bound| self.is_younger_than(bound))
    }
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// It carries no credential, or one that nobody has.
    Unknown,
    /// This node's knowledge is too old to tell.
    OldKnowledge,
}

/// The tenant under which a request on `route` with `credential` is served;
/// `None` where the route asks for none.
pub fn authorize(
    knowledge: Knowledge<'_>,
    route: &Route,
    credential: Option<&Credential>,
    bounds: &AccessBounds,
) -> Result<Option<Arc<Tenant>>, Denial> {
    if !knowledge.table.requires_tenant(route) {
        return Ok(None);
    }
    if !knowledge.may_serve(bounds) {
        return Err(Denial::OldKnowledge);
    }
    let Some(credential) = credential else {
        return Err(Denial::Unknown);
    };
    match knowledge.table.tenant_of(credential) {
        Some(tenant) => Ok(Some(tenant.clone())),
        None if knowledge.is_younger_than(bounds.deny) => Err(Denial::Unknown),
        None => Err(Denial::OldKnowledge),
    }
}
