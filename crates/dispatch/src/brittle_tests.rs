use barleyspar_catalog::{ColdBounds, Runner, RunnerState, WeightCopies};

use super::*;
use crate::budget::BudgetLimits;
use crate::dispatcher::Site;

fn runner(number: usize, slots: u16) -> Arc<Runner> {
    let name: Arc<str> = format!("runner-{number:03}").into();
    Arc::new(Runner {
        id: name.clone(),
        name,
        born: None,
        service: "plain".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "zone".into(),
        software: Default::default(),
        slots: slots.into(),
        state: RunnerState::Available,
        remaining: None,
        warming: Duration::ZERO,
        heartbeat: 1,
        models: Vec::new(),
        copies: WeightCopies::default(),
    })
}

/// Number of slots of each of `runners` runners that is dealt to each of `nodes` nodes.
fn shares(nodes: usize, runners: usize, slots: u16) -> Vec<Vec<u32>> {
    let members: Vec<Arc<str>> = (0..nodes)
        .map(|node| format!("node-{node:03}").into())
        .collect();
    let share_of = |member: &Arc<str>| {
        let limits = BudgetLimits {
            ratio: 0.2,
            window: Duration::from_secs(10),
            extra: 50.0,
        };
        let site = Site {
            regions: Default::default(),
            cold_bounds: ColdBounds {
                overage: 1.0,
                tolerance: 0.0,
            },
        };
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(member.clone(), "zone".into(), limits, site, now);
        dispatcher.set_members(members.clone(), now);
        for number in 0..runners {
            dispatcher.update_runner(runner(number, slots), now);
        }
        let entries = dispatcher.runners.values();
        entries
            .map(|entry| dispatcher.brittle_share(entry))
            .collect()
    };
    members.iter().map(share_of).collect()
}

#[test]
fn nodes_together_never_have_more_slots_than_a_runner() {
    for (nodes, slots) in [(1, 6), (6, 6), (9, 6), (6, 64), (88, 64), (300, 64), (7, 1)] {
        let shares = shares(nodes, 4, slots);
        for runner in 0..4 {
            let dealt: u32 = shares.iter().map(|node| node[runner]).sum();
            assert!(
                dealt <= u32::from(slots),
                "{nodes} nodes: {dealt} of {slots}"
            );
            assert!(
                f64::from(dealt) >= f64::from(slots) * 0.8,
                "{nodes} nodes: {dealt}"
            );
        }
    }
}

#[test]
fn every_node_has_as_many_slots_as_any_other() {
    for (nodes, runners, slots) in [(9, 4, 6), (6, 3, 6), (30, 12, 64), (88, 4, 6)] {
        let shares = shares(nodes, runners, slots);
        let totals: Vec<u32> = shares.iter().map(|node| node.iter().sum()).collect();
        let (least, most) = (totals.iter().min(), totals.iter().max());
        let difference = most.copied().unwrap_or(0) - least.copied().unwrap_or(0);
        assert!(difference <= 1, "{nodes} nodes: {totals:?}");
    }
}

#[test]
fn an_older_statement_does_not_replace_a_newer_one() {
    let (service, now) = (Arc::from("plain"), Instant::now());
    let mut services = BrittleServices::default();
    assert!(!services.record(&service, None, now));
    assert!(services.record(&service, Some(3), now));
    let before = now
        .checked_sub(Duration::from_secs(1))
        .expect("the clock has run");
    assert!(!services.record(&service, None, before));
    assert!(services.contains("plain"));
    assert!(services.record(&service, None, now + Duration::from_secs(1)));
    assert!(!services.contains("plain"));
}
