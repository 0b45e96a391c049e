//! The key-value store: one order of revisions, conditions, leases, watches;
//! outages, callers that are refused, answers lost after the change was done.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Event, Item, StoreAnswer, StoreCall, StoreError, Transaction};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::dialect::{decode, encode, error_status};
use crate::network::MemoryNetwork;

/// Pieces in which a slow answer is sent.
const PIECES: usize = 20;

type AnswerBody = BoxBody<Bytes, Infallible>;

/// Time that the store takes for an answer, unless it is slow.
const ANSWER_TIME: Duration = Duration::from_millis(4);

fn pieces(mut bytes: Bytes) -> Vec<Bytes> {
    let size = bytes.len().div_ceil(PIECES);
    let mut pieces = Vec::with_capacity(PIECES);
    while !bytes.is_empty() {
        pieces.push(bytes.split_to(size.min(bytes.len())));
    }
    pieces
}

struct Stored {
    item: Item,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: Vec<Event>,
    forgotten_up_to: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    down: bool,
    refused: BTreeSet<IpAddr>,
    lose_answers: u32,
    slow_by: Duration,
    time_per_item: Duration,
    piece_pause: Duration,
    calls: u64,
    readings: u64,
}

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct StoreStandIn {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for StoreStandIn {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl StoreStandIn {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves on `address`.
    pub fn serve(&self, network: &MemoryNetwork, address: SocketAddr) {
        let mut connections = network.listen(address);
        let store = self.clone();
        tokio::spawn(async move {
            while let Some((stream, caller)) = connections.recv().await {
                let store = store.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| store.clone().answer(request, caller));
                    let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A caller may leave at any time.
                    let _ = connection.await;
                });
            }
        });
    }

    /// Whether the store gives no answers.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Refuses every call of `caller`, or serves it again.
    pub fn refuse(&self, caller: IpAddr, refused: bool) {
        let mut state = self.lock();
        if refused {
            state.refused.insert(caller);
        } else {
            state.refused.remove(&caller);
        }
    }

    /// The answers to the next `count` changes are lost.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lose_answers = count;
    }

    /// Time that each answer takes beyond the usual one.
    pub fn set_slow_by(&self, time: Duration) {
        self.lock().slow_by = time;
    }

    /// Time that each item or event of an answer takes, as over a slow link.
    pub fn set_time_per_item(&self, time: Duration) {
        self.lock().time_per_item = time;
    }

    /// Pause before each of the [`PIECES`] in which an answer is sent, as over a
    /// link that is slow but steady.
    pub fn set_piece_pause(&self, pause: Duration) {
        self.lock().piece_pause = pause;
    }

    /// Calls that came so far, refused ones too.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Calls that came so far to read or to watch.
    pub fn readings(&self) -> u64 {
        self.lock().readings
    }

    /// Forgets its history.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.forgotten_up_to = state.revision;
        state.history.clear();
    }

    /// The value under `key`.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock()
            .items
            .get(key)
            .map(|stored| stored.item.value.clone())
    }

    /// Writes `key`, as the platform does.
    pub fn put(&self, key: &str, value: Bytes) {
        self.lock().write(key, value, 0);
        self.notify();
    }

    /// Removes `key`, as the platform does.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.notify();
    }

    fn notify(&self) {
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }

    async fn answer(
        self,
        request: Request<Incoming>,
        caller: IpAddr,
    ) -> Result<Response<AnswerBody>, std::io::Error> {
        let broken = |_| std::io::Error::from(std::io::ErrorKind::BrokenPipe);
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(broken)?
            .to_bytes();
        let call: StoreCall = decode(&body).expect("calls are well formed");
        self.lock().count(&call);
        let slow_by = self.lock().slow_by;
        sleep(ANSWER_TIME + slow_by).await;
        if self.lock().down {
            std::future::pending::<()>().await;
        }
        let result = if self.lock().refused.contains(&caller) {
            Err(StoreError::Unavailable)
        } else {
            self.execute(&call).await
        };
        if self.loses_answer(&call) {
            std::future::pending::<()>().await;
        }
        if let Ok(answer) = &result {
            sleep(self.transfer_time(answer)).await;
        }
        let (status, bytes) = match result {
            Ok(answer) => (StatusCode::OK, encode(&answer)),
            Err(error) => (error_status(&error), Bytes::new()),
        };
        let mut response = Response::new(self.body(bytes));
        *response.status_mut() = status;
        Ok(response)
    }

    fn body(&self, bytes: Bytes) -> AnswerBody {
        let pause = self.lock().piece_pause;
        if pause.is_zero() || bytes.is_empty() {
            return Full::new(bytes).boxed();
        }
        let pieces = pieces(bytes);
        let sent = stream::iter(pieces).then(move |piece| async move {
            sleep(pause).await;
            Ok(Frame::data(piece))
        });
        BodyExt::boxed(StreamBody::new(sent))
    }

    fn transfer_time(&self, answer: &StoreAnswer) -> Duration {
        let items = match answer {
            StoreAnswer::Page { items, .. } => items.len(),
            StoreAnswer::Events { events, .. } => events.len(),
            _ => 0,
        };
        self.lock().time_per_item * items as u32
    }

    fn loses_answer(&self, call: &StoreCall) -> bool {
        let mut state = self.lock();
        let changes = matches!(call, StoreCall::Commit(_) | StoreCall::GrantLease { .. });
        if !changes || state.lose_answers == 0 {
            return false;
        }
        state.lose_answers -= 1;
        true
    }

    async fn execute(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        self.expire();
        if let StoreCall::Watch {
            prefix,
            after,
            wait,
        } = call
        {
            return self.watch(prefix, *after, *wait).await;
        }
        let result = self.lock().execute(call);
        self.notify();
        result
    }

    fn expire(&self) {
        self.lock().expire();
        self.notify();
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        const EXPIRY_STEP: Duration = Duration::from_millis(50);
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            self.lock().expire();
            let answer = self.lock().events(prefix, after)?;
            let empty = matches!(&answer, StoreAnswer::Events { events, .. } if events.is_empty());
            if !empty || Instant::now() >= until {
                return Ok(answer);
            }
            // Leases end without a call.
            let _ = timeout(EXPIRY_STEP, changed.changed()).await;
        }
    }
}

impl State {
    fn count(&mut self, call: &StoreCall) {
        self.calls += 1;
        let reads = matches!(call, StoreCall::Range { .. } | StoreCall::Watch { .. });
        self.readings += u64::from(reads);
    }

    fn write(&mut self, key: &str, value: Bytes, lease: u64) {
        self.revision += 1;
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
        };
        self.history.push(Event::Written(item.clone()));
        self.items.insert(key.to_owned(), Stored { item, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event::Removed {
                key: key.to_owned(),
                revision: self.revision,
            });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Result<StoreAnswer, StoreError> {
        if after < self.forgotten_up_to {
            return Err(StoreError::HistoryLost);
        }
        let events = self
            .history
            .iter()
            .filter(|event| match event {
                Event::Written(item) => item.revision > after && item.key.starts_with(prefix),
                Event::Removed { key, revision } => *revision > after && key.starts_with(prefix),
            })
            .cloned()
            .collect();
        Ok(StoreAnswer::Events {
            events,
            revision: self.revision,
        })
    }

    fn execute(&mut self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        match call {
            StoreCall::Range { prefix, .. } => Ok(StoreAnswer::Page {
                items: self
                    .items
                    .values()
                    .filter(|stored| stored.item.key.starts_with(prefix))
                    .map(|stored| stored.item.clone())
                    .collect(),
                more: false,
                revision: self.revision,
            }),
            StoreCall::Watch { .. } => unreachable!("watches wait"),
            StoreCall::Commit(transaction) => self.commit(transaction),
            StoreCall::GrantLease { time_to_live } => {
                self.revision += 1;
                let lease = self.revision;
                self.leases
                    .insert(lease, (*time_to_live, Instant::now() + *time_to_live));
                Ok(StoreAnswer::Lease {
                    lease,
                    time_to_live: *time_to_live,
                })
            }
            StoreCall::RenewLease { lease } => {
                let (time_to_live, end) =
                    self.leases.get_mut(lease).ok_or(StoreError::LeaseGone)?;
                *end = Instant::now() + *time_to_live;
                Ok(StoreAnswer::Renewed {
                    time_to_live: *time_to_live,
                })
            }
            StoreCall::EndLease { lease } => {
                self.end_lease(*lease);
                Ok(StoreAnswer::Ended)
            }
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Result<StoreAnswer, StoreError> {
        let holds = transaction.conditions.iter().all(|(key, revision)| {
            let known = self.items.get(key).map_or(0, |stored| stored.item.revision);
            known == *revision
        });
        if !holds {
            return Ok(StoreAnswer::Conflict);
        }
        let leases = transaction.writes.iter().map(|write| write.lease);
        if leases
            .filter(|lease| *lease != 0)
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return Err(StoreError::LeaseGone);
        }
        for write in &transaction.writes {
            self.write(&write.key, write.value.clone(), write.lease);
        }
        for key in &transaction.removes {
            self.remove(key);
        }
        Ok(StoreAnswer::Committed {
            revision: self.revision,
        })
    }
}
