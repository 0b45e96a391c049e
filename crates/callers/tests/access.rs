//! Whether a credential is served, unknown or undecidable, depending on the staleness of a
//! node's view of the configuration.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{AccessBounds, ConfigurationView, Denial, authorize};
use barleyspar_catalog::{
    Backend, Configuration, Credential, RequestKind, Route, RouteTable, Tenant,
};

const REVOCATION: Duration = Duration::from_secs(5);
const CHANGE: Duration = Duration::from_secs(3);
const BOUNDS: AccessBounds = AccessBounds {
    maximum_serving_staleness: Some(REVOCATION),
    maximum_denial_staleness: CHANGE,
};
const LENIENT: AccessBounds = AccessBounds {
    maximum_serving_staleness: None,
    maximum_denial_staleness: CHANGE,
};

fn route(public: bool) -> Route {
    Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout: None,
        target_latency: None,
        target_gap: None,
        stream_patience: None,
        priority: 1,
        backends: vec![Backend {
            service: "service".into(),
            weight: 1,
        }],
        maximum_attempts: 1,
        resumable: false,
        public,
        regions: Vec::new(),
    }
}

fn table(tenants: usize) -> RouteTable {
    let tenant = |number: usize| {
        Arc::new(Tenant {
            name: format!("tenant-{number}").into(),
            credentials: vec![Credential::of(format!("secret-{number}").as_bytes())],
            priority: None,
            quota: None,
            regions: Vec::new(),
        })
    };
    RouteTable::new(Arc::new(Configuration {
        tenants: (0..tenants).map(tenant).collect(),
        ..Configuration::default()
    }))
}

/// Returns the name of the tenant under which a request with `secret` is served by a node
/// whose view has the staleness `age`, or the reason for the denial.
fn decide(
    secret: Option<&str>,
    age: Option<Duration>,
    bounds: &AccessBounds,
) -> Result<Option<Arc<str>>, Denial> {
    let table = table(2);
    let view = ConfigurationView {
        table: &table,
        staleness: age,
    };
    let credential = secret.map(|secret| Credential::of(secret.as_bytes()));
    let tenant = authorize(view, &route(false), credential.as_ref(), bounds)?;
    Ok(tenant.map(|tenant| tenant.name.clone()))
}

#[test]
fn a_known_credential_is_served_until_the_view_is_too_stale() {
    let fresh = REVOCATION - Duration::from_millis(1);
    let name = Some("tenant-1".into());
    assert_eq!(decide(Some("secret-1"), Some(fresh), &BOUNDS), Ok(name));
    for stale in [Some(REVOCATION), Some(2 * REVOCATION), None] {
        let decision = decide(Some("secret-1"), stale, &BOUNDS);
        assert_eq!(decision, Err(Denial::OldKnowledge));
    }
    let name = Some("tenant-1".into());
    assert_eq!(decide(Some("secret-1"), None, &LENIENT), Ok(name));
}

#[test]
fn an_unknown_credential_is_rejected_only_by_a_fresh_view() {
    let fresh = CHANGE - Duration::from_millis(1);
    for bounds in [&BOUNDS, &LENIENT] {
        let denied = |age| decide(Some("secret-9"), age, bounds);
        assert_eq!(denied(Some(fresh)), Err(Denial::Unknown));
        assert_eq!(denied(Some(CHANGE)), Err(Denial::OldKnowledge));
        assert_eq!(denied(None), Err(Denial::OldKnowledge));
    }
    let none = decide(None, Some(fresh), &BOUNDS);
    assert_eq!(none, Err(Denial::Unknown));
}

#[test]
fn public_routes_and_sites_without_tenants_require_no_credential() {
    let table = table(2);
    let view = ConfigurationView {
        table: &table,
        staleness: None,
    };
    assert_eq!(authorize(view, &route(true), None, &BOUNDS), Ok(None));
    let empty = RouteTable::default();
    let view = ConfigurationView {
        table: &empty,
        staleness: None,
    };
    assert_eq!(authorize(view, &route(false), None, &BOUNDS), Ok(None));
}
