//! The key-value store: what it holds ([`data`]), its watches, and what goes wrong:
//! outages, callers that are refused, answers lost after the change was done.

mod data;

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Revision, StoreAnswer, StoreCall, StoreError};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::dialect::{decode, encode, error_status, names};
use crate::network::MemoryNetwork;
pub use crate::store::data::Data;

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

#[derive(Default)]
struct State {
    data: Data,
    faults: Faults,
    by_kind: BTreeMap<&'static str, u64>,
}

/// What goes wrong with the store's answers.
#[derive(Default)]
struct Faults {
    down: bool,
    refused: BTreeSet<IpAddr>,
    lose_answers: u32,
    slow_by: Duration,
    time_per_item: Duration,
    piece_pause: Duration,
}

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct StoreStandIn {
    state: Arc<Mutex<State>>,
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

fn kind(call: &StoreCall) -> &'static str {
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
        *self.by_kind.entry(kind(call)).or_default() += 1;
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
        self.lock().faults.down = down;
    }

    /// Refuses every call of `caller`, or serves it again.
    pub fn refuse(&self, caller: IpAddr, refused: bool) {
        let mut state = self.lock();
        if refused {
            state.faults.refused.insert(caller);
        } else {
            state.faults.refused.remove(&caller);
        }
    }

    /// The answers to the next `count` changes are lost.
    pub fn lose_answers(&self, count: u32) {
        self.lock().faults.lose_answers = count;
    }

    /// Time that each answer takes beyond the usual one.
    pub fn set_slow_by(&self, time: Duration) {
        self.lock().faults.slow_by = time;
    }

    /// Time that each item or event of an answer takes, as over a slow link.
    pub fn set_time_per_item(&self, time: Duration) {
        self.lock().faults.time_per_item = time;
    }

    /// Pause before each of the [`PIECES`] in which an answer is sent, as over a
    /// link that is slow but steady.
    pub fn set_piece_pause(&self, pause: Duration) {
        self.lock().faults.piece_pause = pause;
    }

    /// Calls that came so far, refused ones too.
    pub fn calls(&self) -> u64 {
        self.lock().by_kind.values().sum()
    }

    /// Calls that came so far, by kind.
    pub fn calls_by_kind(&self) -> BTreeMap<&'static str, u64> {
        self.lock().by_kind.clone()
    }

    /// Calls that came so far to read or to watch.
    pub fn readings(&self) -> u64 {
        let state = self.lock();
        let of = |kind| state.by_kind.get(kind).copied().unwrap_or(0);
        of("read") + of("read_stale") + of("watch")
    }

    /// A copy of what it holds now.
    pub fn copy(&self) -> Data {
        self.lock().data.clone()
    }

    /// Comes back from `copy`: what was written since is gone, and its revisions are given
    /// out again.
    pub fn restore(&self, copy: &Data) {
        self.lock().data.restore(copy);
        self.notify();
    }

    /// Forgets its history.
    pub fn forget_history(&self) {
        self.lock().data.forget_history();
    }

    /// The value under `key`.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().data.get(key)
    }

    /// Writes `key`, as the platform does.
    pub fn put(&self, key: &str, value: Bytes) {
        self.lock().data.write(key, value, 0);
        self.notify();
    }

    /// Removes `key`, as the platform does.
    pub fn remove(&self, key: &str) {
        self.lock().data.remove(key);
        self.notify();
    }

    fn notify(&self) {
        let revision = self.lock().data.revision();
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
        let slow_by = self.lock().faults.slow_by;
        sleep(ANSWER_TIME + slow_by).await;
        if self.lock().faults.down {
            std::future::pending::<()>().await;
        }
        let result = if self.lock().faults.refused.contains(&caller) {
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
        let pause = self.lock().faults.piece_pause;
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
        self.lock().faults.time_per_item * items as u32
    }

    fn loses_answer(&self, call: &StoreCall) -> bool {
        let mut state = self.lock();
        let changes = matches!(call, StoreCall::Commit(_) | StoreCall::GrantLease { .. });
        if !changes || state.faults.lose_answers == 0 {
            return false;
        }
        state.faults.lose_answers -= 1;
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
        let result = self.lock().data.execute(call);
        self.notify();
        result
    }

    fn expire(&self) {
        self.lock().data.expire();
        self.notify();
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
            self.lock().data.expire();
            let answer = self.lock().data.events(prefix, after)?;
            let empty = matches!(&answer, StoreAnswer::Events { events, .. } if events.is_empty());
            if !empty || Instant::now() >= until {
                return Ok(answer);
            }
            // Leases end without a call.
            let _ = timeout(EXPIRY_STEP, changed.changed()).await;
        }
    }
}
