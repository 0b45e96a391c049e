//! Grants never allow more than was decided, whatever happens to runners.

use std::sync::Arc;

use barleyspar_control_log::{Change, ChangeId, ControlState, Entry};
use barleyspar_domain::{
    HolderState, Incarnation, ModelSpec, ObjectSpec, PolicySpec, RunnerKind, RunnerRecord,
    RunnerState, ServiceKind, ServiceSpec,
};
use barleyspar_placement::plan_grants;
use barleyspar_policy::Decision;
use quickcheck::{Gen, QuickCheck};

fn runner(number: u8, incarnation: u64, state: RunnerState) -> RunnerRecord {
    RunnerRecord {
        name: format!("r{number}").try_into().unwrap(),
        service: "s".try_into().unwrap(),
        kind: RunnerKind::Engine,
        zone: format!("z{}", number % 3).try_into().unwrap(),
        address: "10.1.0.1:9000".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        state,
        memory_bytes: 100,
    }
}

fn apply(state: &mut ControlState, changes: Vec<Change>) {
    let position = state.position() + 1;
    state.apply(&Entry {
        position,
        change: ChangeId(position, 0),
        author: "test".to_owned(),
        written_at: 0,
        changes,
    });
}

fn site() -> ControlState {
    let mut state = ControlState::default();
    let objects = vec![
        ObjectSpec::Service(ServiceSpec {
            name: "s".try_into().unwrap(),
            kind: ServiceKind::Model,
            repeatable_paths: Vec::new(),
        }),
        ObjectSpec::Policy(PolicySpec {
            name: "p".try_into().unwrap(),
            program: String::new(),
        }),
        ObjectSpec::Model(ModelSpec {
            name: "m".try_into().unwrap(),
            service: "s".try_into().unwrap(),
            version: "1".to_owned(),
            memory_bytes: 10,
            policy: "p".try_into().unwrap(),
        }),
    ];
    apply(
        &mut state,
        objects.into_iter().map(Change::PutObject).collect(),
    );
    state
}

fn decision(replicas: u32) -> Arc<Decision> {
    Arc::new(Decision {
        replicas,
        target: None,
        zones: Vec::new(),
        customers: Vec::new(),
        keep_alive_seconds: None,
        tail_weight: 0.5,
        prewarm: false,
    })
}

fn plan(state: &mut ControlState, replicas: u32) {
    let changes = plan_grants(state, &mut |_| Some(decision(replicas)));
    apply(state, changes);
}

/// Each step changes a runner or the decided number. Without confirmations the
/// holders never become more than the largest number decided so far, and the
/// holders that may load never more than the number decided now.
fn never_more_than_decided(steps: Vec<(u8, u8)>) -> bool {
    let mut state = site();
    let mut decided = 2;
    let mut largest = 2;
    for (index, (what, number)) in steps.into_iter().enumerate() {
        let runner_number = number % 6;
        let incarnation = index as u64 + 1;
        let change = match what % 4 {
            0 => Change::PutRunner(runner(runner_number, incarnation, RunnerState::Live)),
            1 => Change::PutRunner(runner(runner_number, incarnation, RunnerState::Leaving)),
            2 => Change::RemoveRunner(format!("r{runner_number}").try_into().unwrap()),
            _ => {
                decided = u32::from(number % 5);
                largest = largest.max(decided);
                Change::PutRunner(runner(0, 1, RunnerState::Live))
            }
        };
        apply(&mut state, vec![change]);
        plan(&mut state, decided);
        let model = "m".try_into().unwrap();
        let grant = &state.grants()[&model];
        let granted = grant
            .holders
            .iter()
            .filter(|h| h.state == HolderState::Granted);
        if grant.holders.len() as u32 > largest || granted.count() as u32 > decided {
            return false;
        }
    }
    true
}

#[test]
fn holders_never_exceed_what_was_decided() {
    let random = Gen::from_size_and_seed(60, 5);
    QuickCheck::new()
        .rng(random)
        .tests(300)
        .quickcheck(never_more_than_decided as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn replicas_are_spread_over_zones_and_a_lowered_number_revokes() {
    let mut state = site();
    let runners = (0..6).map(|n| Change::PutRunner(runner(n, 1, RunnerState::Live)));
    apply(&mut state, runners.collect());
    plan(&mut state, 3);
    let model = "m".try_into().unwrap();
    let zones: std::collections::BTreeSet<_> = state.grants()[&model]
        .holders
        .iter()
        .map(|holder| state.runners()[&holder.runner].zone.clone())
        .collect();
    assert_eq!(zones.len(), 3);
    plan(&mut state, 1);
    let holders = &state.grants()[&model].holders;
    let revoking = holders.iter().filter(|h| h.state == HolderState::Revoking);
    assert_eq!((holders.len(), revoking.count()), (3, 2));
}
