//! Tests of the limit on bytes that belong to no body.

use super::*;

/// Reads `total` bytes in parts of `part`, and takes `body` of each. Returns the number of bytes
/// that were accepted.
fn accepted_of(total: u64, part: u64, body: u64) -> u64 {
    let mut limit = ExcessLimit::default();
    limit.expect_answer();
    for position in (0..total).step_by(part as usize) {
        limit.record_read(part);
        if limit.is_exceeded() {
            return position;
        }
        limit.record_body(body);
    }
    total
}

#[test]
fn bytes_of_no_body_are_not_accepted_without_end() {
    let accepted = accepted_of(10 * MAX_EXCESS_BYTES, 4096, 0);
    assert_eq!(accepted, MAX_EXCESS_BYTES);
}

#[test]
fn bytes_of_no_body_between_small_pieces_of_one_are_not_accepted_without_end() {
    let accepted = accepted_of(100 * MAX_EXCESS_BYTES, 4096, 1);
    assert!(accepted < 2 * MAX_EXCESS_BYTES, "{accepted}");
}

#[test]
fn a_long_body_is_accepted_in_chunks_of_single_bytes() {
    let total = 100 * MAX_EXCESS_BYTES / 6 * 6;
    assert_eq!(accepted_of(total, 6, 1), total);
}

#[test]
fn a_long_body_does_not_earn_more_bytes_of_no_body_than_a_short_one() {
    let mut limit = ExcessLimit::default();
    limit.expect_answer();
    for _ in 0..1000 {
        limit.record_read(MAX_EXCESS_BYTES / 4);
        limit.record_body(MAX_EXCESS_BYTES / 4);
    }
    limit.record_read(MAX_EXCESS_BYTES);
    assert!(!limit.is_exceeded());
    limit.record_read(1);
    assert!(limit.is_exceeded());
}
