//! Where a request may be served: in the regions that its route names and, at the
//! same time, in those that its caller's tenant names.

use std::sync::Arc;

use crate::{Route, Tenant};

/// The regions in which one request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes(Option<Vec<Arc<str>>>);

impl Homes {
    /// The homes of a request on `route` from `tenant`.
    pub fn of(route: &Route, tenant: Option<&Tenant>) -> Self {
        let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.regions);
        match (&route.regions[..], of_tenant) {
            ([], []) => Self(None),
            (only, []) | ([], only) => Self(Some(only.to_vec())),
            (of_route, of_tenant) => {
                let both = of_route.iter().filter(|region| of_tenant.contains(region));
                Self(Some(both.cloned().collect()))
            }
        }
    }

    /// Whether it may be served in `region`; `None` for one that is not known.
    pub fn allow(&self, region: Option<&Arc<str>>) -> bool {
        self.0
            .as_ref()
            .is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }
}
