//! Clients with deadlines and retries of their own. They keep using an open connection until it
//! ends or the gateway asks to close it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_standin::names;
use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::observations::{Attempt, AttemptOutcome, Recorder, RequestKind};
use crate::site::{MODELS, Ports};

/// Time that a client gives a write or a read.
pub const PLAIN_DEADLINE: Duration = Duration::from_millis(1500);
/// Time that a client gives a stream.
pub const STREAM_DEADLINE: Duration = Duration::from_secs(8);
/// Time after the deadline that it named for which a client still waits for an answer.
pub const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Time that a client gives a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of attempts at one request.
const MOST_ATTEMPTS: u32 = 2;
/// Longest time between two requests of a client, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 150;
/// Number of events of a complete stream.
pub const STREAM_EVENTS: u64 = 40;
/// Part of the streams that ask for any model, and not for the two that are in use.
const RARE_SHARE: f64 = 0.05;

/// Which gateways take new connections, by number from 1.
pub type ReadyGateways = watch::Receiver<Vec<u8>>;

/// What all clients share.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Ports of the soak.
    pub ports: Ports,
    /// Gateways that take new connections.
    pub ready: ReadyGateways,
    /// Where attempts are recorded.
    pub recorder: Recorder,
    /// Turns true when the clients are to end.
    pub stop: watch::Receiver<bool>,
}

impl Clients {
    /// Sends requests one after the other until the soak stops the clients.
    pub async fn run(self, number: u32, seed: u64) {
        let mut client = Client {
            random: ChaCha8Rng::seed_from_u64(seed ^ u64::from(number) << 32),
            connection: None,
            number,
            sent: 0,
            shared: Arc::new(self),
        };
        while !*client.shared.stop.borrow() {
            client.send_request().await;
            let pause = client.random.random_range(0..LONGEST_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// An open connection to a gateway.
struct OpenConnection {
    gateway: u8,
    sender: SendRequest<Full<Bytes>>,
}

struct Client {
    random: ChaCha8Rng,
    connection: Option<OpenConnection>,
    number: u32,
    sent: u64,
    shared: Arc<Clients>,
}

/// Whether and when an attempt may be followed by another one.
enum Retry {
    No,
    After(Duration),
}

impl Client {
    async fn send_request(&mut self) {
        let kind = *[RequestKind::Write, RequestKind::Read, RequestKind::Stream]
            .choose(&mut self.random)
            .expect("there are kinds");
        for _ in 0..MOST_ATTEMPTS {
            match self.attempt(kind).await {
                Some(Retry::After(pause)) => sleep(pause).await,
                Some(Retry::No) => return,
                // There was no connection: nothing was sent.
                None => return sleep(CONNECT_TIMEOUT / 4).await,
            }
        }
    }

    /// Makes one attempt and records it; returns `None` if no connection could be opened.
    async fn attempt(&mut self, kind: RequestKind) -> Option<Retry> {
        if self
            .connection
            .as_ref()
            .is_none_or(|open| open.sender.is_closed())
        {
            self.connection = self.connect().await;
        }
        let mut connection = self.connection.take()?;
        self.sent += 1;
        let id = format!("c{}-{}", self.number, self.sent);
        let deadline = match kind {
            RequestKind::Stream => STREAM_DEADLINE,
            RequestKind::Write | RequestKind::Read => PLAIN_DEADLINE,
        };
        let request = self.request(kind, &id, deadline);
        let sent_at = self.shared.recorder.now();
        let until = Instant::now() + deadline + ANSWER_SLACK;
        let answer = timeout_at(until, exchange(&mut connection.sender, request, &id, kind)).await;
        let answer = answer.unwrap_or(Exchanged::nothing(AttemptOutcome::TimedOut));
        self.shared.recorder.lock().attempts.push(Attempt {
            id,
            kind,
            gateway: connection.gateway,
            sent_at,
            ended_at: self.shared.recorder.now(),
            outcome: answer.outcome,
        });
        if answer.keeps_connection {
            self.connection = Some(connection);
        }
        Some(retry_after(kind, &answer))
    }

    async fn connect(&mut self) -> Option<OpenConnection> {
        let gateway = *self.shared.ready.borrow().choose(&mut self.random)?;
        let address = self.shared.ports.gateway_proxy(gateway);
        let sender = timeout(CONNECT_TIMEOUT, open(address)).await.ok()??;
        Some(OpenConnection { gateway, sender })
    }

    fn request(&mut self, kind: RequestKind, id: &str, deadline: Duration) -> Request<Full<Bytes>> {
        let path = match kind {
            RequestKind::Write => "/write/x",
            RequestKind::Read => "/read/x",
            RequestKind::Stream => "/stream/x",
        };
        let mut request = Request::post(path)
            .header("host", "host")
            .header(names::REQUEST_ID, id)
            .header(names::DEADLINE, deadline.as_millis().to_string());
        if kind == RequestKind::Stream {
            let is_rare = self.random.random_bool(RARE_SHARE);
            let models = if is_rare { &MODELS[..] } else { &MODELS[..2] };
            let model = models.choose(&mut self.random).expect("there are models");
            request = request.header(names::MODEL, *model);
        }
        let body = Full::new(Bytes::from(id.to_owned()));
        request.body(body).expect("the request is well formed")
    }
}

/// Opens a connection to `address`.
pub async fn open(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    // A connection without this option only delays small messages.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // An error of the connection shows in the answer, which is then missing or incomplete.
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

/// What came back for an attempt.
struct Exchanged {
    outcome: AttemptOutcome,
    retry_after: Option<Duration>,
    keeps_connection: bool,
}

impl Exchanged {
    fn nothing(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            retry_after: None,
            keeps_connection: false,
        }
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
    kind: RequestKind,
) -> Exchanged {
    let Ok(()) = sender.ready().await else {
        return Exchanged::nothing(AttemptOutcome::Closed);
    };
    match sender.send_request(request).await {
        Ok(response) => read_answer(response, id, kind).await,
        Err(_) => Exchanged::nothing(AttemptOutcome::Closed),
    }
}

async fn read_answer(response: Response<Incoming>, id: &str, kind: RequestKind) -> Exchanged {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let (complete, body) = match body {
        Ok(body) => (true, body),
        Err(_) => (false, Bytes::new()),
    };
    let right_body = match kind {
        RequestKind::Stream => event_ids(&body).eq(1..=STREAM_EVENTS),
        RequestKind::Write | RequestKind::Read => body == id.as_bytes(),
    };
    let closes = head
        .headers
        .get(CONNECTION)
        .is_some_and(|value| value == "close");
    Exchanged {
        outcome: AttemptOutcome::Answered {
            status: head.status.as_u16(),
            complete,
            right_body,
        },
        retry_after: read_retry_after(&head.headers),
        keeps_connection: complete && !closes,
    }
}

/// Ids of the events in a stream's body, in order.
fn event_ids(body: &Bytes) -> impl Iterator<Item = u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    ids.collect::<Vec<u64>>().into_iter()
}

fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns whether the client tries again: what may be repeated always, a write only if the
/// gateway has promised that it did not run.
fn retry_after(kind: RequestKind, answer: &Exchanged) -> Retry {
    let pause = answer.retry_after.unwrap_or_default();
    match answer.outcome {
        AttemptOutcome::Answered {
            status: 200,
            complete: true,
            ..
        } => Retry::No,
        AttemptOutcome::Answered {
            status: 429 | 503, ..
        } => Retry::After(pause),
        _ if kind == RequestKind::Write => Retry::No,
        _ => Retry::After(pause),
    }
}

/// Time between two questions whether a gateway is ready.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Questions in a row without a good answer after which a gateway gets no new connections.
const READINESS_MISSES: u32 = 2;

/// Asks all gateways once a second whether they are ready, as a load balancer does, and
/// publishes those that are; all of them if none is.
pub async fn balance(ports: Ports, gateways: u8, ready: watch::Sender<Vec<u8>>) {
    let mut misses = vec![READINESS_MISSES; usize::from(gateways)];
    loop {
        for number in 1..=gateways {
            let index = usize::from(number - 1);
            let asked = timeout(READINESS_INTERVAL / 4, is_ready(ports.readiness(number))).await;
            let is_ready = asked.is_ok_and(|ready| ready == Some(true));
            misses[index] = if is_ready { 0 } else { misses[index] + 1 };
        }
        let is_in = |number: &u8| misses[usize::from(number - 1)] < READINESS_MISSES;
        let mut chosen: Vec<u8> = (1..=gateways).filter(is_in).collect();
        if chosen.is_empty() {
            chosen = (1..=gateways).collect();
        }
        ready.send_replace(chosen);
        sleep(READINESS_INTERVAL).await;
    }
}

async fn is_ready(address: SocketAddr) -> Option<bool> {
    let mut sender = open(address).await?;
    let request = Request::get(names::READINESS_PATH).header("host", "host");
    let request = request.body(Full::default()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    Some(response.status().is_success())
}

/// Sends one request to `address` and returns the status of the answer; `None` without one.
pub async fn ask(address: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let mut sender = open(address).await?;
    let request = Request::post(path)
        .header("host", "host")
        .header(names::REQUEST_ID, id)
        .header(names::DEADLINE, PLAIN_DEADLINE.as_millis().to_string());
    let request = request.body(Full::new(Bytes::from(id.to_owned()))).ok()?;
    let response = timeout(PLAIN_DEADLINE, sender.send_request(request)).await;
    Some(response.ok()?.ok()?.status().as_u16())
}
