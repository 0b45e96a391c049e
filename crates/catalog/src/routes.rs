//! The immutable table that finds a request's route and its caller's tenant.

use std::collections::HashMap;
use std::sync::Arc;

use crate::tenants::{TenantTable, asks_for_tenant};
use crate::{Configuration, Credential, Route, Tenant};

/// Routes of one configuration by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<String, HashMap<Arc<str>, Arc<Route>>>,
    tenants: TenantTable,
}

impl RouteTable {
    /// Builds the table of `configuration`.
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

    /// The configuration behind the table.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The tenant that `credential` belongs to.
    pub fn tenant_of(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        self.tenants.find(credential)
    }

    /// Pairs of tenants that hold the same credential, which is a fault of the
    /// configuration; the latter is served under it.
    pub fn tenants_sharing_credentials(&self) -> &[(Arc<str>, Arc<str>)] {
        self.tenants.shared_by()
    }

    /// The tenant of this name.
    pub fn tenant_named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants.named(name)
    }

    /// Whether requests on `route` must name their tenant.
    pub fn asks_for_tenant(&self, route: &Route) -> bool {
        asks_for_tenant(&self.configuration, route)
    }

    /// The route of `host` with the longest prefix of `path`.
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
