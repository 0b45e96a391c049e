//! A runner that is full at times asks for rest, and some of its answers come a second time, late.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::gateway::{Gateway, ZONES, free_address};
use crate::http::{Head, answer, read_body};
use crate::record::Record;
use crate::runner::{NOT_RUN, keep_entry};
use crate::store::Store;

/// Number of gateways, each with one client.
const GATEWAYS: u8 = 6;
/// Time for which the clients send requests.
const TRAFFIC: Duration = Duration::from_secs(75);
/// The runner is full at the beginning of each period.
const PERIOD: Duration = Duration::from_millis(1500);
const FULL_FOR: Duration = Duration::from_millis(300);
/// Rest that the full runner asks for.
const REST_SECONDS: &str = "1";
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// One in this many answers comes a second time, late (x = 0.03), for 5 s at a time.
const LATE_COPY_OF: u64 = 34;
const TROUBLE_FOR: Duration = Duration::from_secs(5);
const TROUBLE_EACH: Duration = Duration::from_secs(6);
/// The clients' deadline; the route's timeout is 2,500 ms.
const DEADLINE_MS: u32 = 2300;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The runner of the service `desk`.
#[derive(Clone)]
struct Runner {
    id: &'static str,
    record: Record,
    began: Instant,
    sends_copies: bool,
    answers: Arc<Mutex<u64>>,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store_address = free_address(200)?;
    let store = Store::start(store_address, record)?;
    store.put("op/config", CONFIGURATION);
    let runner = Runner {
        id: "i-7f3a91c1",
        record: record.clone(),
        began: Instant::now(),
        sends_copies: has_trouble,
        answers: Arc::default(),
        runs: Arc::default(),
    };
    runner.start(&store)?;
    let mut gateways = Vec::new();
    for number in 1..=GATEWAYS {
        gateways.push(Gateway::start(number, folder, store_address)?);
    }
    thread::sleep(Duration::from_secs(3));
    let refused = Arc::new(Mutex::new(BTreeSet::new()));
    let mut clients = Vec::new();
    for (number, gateway) in gateways.iter().enumerate() {
        let (frontend, refused, record) = (gateway.frontend, refused.clone(), record.clone());
        clients.push(thread::spawn(move || {
            ask_again_and_again(number, frontend, &refused, &record);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let runs = runner.runs.lock().expect("the runs' lock is sound");
    let refused = refused.lock().expect("the refusals' lock is sound");
    let mut verdict = Verdict::Held;
    for (id, count) in runs.iter() {
        if *count > 1 {
            record.line(&format!("TWICE: {id} has run {count} times"));
            verdict = Verdict::Broken;
        }
        if refused.contains(id) {
            record.line(&format!(
                "REFUSED: {id} has run, and its client was told that it never will"
            ));
            verdict = Verdict::Broken;
        }
    }
    record.line(&format!("{} requests have run", runs.len()));
    Ok(if runs.is_empty() {
        Verdict::NotTried
    } else {
        verdict
    })
}

impl Runner {
    fn start(&self, store: &Store) -> io::Result<()> {
        let address = free_address(101)?;
        let listener = TcpListener::bind(address)?;
        let zone = ZONES[0];
        let entry = move |beat: u64| {
            format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"available\",\"coldRemainingMs\":0,\
                 \"sequenceNumber\":{beat}}}"
            )
        };
        keep_entry(store, self.id.to_owned(), entry);
        let runner = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = runner.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(())
    }

    fn is_full(&self) -> bool {
        let period = PERIOD.as_millis();
        self.began.elapsed().as_millis() % period < FULL_FOR.as_millis()
    }

    /// Whether the answer that is sent now comes a second time.
    fn comes_twice(&self) -> bool {
        let mut answers = self.answers.lock().expect("the answers' lock is sound");
        *answers += 1;
        let since = self.began.elapsed().as_millis() % TROUBLE_EACH.as_millis();
        let is_struck = self.sends_copies && since < TROUBLE_FOR.as_millis();
        is_struck && *answers % LATE_COPY_OF == 0
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        // A copy of a former answer, to be sent in the place where the next one is due.
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(head)) = Head::read(&mut reader) {
            read_body(&mut reader, &head).ok()?;
            let request = head.get("x-attempt-id").unwrap_or_default().to_owned();
            if let Some(copy) = late_copy.take() {
                self.record
                    .line(&format!("a late copy is sent as {request} arrives"));
                writer.write_all(&copy).ok()?;
            }
            let bytes = self.answer_to(&request).ok()?;
            writer.write_all(&bytes).ok()?;
            late_copy = self.comes_twice().then_some(bytes);
        }
        Some(())
    }

    /// Runs the request, unless the runner is full, and returns the answer.
    fn answer_to(&self, request: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let id = ("X-Attempt-Id", request);
        let keep_alive = ("Keep-Alive", "timeout=5");
        if self.is_full() {
            self.record
                .line(&format!("the runner is full, {request} doesn't run"));
            let headers = [id, NOT_RUN, ("Retry-After", REST_SECONDS), keep_alive];
            answer(&mut bytes, 503, &headers, b"")?;
            return Ok(bytes);
        }
        self.record.line(&format!("the runner runs {request}"));
        let mut runs = self.runs.lock().expect("the runs' lock is sound");
        *runs.entry(request.to_owned()).or_default() += 1;
        drop(runs);
        thread::sleep(WORK);
        let signature = ("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        answer(&mut bytes, 200, &[id, signature, keep_alive], &[b'x'; 800])?;
        Ok(bytes)
    }
}

/// Sends one request after the other, each under an id of its own.
fn ask_again_and_again(
    client: usize,
    frontend: SocketAddr,
    refused: &Mutex<BTreeSet<String>>,
    record: &Record,
) {
    let began = Instant::now();
    for number in 0_u32.. {
        if began.elapsed() > TRAFFIC {
            return;
        }
        let id = format!("{:08x}{number:08x}", 0x5a00_0000 + client);
        let status = ask(frontend, &id).unwrap_or(0);
        record.line(&format!("the client of {id} gets {status}"));
        if PROMISES.contains(&status) {
            let mut refused = refused.lock().expect("the refusals' lock is sound");
            refused.insert(id);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn ask(frontend: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(frontend)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let request = format!(
        "POST /order/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    Ok(head.status())
}

const CONFIGURATION: &str = r#"{"version":1,
"routes":[{"name":"r-order","host":"desk.example","pathPrefix":"/order/","kind":"non_idempotent",
"timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","healthCheckPath":"/health","connectionLimit":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;
