//! The key-value store: its [`data`], its watches, and its faults: outages, refused hosts,
//! slow answers, and answers that are lost after the change was made.

mod data;

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Event, Revision, StoreAnswer, StoreCall, StoreError};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::dialect::{decode, encode, error_status, names};
use crate::network::{Accepted, MemoryNetwork};
pub use crate::store::data::StoreData;

/// Number of chunks in which an answer is sent if there is a delay before each chunk.
const ANSWER_CHUNKS: usize = 20;

type AnswerBody = BoxBody<Bytes, Infallible>;

/// Time that the store takes for an answer, without [`StoreStandIn::set_extra_latency`].
const ANSWER_LATENCY: Duration = Duration::from_millis(4);

fn split_into_chunks(mut bytes: Bytes) -> Vec<Bytes> {
    let size = bytes.len().div_ceil(ANSWER_CHUNKS);
    let mut chunks = Vec::with_capacity(ANSWER_CHUNKS);
    while !bytes.is_empty() {
        chunks.push(bytes.split_to(size.min(bytes.len())));
    }
    chunks
}

#[derive(Default)]
struct State {
    data: StoreData,
    faults: Faults,
    /// Number of calls received so far, by kind.
    calls_by_kind: BTreeMap<&'static str, u64>,
}

/// Faults of the store's answers.
#[derive(Default)]
struct Faults {
    down: bool,
    refused_hosts: BTreeSet<IpAddr>,
    /// Number of the next commits and lease grants that the store leaves unanswered.
    lose_change_answers: u32,
    /// Number of the next reads and watches that the store leaves unanswered.
    lose_read_answers: u32,
    extra_latency: Duration,
    time_per_item: Duration,
    chunk_delay: Duration,
}

/// The store of a test. Clones share their state: they are the same store.
#[derive(Clone)]
pub struct StoreStandIn {
    state: Arc<Mutex<State>>,
    /// Revision of the last change; wakes the watches.
    changed: watch::Sender<Revision>,
}

impl Default for StoreStandIn {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(Revision::default()),
        }
    }
}

fn call_kind(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Range { stale: true, .. } => "read_stale",
        StoreCall::Range { .. } => "read",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Commit(_) => "commit",
        StoreCall::GrantLease { .. } => "grant_lease",
        StoreCall::RenewLease { .. } => "renew_lease",
        StoreCall::EndLease { .. } => "end_lease",
    }
}

impl State {
    fn count(&mut self, call: &StoreCall) {
        *self.calls_by_kind.entry(call_kind(call)).or_default() += 1;
    }
}

impl StoreStandIn {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves calls at `address` from now on.
    pub fn serve(&self, network: &MemoryNetwork, address: SocketAddr) {
        self.serve_connections(network.listen(address));
    }

    /// Serves calls on these connections, each with the host that opened it.
    pub fn serve_connections(&self, mut connections: mpsc::Receiver<Accepted>) {
        let store = self.clone();
        tokio::spawn(async move {
            while let Some((stream, caller)) = connections.recv().await {
                let store = store.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| store.clone().answer(request, caller));
                    let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
                    // Errors are ignored: a gateway may close the connection at any time.
                    let _ = connection.await;
                });
            }
        });
    }

    /// Sets whether the store is down: it takes calls and does not answer them.
    pub fn set_down(&self, down: bool) {
        self.lock().faults.down = down;
    }

    /// Sets whether the store answers every call of the host `caller` with an error.
    pub fn set_refused(&self, caller: IpAddr, refused: bool) {
        let mut state = self.lock();
        if refused {
            state.faults.refused_hosts.insert(caller);
        } else {
            state.faults.refused_hosts.remove(&caller);
        }
    }

    /// Leaves the next `count` commits and lease grants unanswered. They take effect as usual.
    pub fn lose_change_answers(&self, count: u32) {
        self.lock().faults.lose_change_answers = count;
    }

    /// Leaves the next `count` reads and watches unanswered.
    pub fn lose_read_answers(&self, count: u32) {
        self.lock().faults.lose_read_answers = count;
    }

    /// Returns the changes after the change `number` that the history still holds, in order.
    pub fn changes_after(&self, number: u64) -> Vec<Event> {
        self.lock().data.changes_after(number).cloned().collect()
    }

    /// Sets the maximum number of items in a page. The pages of a read are answers of their
    /// own, between which the store may change.
    pub fn set_page_items(&self, count: usize) {
        self.lock().data.set_page_items(count);
    }

    /// Sets the time that each answer takes in addition to the usual one.
    pub fn set_extra_latency(&self, time: Duration) {
        self.lock().faults.extra_latency = time;
    }

    /// Sets the time that each item or event of an answer adds, as over a slow link. The
    /// answer then arrives all at once.
    pub fn set_time_per_item(&self, time: Duration) {
        self.lock().faults.time_per_item = time;
    }

    /// Sets the delay before each of the `ANSWER_CHUNKS` chunks of an answer, as over a link
    /// that is slow but steady.
    pub fn set_chunk_delay(&self, delay: Duration) {
        self.lock().faults.chunk_delay = delay;
    }

    /// Number of calls received so far, including refused ones.
    pub fn call_count(&self) -> u64 {
        self.lock().calls_by_kind.values().sum()
    }

    /// Number of calls received so far, by kind; each kind is named after the store's
    /// operation.
    pub fn call_counts_by_kind(&self) -> BTreeMap<&'static str, u64> {
        self.lock().calls_by_kind.clone()
    }

    /// Number of calls received so far that read or watch the store.
    pub fn read_call_count(&self) -> u64 {
        let state = self.lock();
        let count_of = |kind| state.calls_by_kind.get(kind).copied().unwrap_or(0);
        count_of("read") + count_of("read_stale") + count_of("watch")
    }

    /// Returns a backup of all data as of now, for [`Self::restore`].
    pub fn backup(&self) -> StoreData {
        self.lock().data.clone()
    }

    /// Restores the store from `backup` in a new era. Later changes are lost, and their
    /// revision numbers are used again.
    pub fn restore(&self, backup: &StoreData) {
        self.lock().data.restore(backup);
        self.wake_watches();
    }

    /// Removes all changes so far from the history, so that watches from before them fail.
    pub fn compact_history(&self) {
        self.lock().data.compact_history();
    }

    /// Returns the value under `key`; `None` if there is no such item.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().data.get(key)
    }

    /// Writes an item without a lease, as the platform does.
    pub fn put(&self, key: &str, value: Bytes) {
        self.lock().data.write(key, value, 0);
        self.wake_watches();
    }

    /// Removes the item under `key`, as the platform does.
    pub fn remove(&self, key: &str) {
        self.lock().data.remove(key);
        self.wake_watches();
    }

    fn wake_watches(&self) {
        let revision = self.lock().data.revision();
        self.changed.send_replace(revision);
    }

    async fn answer(
        self,
        request: Request<Incoming>,
        caller: IpAddr,
    ) -> Result<Response<AnswerBody>, std::io::Error> {
        let broken_pipe = |_| std::io::Error::from(std::io::ErrorKind::BrokenPipe);
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(broken_pipe)?
            .to_bytes();
        let call: StoreCall = decode(&body).expect("gateways encode calls correctly");
        self.lock().count(&call);
        let extra_latency = self.lock().faults.extra_latency;
        sleep(ANSWER_LATENCY + extra_latency).await;
        if self.lock().faults.down {
            std::future::pending::<()>().await;
        }
        let result = if self.lock().faults.refused_hosts.contains(&caller) {
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
        let era = self.lock().data.era();
        if era > 0 {
            let headers = response.headers_mut();
            headers.insert(names::STORE_ERA, HeaderValue::from(era));
        }
        Ok(response)
    }

    fn body(&self, bytes: Bytes) -> AnswerBody {
        let delay = self.lock().faults.chunk_delay;
        if delay.is_zero() || bytes.is_empty() {
            return Full::new(bytes).boxed();
        }
        let chunks = split_into_chunks(bytes);
        let frames = stream::iter(chunks).then(move |chunk| async move {
            sleep(delay).await;
            Ok(Frame::data(chunk))
        });
        BodyExt::boxed(StreamBody::new(frames))
    }

    fn transfer_time(&self, answer: &StoreAnswer) -> Duration {
        let items = match answer {
            StoreAnswer::Page { items, .. } => items.len(),
            StoreAnswer::Events { events, .. } => events.len(),
            _ => 0,
        };
        self.lock().faults.time_per_item * items as u32
    }

    /// Whether `call` is to be left unanswered; if so, one fewer of the next calls of its kind
    /// is.
    fn loses_answer(&self, call: &StoreCall) -> bool {
        let mut state = self.lock();
        let left = match call {
            StoreCall::Commit(_) | StoreCall::GrantLease { .. } => {
                &mut state.faults.lose_change_answers
            }
            StoreCall::Range { .. } | StoreCall::Watch { .. } => {
                &mut state.faults.lose_read_answers
            }
            _ => return false,
        };
        let loses = *left > 0;
        *left = left.saturating_sub(1);
        loses
    }

    async fn execute(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        self.expire_leases();
        if let StoreCall::Watch {
            prefix,
            after,
            wait,
        } = call
        {
            return self.watch(prefix, *after, *wait).await;
        }
        let result = self.lock().data.execute(call);
        self.wake_watches();
        result
    }

    fn expire_leases(&self) {
        self.lock().data.expire_leases();
        self.wake_watches();
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        const EXPIRY_STEP: Duration = Duration::from_millis(50);
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            self.lock().data.expire_leases();
            let answer = self.lock().data.events(prefix, after)?;
            let empty = matches!(&answer, StoreAnswer::Events { events, .. } if events.is_empty());
            if !empty || Instant::now() >= until {
                return Ok(answer);
            }
            // The wait is short, as leases end without a call that wakes the watch.
            let _ = timeout(EXPIRY_STEP, changed.changed()).await;
        }
    }
}
