use barleyspar_catalog::{RunnerState, WeightCopies};

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn entry(heartbeat: u64) -> Runner {
    Runner {
        id: "runner".into(),
        name: "runner".into(),
        born: None,
        service: "plain".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "zone".into(),
        software: Default::default(),
        slots: 8.into(),
        state: RunnerState::Available,
        remaining: None,
        warming: Duration::ZERO,
        heartbeat,
        models: Vec::new(),
        copies: WeightCopies::default(),
    }
}

#[test]
fn a_late_write_is_refuted_by_the_runners_next_one() {
    let start = Instant::now();
    let mut entries = ContradictingEntries::default();
    entries.record(entry(3), Revision::default(), &entry(9), start);
    entries.refute("runner");
    assert!(entries.take_confirmed(start + 60 * SECOND).is_empty());
}

#[test]
fn an_entry_that_stands_is_confirmed_however_often_it_is_written() {
    let start = Instant::now();
    let mut entries = ContradictingEntries::default();
    for second in 0..4 {
        let at = start + second * SECOND;
        let known = entry(if second == 0 { u64::MAX } else { 2 });
        assert_eq!(entries.latest_heartbeat(&known), u64::MAX);
        let heartbeat = 3 + u64::from(second);
        entries.record(entry(heartbeat), Revision::default(), &known, at);
    }
    assert!(entries.take_confirmed(start + 4 * SECOND).is_empty());
    let confirmed = entries.take_confirmed(start + 5 * SECOND);
    let heartbeats = confirmed.iter().map(|(entry, _)| entry.heartbeat);
    assert_eq!(heartbeats.collect::<Vec<u64>>(), [6]);
}
