//! Records the copies that the gateways have of the store.

use std::time::Duration;

use barleyspar_gateway::{CopySnapshot, Sockets, read_copy};
use tokio::time::{sleep, timeout};

use crate::observations::{CopyObservation, Recorder};
use crate::site::Ports;

/// Time between two looks at a gateway's copy.
const COPY_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of one look.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

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
