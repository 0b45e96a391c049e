//! Clients that follow one stream of events over several tries: when a connection breaks, they
//! take the stream up after their last event at any gateway, naming the try that began it.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_standin::names;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::clients::{
    ANSWER_SLACK, CONNECT_TIMEOUT, Clients, STREAM_DEADLINE, STREAM_EVENTS, open,
};
use crate::deadly_parts::sound_parts;
use crate::observations::{Attempt, AttemptOutcome, FollowedStream, RequestKind};
use crate::site::MODELS;

/// Largest number of tries at one stream.
const MOST_TRIES: usize = 6;
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time between two streams of a client, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 400;

/// A client that follows one stream after the other.
struct Follower {
    clients: Arc<Clients>,
    number: u32,
    random: ChaCha8Rng,
}

/// Follows streams until the soak stops the clients.
pub async fn follow_streams(clients: Clients, number: u32, seed: u64) {
    let mut follower = Follower {
        clients: Arc::new(clients),
        number,
        random: ChaCha8Rng::seed_from_u64(!seed ^ u64::from(number) << 32),
    };
    let mut followed = 0;
    while !*follower.clients.stop.borrow() {
        followed += 1;
        follower.follow(followed).await;
        let pause = follower.random.random_range(0..LONGEST_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
    }
}

impl Follower {
    /// Follows one stream and records what came of it.
    async fn follow(&mut self, followed: u32) {
        let body = format!("f{}-{followed}", self.number);
        let model = MODELS[..2]
            .choose(&mut self.random)
            .expect("there are models");
        let mut stream = FollowedStream {
            id: body.clone(),
            ..FollowedStream::default()
        };
        let mut began_as: Option<String> = None;
        for number in 0..MOST_TRIES {
            let id = format!("{body}-{number}");
            let mut request = Request::post("/stream/x")
                .header("host", "host")
                .header(names::REQUEST_ID, &id)
                .header(names::DEADLINE, STREAM_DEADLINE.as_millis().to_string())
                .header(names::MODEL, *model)
                .header(names::PARTS, sound_parts(followed));
            if let (Some(began_as), Some(last)) = (&began_as, stream.event_ids.last()) {
                request = request
                    .header(names::RESUMES, began_as)
                    .header(names::AFTER_EVENT, last.to_string());
                stream.resumed_tries += 1;
            }
            let request = request.body(Full::new(Bytes::from(body.clone())));
            let request = request.expect("the request is well formed");
            self.send(&id, request, &mut stream).await;
            if began_as.is_none() && !stream.event_ids.is_empty() {
                began_as = Some(id);
            }
            if stream.event_ids.last() == Some(&STREAM_EVENTS) {
                break;
            }
            sleep(TRY_PAUSE).await;
        }
        self.clients.recorder.lock().streams.push(stream);
    }

    /// Sends one try to any gateway that takes connections, and records it.
    async fn send(&mut self, id: &str, request: Request<Full<Bytes>>, stream: &mut FollowedStream) {
        let gateways = self.clients.ready.borrow().clone();
        let Some(gateway) = gateways.choose(&mut self.random).copied() else {
            return;
        };
        let address = self.clients.ports.gateway_proxy(gateway);
        let Ok(Some(mut sender)) = timeout(CONNECT_TIMEOUT, open(address)).await else {
            return;
        };
        let sent_at = self.clients.recorder.now();
        let until = Instant::now() + STREAM_DEADLINE + ANSWER_SLACK;
        let received = stream.event_ids.len();
        let outcome = match timeout_at(until, sender.send_request(request)).await {
            Ok(Ok(response)) => read_events(response, until, stream).await,
            Ok(Err(_)) => AttemptOutcome::Closed,
            Err(_) => AttemptOutcome::TimedOut,
        };
        let continues = stream.event_ids[received..].iter().copied();
        let first = received as u64 + 1;
        let outcome = with_right_body(outcome, continues.eq(first..=STREAM_EVENTS));
        self.clients.recorder.lock().attempts.push(Attempt {
            id: id.to_owned(),
            kind: RequestKind::Stream,
            gateway,
            sent_at,
            ended_at: self.clients.recorder.now(),
            outcome,
        });
    }
}

fn with_right_body(outcome: AttemptOutcome, right_body: bool) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Answered {
            status, complete, ..
        } => AttemptOutcome::Answered {
            status,
            complete,
            right_body,
        },
        other => other,
    }
}

/// Reads the events of an answer into `stream`, also those before it breaks off.
async fn read_events(
    response: Response<Incoming>,
    until: Instant,
    stream: &mut FollowedStream,
) -> AttemptOutcome {
    let (head, mut body) = response.into_parts();
    let mut received = Vec::new();
    let complete = loop {
        match timeout_at(until, body.frame()).await {
            Ok(None) => break true,
            Ok(Some(Ok(frame))) => {
                received.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            Ok(Some(Err(_))) | Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&received);
    let whole_events = text.rfind("\n\n").map_or("", |end| &text[..end]);
    for event in whole_events.split("\n\n") {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        if let (Some(id), Some(software)) = (field("id: "), field("data: by ")) {
            stream.event_ids.extend(id.parse::<u64>());
            stream.software.push(software.to_owned());
        }
    }
    AttemptOutcome::Answered {
        status: head.status.as_u16(),
        complete,
        right_body: false,
    }
}
