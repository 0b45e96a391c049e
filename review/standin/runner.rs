//! Runners: one of a plain service, and one that holds models and takes orders.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::{ZONES, free_address};
use crate::http::{Head, answer, read_body};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(60);

/// Answers that say that the request did not run.
const NOT_RUN: (&str, &str) = ("X-Not-Executed", "1");

/// A runner of a plain service, which answers each request with as many bytes as it is told.
pub struct PlainRunner;

impl PlainRunner {
    /// Starts runner `number` of the service `desk`.
    pub fn start(
        number: u8,
        store: &Store,
        record: &Record,
        answer_bytes: usize,
    ) -> io::Result<PlainRunner> {
        let address = free_address(100 + number)?;
        let id = format!("i-7f3a91c{number}");
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let listener = TcpListener::bind(address)?;
        let entry = move |beat: u64| {
            format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"available\",\"coldRemainingMs\":0,\
                 \"sequenceNumber\":{beat}}}"
            )
        };
        keep_entry(store, id.clone(), entry);
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                thread::spawn(move || serve_plain(stream, &id, &record, answer_bytes));
            }
        });
        Ok(PlainRunner)
    }
}

/// Writes the entry of the runner `id` at each heartbeat.
fn keep_entry(store: &Store, id: String, entry: impl Fn(u64) -> String + Send + 'static) {
    let store = store.clone();
    let key = format!("servers/{id}");
    store.put(&key, &entry(1));
    thread::spawn(move || {
        for beat in 2.. {
            thread::sleep(HEARTBEAT);
            store.put(&key, &entry(beat));
        }
    });
}

fn serve_plain(stream: TcpStream, id: &str, record: &Record, answer_bytes: usize) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = Head::read(&mut reader) {
        read_body(&mut reader, &head).ok()?;
        let request = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head
            .get("x-target-instance")
            .is_some_and(|target| target != id)
        {
            let headers = [("X-Attempt-Id", &*request), ("X-Instance-Id", id), NOT_RUN];
            answer(&mut writer, 421, &headers, b"").ok()?;
            continue;
        }
        record.line(&format!("runner {id} runs {request}"));
        thread::sleep(WORK);
        let headers = [
            ("X-Attempt-Id", &*request),
            ("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Keep-Alive", "timeout=5"),
        ];
        let written = answer(&mut writer, 200, &headers, &vec![b'x'; answer_bytes]);
        let end = if written.is_ok() { "whole" } else { "cut" };
        record.line(&format!(
            "runner {id} has written its answer to {request}: {end}"
        ));
        written.ok()?;
    }
    Some(())
}

/// The figures of a runner that holds models.
const SLOTS: usize = 64;
const ADAPTER_CAPACITY: usize = 8;
const MEMORY_MB: f64 = 230_000.0;
const WEIGHTS_MB: f64 = 72_700.0;
const ADAPTER_MB: f64 = 66.0;
const LOAD_TIME: Duration = Duration::from_secs(6);
const ADAPTER_TIME: Duration = Duration::from_millis(7);
/// Time until a stream's first event, between two events, and number of events.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const EVENT_GAP: Duration = Duration::from_millis(15);
const EVENTS: usize = 12;

/// An order as it arrived at a runner.
#[derive(Debug, Clone)]
pub struct ArrivedOrder {
    pub at: Instant,
    pub runner: String,
    pub holder: String,
    pub token: u64,
}

/// The orders of a run, in the sequence of their arrival.
pub type Orders = Arc<Mutex<Vec<ArrivedOrder>>>;

struct HeldModel {
    /// When the model is there.
    ready_at: Instant,
    /// The adapters, and when each is there.
    adapters: BTreeMap<String, Instant>,
}

struct EngineState {
    sequence: u64,
    models: BTreeMap<String, HeldModel>,
    /// Until when a model's load or unload is under way.
    busy_until: Instant,
    /// Running requests by model and adapter.
    running: BTreeMap<(String, String), usize>,
}

impl EngineState {
    fn used_mb(&self) -> f64 {
        let adapters = self.adapter_count() as f64 * ADAPTER_MB;
        self.models.len() as f64 * WEIGHTS_MB + adapters
    }

    fn adapter_count(&self) -> usize {
        self.models.values().map(|held| held.adapters.len()).sum()
    }

    fn running_count(&self) -> usize {
        self.running.values().sum()
    }

    fn is_busy(&self) -> bool {
        self.busy_until > Instant::now()
    }

    /// The models that are there, as the entry and the report list them.
    fn models_text(&self) -> String {
        let now = Instant::now();
        let there = self.models.iter().filter(|(_, held)| held.ready_at <= now);
        let models: Vec<String> = there
            .map(|(name, held)| {
                let there = held.adapters.iter().filter(|(_, at)| **at <= now);
                let adapters: Vec<String> = there.map(|(name, _)| format!("\"{name}\"")).collect();
                let adapters = adapters.join(",");
                format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}")
            })
            .collect();
        models.join(",")
    }

    fn pending_text(&self) -> String {
        let now = Instant::now();
        let mut pending = Vec::new();
        for (model, held) in &self.models {
            let coming = held.adapters.iter().filter(|(_, at)| **at > now);
            pending.extend(coming.map(|(name, _)| format!("\"{model}/{name}@1\"")));
        }
        pending.join(",")
    }

    fn holds(&self, model: &str, adapter: &str) -> bool {
        let now = Instant::now();
        let held = self.models.get(model).filter(|held| held.ready_at <= now);
        held.is_some_and(|held| {
            adapter.is_empty() || held.adapters.get(adapter).is_some_and(|at| *at <= now)
        })
    }
}

/// A runner that holds models, and takes orders from whoever gives some.
#[derive(Clone)]
pub struct EngineRunner {
    id: String,
    state: Arc<Mutex<EngineState>>,
    orders: Orders,
    record: Record,
}

impl EngineRunner {
    /// Starts runner `number` of the service `lm`, which holds the model `m0`. `entry_address`
    /// is the address that its entry names, `address` the one on which it listens.
    pub fn start(
        number: u8,
        (address, entry_address): (SocketAddr, SocketAddr),
        store: &Store,
        record: &Record,
        orders: &Orders,
    ) -> io::Result<()> {
        let first = HeldModel {
            ready_at: Instant::now(),
            adapters: BTreeMap::new(),
        };
        let state = EngineState {
            sequence: 0,
            models: BTreeMap::from([("m0".to_owned(), first)]),
            busy_until: Instant::now(),
            running: BTreeMap::new(),
        };
        let runner = EngineRunner {
            id: format!("i-02d9e6b{number}"),
            state: Arc::new(Mutex::new(state)),
            orders: orders.clone(),
            record: record.clone(),
        };
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let listener = TcpListener::bind(address)?;
        let state = runner.state.clone();
        let entry = move |beat: u64| {
            let models = state
                .lock()
                .expect("the state's lock is sound")
                .models_text();
            format!(
                "{{\"service\":\"lm\",\"address\":\"{entry_address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"available\",\
                 \"coldRemainingMs\":0,\"stage\":\"prefill_decode\",\"models\":[{models}],\
                 \"sequenceNumber\":{beat}}}"
            )
        };
        keep_entry(store, runner.id.clone(), entry);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = runner.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let arrived = Instant::now();
            let body = read_body(&mut reader, &head).ok()?;
            let request = head.get("x-attempt-id").unwrap_or_default().to_owned();
            let is_other = head
                .get("x-target-instance")
                .is_some_and(|id| id != self.id);
            if is_other {
                let headers = [
                    ("X-Attempt-Id", &*request),
                    ("X-Instance-Id", &*self.id),
                    NOT_RUN,
                ];
                answer(&mut writer, 421, &headers, b"").ok()?;
                continue;
            }
            match (head.method(), head.target()) {
                ("GET", "/report") => {
                    let json = [("Content-Type", "application/json")];
                    answer(&mut writer, 200, &json, self.report().as_bytes()).ok()?;
                }
                ("POST", "/order") => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let status = self.take_order(&text, arrived);
                    answer(&mut writer, status, &[], b"").ok()?;
                }
                _ => self.run(&mut writer, &head, &request)?,
            }
        }
        Some(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineState> {
        self.state.lock().expect("the state's lock is sound")
    }

    fn report(&self) -> String {
        let state = self.lock();
        format!(
            "{{\"stage\":\"prefill_decode\",\"models\":[{}],\"utilization\":{},\
             \"sequenceNumber\":{},\"queued\":0,\"running\":{},\"kvCacheUsed\":0,\
             \"kvCacheTotal\":135497,\"handles\":0,\"pending\":[{}]}}",
            state.models_text(),
            state.is_busy(),
            state.sequence,
            state.running_count(),
            state.pending_text()
        )
    }

    fn take_order(&self, text: &str, at: Instant) -> u16 {
        let Some(order) = Json::parse(text) else {
            return 400;
        };
        let status = self.carry_out(&order);
        let field = |name: &str| order.get(name).text().unwrap_or_default().to_owned();
        let arrived = ArrivedOrder {
            at,
            runner: self.id.clone(),
            holder: field("holder"),
            token: order.get("fencingToken").number().unwrap_or(0),
        };
        let what = format!(
            "{} {}/{}",
            field("operation"),
            field("model"),
            field("adapter")
        );
        self.record.line(&format!(
            "order at {}: {what} from {} with token {}, answered {status}",
            arrived.runner, arrived.holder, arrived.token
        ));
        let mut orders = self.orders.lock().expect("the orders' lock is sound");
        orders.push(arrived);
        status
    }

    fn carry_out(&self, order: &Json) -> u16 {
        let mut state = self.lock();
        let expected = order.get("expectedCount").number();
        if state.is_busy() || expected.is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        let model = order.get("model").text().unwrap_or_default().to_owned();
        let adapter = order.get("adapter").text().map(str::to_owned);
        let now = Instant::now();
        match (order.get("operation").text(), adapter) {
            (Some("model_load"), Some(adapter)) => {
                let has_room = state.adapter_count() < ADAPTER_CAPACITY;
                let Some(held) = state.models.get_mut(&model) else {
                    return 400;
                };
                if held.adapters.contains_key(&adapter) {
                    return 200;
                }
                if !has_room {
                    return 400;
                }
                held.adapters.insert(adapter, now + ADAPTER_TIME);
                state.sequence += 1;
                202
            }
            (Some("model_load"), None) => {
                if state.models.contains_key(&model) {
                    return 200;
                }
                if state.used_mb() + WEIGHTS_MB > MEMORY_MB {
                    return 400;
                }
                let held = HeldModel {
                    ready_at: now + LOAD_TIME,
                    adapters: BTreeMap::new(),
                };
                state.models.insert(model, held);
                state.busy_until = now + LOAD_TIME;
                state.sequence += 1;
                202
            }
            (Some("model_unload"), Some(adapter)) => {
                let key = (model.clone(), adapter.clone());
                if state.running.get(&key).is_some_and(|running| *running > 0) {
                    return 409;
                }
                if let Some(held) = state.models.get_mut(&model) {
                    held.adapters.remove(&adapter);
                }
                state.sequence += 1;
                200
            }
            (Some("model_unload"), None) => {
                state.models.remove(&model);
                state.sequence += 1;
                202
            }
            _ => 400,
        }
    }

    /// Runs a request: a stream of events.
    fn run(&self, writer: &mut TcpStream, head: &Head, request: &str) -> Option<()> {
        let wanted = head.get("x-model").unwrap_or_default();
        let (model, adapter) = wanted.split_once('/').unwrap_or((wanted, ""));
        let key = (model.to_owned(), adapter.to_owned());
        let status = {
            let mut state = self.lock();
            if !state.holds(model, adapter) {
                421
            } else if state.running_count() >= SLOTS {
                503
            } else {
                *state.running.entry(key.clone()).or_default() += 1;
                200
            }
        };
        if status != 200 {
            let headers = [
                ("X-Attempt-Id", request),
                ("X-Instance-Id", &*self.id),
                NOT_RUN,
            ];
            return answer(writer, status, &headers, b"").ok();
        }
        let written = write_stream(writer, request);
        if let Some(running) = self.lock().running.get_mut(&key) {
            *running -= 1;
        }
        written.ok()
    }
}

fn write_stream(writer: &mut TcpStream, request: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\n\
         X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    thread::sleep(FIRST_EVENT);
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        writer.write_all(chunk.as_bytes())?;
        thread::sleep(EVENT_GAP);
    }
    writer.write_all(b"0\r\n\r\n")
}
