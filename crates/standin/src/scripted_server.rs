//! A server that sends fixed bytes in answer to whatever it is sent, well-formed or not, in
//! place of a runner or the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use barleyspar_gateway::ByteStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

use crate::dialect::names;
use crate::network::MemoryNetwork;
use crate::runner::RunnerStandIn;

/// Pause between two pieces of an endless answer.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// What a scripted server sends after each request. `{id}` stands for the request's id.
#[derive(Debug, Clone)]
pub enum Script {
    /// Sends the text and closes the connection.
    Close(String),
    /// Sends the text and resets the connection a little later.
    Reset(String),
    /// Sends the first text, and the second one again and again until the connection is closed.
    Endless(String, String),
    /// Sends the first text to the first request of all. To each later one it sends the second,
    /// on the connection of the first request after a late copy of the first. Calls without an id
    /// get no answer.
    LateCopy(String, String),
}

/// What a scripted server has seen.
#[derive(Debug, Clone, Default)]
pub struct ScriptedServer {
    /// Number of requests.
    requests: Arc<AtomicUsize>,
    /// For each connection, the number of bytes sent.
    sent: Arc<Mutex<Vec<Arc<AtomicU64>>>>,
}

impl ScriptedServer {
    /// Ends `runner` and puts a scripted server in its place, with the same entry.
    pub fn replace(network: &MemoryNetwork, runner: &RunnerStandIn, script: Script) -> Self {
        runner.crash(network);
        Self::start(network, runner.address(), script)
    }

    /// Starts a server that takes all new connections to `address`.
    pub fn start(network: &MemoryNetwork, address: SocketAddr, script: Script) -> Self {
        let mut connections = network.listen(address);
        let scripted = Self::default();
        let seen = scripted.clone();
        tokio::spawn(async move {
            while let Some((stream, _)) = connections.recv().await {
                tokio::spawn(seen.clone().serve(stream, script.clone()));
            }
        });
        scripted
    }

    /// Number of requests received.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Largest number of bytes that were sent on one connection.
    pub fn most_bytes_sent(&self) -> u64 {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = sent.iter().map(|count| count.load(Ordering::Relaxed));
        counts.max().unwrap_or(0)
    }

    async fn serve(self, mut stream: Box<dyn ByteStream>, script: Script) {
        let count = Arc::new(AtomicU64::new(0));
        self.sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(count.clone());
        let Some(id) = read_request(&mut *stream).await else {
            return;
        };
        if id.is_empty() && matches!(script, Script::LateCopy(..)) {
            return;
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        let (first, repeated) = match &script {
            Script::Close(text) | Script::Reset(text) => (text, None),
            Script::Endless(first, repeated) => (first, Some(repeated)),
            Script::LateCopy(rejection, answer) => {
                return self.answer_all(&mut *stream, (rejection, answer), id).await;
            }
        };
        let first = first.replace("{id}", &id);
        if stream.write_all(first.as_bytes()).await.is_err() {
            return;
        }
        while let Some(piece) = repeated {
            if stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            count.fetch_add(piece.len() as u64, Ordering::Relaxed);
            sleep(PIECE_PAUSE).await;
        }
        sleep(PIECE_PAUSE).await;
        if matches!(script, Script::Reset(_)) {
            stream.discard_on_drop();
        } else {
            // The gateway may have closed the connection already.
            let _ = stream.shutdown().await;
        }
    }
}

impl ScriptedServer {
    /// Answers the request `id`, which was counted, and all later ones on the connection.
    async fn answer_all(
        &self,
        stream: &mut dyn ByteStream,
        (rejection, answer): (&str, &str),
        id: String,
    ) {
        let mut text = if self.request_count() == 1 {
            rejection.to_owned()
        } else {
            answer.to_owned()
        };
        let mut next = Some(id);
        let copy = format!("{rejection}{answer}");
        let later = if text == rejection { &copy } else { answer };
        while let Some(id) = next {
            let text_with_id = text.replace("{id}", &id);
            if stream.write_all(text_with_id.as_bytes()).await.is_err() {
                return;
            }
            next = read_request(stream).await.filter(|id| !id.is_empty());
            self.requests
                .fetch_add(usize::from(next.is_some()), Ordering::Relaxed);
            text = later.to_owned();
        }
    }
}

/// Reads a request with its body, and returns its id; `None` if the connection ends before.
async fn read_request(stream: &mut dyn ByteStream) -> Option<String> {
    let mut received = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).await.ok()?;
        if length == 0 {
            return None;
        }
        received.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let value = |name: &str| {
            let mut lines = head.lines();
            lines.find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(": ")?.to_owned()))
        };
        let body_length = value("content-length").map_or(0, |length| length.parse().unwrap_or(0));
        if body.len() >= body_length {
            return Some(value(names::REQUEST_ID).unwrap_or_default());
        }
    }
}
