//! Tenants, the credentials that identify their callers, and their quotas.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Configuration, Route};

/// A caller's secret, stored only as its SHA-256 digest.
///
/// A lookup compares digests, and its duration may depend on how many leading bytes of two
/// digests agree. This discloses nothing about a secret.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credential([u8; 32]);

impl Credential {
    /// Returns the credential of a caller that sent `secret`.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Credential(..)")
    }
}

/// Unit in which a tenant's quota is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// Each request counts as many units as it names tokens, or `unnamed` if it names none.
    Tokens {
        /// Units for a request that names no tokens.
        unnamed: u64,
    },
}

/// Limit on the requests that all nodes together accept from one tenant: a token bucket's
/// rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Whether the quota counts requests or the tokens that they name.
    pub unit: QuotaUnit,
    /// Sustained rate, in units per second.
    pub per_second: f64,
    /// Units that may be used at once in addition to the sustained rate.
    pub burst: f64,
}

/// A group of callers that share credentials, a priority and a quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Unique name of the tenant, which is also sent to runners.
    pub name: Arc<str>,
    /// Credentials, each of which identifies a caller as one of this tenant.
    pub credentials: Vec<Credential>,
    /// Priority of the tenant's requests, which overrides the route's; 0 is the most urgent.
    /// `None` to use the route's.
    pub priority: Option<u8>,
    /// Limit on the tenant's requests; `None` for unlimited.
    pub quota: Option<Quota>,
    /// Regions in which the tenant's requests may be served; empty for all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

/// Index of a configuration's tenants by credential and by name.
#[derive(Debug, Default)]
pub(crate) struct TenantTable {
    by_credential: HashMap<Credential, Arc<Tenant>>,
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
    credential_conflicts: Vec<(Arc<str>, Arc<str>)>,
}

impl TenantTable {
    /// Builds the index, and collects the pairs of tenants that list the same credential.
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for tenant in &configuration.tenants {
            table.by_name.insert(tenant.name.clone(), tenant.clone());
            for credential in &tenant.credentials {
                let previous = table.by_credential.insert(*credential, tenant.clone());
                if let Some(previous) = previous.filter(|previous| previous.name != tenant.name) {
                    table
                        .credential_conflicts
                        .push((previous.name.clone(), tenant.name.clone()));
                }
            }
        }
        table
    }

    /// Returns the tenant to which `credential` belongs; `None` if it belongs to none.
    pub(crate) fn find(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        self.by_credential.get(credential)
    }

    /// Returns the pairs of tenants that list the same credential. The credential counts for
    /// the second tenant of each pair.
    pub(crate) fn credential_conflicts(&self) -> &[(Arc<str>, Arc<str>)] {
        &self.credential_conflicts
    }

    /// Returns the tenant with this name; `None` if the configuration has none.
    pub(crate) fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}

/// Returns whether `configuration` requires requests on `route` to carry a tenant's
/// credential.
pub(crate) fn requires_tenant(configuration: &Configuration, route: &Route) -> bool {
    !configuration.tenants.is_empty() && !route.public
}
