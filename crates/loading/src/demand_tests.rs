use std::time::{Duration, Instant};

use barleyspar_dispatch::DemandItem;

use super::{DemandBook, SPARE_KEYS};

const SECOND: Duration = Duration::from_secs(1);

fn item(model: &str, waiting: u32, in_flight: u32) -> DemandItem {
    DemandItem {
        service: "engine".into(),
        model: model.into(),
        adapter: None,
        waiting,
        priority: 1,
        in_flight,
        rate: 0.5,
    }
}

#[test]
fn demand_of_many_nodes_never_lapses_before_it_is_told_again() {
    // 295 nodes that tell their demand every 2 s, one after the other.
    let start = Instant::now();
    let mut book = DemandBook::default();
    let interval = 2 * SECOND;
    let step = interval / 295;
    for message in 0..295_u32 * 5 {
        let node = format!("node-{}", message % 295);
        let now = start + step * message;
        book.update(
            node.as_str().into(),
            vec![item("a", 0, 1)],
            3 * interval,
            now,
        );
        if message < 295 {
            continue;
        }
        let total: u32 = book.totals(now).values().map(|sum| sum.in_flight).sum();
        assert_eq!(total, 295);
    }
}

#[test]
fn a_silent_node_is_believed_no_longer_than_it_asked_for() {
    let now = Instant::now();
    let mut book = DemandBook::default();
    book.update("node".into(), vec![item("a", 1, 0)], SECOND, now);
    assert_eq!(book.totals(now + SECOND / 2).len(), 1);
    assert!(book.totals(now + 2 * SECOND).is_empty());
}

#[test]
fn models_that_callers_make_up_are_forgotten() {
    let now = Instant::now();
    let mut book = DemandBook::default();
    book.update("steady".into(), vec![item("a", 2, 0)], 60 * SECOND, now);
    for number in 0..SPARE_KEYS * 3 {
        let made_up = item(&format!("made-up-{number}"), 1, 0);
        book.update("node".into(), vec![made_up], SECOND, now);
    }
    assert!(book.keys.len() <= SPARE_KEYS + 8, "{}", book.keys.len());
    let totals = book.totals(now);
    assert_eq!(totals.len(), 2);
    let model = ("engine".into(), "a".into(), None);
    assert_eq!(totals[&model].waiting, 2);
    assert_eq!(
        book.idle_time(&"engine".into(), &"a".into(), None, now),
        Some(Duration::ZERO)
    );
}
