//! Tests of the table of stream origins.

use std::time::Instant;

use barleyspar_callers::Fingerprint;

use super::*;

fn stream(number: usize) -> StreamKey {
    let request = Fingerprint::of("host", "/", None, b"body");
    StreamKey::new(request, &number.to_string())
}

#[test]
fn an_id_that_another_caller_uses_too_is_another_stream() {
    let one = StreamKey::new(Fingerprint::of("host", "/", None, b"one"), "id");
    let other = StreamKey::new(Fingerprint::of("host", "/", None, b"other"), "id");
    assert_ne!(one, other);
}

#[test]
fn a_stream_that_begins_anew_under_its_id_has_the_new_origin() {
    let mut table = OriginTable::default();
    let now = Instant::now();
    table.record(stream(1), SoftwareVersion::new("v1"), now);
    table.record(stream(1), SoftwareVersion::new("v2"), now + KEPT_FOR / 2);
    table.record(
        stream(2),
        SoftwareVersion::new("v1"),
        now + KEPT_FOR * 5 / 4,
    );
    let known = table.origin_of(stream(1)).map(SoftwareVersion::as_str);
    assert_eq!(known, Some("v2"));
}

#[test]
fn the_table_is_bounded_by_number_and_age() {
    let mut table = OriginTable::default();
    let now = Instant::now();
    for number in 0..MAX_ORIGINS + 5 {
        table.record(stream(number), SoftwareVersion::new("v1"), now);
    }
    assert_eq!(table.origins.len(), MAX_ORIGINS);
    assert!(table.origin_of(stream(4)).is_none());
    assert!(table.origin_of(stream(5)).is_some());
    table.record(stream(0), SoftwareVersion::new("v1"), now + KEPT_FOR * 2);
    assert_eq!((table.origins.len(), table.by_age.len()), (1, 1));
}
