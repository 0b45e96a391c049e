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
fn a_load_under_way_takes_what_is_left_of_it() {
    let (mut starts, now) = (ColdStarts::default(), Instant::now());
    starts.begin(&service(), &model("a"), now);
    let later = now + SECOND;
    let remaining = starts.remaining(&service(), &model("a"), LOAD, later);
    assert_eq!(remaining, SECOND);
}

#[test]
fn what_cold_starts_took_lately_is_expected_again() {
    let (mut starts, now) = (ColdStarts::default(), Instant::now());
    starts.begin(&service(), &model("a"), now);
    let ended = now + 6 * SECOND;
    starts.end(&service(), |wanted| *wanted == model("a"), ended);
    let remaining = starts.remaining(&service(), &model("b"), LOAD, ended);
    assert_eq!(remaining, 6 * SECOND);
    let long_after = ended + 60 * SECOND;
    let remaining = starts.remaining(&service(), &model("b"), LOAD, long_after);
    assert_eq!(remaining, LOAD);
}

#[test]
fn a_cold_start_that_is_overdue_takes_a_part_of_its_age_still() {
    let (mut starts, now) = (ColdStarts::default(), Instant::now());
    starts.begin(&service(), &model("a"), now);
    let later = now + 10 * SECOND;
    let remaining = starts.remaining(&service(), &model("a"), LOAD, later);
    assert_eq!(remaining, 5 * SECOND);
}
