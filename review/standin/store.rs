//! The platform's store: keys with revisions, leases, watches, and writes under conditions.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, answer, read_body};
use crate::json::{Json, base64, escape};
use crate::record::Record;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time between two looks at which leases are over.
const LEASE_CHECK: Duration = Duration::from_millis(2);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store; clones are the same store.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts a store on `address`.
    pub fn start(address: SocketAddr, record: &Record) -> io::Result<Store> {
        let store = Store {
            data: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                expiring.end_leases();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.0.lock().expect("the store's lock is sound")
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().write(key, base64(value.as_bytes()), 0);
        self.data.1.notify_all();
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut data = self.lock();
        let over: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            data.end_lease(lease);
            self.data.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let body = read_body(&mut reader, &head).ok()?;
            let (status, text) = self.carry_out(&head, &String::from_utf8_lossy(&body));
            thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json")];
            answer(&mut writer, status, &headers, text.as_bytes()).ok()?;
        }
        Some(())
    }

    fn carry_out(&self, head: &Head, body: &str) -> (u16, String) {
        let path = head.target().split('?').next().unwrap_or_default();
        let lease_in = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
        match (head.method(), path) {
            ("GET", "/kv-range") => self.range(head),
            ("GET", "/kv-watch") => self.watch(head),
            ("POST", "/kv-txn") => self.transact(body),
            ("POST", "/kv-lease") => self.grant(body),
            ("POST", _) if lease_in("/kv-keep/").is_some() => {
                self.renew(lease_in("/kv-keep/").unwrap_or(0))
            }
            ("DELETE", _) if lease_in("/kv-lease-end/").is_some() => {
                let lease = lease_in("/kv-lease-end/").unwrap_or(0);
                self.record
                    .line(&format!("store: its holder ends lease {lease}"));
                self.lock().end_lease(lease);
                self.data.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn range(&self, head: &Head) -> (u16, String) {
        let prefix = head.query("pathPrefix").unwrap_or_default();
        let after = head.query("after");
        let data = self.lock();
        let items: Vec<String> = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .map(|(key, item)| written(key, item))
            .collect();
        let items = items.join(",");
        let timestamp = data.revision;
        let text = format!("{{\"items\":[{items}],\"hasMore\":false,\"timestamp\":{timestamp}}}");
        (200, text)
    }

    fn watch(&self, head: &Head) -> (u16, String) {
        let prefix = head.query("pathPrefix").unwrap_or_default();
        let number = |name: &str| head.query(name).and_then(|value| value.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut data = self.lock();
        loop {
            let events: Vec<String> = data
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => written(&change.key, item),
                    None => format!(
                        "{{\"privateKey\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        escape(&change.key),
                        change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let timestamp = data.revision;
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"timestamp\":{timestamp}}}"),
                );
            }
            let waited = self.data.1.wait_timeout(data, until - now);
            data = waited.expect("the store's lock is sound").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut data = self.lock();
        let leases = &data.leases;
        let lacks_lease = |write: &Json| {
            let lease = write.get("lease").number().unwrap_or(0);
            lease != 0 && !leases.contains_key(&lease)
        };
        if call.get("write").list().iter().any(lacks_lease) {
            return (404, "{}".to_owned());
        }
        let holds = |condition: &Json| {
            let key = condition.get("privateKey").text().unwrap_or_default();
            let revision = data.items.get(key).map_or(0, |item| item.revision);
            condition.get("revision").number() == Some(revision)
        };
        if !call.get("expectedCount").list().iter().all(holds) {
            return (412, "{\"items\":[]}".to_owned());
        }
        for write in call.get("write").list() {
            let key = write.get("privateKey").text().unwrap_or_default();
            let value = write.get("value").text().unwrap_or_default();
            let lease = write.get("lease").number().unwrap_or(0);
            self.record
                .line(&format!("store: {key} is written under lease {lease}"));
            data.write(key, value.to_owned(), lease);
        }
        for key in call.get("remove").list() {
            data.remove(key.text().unwrap_or_default());
        }
        let revision = data.revision;
        drop(data);
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &str) -> (u16, String) {
        let asked = Json::parse(body).and_then(|call| call.get("ttlMs").number());
        let time = Duration::from_millis(asked.unwrap_or(0).max(1000));
        let mut data = self.lock();
        data.last_lease += 1;
        let lease = data.last_lease;
        data.leases.insert(lease, (time, Instant::now() + time));
        let milliseconds = time.as_millis();
        (
            200,
            format!("{{\"lease\":{lease},\"ttlMs\":{milliseconds}}}"),
        )
    }

    fn renew(&self, lease: u64) -> (u16, String) {
        match self.lock().leases.get_mut(&lease) {
            Some((time, until)) => {
                *until = Instant::now() + *time;
                (200, format!("{{\"ttlMs\":{}}}", time.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl Data {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>) {
        let (revision, key) = (self.revision, key.to_owned());
        self.changes.push(Change {
            revision,
            key,
            item,
        });
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn written(key: &str, item: &Item) -> String {
    format!(
        "{{\"privateKey\":\"{}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        escape(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}
