//! Clients that ask for streams.

use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::{connect, read_body, read_head};
use crate::record::Record;
use crate::site::HOST;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// How a request ended.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    /// Status of the answer; 0 if none came.
    pub status: u16,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

/// Clients that share a record; clones share the outcomes.
#[derive(Clone)]
pub struct Clients {
    record: Arc<Record>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Clients {
    pub fn new(record: &Arc<Record>) -> Self {
        Self {
            record: record.clone(),
            outcomes: Arc::default(),
        }
    }

    /// Sends one request for `model` from a thread of its own.
    pub fn send(&self, gateway: SocketAddr, route: &str, deadline_ms: u64, model: &str) -> JoinHandle<()> {
        let number = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number);
        let request = format!(
            "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: {model}\r\n\
             X-Token-Usage: 460,80\r\nX-Prompt-Prefix: 5c1e07a2:210,{number:x}:250\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 6\r\n\r\nprompt"
        );
        let (clients, model) = (self.clone(), model.to_owned());
        thread::spawn(move || {
            clients.record.line(format!("send  {id} {model}"));
            let mut outcome = Outcome {
                id,
                status: 0,
                is_whole: false,
            };
            let timeout = Duration::from_millis(deadline_ms + 1000);
            let ended = ask(gateway, &request, timeout, &mut outcome.status);
            outcome.is_whole = ended.is_ok();
            let Outcome { id, status, .. } = &outcome;
            let end = ended.map_or_else(|error| error.to_string(), |()| "whole".to_owned());
            clients.record.line(format!("ended {id} {status} {end}"));
            let outcomes = clients.outcomes.lock();
            outcomes.unwrap_or_else(PoisonError::into_inner).push(outcome);
        })
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        let outcomes = self.outcomes.lock();
        outcomes.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn ask(gateway: SocketAddr, request: &str, timeout: Duration, status: &mut u16) -> io::Result<()> {
    let mut stream = connect(gateway)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    *status = head.status();
    read_body(&mut reader, &head, |_| {})
}
