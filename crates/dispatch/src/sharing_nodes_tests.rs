use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn nodes_that_left_a_moment_ago_keep_their_shares() {
    let start = Instant::now();
    let mut nodes = SharingNodes::default();
    assert_eq!(nodes.count(start), 1);
    nodes.set(6, start);
    nodes.set(3, start + 10 * SECOND);
    nodes.set(2, start + 20 * SECOND);
    assert_eq!(nodes.count(start + 69 * SECOND), 6);
    assert_eq!(nodes.count(start + 70 * SECOND), 3);
    assert_eq!(nodes.count(start + 80 * SECOND), 2);
}

#[test]
fn nodes_that_join_count_at_once() {
    let start = Instant::now();
    let mut nodes = SharingNodes::default();
    nodes.set(2, start);
    nodes.set(7, start + SECOND);
    assert_eq!(nodes.count(start + SECOND), 7);
}
