use std::time::{Duration, Instant};

use super::PeerLoads;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_sum_counts_the_last_report_of_each_node() {
    let mut loads = PeerLoads::default();
    let now = Instant::now();
    loads.update("a".into(), vec![(1, 2), (2, 1)], SECOND, now);
    loads.update("b".into(), vec![(1, 3)], SECOND, now);
    assert_eq!((loads.in_flight_at(1), loads.in_flight_at(2)), (5, 1));
    let changed = loads.update("a".into(), vec![(1, 1)], SECOND, now);
    assert_eq!((loads.in_flight_at(1), loads.in_flight_at(2)), (4, 0));
    assert!(changed.contains(&1) && changed.contains(&2));
}

#[test]
fn a_report_expires_after_its_validity() {
    let mut loads = PeerLoads::default();
    let now = Instant::now();
    loads.update("short".into(), vec![(1, 2)], SECOND, now);
    loads.update("long".into(), vec![(1, 3)], 9 * SECOND, now);
    let changed = loads.update("other".into(), Vec::new(), SECOND, now + 2 * SECOND);
    assert_eq!(loads.in_flight_at(1), 3);
    assert_eq!(changed, vec![1]);
}
