//! The machine that holds the lease gets SIGTERM while an order of its is on the way: the
//! order's packet was lost, and TCP sends it again.
//!
//! Without the disruption no packet is lost, and no order is on the way at the SIGTERM: the
//! clients pause around it.

use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::gateway::{Gateway, free_address};
use crate::http::{Head, read_body};
use crate::record::Record;
use crate::runner::{ArrivedOrder, EngineRunner, Orders};
use crate::store::Store;

/// Number of gateways, and of runners.
const MACHINES: u8 = 3;
/// `leaseDurationMs` of the settings.
const LEASE_DURATION: Duration = Duration::from_millis(3000);
/// Time from a packet's loss until it arrives: TCP sends it again after 200 ms at the earliest.
const LOST_PACKET_DELAY: Duration = Duration::from_millis(250);
/// Time from the order until the SIGTERM.
const SIGTERM_AFTER: Duration = Duration::from_millis(20);
/// Time with traffic before the disruption, and after it.
const BEFORE: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(9);
/// Time for which the clients pause before the SIGTERM and after it, without the disruption.
const PAUSE: Duration = Duration::from_millis(800);
/// Number of clients, and of adapters that they ask for.
const CLIENTS: u64 = 24;
const ADAPTERS: u64 = 28;

/// What the links to the runners do to the next order.
#[derive(Default)]
struct Links {
    /// Whether the packet of the next order is lost once.
    loses_next_order: bool,
    /// Told the holder of the order when it is sent.
    order_sent: Option<Sender<String>>,
}

type SharedLinks = Arc<Mutex<Links>>;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store_address = free_address(200)?;
    let store = Store::start(store_address, record)?;
    store.put("op/config", &configuration());
    let orders = Orders::default();
    let links = SharedLinks::default();
    for number in 1..=MACHINES {
        let address = free_address(100 + number)?;
        let entry_address = free_address(120 + number)?;
        start_link(entry_address, address, &links, record)?;
        let addresses = (address, entry_address);
        EngineRunner::start(number, addresses, &store, record, &orders)?;
    }
    let mut gateways = Vec::new();
    for number in 1..=MACHINES {
        gateways.push(Gateway::start(number, folder, store_address)?);
    }
    let frontends: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.frontend).collect();
    let pauses = Arc::new(AtomicBool::new(false));
    for number in 0..CLIENTS {
        let (frontends, pauses) = (frontends.clone(), pauses.clone());
        thread::spawn(move || ask_for_ever(number, &frontends, &pauses));
    }
    thread::sleep(BEFORE);
    let (sender, sent) = mpsc::channel();
    {
        let mut links = links.lock().expect("the links' lock is sound");
        links.loses_next_order = has_trouble;
        links.order_sent = Some(sender);
    }
    let Ok(holder) = sent.recv_timeout(Duration::from_secs(20)) else {
        record.line("no order was given");
        return Ok(Verdict::NotTried);
    };
    if has_trouble {
        thread::sleep(SIGTERM_AFTER);
    } else {
        pauses.store(true, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
    let leader = gateways.iter().find(|gateway| gateway.name == holder);
    let leader = leader.ok_or_else(|| io::Error::other("the holder is no gateway"))?;
    record.line(&format!("SIGTERM to {holder}"));
    leader.terminate();
    thread::sleep(PAUSE);
    pauses.store(false, Ordering::Relaxed);
    thread::sleep(AFTER);
    let orders = orders.lock().expect("the orders' lock is sound").clone();
    Ok(judge(&orders, record))
}

/// Judges the rule ONE where runners check no fences: orders of two holders to one runner are
/// at least `leaseDurationMs` apart, and fencing tokens neither fall nor are shared.
fn judge(orders: &[ArrivedOrder], record: &Record) -> Verdict {
    let mut verdict = Verdict::NotTried;
    let mut runners: Vec<&str> = orders.iter().map(|order| &*order.runner).collect();
    runners.sort_unstable();
    runners.dedup();
    for runner in runners {
        let mut own: Vec<&ArrivedOrder> = orders
            .iter()
            .filter(|order| order.runner == runner)
            .collect();
        own.sort_by_key(|order| order.at);
        for pair in own.windows(2) {
            let (former, latter) = (pair[0], pair[1]);
            if former.holder == latter.holder {
                continue;
            }
            let gap = latter.at - former.at;
            record.line(&format!(
                "{runner}: order of {} {} ms after the last of {}, tokens {} and {}",
                latter.holder,
                gap.as_millis(),
                former.holder,
                latter.token,
                former.token
            ));
            if gap < LEASE_DURATION || latter.token <= former.token {
                record.line("ONE: two holders take turns within leaseDurationMs");
                verdict = Verdict::Broken;
            } else if verdict == Verdict::NotTried {
                verdict = Verdict::Held;
            }
        }
    }
    verdict
}

/// Starts a link: copies bytes between those who connect to `from` and the runner at `to`.
fn start_link(
    from: SocketAddr,
    to: SocketAddr,
    links: &SharedLinks,
    record: &Record,
) -> io::Result<()> {
    let listener = TcpListener::bind(from)?;
    let (links, record) = (links.clone(), record.clone());
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (Ok(near_writer), Ok(far_writer)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            let (links, record) = (links.clone(), record.clone());
            thread::spawn(move || copy_requests(near, far_writer, &links, &record));
            thread::spawn(move || copy_answers(far, near_writer));
        }
    });
    Ok(())
}

fn copy_answers(mut from: TcpStream, mut to: TcpStream) {
    let _ = io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
}

/// Copies what a gateway sends, and loses the packet of an order once if it is to.
fn copy_requests(mut from: TcpStream, mut to: TcpStream, links: &SharedLinks, record: &Record) {
    let mut bytes = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        if length == 0 {
            break;
        }
        if let Some(holder) = holder_of_order(&bytes[..length]) {
            let mut links = links.lock().expect("the links' lock is sound");
            let is_lost = std::mem::take(&mut links.loses_next_order);
            if let Some(order_sent) = links.order_sent.take() {
                let _ = order_sent.send(holder.clone());
            }
            drop(links);
            if is_lost {
                record.line(&format!(
                    "an order of {holder} is sent, its packet is lost once"
                ));
                thread::sleep(LOST_PACKET_DELAY);
                if is_reset(&from) {
                    record.line("the order's connection was reset meanwhile");
                    break;
                }
            }
        }
        if to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Whether the sender has reset the connection, so that TCP sends nothing again.
fn is_reset(stream: &TcpStream) -> bool {
    let error = stream.take_error();
    if !matches!(error, Ok(None)) {
        return true;
    }
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() != io::ErrorKind::WouldBlock)
}

/// The holder that an order names; `None` if `bytes` are no order.
fn holder_of_order(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    if !text.starts_with("POST /order ") {
        return None;
    }
    let (_, rest) = text.split_once("\"holder\":\"")?;
    Some(rest.split('"').next()?.to_owned())
}

/// Asks for one adapter after the other, at the gateways in turn.
fn ask_for_ever(client: u64, frontends: &[SocketAddr], pauses: &AtomicBool) {
    let mut draw = 0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(client + 1);
    for number in 0_u64.. {
        while pauses.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        let adapter = 1 + draw % ADAPTERS;
        let id = format!("{:08x}{number:08x}", 0x5a00_0000 + client);
        let frontend = frontends[(client + number) as usize % frontends.len()];
        if ask(frontend, &id, adapter).is_err() {
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn ask(frontend: SocketAddr, id: &str, adapter: u64) -> io::Result<()> {
    let mut stream = TcpStream::connect(frontend)?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let request = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: lm.example\r\nX-Attempt-Id: {id}\r\n\
         X-Model: m0/a{adapter}\r\nX-Token-Usage: 600,20\r\n\
         X-Prompt-Prefix: 5c1e07a2:400,{id}:200\r\nX-Deadline-Ms: 15000\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    if let Some(pause) = head.get("retry-after") {
        let seconds: f64 = pause.parse().unwrap_or(0.3);
        thread::sleep(Duration::from_secs_f64(seconds.clamp(0.02, 2.0)));
    }
    Ok(())
}

fn configuration() -> String {
    let models: Vec<String> = (0..4)
        .map(|number| {
            format!(
                "{{\"name\":\"m{number}\",\"weightsMb\":72700.0,\"loadTimeS\":6.0,\
                 \"adapters\":{ADAPTERS},\"adapterMb\":66.0,\"warmUpS\":0.47,\"diskLoadS\":0.84}}"
            )
        })
        .collect();
    let models = models.join(",");
    format!(
        r#"{{"version":1,
"routes":[{{"name":"r-chat","host":"lm.example","pathPrefix":"/chat/","kind":"streaming",
"timeoutMs":15000,"targetLatencyMs":400,"priority":1,"service":"lm","maxAttempts":2,
"sessionAffinity":true,"resumable":true,"targetGapMs":300}}],
"services":[{{"name":"lm","healthCheckPath":"/health","connectionLimit":360,
"inferenceEngine":{{"slots":64,"kvCacheTokens":135497,"weightsMb":230000.0,"adapterCapacity":8,
"loadsPerS":3.1,"models":[{models}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}}}"#
    )
}
