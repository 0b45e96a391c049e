//! Who calls: tenants, the credentials by which they are known, and how much
//! they may ask for.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Configuration, Route};

/// A caller's secret, kept as its SHA-256 digest only.
///
/// Looking one up compares digests. How long that takes tells how far two
/// digests agree, from which nothing about a secret follows.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credential([u8; 32]);

impl Credential {
    /// The credential of the caller that sent `secret`.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Credential(..)")
    }
}

/// What a tenant's limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the tokens that it names, or `unnamed` if it names none.
    Tokens {
        /// Tokens of a request that names none.
        unnamed: u64,
    },
}

/// How much all nodes together may take from one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_second: f64,
    /// Units beyond that at once.
    pub burst: f64,
}

/// A group of callers that share credentials, a rank and a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, as runners are told it.
    pub name: Arc<str>,
    /// The credentials of its callers.
    pub credentials: Vec<Credential>,
    /// Its rank, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its limit, if it has one.
    pub quota: Option<Quota>,
    /// Regions in which its requests may be served; empty means all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

/// Tenants of one configuration, by credential and by name.
#[derive(Debug, Default)]
pub(crate) struct TenantTable {
    by_credential: HashMap<Credential, Arc<Tenant>>,
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
    shared_by: Vec<(Arc<str>, Arc<str>)>,
}

impl TenantTable {
    /// Builds the table of `configuration`.
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for tenant in &configuration.tenants {
            table.by_name.insert(tenant.name.clone(), tenant.clone());
            for credential in &tenant.credentials {
                let former = table.by_credential.insert(*credential, tenant.clone());
                if let Some(former) = former.filter(|former| former.name != tenant.name) {
                    table
                        .shared_by
                        .push((former.name.clone(), tenant.name.clone()));
                }
            }
        }
        table
    }

    /// The tenant that `credential` belongs to.
    pub(crate) fn find(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        self.by_credential.get(credential)
    }

    /// Pairs of tenants that hold the same credential; the latter has it.
    pub(crate) fn shared_by(&self) -> &[(Arc<str>, Arc<str>)] {
        &self.shared_by
    }

    /// The tenant of this name.
    pub(crate) fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}

/// Whether `configuration` has a request on `route` name its tenant.
pub(crate) fn asks_for_tenant(configuration: &Configuration, route: &Route) -> bool {
    !configuration.tenants.is_empty() && !route.public
}
