//! What clients, runners, operators and the soak itself observed, with times since the start.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of a client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Must run at most once.
    Write,
    /// May be repeated.
    Read,
    /// A stream of events that may be resumed.
    Stream,
}

/// What a client got for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// An answer with this status.
    Answered {
        /// Status code.
        status: u16,
        /// Whether the body came to its end.
        complete: bool,
        /// Whether the body is the one that belongs to the request.
        right_body: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// Nothing came until the client gave up, after the deadline that it had named.
    TimedOut,
}

/// One attempt of a client.
#[derive(Debug, Clone, Serialize)]
pub struct Attempt {
    /// Id, which no other attempt has.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Gateway to which the connection goes.
    pub gateway: u8,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the outcome was known.
    pub ended_at: Duration,
    /// What the client got.
    pub outcome: AttemptOutcome,
}

impl Attempt {
    /// Whether the client got a complete and right answer with a success status.
    pub fn is_served(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Answered {
                status: 200,
                complete: true,
                right_body: true
            }
        )
    }
}

/// What a client got of one stream, over all its tries.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FollowedStream {
    /// Start of the ids of all tries.
    pub id: String,
    /// Ids of the events, in the order in which they arrived.
    pub event_ids: Vec<u64>,
    /// Software versions that wrote the events, one for each.
    pub software: Vec<String>,
    /// Number of tries that took the stream up after an event.
    pub resumed_tries: usize,
}

/// Something that a runner tells the soak.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerEvent {
    /// It read a request, which it may have rejected or not have run; the hash of its id.
    Arrival(u64),
    /// It began to run the request with this id.
    Run(String),
    /// It got an order.
    Order {
        /// Name of the node that gave the order.
        holder: String,
        /// Fencing token of the order.
        token: u64,
    },
    /// The models that it holds changed.
    Models(Vec<String>),
    /// The store has acknowledged that it drains.
    Draining,
    /// It ends because of a request with a deadly part.
    Crashing,
    /// An order exceeded its memory.
    Overcommitted,
}

/// A [`RunnerEvent`] with its runner and time.
#[derive(Debug, Clone)]
pub struct RunnerObservation {
    /// Number of the runner.
    pub runner: u8,
    /// Number of the runner's process, from 0.
    pub life: u32,
    /// When the event was read.
    pub at: Duration,
    /// What happened.
    pub event: RunnerEvent,
}

/// What a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The process of a gateway.
    Gateway(u8),
    /// The process of a runner.
    Runner(u8),
    /// The store's process.
    Store,
    /// The history of the store's changes, which it forgets.
    StoreHistory,
    /// The links from clients to a gateway.
    ClientLink(u8),
    /// The link from a gateway to the store.
    StoreLink(u8),
    /// The links from all gateways to a runner.
    RunnerLink(u8),
    /// The links between a gateway and all others.
    PeerLinks(u8),
    /// The links from a gateway to all runners.
    LinksToRunners(u8),
}

/// A fault, or planned work, from its beginning to its end.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRecord {
    /// Name of the kind.
    pub kind: &'static str,
    /// Whether it is planned work, which must cut nothing.
    pub planned: bool,
    /// What it strikes.
    pub target: Target,
    /// When it begins.
    pub from: Duration,
    /// When it has ended, processes that it stopped included; `None` while it lasts.
    pub until: Option<Duration>,
}

/// What a configuration makes of the requests to a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// Runners of this service run them.
    Service(&'static str),
    /// They are rejected, as there is no such route.
    NotFound,
}

/// A change of the configuration, and what a gateway made of a request to the path concerned.
#[derive(Debug, Clone, Serialize)]
pub struct RouteProbe {
    /// Id of the request.
    pub id: String,
    /// Path of the route.
    pub path: String,
    /// Version of the configuration with the change.
    pub version: u64,
    /// What the change makes of the request; no later change concerns the path meanwhile.
    pub expected: Expected,
    /// When the store acknowledged the change.
    pub acknowledged_at: Duration,
    /// The gateway that was asked.
    pub gateway: u8,
    /// Number of the gateway's process, from 0.
    pub life: u32,
    /// When it was asked.
    pub at: Duration,
    /// Status of the answer; `None` without one.
    pub status: Option<u16>,
}

/// A change that the store made, as it tells the soak.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreChange {
    /// Number of the change.
    pub number: u64,
    /// Key that was written or removed.
    pub key: String,
    /// Whether the key was removed.
    pub removed: bool,
}

/// A [`StoreChange`] with its time.
#[derive(Debug, Clone)]
pub struct StoreObservation {
    /// When the soak learned of it: after the change.
    pub at: Duration,
    /// The change.
    pub change: StoreChange,
}

/// A gateway's copy of the store, as a follower gets it.
#[derive(Debug, Clone)]
pub struct CopyObservation {
    /// The gateway.
    pub gateway: u8,
    /// When the soak asked for it: before the gateway sent it.
    pub asked_at: Duration,
    /// Number of the store's last change that the copy claims to show.
    pub number: u64,
    /// Time before the answer within which changes may be missing, as the gateway said.
    pub age: Duration,
    /// Numbers of the changes that wrote the items, by key.
    pub items: BTreeMap<String, u64>,
}

/// All observations of a soak.
#[derive(Debug, Default)]
pub struct Observations {
    /// Number of gateways.
    pub gateways: u8,
    /// Attempts of clients, in the order in which they ended.
    pub attempts: Vec<Attempt>,
    /// Streams that clients followed over their tries, in the order in which they ended.
    pub streams: Vec<FollowedStream>,
    /// What runners told, in the order in which it was read.
    pub runners: Vec<RunnerObservation>,
    /// Faults and planned work, in the order in which they began.
    pub faults: Vec<FaultRecord>,
    /// What gateways made of requests to routes that were changed.
    pub probes: Vec<RouteProbe>,
    /// All changes of the store, in its order.
    pub store_changes: Vec<StoreObservation>,
    /// Copies of the store at gateways.
    pub copies: Vec<CopyObservation>,
}

/// Records observations; clones share them.
#[derive(Debug, Clone)]
pub struct Recorder {
    started: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            observations: Arc::default(),
        }
    }
}

impl Recorder {
    /// Time since the soak's start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Gives access to the observations.
    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of the gateway that gave a runner the latest order.
    pub fn latest_order_holder(&self) -> Option<String> {
        let observations = self.lock();
        let mut latest_first = observations.runners.iter().rev();
        latest_first.find_map(|observation| match &observation.event {
            RunnerEvent::Order { holder, .. } => Some(holder.clone()),
            _ => None,
        })
    }

    /// Records that a fault begins now. Returns its number, for [`Self::end_fault`].
    pub fn begin_fault(&self, kind: &'static str, planned: bool, target: Target) -> usize {
        let from = self.now();
        let mut observations = self.lock();
        observations.faults.push(FaultRecord {
            kind,
            planned,
            target,
            from,
            until: None,
        });
        observations.faults.len() - 1
    }

    /// Sets the beginning of a fault at a runner to the time at which that runner told that it ends.
    pub fn begin_at_crash(&self, number: usize) {
        let mut observations = self.lock();
        let Target::Runner(runner) = observations.faults[number].target else {
            return;
        };
        let mut latest_first = observations.runners.iter().rev();
        let crash = latest_first
            .find(|observed| observed.runner == runner && observed.event == RunnerEvent::Crashing);
        if let Some(at) = crash.map(|crash| crash.at) {
            observations.faults[number].from = at;
        }
    }

    /// Records that a fault has ended now.
    pub fn end_fault(&self, number: usize) {
        let until = self.now();
        self.lock().faults[number].until = Some(until);
    }
}
