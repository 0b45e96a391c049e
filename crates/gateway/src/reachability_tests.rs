use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn id(number: usize) -> Arc<str> {
    format!("runner-{number}").into()
}

/// A node that only peers connected to the first `runners` runners, at `now`.
fn tunnelled(runners: usize, now: Instant) -> Reachability {
    let mut state = Reachability::default();
    for number in 0..runners {
        state.record_failed(&id(number), now);
        state.record_tunnel(&id(number), now);
    }
    state
}

#[tokio::test]
async fn one_broken_link_makes_no_partition() {
    let now = Instant::now();
    let mut state = tunnelled(1, now);
    assert!(!state.is_partitioned(now));
    assert_eq!(state.path(&id(0), now), Path::Tunnel { probe: false });
    assert_eq!(state.path(&id(1), now), Path::Direct);
}

#[tokio::test]
async fn a_partitioned_node_asks_peers_first_for_runners_that_it_has_not_tried() {
    let now = Instant::now();
    let mut state = tunnelled(2, now);
    assert!(state.is_partitioned(now));
    assert_eq!(state.path(&id(7), now), Path::Tunnel { probe: true });
}

#[tokio::test]
async fn a_node_that_reaches_other_runners_itself_is_not_partitioned() {
    let now = Instant::now();
    let mut state = tunnelled(3, now);
    state.record_connected("other", now + SECOND);
    assert!(!state.is_partitioned(now + SECOND));
    assert_eq!(state.path(&id(7), now + SECOND), Path::Direct);
}

#[tokio::test]
async fn the_end_of_a_partition_is_noticed_by_probes() {
    let now = Instant::now();
    let mut state = tunnelled(3, now);
    let later = now + PROBE_INTERVAL;
    assert_eq!(state.path(&id(0), later), Path::Tunnel { probe: true });
    assert_eq!(state.path(&id(0), later), Path::Tunnel { probe: false });
    state.record_connected(&id(0), later);
    assert_eq!(state.path(&id(0), later), Path::Direct);
    let soon = later + PROBE_INTERVAL_AFTER_CONTACT;
    assert_eq!(state.path(&id(1), soon), Path::Tunnel { probe: true });
}

#[tokio::test]
async fn peers_are_not_asked_for_a_runner_that_they_did_not_reach_either() {
    let now = Instant::now();
    let mut state = Reachability::default();
    state.record_down(&id(0), now);
    assert_eq!(state.path(&id(0), now), Path::DirectOnly);
    assert_eq!(state.path(&id(0), now + DOWN_TIME), Path::Direct);
}

#[tokio::test]
async fn runners_that_are_not_used_any_more_take_no_memory() {
    let now = Instant::now();
    let mut state = tunnelled(1000, now);
    state.record_down(&id(2000), now);
    let later = now + FORGOTTEN_AFTER;
    state.record_failed(&id(3000), later);
    assert_eq!(state.tunnelled.len(), 0);
    assert_eq!(state.down_until.len(), 0);
    assert_eq!(state.unreachable_count(), 1);
}
