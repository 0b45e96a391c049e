use tokio::time::Instant;

use super::{Arrivals, LOGGED_PER_WINDOW, WINDOW};

#[test]
fn a_whole_site_that_starts_writes_few_lines() {
    let mut arrivals = Arrivals::default();
    let start = Instant::now();
    let logged = (0..10_000).filter(|_| arrivals.should_log(start)).count();
    assert_eq!(logged as u32, LOGGED_PER_WINDOW);
    assert_eq!(arrivals.suppressed(), 10_000 - LOGGED_PER_WINDOW);
    assert!(arrivals.should_log(start + WINDOW));
}
