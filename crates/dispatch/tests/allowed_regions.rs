//! Requests that may be served in some regions only.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{AllowedRegions, RequestKind, Route, Tenant};
use barleyspar_dispatch::{Acquired, RefusalReason};
use common::{SECOND, dispatcher_with, query, runner};

fn route(regions: &[&str]) -> Route {
    Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Streaming,
        timeout: None,
        target_latency: None,
        target_gap: None,
        stream_patience: None,
        priority: 1,
        backends: Vec::new(),
        maximum_attempts: 1,
        resumable: false,
        public: false,
        regions: regions.iter().map(|region| Arc::from(*region)).collect(),
    }
}

fn tenant(regions: &[&str]) -> Tenant {
    Tenant {
        name: "tenant".into(),
        credentials: Vec::new(),
        priority: None,
        quota: None,
        regions: regions.iter().map(|region| Arc::from(*region)).collect(),
    }
}

#[test]
fn regions_of_route_and_tenant_both_apply() {
    let region: Arc<str> = "region".into();
    let allowed = |of_route: &[&str], of_tenant: &[&str]| {
        AllowedRegions::for_request(&route(of_route), Some(&tenant(of_tenant)))
            .includes(Some(&region))
    };
    assert!(allowed(&[], &[]));
    assert!(allowed(&["region"], &[]));
    assert!(allowed(&["region", "else"], &["region"]));
    assert!(!allowed(&["else"], &[]));
    assert!(!allowed(&[], &["else"]));
    assert!(!allowed(&["region"], &["else"]));
    assert!(!AllowedRegions::for_request(&route(&["region"]), None).includes(None));
}

#[test]
fn a_request_is_refused_at_once_without_runners_in_allowed_regions() {
    let now = Instant::now();
    let mut runner_with_copy = runner();
    runner_with_copy.copies.memory.push("cold".into());
    let mut dispatcher = dispatcher_with(runner_with_copy, now);
    let mut restricted = query(now, 8 * SECOND);
    restricted.allowed_regions = AllowedRegions::for_request(&route(&["else"]), None);
    let acquired = dispatcher.acquire(restricted, now);
    let waiting_time = Duration::from_millis(200);
    match acquired {
        Acquired::Refused(refusal) => assert_eq!(refusal.reason, RefusalReason::NoRunner),
        Acquired::Waiting(_) => {
            let answers = dispatcher.poll(now + waiting_time);
            assert!(
                matches!(&answers[..], [(_, Err(_))]),
                "the request waits though no runner can serve it"
            );
        }
        Acquired::Granted(_) => panic!("the only runner lies in another region"),
    }
}
