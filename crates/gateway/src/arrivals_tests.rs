use tokio::time::Instant;

use super::{Arrivals, SPELL, TOLD};

#[test]
fn a_whole_site_that_starts_writes_few_lines() {
    let mut arrivals = Arrivals::default();
    let start = Instant::now();
    let told = (0..10_000).filter(|_| arrivals.tells(start)).count();
    assert_eq!(told as u32, TOLD);
    assert_eq!(arrivals.without_line(), 10_000 - TOLD);
    assert!(arrivals.tells(start + SPELL));
}
