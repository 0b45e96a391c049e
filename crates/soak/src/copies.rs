//! Records the store's changes and the copies that the gateways have of it.

use std::time::Duration;

use barleyspar_catalog::{Event, Revision, StoreAnswer, StoreCall};
use barleyspar_gateway::{CopySnapshot, Sockets, read_copy};
use tokio::time::{sleep, timeout};

use crate::observations::{CopyObservation, Recorder, StoreChange};
use crate::roles::store_client::call_store;
use crate::site::Ports;

/// Time for which the store holds a watch without changes.
const WATCH_TIME: Duration = Duration::from_millis(300);
/// Pause after a watch that the store did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time between two looks at a gateway's copy.
const COPY_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of one look.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Records the store's changes for as long as the soak runs.
pub async fn record_store(ports: Ports, recorder: Recorder) {
    let mut after = Revision::default();
    loop {
        let call = StoreCall::Watch {
            prefix: String::new(),
            after,
            wait: WATCH_TIME,
        };
        let Some(StoreAnswer::Events { events, revision }) = call_store(ports.store(), &call).await
        else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        after = revision;
        let at = recorder.now();
        let changes = events.iter().map(|event| StoreChange {
            number: event.revision().number,
            key: event.key().to_owned(),
            removed: matches!(event, Event::Removed { .. }),
            at,
        });
        recorder.lock().store_changes.extend(changes);
    }
}

/// Records the copies of all gateways at an interval, for as long as the soak runs.
pub async fn record_copies(ports: Ports, gateways: u8, recorder: Recorder) {
    loop {
        for gateway in 1..=gateways {
            tokio::spawn(record_copy(ports, gateway, recorder.clone()));
        }
        sleep(COPY_INTERVAL).await;
    }
}

async fn record_copy(ports: Ports, gateway: u8, recorder: Recorder) {
    let asked_at = recorder.now();
    let reading = read_copy(&Sockets, ports.peers(gateway));
    // A gateway that is down, paused or knows nothing shows no copy.
    let Ok(Ok(copy)) = timeout(COPY_TIMEOUT, reading).await else {
        return;
    };
    let CopySnapshot {
        revision,
        age,
        items,
    } = copy;
    let items = items
        .into_iter()
        .map(|item| (item.key, item.revision.number));
    let copy = CopyObservation {
        gateway,
        asked_at,
        number: revision.number,
        age,
        items: items.collect(),
    };
    recorder.lock().copies.push(copy);
}
