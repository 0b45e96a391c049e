//! Measures the processor time of a request's admission: lookup of its credential and
//! tenant, and the tenant's quota at the node and at the limit owner.
//!
//! `cargo bench -p barleyspar-callers` prints a line for each number of tenants: tenants,
//! credentials, microseconds per request. The target is under 20 microseconds, whatever the
//! number of tenants.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_callers::{
    AccessBounds, ConfigurationView, QuotaLedger, QuotaLimit, QuotaOwner, QuotaRequest, Subject,
    VisibleNodes, authorize,
};
use barleyspar_catalog::{
    Configuration, Credential, Quota, QuotaBounds, QuotaUnit, RequestKind, Route, RouteTable,
    Tenant,
};

const SIZES: [usize; 3] = [16, 500, 5000];
const CREDENTIALS: usize = 2;
const REQUESTS: usize = 200_000;
const NODES: usize = 410;
const QUOTA: Quota = Quota {
    unit: QuotaUnit::Tokens { unnamed: 200 },
    per_second: 1e12,
    burst: 1e12,
};
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    tolerance: 11_000.0,
};

fn secret(tenant: usize, number: usize) -> String {
    format!("secret-{tenant}-{number}")
}

fn tenant(number: usize) -> Arc<Tenant> {
    let credential = |key| Credential::of(secret(number, key).as_bytes());
    Arc::new(Tenant {
        name: format!("tenant-{number}").into(),
        credentials: (0..CREDENTIALS).map(credential).collect(),
        priority: None,
        quota: Some(QUOTA),
        regions: Vec::new(),
    })
}

fn route() -> Route {
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
        backends: Vec::new(),
        maximum_attempts: 1,
        resumable: false,
        public: false,
        regions: Vec::new(),
    }
}

fn main() {
    let route = route();
    let bounds = AccessBounds {
        maximum_serving_staleness: Some(Duration::from_secs(5)),
        maximum_denial_staleness: Duration::from_secs(3),
    };
    for tenants in SIZES {
        let table = RouteTable::new(Arc::new(Configuration {
            tenants: (0..tenants).map(tenant).collect(),
            ..Configuration::default()
        }));
        let secrets: Vec<String> = (0..tenants).map(|number| secret(number, 1)).collect();
        let nodes: Vec<Arc<str>> = (0..NODES)
            .map(|node| format!("node-{node}").into())
            .collect();
        let owner_name: Arc<str> = "owner".into();
        let start = Instant::now();
        let mut ledger = QuotaLedger::new(BOUNDS.window);
        let mut owner = QuotaOwner::new(start, Duration::from_secs(2));
        let share = VisibleNodes {
            visible: NODES,
            total: NODES,
        };
        for number in 0..REQUESTS {
            let now = Instant::now();
            let credential = Credential::of(secrets[number % tenants].as_bytes());
            let view = ConfigurationView {
                table: &table,
                staleness: Some(Duration::ZERO),
            };
            let tenant = authorize(view, &route, Some(&credential), &bounds)
                .expect("the credential is known")
                .expect("the route requires a tenant");
            let limit = QuotaLimit::new(&QUOTA, &BOUNDS);
            let subject = Subject::Tenant(tenant.name.clone());
            let request = QuotaRequest {
                number: number as u64,
                node: nodes[number % NODES].clone(),
                subject: subject.clone(),
                named: None,
                cost: 1600,
                charge_once_key: None,
                other_owner_asked_ms: ledger.record_question(&subject, &owner_name, now),
            };
            black_box(owner.answer(&request, limit, share, now));
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
        println!(
            "{tenants} tenants, {} credentials: {micros:.2} us",
            tenants * CREDENTIALS
        );
    }
}
