//! Immutable table that maps requests to routes and credentials to tenants.

use std::collections::HashMap;
use std::sync::Arc;

use crate::tenants::{TenantTable, requires_tenant};
use crate::{Configuration, Credential, Route, Tenant};

/// Index of one configuration: routes by host and path prefix, tenants by credential and
/// by name.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<String, HashMap<Arc<str>, Arc<Route>>>,
    tenants: TenantTable,
}

impl RouteTable {
    /// Builds the table. Of several routes with the same host and path prefix, the last
    /// one in the configuration counts.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut hosts: HashMap<String, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.path_prefix.clone(), route.clone());
        }
        let tenants = TenantTable::new(&configuration);
        Self {
            configuration,
            hosts,
            tenants,
        }
    }

    /// Returns the configuration from which the table was built.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the tenant to which `credential` belongs; `None` if it belongs to none.
    pub fn tenant_of(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        self.tenants.find(credential)
    }

    /// Returns the pairs of tenants that list the same credential, which is a fault in the
    /// configuration. The credential counts for the second tenant of each pair.
    pub fn tenants_sharing_credentials(&self) -> &[(Arc<str>, Arc<str>)] {
        self.tenants.credential_conflicts()
    }

    /// Returns the tenant with this name; `None` if the configuration has none.
    pub fn tenant_named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants.named(name)
    }

    /// Returns whether requests on `route` need a credential that identifies a tenant.
    pub fn requires_tenant(&self, route: &Route) -> bool {
        requires_tenant(&self.configuration, route)
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`; `None` if
    /// no route matches. Hosts are compared without regard to case, first with and then
    /// without the port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let prefixes = self
            .hosts
            .get(&host)
            .or_else(|| self.hosts.get(without_port(&host)))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
