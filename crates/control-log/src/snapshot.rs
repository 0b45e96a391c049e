//! Snapshots of the state in the key-value service, so that the log can be cut.
//!
//! One node writes the parts of a snapshot under keys of its position, then
//! moves the head by compare-and-swap, then deletes the entries before it. A
//! reader that finds a part missing reads the head again: a newer one replaced it.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_kernel::Stage;
use barleyspar_peer::{decode, encode};
use barleyspar_platform::key_value::{KeyValueError, Swap, SwapOutcome};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ControlState;
use crate::handle::Shared;
use crate::keys::{LOG_PREFIX, SNAPSHOT_HEAD, entry_key, snapshot_key};

/// Largest part, in bytes.
const PART_BYTES: usize = 256 * 1024;
/// Pause between two looks whether a snapshot is due.
const CHECK_PAUSE: Duration = Duration::from_secs(30);
/// Entries kept before the newest snapshot, for nodes that read slowly.
const KEPT_ENTRIES: u64 = 256;
/// Keys deleted in one round.
const DELETED_AT_ONCE: usize = 128;
/// Pause between two writes, to leave the service's rate to others.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Head {
    position: u64,
    parts: usize,
}

/// Position below which entries may have been deleted.
pub async fn cut_below(shared: &Shared) -> Result<u64, KeyValueError> {
    let stored = shared.key_value.get(SNAPSHOT_HEAD).await?;
    let head = stored.map(|stored| decode::<Head>(&stored.value).map_err(unreadable));
    let position = head.transpose()?.map_or(0, |head| head.position);
    Ok(position.saturating_sub(KEPT_ENTRIES))
}

/// The newest snapshot, if there is one.
pub async fn read_snapshot(shared: &Shared) -> Result<Option<ControlState>, KeyValueError> {
    loop {
        let Some(stored) = shared.key_value.get(SNAPSHOT_HEAD).await? else {
            return Ok(None);
        };
        let head: Head = decode(&stored.value).map_err(unreadable)?;
        if let Some(bytes) = read_parts(shared, &head).await? {
            return decode(&bytes).map(Some).map_err(unreadable);
        }
    }
}

async fn read_parts(shared: &Shared, head: &Head) -> Result<Option<Vec<u8>>, KeyValueError> {
    let mut bytes = Vec::new();
    for part in 0..head.parts {
        let key = snapshot_key(head.position, part);
        match shared.key_value.get(&key).await? {
            Some(stored) => bytes.extend_from_slice(&stored.value),
            None => return Ok(None),
        }
    }
    Ok(Some(bytes))
}

fn unreadable(error: barleyspar_peer::PeerError) -> KeyValueError {
    KeyValueError::Unavailable(format!("snapshot is unreadable: {error}"))
}

/// Runs the task that writes snapshots while this node leads.
pub async fn run_snapshots(shared: Arc<Shared>) {
    let stop = shared.kernel.stop_signal(Stage::Control);
    loop {
        tokio::select! {
            biased;
            () = stop.raised() => return,
            () = tokio::time::sleep(CHECK_PAUSE) => {}
        }
        let view = shared.membership.view();
        let leads = view
            .leader("snapshots")
            .is_some_and(|m| m.name == view.me.name);
        if !leads {
            continue;
        }
        if let Err(error) = write_if_due(&shared).await {
            tracing::info!(%error, "no snapshot of the control log was written");
        }
    }
}

async fn write_if_due(shared: &Shared) -> Result<(), KeyValueError> {
    let state = shared.state();
    let stored = shared.key_value.get(SNAPSHOT_HEAD).await?;
    let last = match &stored {
        Some(stored) => Some(decode::<Head>(&stored.value).map_err(unreadable)?),
        None => None,
    };
    let last_position = last.as_ref().map_or(0, |head| head.position);
    if state.position() < last_position + shared.config.snapshot_interval {
        return Ok(());
    }
    let bytes = encode(state.as_ref()).map_err(unreadable)?;
    let parts: Vec<Bytes> = bytes
        .chunks(PART_BYTES)
        .map(Bytes::copy_from_slice)
        .collect();
    for (part, value) in parts.iter().enumerate() {
        let key = snapshot_key(state.position(), part);
        write(shared, key, None, value.clone()).await?;
    }
    let head = Head {
        position: state.position(),
        parts: parts.len(),
    };
    let value = encode(&head).map_err(unreadable)?;
    let expected = stored.map(|stored| stored.revision);
    let moved = write(shared, SNAPSHOT_HEAD.to_owned(), expected, value).await?;
    if !matches!(moved, SwapOutcome::Applied(_)) {
        return Ok(());
    }
    if let Some(old) = last {
        for part in 0..old.parts {
            let key = snapshot_key(old.position, part);
            shared.key_value.delete(&key).await?;
        }
    }
    cut_log(shared, state.position().saturating_sub(KEPT_ENTRIES)).await
}

async fn write(
    shared: &Shared,
    key: String,
    expected: Option<u64>,
    value: Bytes,
) -> Result<SwapOutcome, KeyValueError> {
    tokio::time::sleep(WRITE_PAUSE).await;
    let swap = Swap {
        key,
        expected,
        value,
        time_to_live: None,
    };
    shared.key_value.swap(swap).await
}

async fn cut_log(shared: &Shared, below: u64) -> Result<(), KeyValueError> {
    let end = entry_key(below);
    loop {
        let listed = shared
            .key_value
            .list(LOG_PREFIX, "", DELETED_AT_ONCE)
            .await?;
        let old: Vec<String> = listed
            .into_iter()
            .map(|listed| listed.key)
            .filter(|key| key < &end)
            .collect();
        if old.is_empty() {
            return Ok(());
        }
        for key in old {
            tokio::time::sleep(WRITE_PAUSE).await;
            shared.key_value.delete(&key).await?;
        }
    }
}
