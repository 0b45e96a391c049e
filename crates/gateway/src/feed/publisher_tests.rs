use barleyspar_catalog::{Event, Item, Revision};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::*;

fn written(number: u64) -> Event {
    Event::Written(Item {
        key: "runner".to_owned(),
        value: "entry".into(),
        revision: Revision::new(1, number),
    })
}

#[tokio::test(start_paused = true)]
async fn changes_of_two_updates_at_once_keep_the_order_of_the_store() {
    let (state, _states) = watch::channel(FeedState::default());
    let (sender, mut changes) = mpsc::channel(1);
    let publisher = Publisher::new(state, sender);
    let apply = |numbers: std::ops::RangeInclusive<u64>| {
        let last = Revision::new(1, *numbers.end());
        let update = Update::Events(numbers.map(written).collect());
        publisher.apply(update, last, Instant::now(), 0)
    };
    let received = async {
        let mut revisions = Vec::new();
        while revisions.len() < 12 {
            if let Some(Change::Event(event)) = changes.recv().await {
                revisions.push(event.revision().number);
            }
        }
        revisions
    };
    let ((), (), revisions) = tokio::join!(apply(1..=6), apply(7..=12), received);
    assert!(revisions.is_sorted(), "{revisions:?}");
}
