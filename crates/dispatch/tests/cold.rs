//! Runners that bear little because they have just started.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{ColdSpec, HeldModel, Runner, Service};
use barleyspar_dispatch::{Acquired, BudgetLimits, Dispatcher};
use common::{SECOND, configuration, query, runner, site};

const COLD_TIME: Duration = Duration::from_secs(3);
/// What the runner bears a second, by its service.
const PER_SECOND: f64 = 11.0;
/// The most that may arrive in any second: the site's overage and tolerance added.
const ALLOWED: usize = 21;
/// Pause between two requests that each node tries to send.
const STEP: Duration = Duration::from_millis(20);

/// A runner that holds the model.
fn holder(id: &str, zone: &str) -> Runner {
    Runner {
        id: id.into(),
        zone: zone.into(),
        slots: 10_000,
        models: vec![HeldModel {
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
    dispatcher.set_members(members.to_vec());
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

/// When the nodes send, if each tries again and again for `time` from `now` on.
fn sends(fleet: &mut [Dispatcher], now: Instant, time: Duration) -> Vec<Instant> {
    let mut sends = Vec::new();
    let mut at = now;
    while at < now + time {
        for node in &mut *fleet {
            let mut query = query(at, SECOND, 8 * SECOND);
            query.may_wait = false;
            if let Acquired::Granted(_) = node.acquire(query, at) {
                sends.push(at);
            }
        }
        at += STEP;
    }
    sends
}

/// The most sends in any second.
fn most_in_a_second(sends: &[Instant]) -> usize {
    let from = |start: &Instant| {
        let within = |at: &&Instant| **at >= *start && **at < *start + SECOND;
        sends.iter().filter(within).count()
    };
    sends.iter().map(from).max().unwrap_or(0)
}

#[test]
fn a_cold_runner_gets_what_it_bears_however_many_nodes_want_it() {
    for count in [6, 300] {
        let now = Instant::now();
        let mut fleet = fleet(count, now);
        for node in &mut fleet {
            let mut runner = holder("runner-1", "zone");
            runner.warming = COLD_TIME;
            node.update_runner(runner, now);
        }
        let sends = sends(&mut fleet, now, COLD_TIME);
        let most = most_in_a_second(&sends);
        assert!(most <= ALLOWED, "{count} nodes: {most} in a second");
        assert!(!sends.is_empty(), "{count} nodes leave it idle");
    }
}

#[test]
fn a_warm_runner_gets_all_again() {
    let now = Instant::now();
    let mut fleet = fleet(6, now);
    for node in &mut fleet {
        let mut runner = holder("runner-1", "zone");
        runner.warming = COLD_TIME;
        node.update_runner(runner, now);
    }
    let warm = now + COLD_TIME;
    let sends = sends(&mut fleet, warm, SECOND);
    assert!(most_in_a_second(&sends) > 10 * ALLOWED);
}

/// The runners of a zone may have gone cold just before its evacuation is taken
/// back, and say so only at their next heartbeat.
#[test]
fn runners_of_a_zone_that_is_taken_back_are_thought_cold() {
    for count in [6, 300] {
        let now = Instant::now();
        let mut fleet = fleet(count, now);
        for node in &mut fleet {
            node.update_runner(holder("runner-1", "zone"), now);
            node.set_evacuated(BTreeMap::from([("zone".into(), now)]), now);
        }
        assert!(sends(&mut fleet, now, SECOND).is_empty());
        let back = now + SECOND;
        for node in &mut fleet {
            node.set_evacuated(BTreeMap::new(), back);
        }
        let sends = sends(&mut fleet, back, COLD_TIME);
        let most = most_in_a_second(&sends);
        assert!(most <= ALLOWED, "{count} nodes: {most} in a second");
        assert!(!sends.is_empty());
    }
}

#[test]
fn nothing_goes_to_an_evacuated_zone_and_an_attempt_on_its_way_is_told() {
    let now = Instant::now();
    let mut node = dispatcher("node", &["node".into()], now);
    node.update_runner(holder("runner-1", "zone"), now);
    node.update_runner(holder("runner-2", "other"), now);
    let mut on_their_way = Vec::new();
    for _ in 0..20 {
        if let Acquired::Granted(grant) = node.acquire(query(now, SECOND, 8 * SECOND), now) {
            on_their_way.push(grant);
        }
    }
    node.set_evacuated(BTreeMap::from([("zone".into(), now)]), now);
    for grant in &on_their_way {
        let open = grant.open.load(std::sync::atomic::Ordering::Relaxed);
        assert_eq!(open, &*grant.runner.zone == "other");
    }
    for _ in 0..20 {
        let Acquired::Granted(grant) = node.acquire(query(now, SECOND, 8 * SECOND), now) else {
            panic!("the other zone serves");
        };
        assert_eq!(&*grant.runner.zone, "other");
    }
    // One that starts there meanwhile gets nothing either.
    node.update_runner(holder("runner-3", "zone"), now);
    node.remove_runner("runner-2");
    let acquired = node.acquire(query(now, SECOND, 8 * SECOND), now);
    assert!(!matches!(acquired, Acquired::Granted(_)), "{acquired:?}");
}

/// Before an evacuation has to be in force, what stands only in its zone is served
/// there while others load it; everything else goes elsewhere at once.
#[test]
fn an_evacuated_zone_serves_what_no_other_can_until_the_last_moment() {
    let now = Instant::now();
    let mut node = dispatcher("node", &["node".into()], now);
    node.update_runner(holder("runner-1", "zone"), now);
    let last = now + SECOND;
    node.set_evacuated(BTreeMap::from([("zone".into(), last)]), now);
    let zone = |acquired: Acquired| match acquired {
        Acquired::Granted(grant) => Some(grant.runner.zone.to_string()),
        _ => None,
    };
    let ask = |node: &mut Dispatcher, at| zone(node.acquire(query(at, SECOND, 8 * SECOND), at));
    assert_eq!(ask(&mut node, now).as_deref(), Some("zone"));
    node.update_runner(holder("runner-2", "other"), now);
    assert_eq!(ask(&mut node, now).as_deref(), Some("other"));
    node.remove_runner("runner-2");
    assert_eq!(ask(&mut node, now).as_deref(), Some("zone"));
    assert_eq!(ask(&mut node, last), None);
}
