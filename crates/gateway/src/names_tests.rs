use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{LoadedModel, Runner, RunnerState, WeightCopies};

use super::{Names, UNUSED_ALLOWANCE};

fn runner(number: usize, model: &str) -> Runner {
    let name: Arc<str> = format!("runner-{number}").into();
    Runner {
        id: name.clone(),
        name,
        born: None,
        service: "service".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "zone".into(),
        software: Default::default(),
        slots: 8.into(),
        state: RunnerState::Available,
        remaining: None,
        warming: Duration::ZERO,
        heartbeat: 1,
        models: vec![LoadedModel {
            model: model.into(),
            version: 1,
            adapters: Vec::new(),
        }],
        copies: WeightCopies::default(),
    }
}

#[test]
fn runners_share_their_names() {
    let mut names = Names::default();
    let (mut first, mut second) = (runner(1, "model"), runner(2, "model"));
    names.intern_names(&mut first);
    names.intern_names(&mut second);
    assert!(Arc::ptr_eq(&first.service, &second.service));
    assert!(Arc::ptr_eq(&first.models[0].model, &second.models[0].model));
    assert_eq!(second, runner(2, "model"));
}

#[test]
fn names_that_nobody_uses_are_forgotten() {
    let mut names = Names::default();
    for number in 0..10 * UNUSED_ALLOWANCE {
        names.intern_names(&mut runner(number, &format!("model-{number}")));
    }
    assert!(
        names.interned.len() < 2 * UNUSED_ALLOWANCE,
        "{}",
        names.interned.len()
    );
}
