use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;

use super::ColdStarts;

const SECOND: Duration = Duration::from_secs(1);
const LOAD: Duration = Duration::from_secs(2);

fn service() -> Arc<str> {
    "engine".into()
}

fn model(name: &str) -> ModelReference {
    ModelReference {
        model: name.into(),
        adapter: None,
    }
}

#[test]
fn a_load_under_way_takes_the_rest_of_its_time() {
    let (mut starts, now) = (ColdStarts::default(), Instant::now());
    starts.record_begin(&service(), &model("a"), now);
    let later = now + SECOND;
    let remaining = starts.remaining(&service(), &model("a"), LOAD, later);
    assert_eq!(remaining, SECOND);
}

#[test]
fn the_duration_of_recent_cold_starts_is_expected_again() {
    let (mut starts, now) = (ColdStarts::default(), Instant::now());
    starts.record_begin(&service(), &model("a"), now);
    let ended = now + 6 * SECOND;
    starts.record_end(&service(), |wanted| *wanted == model("a"), ended);
    let remaining = starts.remaining(&service(), &model("b"), LOAD, ended);
    assert_eq!(remaining, 6 * SECOND);
    let long_after = ended + 60 * SECOND;
    let remaining = starts.remaining(&service(), &model("b"), LOAD, long_after);
    assert_eq!(remaining, LOAD);
}

#[test]
fn an_overdue_cold_start_takes_a_fraction_of_its_age() {
    let (mut starts, now) = (ColdStarts::default(), Instant::now());
    starts.record_begin(&service(), &model("a"), now);
    let later = now + 10 * SECOND;
    let remaining = starts.remaining(&service(), &model("a"), LOAD, later);
    assert_eq!(remaining, 5 * SECOND);
}
