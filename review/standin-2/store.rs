//! A stand-in of the platform's metadata store, as PROTOCOL.md describes it: items under
//! revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_head, read_text, write_answer};
use crate::json::Json;

/// Most items of one answer to `kv-range`.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ends_at: Instant,
    time: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change with its revision, as watches tell it.
    history: Vec<(u64, String, Json)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            shared: Arc::default(),
        };
        let (serving, expiring) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().write(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes an item as a runner's lapse does.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        // A connection that fails ends; the other side opens another one.
        let _ = self.serve_calls(stream);
    }

    fn serve_calls(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let head = read_head(&mut reader)?;
            let body = read_text(&mut reader, &head)?;
            let (status, answer) = self.answer(&head, &body);
            let body = answer.map(|answer| answer.to_string()).unwrap_or_default();
            write_answer(&mut stream, status, "Content-Type: application/json\r\n", &body)?;
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, Option<Json>) {
        let target = head.part(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = Query(query);
        if let Some(id) = path.strip_prefix("/kv-keep/") {
            return self.keep(id.parse().unwrap_or(0));
        }
        if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            let is_known = self.lock().end_lease(id.parse().unwrap_or(0));
            self.shared.1.notify_all();
            return if is_known { (204, None) } else { (404, Some(Json::object([]))) };
        }
        match path {
            "/kv-key" => self.key(&query.text("privateKey")),
            "/kv-range" => self.range(&query.text("pathPrefix"), &query.text("after")),
            "/kv-watch" => self.watch(&query),
            "/kv-txn" => self.commit(&Json::parse(body).unwrap_or(Json::Null)),
            "/kv-lease" => self.grant(&Json::parse(body).unwrap_or(Json::Null)),
            _ => (400, Some(Json::object([]))),
        }
    }

    fn key(&self, key: &str) -> (u16, Option<Json>) {
        let state = self.lock();
        let timestamp = ("timestamp", state.revision.into());
        let Some(item) = state.items.get(key) else {
            return (404, Some(Json::object([timestamp])));
        };
        let Json::Object(mut fields) = item_json(key, item) else {
            return (400, None);
        };
        fields.insert(timestamp.0.to_owned(), timestamp.1);
        (200, Some(Json::Object(fields)))
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Option<Json>) {
        let state = self.lock();
        let is_in = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let keys: Vec<&String> = state.items.keys().filter(is_in).collect();
        let page = keys.iter().take(PAGE);
        let items = page.map(|key| item_json(key, &state.items[*key])).collect();
        let answer = Json::object([
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(keys.len() > PAGE)),
            ("timestamp", state.revision.into()),
        ]);
        (200, Some(answer))
    }

    fn watch(&self, query: &Query<'_>) -> (u16, Option<Json>) {
        let prefix = query.text("pathPrefix");
        let after: u64 = query.text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query.text("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let is_new = |(revision, key, _): &&(u64, String, Json)| {
                *revision > after && key.starts_with(&prefix)
            };
            let new = state.history.iter().filter(is_new);
            let events: Vec<Json> = new.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = Json::object([
                    ("events", Json::List(events)),
                    ("timestamp", state.revision.into()),
                ]);
                return (200, Some(answer));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn commit(&self, call: &Json) -> (u16, Option<Json>) {
        let mut state = self.lock();
        let conditions = call.list_of("expectedCount");
        let holds = |row: &Json| {
            let item = state.items.get(row.str_of("privateKey"));
            item.map_or(0, |item| item.revision) == row.number_of("revision")
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|row| row.str_of("privateKey"));
            let known = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
            let items = Json::List(known.collect());
            return (412, Some(Json::object([("items", items)])));
        }
        let writes = call.list_of("write");
        let has_lease = |write: &Json| {
            let lease = write.number_of("lease");
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return (404, Some(Json::object([])));
        }
        for write in writes {
            let value = write.str_of("value").to_owned();
            state.write(write.str_of("privateKey"), value, write.number_of("lease"));
        }
        for key in call.list_of("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        self.shared.1.notify_all();
        (200, Some(Json::object([("revision", state.revision.into())])))
    }

    fn grant(&self, call: &Json) -> (u16, Option<Json>) {
        let mut state = self.lock();
        let milliseconds = call.number_of("ttlMs");
        let time = Duration::from_millis(milliseconds);
        state.last_lease += 1;
        let id = state.last_lease;
        let ends_at = Instant::now() + time;
        state.leases.insert(id, Lease { ends_at, time });
        (200, Some(Json::object([("lease", id.into()), ("ttlMs", milliseconds.into())])))
    }

    fn keep(&self, id: u64) -> (u16, Option<Json>) {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return (404, Some(Json::object([])));
        };
        lease.ends_at = Instant::now() + lease.time;
        let milliseconds = lease.time.as_millis() as u64;
        (200, Some(Json::object([("lease", id.into()), ("ttlMs", milliseconds.into())])))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.history.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let event = Json::object([
            ("privateKey", Json::text(key)),
            ("revision", self.revision.into()),
            ("deleted", Json::Bool(true)),
        ]);
        self.history.push((self.revision, key.to_owned(), event));
    }

    /// Ends a lease and removes its keys. Returns whether there was one.
    fn end_lease(&mut self, id: u64) -> bool {
        let is_known = self.leases.remove(&id).is_some();
        let keys = self.items.iter().filter(|(_, item)| is_known && item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        is_known
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::object([
        ("privateKey", Json::text(key)),
        ("value", Json::text(&*item.value)),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

/// The query of a target.
struct Query<'a>(&'a str);

impl Query<'_> {
    /// Returns a parameter without its percent encoding; empty if it is missing.
    fn text(&self, name: &str) -> String {
        let mut pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value);
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            if byte != b'%' {
                bytes.push(byte);
                continue;
            }
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Encodes bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index > group.len() { '=' } else { sign as char });
        }
    }
    text
}
