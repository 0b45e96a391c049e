//! A stand-in of a model runner, as PROTOCOL.md describes it: streams, reports, and orders that
//! it carries out one at a time. An order to load more than its memory holds makes it fall.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{Head, read_head, read_text, write_answer, write_chunk};
use crate::json::Json;
use crate::record::Record;
use crate::site::{ACCELERATOR_MB, LOAD_TIME, MODEL_MB, REPORT_LAG, SLOTS};
use crate::store::Store;

/// Time between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Events of a stream, and the time between two.
const EVENTS: u64 = 86;
const EVENT_GAP: Duration = Duration::from_millis(50);

/// What a report tells.
#[derive(Clone, Default)]
struct Inventory {
    models: Vec<String>,
    /// Number of orders taken.
    sequence: u64,
    /// Whether an order is under way.
    is_busy: bool,
}

#[derive(Default)]
struct State {
    inventory: Inventory,
    /// What reports tell, which is older.
    reported: Inventory,
    highest_token: u64,
    heartbeat: u64,
    /// Streams under way, by model.
    streams: Vec<(String, String)>,
    connections: Vec<TcpStream>,
}

/// An order that would load more than the runner's memory holds.
#[derive(Clone)]
pub struct Overload {
    pub runner: String,
    pub models: Vec<String>,
    pub model: String,
    /// Ids of the requests that ran there.
    pub running: Vec<String>,
}

/// A runner; clones share it.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    address: SocketAddr,
    zone: String,
    store: Store,
    record: Arc<Record>,
    state: Arc<Mutex<State>>,
    has_fallen: Arc<AtomicBool>,
    overloads: Arc<Mutex<Vec<Overload>>>,
}

impl Runner {
    /// Starts a runner that holds `models`. It adds to `overloads` the order that makes it fall.
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        models: &[&str],
        store: &Store,
        record: &Arc<Record>,
        overloads: &Arc<Mutex<Vec<Overload>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let models = models.iter().map(|model| (*model).to_owned()).collect();
        let inventory = Inventory {
            models,
            ..Inventory::default()
        };
        let runner = Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            store: store.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                reported: inventory.clone(),
                inventory,
                ..State::default()
            })),
            has_fallen: Arc::default(),
            overloads: overloads.clone(),
        };
        let (serving, beating) = (runner.clone(), runner.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                if runner.has_fallen.load(Ordering::SeqCst) {
                    return;
                }
                thread::spawn(move || runner.serve(stream));
            }
        });
        thread::spawn(move || {
            while !beating.has_fallen.load(Ordering::SeqCst) {
                beating.write_entry();
                sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_entry(&self) {
        let mut state = self.lock();
        state.heartbeat += 1;
        let entry = Json::object([
            ("service", Json::text("donor-llm")),
            ("address", Json::text(self.address.to_string())),
            ("zone", Json::text(&*self.zone)),
            ("version", Json::text("v1")),
            ("slots", SLOTS.into()),
            ("state", Json::text("available")),
            ("coldRemainingMs", 0.into()),
            ("sequenceNumber", state.heartbeat.into()),
            ("stage", Json::text("prefill_decode")),
            ("models", models_json(&state.inventory.models)),
        ]);
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry.to_string());
    }

    fn serve(&self, stream: TcpStream) {
        if let Ok(copy) = stream.try_clone() {
            self.lock().connections.push(copy);
        }
        // A connection that fails ends.
        let _ = self.serve_requests(stream);
    }

    fn serve_requests(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let head = read_head(&mut reader)?;
            let body = read_text(&mut reader, &head)?;
            let id = head.get("x-attempt-id").unwrap_or_default();
            let id_line = if id.is_empty() { String::new() } else { format!("X-Attempt-Id: {id}\r\n") };
            if head.get("x-target-instance").is_some_and(|target| target != self.id) {
                let headers = format!("{id_line}X-Instance-Id: {}\r\n", self.id);
                write_answer(&mut stream, 421, &headers, "")?;
                continue;
            }
            match head.part(1) {
                "/report" => {
                    let headers = "Content-Type: application/json\r\n";
                    write_answer(&mut stream, 200, headers, &self.report())?;
                }
                "/order" => {
                    let status = self.take_order(&Json::parse(&body).unwrap_or(Json::Null));
                    write_answer(&mut stream, status, "", "")?;
                }
                "/health" => {
                    let headers = format!("X-Instance-Id: {}\r\n", self.id);
                    write_answer(&mut stream, 200, &headers, "")?;
                }
                _ => self.run(&mut stream, &head, &id_line)?,
            }
        }
    }

    fn report(&self) -> String {
        let state = self.lock();
        let reported = &state.reported;
        Json::object([
            ("stage", Json::text("prefill_decode")),
            ("models", models_json(&reported.models)),
            ("utilization", Json::Bool(reported.is_busy)),
            ("sequenceNumber", reported.sequence.into()),
            ("queued", 0.into()),
            ("running", (state.streams.len() as u64).into()),
            ("kvCacheUsed", 0.into()),
            ("kvCacheTotal", 130_679.into()),
            ("handles", 0.into()),
        ])
        .to_string()
    }

    /// Changes what the runner holds; reports tell it a moment later.
    fn change(&self, state: &mut State, change: impl FnOnce(&mut Inventory)) {
        change(&mut state.inventory);
        let (runner, inventory) = (self.clone(), state.inventory.clone());
        thread::spawn(move || {
            sleep(REPORT_LAG);
            runner.lock().reported = inventory;
        });
    }

    /// Takes or rejects an order, and returns the status of the answer.
    fn take_order(&self, order: &Json) -> u16 {
        let (operation, model) = (order.str_of("operation"), order.str_of("model").to_owned());
        let token = order.number_of("fencingToken");
        let mut state = self.lock();
        let is_load = operation == "model_load";
        let status = if order.get("adapter").is_some() || order.str_of("holder").is_empty() {
            400
        } else if token < state.highest_token {
            412
        } else if state.inventory.is_busy
            || order.number_of("expectedCount") != state.inventory.sequence
        {
            409
        } else if state.inventory.models.contains(&model) == is_load {
            200
        } else {
            202
        };
        let (id, held) = (&self.id, &state.inventory.models);
        self.record.line(format!("order {id} holds {held:?} gets {order} answers {status}"));
        if status != 202 {
            return status;
        }
        state.highest_token = token;
        let needed = (state.inventory.models.len() as u64 + 1) * MODEL_MB;
        if is_load && needed > ACCELERATOR_MB {
            drop(state);
            self.fall(&model, needed);
            return 503;
        }
        self.change(&mut state, |inventory| {
            inventory.is_busy = true;
            inventory.sequence += 1;
        });
        let runner = self.clone();
        thread::spawn(move || runner.carry_out(is_load, &model));
        202
    }

    fn carry_out(&self, is_load: bool, model: &str) {
        if is_load {
            sleep(LOAD_TIME);
        } else {
            let has_streams = |state: &State| state.streams.iter().any(|(_, used)| used == model);
            while has_streams(&self.lock()) {
                sleep(Duration::from_millis(20));
            }
        }
        let mut state = self.lock();
        self.change(&mut state, |inventory| {
            inventory.is_busy = false;
            if is_load {
                inventory.models.push(model.to_owned());
            } else {
                inventory.models.retain(|held| held != model);
            }
        });
        let (id, held) = (&self.id, &state.inventory.models);
        self.record.line(format!("done  {id} now holds {held:?}"));
    }

    /// The end of a runner that was ordered to load more than it can hold: all connections are
    /// closed, and its entry goes after three heartbeats of silence.
    fn fall(&self, model: &str, needed: u64) {
        self.has_fallen.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        let running: Vec<String> = state.streams.iter().map(|(id, _)| id.clone()).collect();
        let (id, count) = (&self.id, running.len());
        self.record.line(format!(
            "FALL  {id} needs {needed} MB of {ACCELERATOR_MB} to load {model}; {count} requests run there"
        ));
        for connection in state.connections.drain(..) {
            // A connection may have ended already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        let overload = Overload {
            runner: self.id.clone(),
            models: state.inventory.models.clone(),
            model: model.to_owned(),
            running,
        };
        let mut overloads = self.overloads.lock().unwrap_or_else(PoisonError::into_inner);
        overloads.push(overload);
        let runner = self.clone();
        thread::spawn(move || {
            sleep(3 * HEARTBEAT);
            runner.store.remove(&format!("servers/{}", runner.id));
        });
    }

    /// Runs a request for a model: a stream of events.
    fn run(&self, stream: &mut TcpStream, head: &Head, id_line: &str) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let model = head.get("x-model").unwrap_or_default().to_owned();
        let mut state = self.lock();
        if !state.inventory.models.contains(&model) {
            drop(state);
            return write_answer(stream, 421, &format!("{id_line}X-Instance-Id: {}\r\n", self.id), "");
        }
        state.streams.push((id.clone(), model.clone()));
        drop(state);
        self.record.line(format!("run   {} {id} {model}", self.id));
        let begun = Instant::now();
        let result = self.stream_events(stream, head, id_line);
        self.lock().streams.retain(|(running, _)| *running != id);
        let end = if result.is_ok() { "whole" } else { "broken" };
        let seconds = begun.elapsed().as_secs_f64();
        self.record.line(format!("ran   {} {id} {end} after {seconds:.3} s", self.id));
        result
    }

    fn stream_events(&self, stream: &mut TcpStream, head: &Head, id_line: &str) -> io::Result<()> {
        let first = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_line}X-Server-Signature: sig-{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in first..=EVENTS {
            write_chunk(stream, &format!("id: {event}\ndata: tokens\n\n"))?;
            sleep(EVENT_GAP);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn models_json(models: &[String]) -> Json {
    let model_json = |model: &String| {
        Json::object([
            ("name", Json::text(&**model)),
            ("version", 1.into()),
            ("adapters", Json::List(Vec::new())),
        ])
    };
    Json::List(models.iter().map(model_json).collect())
}
