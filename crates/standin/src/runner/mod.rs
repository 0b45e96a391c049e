//! A runner: plain, or a model engine that takes fenced orders. It keeps a
//! history of what it ran, and fails on request.

mod guards;
mod notices;
mod orders;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{
    EngineSpec, LoadedModel, Order, Report, Runner, RunnerState, Service, WeightCopies,
    incarnation_id,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::dialect::{encode, names};
use crate::network::MemoryNetwork;
use crate::runner_body::{Broken, RunnerBody, not_now, not_run, sign, status, stream};
use crate::store::StoreStandIn;

pub use guards::RunGuard;
pub use notices::AskedPause;

use guards::OpenConnection;
use notices::Notices;

/// Time for which a runner runs a request that crashes it.
const CRASH_AFTER: Duration = Duration::from_millis(40);
/// Time from such a crash to the runner's next life.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time that a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(30);

/// How a runner fails the requests that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It runs them and then resets the connection.
    ResetAfterRun,
    /// It runs them and never answers.
    Silent,
    /// It says that it did not run them.
    Reject,
    /// It breaks streams off after so many events.
    BreakStream(u64),
    /// Its streams stop after so many events, and stay open.
    StallStream(u64),
    /// Each event of its streams has so many bytes more.
    LongEvents(usize),
}

fn held(model: &&str) -> LoadedModel {
    LoadedModel {
        model: (*model).into(),
        version: 1,
        adapters: Vec::new(),
    }
}

/// A run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id of the client's attempt.
    pub request_id: String,
    /// Headers that came with it.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it began.
    pub begun: Instant,
    /// Whether it ended by itself, and was not cancelled.
    pub whole: bool,
}

/// A call that arrived: a request, an order, or a question for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// When it came.
    pub at: Instant,
    /// The node that it came from.
    pub node: IpAddr,
    /// Whether it was a request.
    pub is_request: bool,
}

struct State {
    record: Runner,
    fault: Option<Fault>,
    deadly: Option<(MemoryNetwork, &'static str)>,
    crashes: Vec<Instant>,
    runs: Vec<Run>,
    running: usize,
    connections: usize,
    arrivals: u64,
    calls: Vec<Call>,
    notices: Notices,
    orders: Vec<(Instant, Order)>,
    lose_order_answers: u32,
    sequence: u64,
    fence: u64,
    busy: bool,
    pending: Vec<(Arc<str>, Arc<str>)>,
    overcommitted: bool,
}

/// A runner. Clones are the same runner.
#[derive(Clone)]
pub struct RunnerStandIn {
    state: Arc<Mutex<State>>,
    engine: Option<EngineSpec>,
    store: StoreStandIn,
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl RunnerStandIn {
    /// Starts a runner of `service` and records it in the store.
    pub fn start(
        network: &MemoryNetwork,
        store: &StoreStandIn,
        service: &Service,
        id: &str,
        (address, zone): (SocketAddr, &str),
        models: &[&str],
    ) -> Self {
        let record = Runner {
            id: incarnation_id(&id.into(), Some(1)),
            name: id.into(),
            born: Some(1),
            service: service.name.clone(),
            address,
            zone: zone.into(),
            slots: service.engine.as_ref().map_or(6, |engine| engine.slots),
            state: RunnerState::Available,
            remaining: None,
            warming: Duration::ZERO,
            heartbeat: 0,
            models: models.iter().map(held).collect(),
            copies: WeightCopies::default(),
        };
        let runner = Self {
            state: Arc::new(Mutex::new(State {
                record,
                fault: None,
                deadly: None,
                crashes: Vec::new(),
                runs: Vec::new(),
                running: 0,
                connections: 0,
                arrivals: 0,
                calls: Vec::new(),
                notices: Notices::default(),
                orders: Vec::new(),
                lose_order_answers: 0,
                sequence: 0,
                fence: 0,
                busy: false,
                pending: Vec::new(),
                overcommitted: false,
            })),
            engine: service.engine.clone(),
            store: store.clone(),
            tasks: Arc::default(),
        };
        runner.publish();
        runner.serve(network, address);
        runner
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, network: &MemoryNetwork, address: SocketAddr) {
        let mut connections = network.listen(address);
        let runner = self.clone();
        let accepting = tokio::spawn(async move {
            while let Some((stream, node)) = connections.recv().await {
                let served = runner.clone();
                let open = OpenConnection::new(&runner);
                let serving = tokio::spawn(async move {
                    let _open = open;
                    let service = service_fn(|request| served.clone().answer(request, node));
                    let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A caller may leave at any time.
                    let _ = connection.await;
                });
                runner.own(serving.abort_handle());
            }
        });
        self.own(accepting.abort_handle());
    }

    fn own(&self, task: AbortHandle) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }

    /// Writes the runner's entry, as a heartbeat does.
    pub fn publish(&self) {
        let record = {
            let mut state = self.lock();
            state.record.heartbeat += 1;
            state.record.clone()
        };
        let key = format!("{}{}", names::RUNNER_PREFIX, record.name);
        self.store.put(&key, encode(&record));
    }

    /// Says that it is leaving.
    pub fn drain(&self) {
        self.lock().record.state = RunnerState::Draining;
        self.publish();
    }

    /// Dies at once; its entry stays until the platform notices.
    pub fn crash(&self, network: &MemoryNetwork) {
        network.unbind(self.lock().record.address.ip());
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.drain(..).for_each(|task| task.abort());
    }

    /// Begins another life under its id, at its address: it holds `models`, knows
    /// nothing of before and tells nobody yet ([`Self::publish`]).
    pub fn start_again(&self, network: &MemoryNetwork, models: &[&str]) {
        self.crash(network);
        let address = {
            let mut state = self.lock();
            let born = state.record.born.map(|born| born + 1000);
            state.record.id = incarnation_id(&state.record.name, born);
            state.record.born = born;
            state.record.heartbeat = 0;
            state.record.models = models.iter().map(held).collect();
            state.record.copies = WeightCopies::default();
            state.notices = Notices::default();
            state.sequence = 0;
            state.fence = 0;
            state.busy = false;
            state.pending.clear();
            state.record.address
        };
        self.serve(network, address);
    }

    /// Fails requests from now on.
    pub fn fail(&self, fault: Option<Fault>) {
        self.lock().fault = fault;
    }

    /// It crashes when it begins to run a request with this body, and is back after a
    /// while with the models that it held.
    pub fn crash_on(&self, network: &MemoryNetwork, body: &'static str) {
        self.lock().deadly = Some((network.clone(), body));
    }

    /// When requests crashed it.
    pub fn crashes(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    fn is_deadly(&self, body: &Bytes) -> bool {
        let state = self.lock();
        let deadly = state.deadly.as_ref();
        deadly.is_some_and(|(_, deadly)| **body == *deadly.as_bytes())
    }

    /// Crashes a little later, if `body` is the one that does it.
    fn crash_soon(&self, body: &Bytes) {
        if !self.is_deadly(body) {
            return;
        }
        let Some((network, _)) = self.lock().deadly.clone() else {
            return;
        };
        let runner = self.clone();
        tokio::spawn(async move {
            sleep(CRASH_AFTER).await;
            let models: Vec<Arc<str>> = {
                let mut state = runner.lock();
                state.crashes.push(Instant::now());
                let models = state.record.models.iter();
                models.map(|held| held.model.clone()).collect()
            };
            runner.crash(&network);
            sleep(BACK_AFTER).await;
            let models: Vec<&str> = models.iter().map(|model| &**model).collect();
            runner.start_again(&network, &models);
            runner.publish();
        });
    }

    /// Answers to the next `count` orders are lost; they are carried out.
    pub fn lose_order_answers(&self, count: u32) {
        self.lock().lose_order_answers = count;
    }

    /// Runs that have not ended.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// What it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.lock().record.address
    }

    /// Requests that arrived.
    pub fn arrivals(&self) -> u64 {
        self.lock().arrivals
    }

    /// Calls that arrived, of all kinds.
    pub fn calls(&self) -> Vec<Call> {
        self.lock().calls.clone()
    }

    /// Orders that arrived.
    pub fn orders(&self) -> Vec<Order> {
        let orders = self.timed_orders().into_iter();
        orders.map(|(_, order)| order).collect()
    }

    /// Orders that arrived, and when.
    pub fn timed_orders(&self) -> Vec<(Instant, Order)> {
        self.lock().orders.clone()
    }

    /// Whether it holds `model`.
    pub fn holds(&self, model: &str) -> bool {
        let state = self.lock();
        state.record.models.iter().any(|held| &*held.model == model)
    }

    /// Whether an order made it load more than it can hold.
    pub fn overcommitted(&self) -> bool {
        self.lock().overcommitted
    }

    async fn answer(
        self,
        request: Request<Incoming>,
        node: IpAddr,
    ) -> Result<Response<RunnerBody>, Broken> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Broken)?.to_bytes();
        let meant = head
            .headers
            .get(names::RUNNER)
            .and_then(|id| id.to_str().ok());
        if meant != Some(&*self.lock().record.name) {
            return Ok(status(StatusCode::MISDIRECTED_REQUEST, Bytes::new()));
        }
        let path = head.uri.path();
        let is_request = ![names::REPORT_PATH, names::ORDER_PATH].contains(&path);
        let at = Instant::now();
        self.lock().calls.push(Call {
            at,
            node,
            is_request,
        });
        let mut response = match path {
            names::REPORT_PATH => status(StatusCode::OK, encode(&self.report())),
            names::ORDER_PATH => self.clone().order(&body).await?,
            _ => self.clone().run(&head.headers, body, node).await?,
        };
        let notices = &self.lock().notices;
        notices.add_to(response.headers_mut(), is_request);
        Ok(response)
    }

    async fn run(
        self,
        headers: &HeaderMap,
        body: Bytes,
        node: IpAddr,
    ) -> Result<Response<RunnerBody>, Broken> {
        let value = |name| {
            headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok())
        };
        let request_id = value(names::REQUEST_ID).unwrap_or_default().to_owned();
        self.lock().arrivals += 1;
        let fault = self.lock().fault;
        if fault == Some(Fault::Reject) {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, &request_id));
        }
        let pause = self.lock().notices.turn_away(node);
        if let Some(pause) = pause {
            return Ok(not_now(&request_id, pause));
        }
        let lacks_model = value(names::MODEL).is_some_and(|model| !self.holds(model));
        if self.engine.is_some() && lacks_model {
            return Ok(not_run(StatusCode::MISDIRECTED_REQUEST, &request_id));
        }
        let run = RunGuard::begin(&self, &request_id, headers, &body);
        self.crash_soon(&body);
        match fault {
            Some(Fault::ResetAfterRun) => {
                sleep(PLAIN_WORK).await;
                run.end();
                return Err(Broken);
            }
            Some(Fault::Silent) => std::future::pending().await,
            _ => {}
        }
        if self.engine.is_some() {
            let after = value(names::AFTER_EVENT)
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            return Ok(stream(run, &request_id, after, fault));
        }
        sleep(PLAIN_WORK).await;
        if self.is_deadly(&body) {
            std::future::pending::<()>().await;
        }
        run.end();
        let mut response = status(StatusCode::OK, body);
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
            pending_adapters: state.pending.clone(),
            copies: state.record.copies.clone(),
            queued: 0,
            running: 0,
            cache_used: 0,
        }
    }
}
