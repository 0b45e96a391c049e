//! A runner: plain, or a model engine that takes fenced orders. It records the calls that it
//! receives and the requests that it runs, and fails as a test tells it to.

mod brittle;
mod guards;
mod memory;
mod orders;
mod signals;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{
    EngineSpec, LoadedModel, Order, Report, Runner, RunnerState, Service, SoftwareVersion,
    WeightCopies, incarnation_id,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::dialect::{encode, names};
use crate::network::{Accepted, MemoryNetwork};
use crate::runner_body::{
    ConnectionBroken, RunnerBody, not_run_response, pause_response, sign, stalled_response,
    status_response, stream_response,
};
use crate::store::StoreStandIn;

pub use guards::RunGuard;
pub use signals::RequestedPause;

use brittle::Brittle;
use guards::OpenConnection;
use memory::Engine;
use signals::Signals;

/// Time from a crash by rejections to the runner's restart.
const RESTART_AFTER: Duration = Duration::from_secs(3);
/// Time that a plain request runs.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(30);

/// How a runner misbehaves towards all requests that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The runner runs the request and then resets the connection.
    ResetAfterRun,
    /// The runner runs the request and never answers.
    NeverAnswer,
    /// The runner answers that it did not run the request.
    Reject,
    /// The runner breaks the connection off after this number of events of an answer.
    BreakStream(u64),
    /// The runner sends nothing more after this number of events of an answer, and keeps the
    /// connection open.
    StallStream(u64),
    /// The runner sends the head of a plain answer and no body, and keeps the connection open.
    StallBody,
    /// Each event of the runner's streams has this number of additional bytes.
    LongEvents(usize),
}

/// When a runner crashes by a request, and when it is back.
#[derive(Debug, Clone, Copy)]
pub struct CrashCourse {
    /// Whether the head of the answer, and the events until the crash, are sent.
    pub answers: bool,
    /// Time from the start of the request to the crash.
    pub crash_after: Duration,
    /// Time from the crash to the runner's restart.
    pub restart_after: Duration,
}

impl Default for CrashCourse {
    /// A crash after the head of the answer and before the first event.
    fn default() -> Self {
        Self {
            answers: true,
            crash_after: Duration::from_millis(40),
            restart_after: RESTART_AFTER,
        }
    }
}

/// What a request has that crashes the runner as soon as it begins to run it.
#[derive(Debug, Clone)]
enum CrashTrigger {
    /// This body.
    Body(&'static str),
    /// Any of these parts in its prompt.
    Parts(Vec<u64>),
}

impl CrashTrigger {
    fn is_in(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        match self {
            Self::Body(crashing) => **crashing == *body,
            Self::Parts(_) => self.part_in(headers).is_some(),
        }
    }

    /// Returns the crashing part that the prompt has; `None` if there is none.
    fn part_in(&self, headers: &HeaderMap) -> Option<u64> {
        let Self::Parts(crashing) = self else {
            return None;
        };
        let ids = headers.get(names::PARTS).and_then(|ids| ids.to_str().ok());
        let mut ids = ids.unwrap_or_default().split(',');
        ids.find_map(|id| crashing.iter().copied().find(|part| part.to_string() == id))
    }
}

/// Returns the hash of the request's id.
fn hash_of_id(headers: &HeaderMap) -> u64 {
    let id = headers.get(names::REQUEST_ID).map(HeaderValue::as_bytes);
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

fn loaded_model(model: &&str) -> LoadedModel {
    LoadedModel {
        model: (*model).into(),
        version: 1,
        adapters: Vec::new(),
    }
}

/// One execution of a request by a runner. Requests that the runner rejects have none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id that the client gave the request.
    pub request_id: String,
    /// Headers of the request as they reached the runner.
    pub headers: HeaderMap,
    /// Body of the request as it reached the runner.
    pub body: Bytes,
    /// Time at which the runner accepted the request and began to run it.
    pub started_at: Instant,
    /// Whether the run ended by itself and was not cancelled.
    pub complete: bool,
}

/// A call that a runner received: a request, an order, or a call for its report.
/// Calls that are addressed to another runner are not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// When the runner received the call.
    pub at: Instant,
    /// Host of the gateway that sent the call.
    pub node: IpAddr,
    /// Whether the call was a request, and not an order or a call for a report.
    pub is_request: bool,
    /// Hash of the request's id, the same for all arrivals of one request.
    pub id: u64,
}

struct State {
    record: Runner,
    fault: Option<Fault>,
    /// Network of the runner, and what crashes it.
    crash_trigger: Option<(MemoryNetwork, CrashTrigger)>,
    crash_course: CrashCourse,
    /// Times of the crashes that requests, or rejections, caused.
    crash_times: Vec<Instant>,
    /// Times of the crashes that parts of prompts caused.
    crashes_by_part: Vec<(u64, Instant)>,
    runs: Vec<Run>,
    running_requests: usize,
    open_connections: usize,
    /// Number of requests received, including rejected ones.
    request_count: u64,
    calls: Vec<Call>,
    signals: Signals,
    /// How the runner is brittle; `None` if it is not.
    brittle: Option<Brittle>,
    orders: Vec<(Instant, Order)>,
    /// Number of the next orders that the runner leaves unanswered.
    lose_order_answers: u32,
    /// Whether the process stands still: it answers nothing, and takes up what it received
    /// meanwhile once it goes on.
    paused: watch::Sender<bool>,
    /// Number of orders accepted in this incarnation.
    sequence: u64,
    /// Highest fencing token received in this incarnation.
    highest_token: u64,
    /// Whether a model is being loaded or unloaded.
    busy: bool,
    /// Model and name of each adapter that is being loaded.
    pending_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// The model engine and its memory; `None` for a plain runner.
    engine: Option<Engine>,
    /// Whether an order has ever exceeded the engine's memory, or its places for adapters.
    overcommitted: bool,
}

/// Who a runner is.
#[derive(Debug, Clone, Copy)]
pub struct RunnerIdentity<'a> {
    /// Id, the same in all incarnations.
    pub id: &'a str,
    /// When the incarnation was started, in milliseconds since 1970.
    pub born: u64,
    /// Address that its entry names.
    pub address: SocketAddr,
    /// Zone that its entry names.
    pub zone: &'a str,
}

/// A runner of a test. Clones share their state: they are the same runner.
#[derive(Clone)]
pub struct RunnerStandIn {
    state: Arc<Mutex<State>>,
    is_engine: bool,
    store: StoreStandIn,
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl RunnerStandIn {
    /// Starts a runner of `service` with `models` loaded and writes its entry to the store.
    pub fn start(
        network: &MemoryNetwork,
        store: &StoreStandIn,
        service: &Service,
        id: &str,
        (address, zone): (SocketAddr, &str),
        models: &[&str],
    ) -> Self {
        let identity = RunnerIdentity {
            id,
            born: 1,
            address,
            zone,
        };
        Self::start_on(network.listen(address), store, service, identity, models)
    }

    /// Starts a runner that serves these connections, otherwise as [`Self::start`].
    pub fn start_on(
        connections: mpsc::Receiver<Accepted>,
        store: &StoreStandIn,
        service: &Service,
        identity: RunnerIdentity<'_>,
        models: &[&str],
    ) -> Self {
        let RunnerIdentity {
            id,
            born,
            address,
            zone,
        } = identity;
        let record = Runner {
            id: incarnation_id(&id.into(), Some(born)),
            name: id.into(),
            born: Some(born),
            service: service.name.clone(),
            address,
            zone: zone.into(),
            software: Default::default(),
            slots: service
                .engine
                .as_ref()
                .map_or(6.into(), |engine| engine.slots),
            state: RunnerState::Available,
            remaining: None,
            warming: Duration::ZERO,
            heartbeat: 0,
            models: models.iter().map(loaded_model).collect(),
            copies: WeightCopies::default(),
        };
        let engine = service.engine.as_ref();
        let engine = engine.map(|listed| Engine::start(listed, &record.models));
        let runner = Self {
            state: Arc::new(Mutex::new(State {
                record,
                fault: None,
                crash_trigger: None,
                crash_course: CrashCourse::default(),
                crash_times: Vec::new(),
                crashes_by_part: Vec::new(),
                runs: Vec::new(),
                running_requests: 0,
                open_connections: 0,
                request_count: 0,
                calls: Vec::new(),
                signals: Signals::default(),
                brittle: None,
                orders: Vec::new(),
                lose_order_answers: 0,
                paused: watch::Sender::new(false),
                sequence: 0,
                highest_token: 0,
                busy: false,
                pending_adapters: Vec::new(),
                engine,
                overcommitted: false,
            })),
            is_engine: service.engine.is_some(),
            store: store.clone(),
            tasks: Arc::default(),
        };
        runner.publish_entry();
        runner.serve_connections(connections);
        runner
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve_connections(&self, mut connections: mpsc::Receiver<Accepted>) {
        let runner = self.clone();
        let accept_task = tokio::spawn(async move {
            while let Some((stream, node)) = connections.recv().await {
                let serving_runner = runner.clone();
                let guard = OpenConnection::new(&runner);
                let task = tokio::spawn(async move {
                    let _guard = guard;
                    let service =
                        service_fn(|request| serving_runner.clone().answer(request, node));
                    let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
                    // Errors are ignored: a gateway may close the connection at any time.
                    let _ = connection.await;
                });
                runner.track_task(task.abort_handle());
            }
        });
        self.track_task(accept_task.abort_handle());
    }

    /// Keeps the handle of a task, so that a crash can end it.
    fn track_task(&self, task: AbortHandle) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }

    /// Name of the service that the runner belongs to.
    pub fn service(&self) -> Arc<str> {
        self.lock().record.service.clone()
    }

    /// Writes the runner's entry to the store, as a heartbeat does.
    pub fn publish_entry(&self) {
        let record = {
            let mut state = self.lock();
            state.record.heartbeat += 1;
            state.record.clone()
        };
        let key = format!("{}{}", names::RUNNER_PREFIX, record.name);
        self.store.put(&key, encode(&record));
    }

    /// Sets the runner to draining and writes that to its entry in the store.
    pub fn drain(&self) {
        self.lock().record.state = RunnerState::Draining;
        self.publish_entry();
    }

    /// Ends the runner at once, with all its connections. Its entry stays in the store.
    pub fn crash(&self, network: &MemoryNetwork) {
        network.unbind(self.lock().record.address.ip());
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.drain(..).for_each(|task| task.abort());
    }

    /// Crashes the runner and starts its next incarnation, with the same name and address. The
    /// new incarnation has `models` loaded and no state of the former one, but the faults that
    /// the test has set stay. It does not write its entry; [`Self::publish_entry`] does.
    pub fn restart(&self, network: &MemoryNetwork, models: &[&str]) {
        self.crash(network);
        let address = {
            let mut state = self.lock();
            let born = state.record.born.map(|born| born + 1000);
            state.record.id = incarnation_id(&state.record.name, born);
            state.record.born = born;
            state.record.heartbeat = 0;
            state.record.models = models.iter().map(loaded_model).collect();
            state.record.copies = WeightCopies::default();
            state.signals = Signals::default();
            state.sequence = 0;
            state.highest_token = 0;
            state.busy = false;
            state.pending_adapters.clear();
            let State { engine, record, .. } = &mut *state;
            if let Some(engine) = engine {
                engine.restart(&record.models);
            }
            state.record.address
        };
        self.serve_connections(network.listen(address));
    }

    /// Makes the engine load models with these sizes and times from now on. What it holds keeps
    /// its size.
    pub fn list_models(&self, listed: &EngineSpec) {
        if let Some(engine) = &mut self.lock().engine {
            engine.list(listed);
        }
    }

    /// Gives the runner's software this version, from its next stream on, and writes its entry.
    pub fn set_software(&self, version: &str) {
        self.lock().record.software = SoftwareVersion::new(version);
        self.publish_entry();
    }

    /// Makes the runner fail all further requests in this way; `None` ends that.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.lock().fault = fault;
    }

    /// Makes the runner crash when it runs a request with this body. It restarts
    /// later, with the models that it had loaded.
    pub fn crash_on_body(&self, network: &MemoryNetwork, body: &'static str) {
        self.lock().crash_trigger = Some((network.clone(), CrashTrigger::Body(body)));
    }

    /// Makes the runner crash when it runs a request with one of these parts in its prompt,
    /// otherwise as [`Self::crash_on_body`].
    pub fn crash_on_parts(&self, network: &MemoryNetwork, parts: &[u64]) {
        let trigger = CrashTrigger::Parts(parts.to_vec());
        self.lock().crash_trigger = Some((network.clone(), trigger));
    }

    /// Sets the course of the crashes that requests cause from now on.
    pub fn set_crash_course(&self, course: CrashCourse) {
        self.lock().crash_course = course;
    }

    /// Times at which requests, or rejections, crashed the runner.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock().crash_times.clone()
    }

    /// Times at which requests with this part in their prompts crashed the runner.
    pub fn crash_times_by(&self, part: u64) -> Vec<Instant> {
        let state = self.lock();
        let crashes = state.crashes_by_part.iter();
        crashes
            .filter(|(cause, _)| *cause == part)
            .map(|(_, at)| *at)
            .collect()
    }

    fn triggers_crash(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        let state = self.lock();
        let trigger = state.crash_trigger.as_ref();
        trigger.is_some_and(|(_, trigger)| trigger.is_in(headers, body))
    }

    /// Crashes the runner and restarts it, if the request triggers a crash.
    fn crash_if_triggered(&self, headers: &HeaderMap, body: &Bytes) {
        if !self.triggers_crash(headers, body) {
            return;
        }
        let Some((network, trigger)) = self.lock().crash_trigger.clone() else {
            return;
        };
        let course = self.lock().crash_course;
        self.crash_and_restart(network, course, trigger.part_in(headers));
    }

    /// Crashes the runner on this course, and restarts it with the models that it had loaded.
    /// `part`: the part of a prompt that causes the crash, if one does.
    fn crash_and_restart(&self, network: MemoryNetwork, course: CrashCourse, part: Option<u64>) {
        let runner = self.clone();
        tokio::spawn(async move {
            sleep(course.crash_after).await;
            let models: Vec<Arc<str>> = {
                let mut state = runner.lock();
                state.crash_times.push(Instant::now());
                let by_part = part.map(|part| (part, Instant::now()));
                state.crashes_by_part.extend(by_part);
                let models = state.record.models.iter();
                models.map(|loaded| loaded.model.clone()).collect()
            };
            runner.crash(&network);
            sleep(course.restart_after).await;
            let models: Vec<&str> = models.iter().map(|model| &**model).collect();
            runner.restart(&network, &models);
            runner.publish_entry();
        });
    }

    /// Leaves the next `count` orders unanswered. The runner still carries out those that it
    /// accepts.
    pub fn lose_order_answers(&self, count: u32) {
        self.lock().lose_order_answers = count;
    }

    /// Makes the runner's process stand still, or go on.
    pub fn set_paused(&self, paused: bool) {
        self.lock().paused.send_replace(paused);
    }

    /// Waits until the process does not stand still.
    pub(super) async fn wait_while_paused(&self) {
        let mut paused = self.lock().paused.subscribe();
        // The sender lives as long as the runner.
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Number of requests whose runs have begun and not ended, streams included.
    pub fn running_requests(&self) -> usize {
        self.lock().running_requests
    }

    /// Number of connections that the runner has accepted and that are not yet closed.
    pub fn open_connections(&self) -> usize {
        self.lock().open_connections
    }

    /// All runs so far, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Ids of the requests of all runs from run `first` on, counted from 0.
    pub fn run_ids_from(&self, first: usize) -> Vec<String> {
        let state = self.lock();
        let runs = state.runs.iter().skip(first);
        runs.map(|run| run.request_id.clone()).collect()
    }

    /// Names of the models that the runner holds.
    pub fn loaded_models(&self) -> Vec<String> {
        let state = self.lock();
        let models = state.record.models.iter();
        models.map(|loaded| loaded.model.to_string()).collect()
    }

    /// Address at which the runner listens, the same in all its incarnations.
    pub fn address(&self) -> SocketAddr {
        self.lock().record.address
    }

    /// Number of requests received so far, including rejected ones.
    pub fn request_count(&self) -> u64 {
        self.lock().request_count
    }

    /// Calls received so far, of all kinds, in order.
    pub fn calls(&self) -> Vec<Call> {
        self.calls_from(0)
    }

    /// Calls of all kinds from call `first` on, counted from 0.
    pub fn calls_from(&self, first: usize) -> Vec<Call> {
        let state = self.lock();
        state.calls.iter().skip(first).copied().collect()
    }

    /// Orders received so far, including refused ones, in order.
    pub fn orders(&self) -> Vec<Order> {
        let orders = self.timed_orders().into_iter();
        orders.map(|(_, order)| order).collect()
    }

    /// Orders received so far, as in [`Self::orders`], each with the time of its arrival.
    pub fn timed_orders(&self) -> Vec<(Instant, Order)> {
        self.lock().orders.clone()
    }

    /// Whether `model` is ready for requests at the runner; a model that is still being loaded
    /// is not.
    pub fn has_loaded(&self, model: &str) -> bool {
        let state = self.lock();
        state
            .record
            .models
            .iter()
            .any(|loaded| &*loaded.model == model)
    }

    /// Whether an order ever made the runner load more than its memory holds.
    pub fn overcommitted(&self) -> bool {
        self.lock().overcommitted
    }

    async fn answer(
        self,
        request: Request<Incoming>,
        node: IpAddr,
    ) -> Result<Response<RunnerBody>, ConnectionBroken> {
        let (head, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| ConnectionBroken)?
            .to_bytes();
        let intended_runner = head
            .headers
            .get(names::RUNNER)
            .and_then(|id| id.to_str().ok());
        if intended_runner != Some(&*self.lock().record.name) {
            return Ok(status_response(
                StatusCode::MISDIRECTED_REQUEST,
                Bytes::new(),
            ));
        }
        let path = head.uri.path();
        let is_request = ![names::REPORT_PATH, names::ORDER_PATH].contains(&path);
        let call = Call {
            at: Instant::now(),
            node,
            is_request,
            id: hash_of_id(&head.headers),
        };
        if path == names::ORDER_PATH {
            self.record_call(call);
        } else {
            self.read_call(call).await?;
        }
        let mut response = match path {
            names::REPORT_PATH => status_response(StatusCode::OK, encode(&self.report())),
            names::ORDER_PATH => self.clone().order(&body).await?,
            _ => self.clone().run(&head.headers, body, node).await?,
        };
        let brittle = self.said_brittle();
        let signals = &self.lock().signals;
        signals.add_to_headers(response.headers_mut(), is_request);
        if let Some(tolerated) = brittle {
            let tolerated = HeaderValue::from(tolerated);
            response.headers_mut().insert(names::BRITTLE, tolerated);
        }
        Ok(response)
    }

    /// Records a call as soon as the process does not stand still. As from a kernel, the process
    /// reads what came while it stood still even if the connection has been closed since.
    async fn read_call(&self, call: Call) -> Result<(), ConnectionBroken> {
        if !*self.lock().paused.borrow() {
            self.record_call(call);
            return Ok(());
        }
        let runner = self.clone();
        let reading = tokio::spawn(async move {
            runner.wait_while_paused().await;
            let at = Instant::now();
            runner.record_call(Call { at, ..call });
        });
        self.track_task(reading.abort_handle());
        reading.await.map_err(|_| ConnectionBroken)
    }

    fn record_call(&self, call: Call) {
        self.lock().calls.push(call);
    }

    async fn run(
        self,
        headers: &HeaderMap,
        body: Bytes,
        node: IpAddr,
    ) -> Result<Response<RunnerBody>, ConnectionBroken> {
        let value = |name| {
            headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok())
        };
        let request_id = value(names::REQUEST_ID).unwrap_or_default().to_owned();
        self.lock().request_count += 1;
        let fault = self.lock().fault;
        if fault == Some(Fault::Reject) {
            return Ok(not_run_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &request_id,
            ));
        }
        if self.rejects_for_lack_of_room() {
            let code = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(not_run_response(code, &request_id));
        }
        let pause = self.lock().signals.pause_for_request(node);
        if let Some(pause) = pause {
            return Ok(pause_response(&request_id, pause));
        }
        let lacks_model = value(names::MODEL).is_some_and(|model| !self.has_loaded(model));
        if self.is_engine && lacks_model {
            return Ok(not_run_response(
                StatusCode::MISDIRECTED_REQUEST,
                &request_id,
            ));
        }
        let run = RunGuard::begin(&self, &request_id, headers, &body);
        self.crash_if_triggered(headers, &body);
        match fault {
            Some(Fault::ResetAfterRun) => {
                sleep(PLAIN_RUN_TIME).await;
                run.complete();
                return Err(ConnectionBroken);
            }
            Some(Fault::NeverAnswer) => std::future::pending().await,
            _ => {}
        }
        if self.triggers_crash(headers, &body) && !self.lock().crash_course.answers {
            std::future::pending::<()>().await;
        }
        if self.is_engine {
            let after = value(names::AFTER_EVENT)
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            let software = self.lock().record.software.clone();
            return Ok(stream_response(run, &request_id, (after, software), fault));
        }
        sleep(PLAIN_RUN_TIME).await;
        if self.triggers_crash(headers, &body) {
            std::future::pending::<()>().await;
        }
        run.complete();
        let mut response = match fault {
            Some(Fault::StallBody) => stalled_response(),
            _ => status_response(StatusCode::OK, body),
        };
        sign(&mut response, &request_id);
        Ok(response)
    }

    fn report(&self) -> Report {
        let state = self.lock();
        Report {
            born: state.record.born,
            sequence: state.sequence,
            busy: state.busy,
            models: state.record.models.clone(),
            pending_adapters: state.pending_adapters.clone(),
            copies: state.record.copies.clone(),
            queued: 0,
            running: 0,
            cache_used: 0,
        }
    }
}
