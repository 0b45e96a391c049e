//! Following the log: to its end from the key-value service or from peers, by a
//! watch in a few members of each zone, and from peers that are ahead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_kernel::{Inbox, Stage};
use barleyspar_membership::{MemberRecord, PeerAhead};
use barleyspar_peer::{call, decode};
use barleyspar_platform::key_value::{KeyEntry, KeyValueError};
use rand_chacha::ChaCha8Rng;

use crate::append::jittered;
use crate::handle::{Shared, ingest};
use crate::keys::{LOG_PREFIX, entry_key};
use crate::messages::{Answer, Request};
use crate::service::Message;
use crate::snapshot::read_snapshot;
use crate::{Entry, PEER_SERVICE};

/// Pause between two rounds of asking peers at the start.
const PEER_ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Members asked in one round.
const PEERS_ASKED: usize = 5;
/// Pause of a member that does not watch, before it looks again whether it should.
const IDLE_PAUSE: Duration = Duration::from_secs(2);

/// Runs the tasks that follow the log.
pub async fn run_follower(shared: Arc<Shared>, ahead: Inbox<PeerAhead>, random: ChaCha8Rng) {
    let stop = shared.kernel.stop_signal(Stage::Control);
    let follow = async {
        tokio::join!(watch(&shared, random), repair(&shared, &ahead));
    };
    tokio::select! {
        biased;
        () = stop.raised() => {}
        () = follow => {}
    }
}

/// Reads the log to its end, from whoever answers first.
pub(crate) async fn catch_up(shared: &Shared, random: ChaCha8Rng) {
    let from_service = catch_up_from_service(shared, random);
    let from_peers = catch_up_from_peers(shared);
    tokio::select! {
        biased;
        () = from_service => {}
        () = from_peers => {}
    }
    let _ = shared.service.send(Message::Current).await;
}

async fn catch_up_from_service(shared: &Shared, mut random: ChaCha8Rng) {
    let mut pause = shared.config.shortest_pause;
    loop {
        match read_to_end(shared).await {
            Ok(()) => return,
            Err(KeyValueError::RateLimited(wait)) => {
                tokio::time::sleep(jittered(wait * 2, &mut random)).await;
            }
            Err(error) => {
                tracing::warn!(%error, "the control log can not be read yet");
                tokio::time::sleep(jittered(pause, &mut random)).await;
                pause = (pause * 2).min(shared.config.longest_pause);
            }
        }
    }
}

pub(crate) async fn read_to_end(shared: &Shared) -> Result<(), KeyValueError> {
    if shared.position() == 0
        && let Some(state) = read_snapshot(shared).await?
    {
        let _ = shared.service.send(Message::Replace(Box::new(state))).await;
    }
    loop {
        let after = entry_key(shared.position());
        let limit = shared.config.read_batch;
        let listed = shared.key_value.list(LOG_PREFIX, &after, limit).await?;
        let count = listed.len();
        take_in(shared, listed).await;
        if count < limit {
            return Ok(());
        }
    }
}

/// Asks other members until one that is current has given what this one lacks.
///
/// Why one is enough: a change is said to be in force only when every member
/// obeys it that is not thought dead, and a member stops being current before
/// the others think it dead. So whoever is current obeys every such change.
async fn catch_up_from_peers(shared: &Shared) {
    loop {
        tokio::time::sleep(PEER_ROUND_PAUSE).await;
        let view = shared.membership.view();
        let zone = view.me.zone.clone();
        let others = view.members.values().filter(|m| m.name != view.me.name);
        let mut others: Vec<&MemberRecord> = others.filter(|m| m.is_reachable()).collect();
        others.sort_by_key(|member| member.zone != zone);
        for member in others.into_iter().take(PEERS_ASKED) {
            if pull_from_current(shared, member.address).await {
                return;
            }
        }
    }
}

/// Takes in what the node at `address` has, if it is current. Returns whether
/// this node has reached the position at which that node was current.
async fn pull_from_current(shared: &Shared, address: SocketAddr) -> bool {
    let time_limit = shared.config.peer_time_limit;
    let transport = shared.transport.as_ref();
    let request = Request::IsCurrent;
    let answer = call(transport, address, PEER_SERVICE, &request, time_limit).await;
    let Ok(Answer::Current {
        current: true,
        position,
    }) = answer
    else {
        return false;
    };
    if shared.position() < position {
        pull(shared, address).await;
    }
    shared.reaches(position, time_limit).await
}

async fn watch(shared: &Shared, mut random: ChaCha8Rng) {
    let mut pause = shared.config.shortest_pause;
    loop {
        let view = shared.membership.view();
        if !view.is_relay(shared.config.watchers_per_zone) {
            tokio::time::sleep(jittered(IDLE_PAUSE, &mut random)).await;
            continue;
        }
        let after = entry_key(shared.position());
        let config = &shared.config;
        let watched =
            shared
                .key_value
                .watch(LOG_PREFIX, &after, config.read_batch, config.watch_wait);
        match watched.await {
            Ok(listed) => {
                take_in(shared, listed).await;
                pause = config.shortest_pause;
            }
            Err(error) => {
                tracing::debug!(%error, "watch of the control log failed");
                tokio::time::sleep(jittered(pause, &mut random)).await;
                pause = (pause * 2).min(config.longest_pause);
            }
        }
    }
}

async fn repair(shared: &Shared, ahead: &Inbox<PeerAhead>) {
    while let Some(notice) = ahead.receive().await {
        if notice.log_position > shared.position() {
            pull(shared, notice.address).await;
        }
    }
}

/// Takes in what the node at `address` has beyond this one. Returns whether it answered.
async fn pull(shared: &Shared, address: SocketAddr) -> bool {
    let request = Request::Since(shared.position());
    let time_limit = shared.config.peer_time_limit;
    let transport = shared.transport.as_ref();
    let answer = call(transport, address, PEER_SERVICE, &request, time_limit).await;
    match answer {
        Ok(Answer::Entries(entries)) => {
            let _ = ingest(shared, entries).await;
            true
        }
        Ok(Answer::State(state)) => {
            let _ = shared.service.send(Message::Replace(state)).await;
            true
        }
        Ok(Answer::Reached(_) | Answer::Current { .. } | Answer::Spread { .. }) | Err(_) => false,
    }
}

async fn take_in(shared: &Shared, listed: Vec<KeyEntry>) {
    let entries: Vec<Entry> = listed
        .iter()
        .filter_map(|listed| decode(&listed.versioned.value).ok())
        .collect();
    if entries.is_empty() {
        return;
    }
    let _ = ingest(shared, entries).await;
}
