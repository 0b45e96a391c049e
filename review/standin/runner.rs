//! Runners of a plain service.

use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::gateway::{ZONES, free_address};
use crate::http::{Head, answer, read_body};
use crate::record::Record;
use crate::store::Store;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(60);

/// Answers that say that the request did not run.
pub const NOT_RUN: (&str, &str) = ("X-Not-Executed", "1");

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
pub fn keep_entry(store: &Store, id: String, entry: impl Fn(u64) -> String + Send + 'static) {
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
