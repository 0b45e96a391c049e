//! Regions in which a request may be served: those that both its route and its caller's
//! tenant allow.

use std::sync::Arc;

use crate::{Route, Tenant};

/// The regions in which one request may be served. The default allows all regions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Vec<Arc<str>>>);

impl AllowedRegions {
    /// Returns the allowed regions of a request on `route` from a caller of `tenant`.
    pub fn for_request(route: &Route, tenant: Option<&Tenant>) -> Self {
        let tenant_regions = tenant.map_or(&[][..], |tenant| &tenant.regions);
        match (&route.regions[..], tenant_regions) {
            ([], []) => Self(None),
            (only, []) | ([], only) => Self(Some(only.to_vec())),
            (route_regions, tenant_regions) => {
                let both = route_regions
                    .iter()
                    .filter(|region| tenant_regions.contains(region));
                Self(Some(both.cloned().collect()))
            }
        }
    }

    /// Returns whether the request may be served in `region`. `None` stands for an unknown
    /// region, which is allowed only if all regions are.
    pub fn includes(&self, region: Option<&Arc<str>>) -> bool {
        self.0
            .as_ref()
            .is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }
}
