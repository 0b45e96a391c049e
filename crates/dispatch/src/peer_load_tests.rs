use std::time::{Duration, Instant};

use super::PeerLoads;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_sum_holds_what_each_source_said_last() {
    let mut loads = PeerLoads::default();
    let now = Instant::now();
    loads.update("a".into(), vec![(1, 2), (2, 1)], SECOND, now);
    loads.update("b".into(), vec![(1, 3)], SECOND, now);
    assert_eq!((loads.at(1), loads.at(2)), (5, 1));
    let touched = loads.update("a".into(), vec![(1, 1)], SECOND, now);
    assert_eq!((loads.at(1), loads.at(2)), (4, 0));
    assert!(touched.contains(&1) && touched.contains(&2));
}

#[test]
fn a_silent_source_is_believed_no_longer_than_it_asked_for() {
    let mut loads = PeerLoads::default();
    let now = Instant::now();
    loads.update("short".into(), vec![(1, 2)], SECOND, now);
    loads.update("long".into(), vec![(1, 3)], 9 * SECOND, now);
    let touched = loads.update("other".into(), Vec::new(), SECOND, now + 2 * SECOND);
    assert_eq!(loads.at(1), 3);
    assert_eq!(touched, vec![1]);
}
