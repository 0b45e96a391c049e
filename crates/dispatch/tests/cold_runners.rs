//! Runners that can take few requests because they have just started.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{ColdSpec, LoadedModel, Runner, Service};
use barleyspar_dispatch::{Acquired, BudgetLimits, Dispatcher};
use common::{SECOND, configuration, query, runner, site};

const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests a second that a cold runner can take, by its service.
const PER_SECOND: f64 = 11.0;
/// Most requests that may arrive in any second: `PER_SECOND` with the site's overage and
/// tolerance.
const ALLOWED: usize = 21;
/// Time between two requests that each node tries to send.
const STEP: Duration = Duration::from_millis(20);

/// A runner that holds the model.
fn holder(id: &str, zone: &str) -> Runner {
    Runner {
        id: id.into(),
        zone: zone.into(),
        software: Default::default(),
        slots: 10_000.into(),
        models: vec![LoadedModel {
            model: "cold".into(),
            version: 1,
            adapters: Vec::new(),
        }],
        ..runner()
    }
}

fn dispatcher(name: &str, members: &[Arc<str>], now: Instant) -> Dispatcher {
    let mut configuration = configuration();
    let services = configuration.services.values_mut();
    for service in services {
        let cold = Some(ColdSpec {
            time: COLD_TIME,
            per_second: PER_SECOND,
        });
        *service = Arc::new(Service {
            cold,
            ..Service::clone(service)
        });
    }
    let limits = BudgetLimits {
        ratio: 0.2,
        window: 10 * SECOND,
        extra: 10.0,
    };
    let mut dispatcher = Dispatcher::new(name.into(), "zone".into(), limits, site(), now);
    dispatcher.set_configuration(Arc::new(configuration));
    dispatcher.set_members(members.to_vec(), now);
    dispatcher
}

fn fleet(count: usize, now: Instant) -> Vec<Dispatcher> {
    let names: Vec<Arc<str>> = (0..count)
        .map(|number| format!("node-{number}").into())
        .collect();
    names
        .iter()
        .map(|name| dispatcher(name, &names, now))
        .collect()
}

/// Returns the times at which the nodes send, if each tries at every `STEP` for `time`
/// from `now` on.
fn send_times(fleet: &mut [Dispatcher], now: Instant, time: Duration) -> Vec<Instant> {
    let mut send_times = Vec::new();
    let mut at = now;
    while at < now + time {
        for node in &mut *fleet {
            let mut query = query(at, 8 * SECOND);
            query.may_wait = false;
            if let Acquired::Granted(_) = node.acquire(query, at) {
                send_times.push(at);
            }
        }
        at += STEP;
    }
    send_times
}

/// The most sends within any second.
fn most_sends_in_a_second(send_times: &[Instant]) -> usize {
    let count_from = |start: &Instant| {
        let within = |at: &&Instant| **at >= *start && **at < *start + SECOND;
        send_times.iter().filter(within).count()
    };
    send_times.iter().map(count_from).max().unwrap_or(0)
}

#[test]
fn requests_to_a_cold_runner_keep_the_limit_for_any_number_of_nodes() {
    for count in [6, 300] {
        let now = Instant::now();
        let mut fleet = fleet(count, now);
        for node in &mut fleet {
            let mut runner = holder("runner-1", "zone");
            runner.warming = COLD_TIME;
            node.update_runner(runner, now);
        }
        let send_times = send_times(&mut fleet, now, COLD_TIME);
        let most = most_sends_in_a_second(&send_times);
        assert!(most <= ALLOWED, "{count} nodes: {most} in a second");
        assert!(
            !send_times.is_empty(),
            "{count} nodes send the runner nothing"
        );
    }
}

#[test]
fn a_warm_runner_gets_all_requests() {
    let now = Instant::now();
    let mut fleet = fleet(6, now);
    for node in &mut fleet {
        let mut runner = holder("runner-1", "zone");
        runner.warming = COLD_TIME;
        node.update_runner(runner, now);
    }
    let warm_at = now + COLD_TIME;
    let send_times = send_times(&mut fleet, warm_at, SECOND);
    assert!(most_sends_in_a_second(&send_times) > 10 * ALLOWED);
}

/// The runners of a zone may have gone cold just before its evacuation ends, and show
/// this only at their next heartbeat.
#[test]
fn runners_are_assumed_cold_after_an_evacuation() {
    for count in [6, 300] {
        let now = Instant::now();
        let mut fleet = fleet(count, now);
        for node in &mut fleet {
            node.update_runner(holder("runner-1", "zone"), now);
            node.set_evacuated_zones(BTreeMap::from([("zone".into(), now)]), now);
        }
        assert!(send_times(&mut fleet, now, SECOND).is_empty());
        let evacuation_end = now + SECOND;
        for node in &mut fleet {
            node.set_evacuated_zones(BTreeMap::new(), evacuation_end);
        }
        let send_times = send_times(&mut fleet, evacuation_end, COLD_TIME);
        let most = most_sends_in_a_second(&send_times);
        assert!(most <= ALLOWED, "{count} nodes: {most} in a second");
        assert!(!send_times.is_empty());
    }
}

#[test]
fn an_evacuated_zone_gets_nothing_and_granted_attempts_see_it() {
    let now = Instant::now();
    let mut node = dispatcher("node", &["node".into()], now);
    node.update_runner(holder("runner-1", "zone"), now);
    node.update_runner(holder("runner-2", "other"), now);
    let mut granted_before = Vec::new();
    for _ in 0..20 {
        if let Acquired::Granted(grant) = node.acquire(query(now, 8 * SECOND), now) {
            granted_before.push(grant);
        }
    }
    node.set_evacuated_zones(BTreeMap::from([("zone".into(), now)]), now);
    for grant in &granted_before {
        let accepts_work = grant.accepts_work.is_open(now);
        assert_eq!(accepts_work, &*grant.runner.zone == "other");
    }
    for _ in 0..20 {
        let Acquired::Granted(grant) = node.acquire(query(now, 8 * SECOND), now) else {
            panic!("the other zone serves");
        };
        assert_eq!(&*grant.runner.zone, "other");
    }
    // A runner that starts in the zone during the evacuation gets no requests either, even when
    // no runner outside the zone is left.
    node.update_runner(holder("runner-3", "zone"), now);
    node.remove_runner("runner-2", now);
    let acquired = node.acquire(query(now, 8 * SECOND), now);
    assert!(!matches!(acquired, Acquired::Granted(_)), "{acquired:?}");
}

/// Before the deadline of an evacuation, models loaded only in the evacuated zone are
/// served there while other runners load them; all other requests go elsewhere at once.
#[test]
fn an_evacuated_zone_serves_what_no_other_can_until_the_deadline() {
    let now = Instant::now();
    let mut node = dispatcher("node", &["node".into()], now);
    node.update_runner(holder("runner-1", "zone"), now);
    let deadline = now + SECOND;
    node.set_evacuated_zones(BTreeMap::from([("zone".into(), deadline)]), now);
    let zone = |acquired: Acquired| match acquired {
        Acquired::Granted(grant) => Some(grant.runner.zone.to_string()),
        _ => None,
    };
    let acquire_zone = |node: &mut Dispatcher, at| zone(node.acquire(query(at, 8 * SECOND), at));
    assert_eq!(acquire_zone(&mut node, now).as_deref(), Some("zone"));
    node.update_runner(holder("runner-2", "other"), now);
    assert_eq!(acquire_zone(&mut node, now).as_deref(), Some("other"));
    node.remove_runner("runner-2", now);
    assert_eq!(acquire_zone(&mut node, now).as_deref(), Some("zone"));
    assert_eq!(acquire_zone(&mut node, deadline), None);
}

#[test]
fn an_attempt_granted_before_the_deadline_of_an_evacuation_is_not_sent_after_it() {
    let now = Instant::now();
    let mut node = dispatcher("node", &["node".into()], now);
    node.update_runner(holder("runner-1", "zone"), now);
    let deadline = now + SECOND;
    let mut grant = |evacuates: bool| {
        let Acquired::Granted(grant) = node.acquire(query(now, 8 * SECOND), now) else {
            panic!("the runner holds the model");
        };
        if evacuates {
            node.set_evacuated_zones(BTreeMap::from([("zone".into(), deadline)]), now);
        }
        grant
    };
    let (before, during) = (grant(true), grant(false));
    for grant in [&before, &during] {
        assert!(grant.accepts_work.is_open(now));
        assert!(!grant.accepts_work.is_open(deadline));
    }
    node.set_evacuated_zones(BTreeMap::new(), now);
    assert!(before.accepts_work.is_open(deadline));
}
