//! The immutable table that finds a request's route.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{Configuration, Route};

/// Routes of one configuration by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<String, HashMap<Arc<str>, Arc<Route>>>,
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
        Self {
            configuration,
            hosts,
        }
    }

    /// The configuration behind the table.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
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
