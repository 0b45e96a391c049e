//! A machine gets SIGTERM while clients read their answers slowly.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::gateway::{Gateway, free_address};
use crate::http::Head;
use crate::record::Record;
use crate::runner::PlainRunner;
use crate::store::Store;

/// Length of an answer in bytes.
const ANSWER_BYTES: usize = 800_000;
/// Bytes that a slow client reads at a time, and the pause before each.
const PIECE_BYTES: usize = 2 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// Number of clients.
const CLIENTS: usize = 6;
/// Time from the clients' requests until SIGTERM.
const BEFORE_SIGTERM: Duration = Duration::from_millis(300);
/// The clients' deadline and the route's timeout.
const DEADLINE_MS: u32 = 15_000;
/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER: i32 = 8 * 1024;
/// Longest segment that a client takes, as on an Ethernet link.
const SEGMENT_BYTES: i32 = 1448;

/// What a client saw of its request.
struct Seen {
    id: String,
    status: u16,
    expected: usize,
    received: usize,
    took: Duration,
    end: String,
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store_address = free_address(200)?;
    let store = Store::start(store_address, record)?;
    store.put("op/config", CONFIGURATION);
    let mut runners = Vec::new();
    for number in 1..=3 {
        runners.push(PlainRunner::start(number, &store, record, ANSWER_BYTES)?);
    }
    let mut gateway = Gateway::start(1, folder, store_address)?;
    let _other = Gateway::start(2, folder, store_address)?;
    thread::sleep(Duration::from_secs(2));
    let (sender, seen) = mpsc::channel();
    for number in 0..CLIENTS {
        let (sender, record, address) = (sender.clone(), record.clone(), gateway.frontend);
        thread::spawn(move || {
            let id = format!("{:016x}", 0x9c41_d07b_0000 + number as u64);
            let Ok(stream) = connect(address) else {
                return;
            };
            record.line(&format!("client sends request {id}"));
            let seen = ask(stream, &id);
            let _ = sender.send(seen);
        });
    }
    drop(sender);
    thread::sleep(BEFORE_SIGTERM);
    let signalled = Instant::now();
    if has_trouble {
        record.line(&format!("SIGTERM to {}", gateway.name));
        gateway.terminate();
    }
    let mut verdict = Verdict::NotTried;
    let watcher = record.clone();
    let ended = thread::spawn(move || {
        while signalled.elapsed() < Duration::from_secs(10) {
            if gateway.has_ended() {
                let at = signalled.elapsed().as_secs_f64();
                watcher.line(&format!("the process has ended {at:.2} s after SIGTERM"));
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
    for seen in seen {
        record.line(&format!(
            "client of {} got status {}, {} of {} bytes in {:.2} s, end: {}",
            seen.id,
            seen.status,
            seen.received,
            seen.expected,
            seen.took.as_secs_f64(),
            seen.end
        ));
        let within_time = seen.took < Duration::from_millis(DEADLINE_MS.into());
        let is_whole = seen.status != 0 && seen.received == seen.expected;
        if !is_whole && within_time {
            record.line(&format!("LOST: {} has no complete answer", seen.id));
            verdict = Verdict::Broken;
        } else if verdict == Verdict::NotTried && seen.status == 200 {
            verdict = Verdict::Held;
        }
    }
    let _ = ended.join();
    Ok(verdict)
}

/// Sends a request and reads its answer slowly.
fn ask(stream: TcpStream, id: &str) -> Seen {
    let began = Instant::now();
    let mut seen = Seen {
        id: id.to_owned(),
        status: 0,
        expected: 0,
        received: 0,
        took: Duration::ZERO,
        end: "complete".to_owned(),
    };
    if let Err(error) = read_answer(stream, id, &mut seen) {
        seen.end = error.to_string();
    }
    seen.took = began.elapsed();
    seen
}

fn read_answer(mut stream: TcpStream, id: &str, seen: &mut Seen) -> io::Result<()> {
    let request = format!(
        "POST /page/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::with_capacity(PIECE_BYTES, stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    seen.status = head.status();
    seen.expected = head.length().unwrap_or(ANSWER_BYTES);
    let mut slow = SlowReader { reader };
    if !head.is_chunked() {
        let mut piece = vec![0; PIECE_BYTES];
        while seen.received < seen.expected {
            let length = (seen.expected - seen.received).min(PIECE_BYTES);
            let read = slow.read(&mut piece[..length])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            seen.received += read;
        }
        return Ok(());
    }
    let mut reader = BufReader::with_capacity(PIECE_BYTES, slow);
    while let Some(chunk) = crate::http::read_chunk(&mut reader)? {
        seen.received += chunk.len();
    }
    Ok(())
}

/// Reads a piece at a time with a pause before each.
struct SlowReader<R> {
    reader: R,
}

impl<R: Read> Read for SlowReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        thread::sleep(PIECE_PAUSE);
        let length = buffer.len().min(PIECE_BYTES);
        self.reader.read(&mut buffer[..length])
    }
}

/// Connects with a small receive buffer, and with the segments of an Ethernet link instead of
/// the loopback's of 64 KiB.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    #[repr(C)]
    struct Address {
        family: u16,
        port: u16,
        ip: [u8; 4],
        zero: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(socket: i32, address: *const Address, length: u32) -> i32;
    }
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let to = Address {
        family: AF_INET as u16,
        port: address.port().to_be(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: all pointers are to live values of the lengths that are given.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        if connect(descriptor, &to, size_of::<Address>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

const CONFIGURATION: &str = r#"{"version":1,
"routes":[{"name":"r-page","host":"desk.example","pathPrefix":"/page/","kind":"non_idempotent",
"timeoutMs":15000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","healthCheckPath":"/health","connectionLimit":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;
