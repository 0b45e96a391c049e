//! Callers in virtual time: they ask a node of their zone, check the answer,
//! and ask another node when theirs is lost.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use barleyspar_domain::{CustomerName, ServiceName, Verdict};
use barleyspar_kernel::Stage;
use barleyspar_node::Node;
use barleyspar_platform::plain::PlainResponse;
use barleyspar_router::{AnswerEvent, ModelRequest, PlainCall, Refusal};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::lock;
use crate::arrivals::{Arrival, Ask};
use crate::history::{Event, History, RequestEnd};
use crate::sim::world::World;
use crate::site::Site;
use crate::standins::answers::Answer;
use crate::standins::plain::{OPERATION_HEADER, TRY_HEADER, expected_body};

/// Tries of one request at different nodes.
const TRIES: usize = 3;
/// A caller gives up on a node that is silent this long beyond the deadline.
const PATIENCE: Duration = Duration::from_secs(10);
/// Pause before another node is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Makes requests.
#[derive(Clone)]
pub struct Callers {
    world: Arc<Mutex<World>>,
    history: History,
    deadline: Duration,
    plain_service: Option<ServiceName>,
}

enum Piece {
    Text(String),
    Done,
    Broken,
    Refused(Refusal),
    Plain(PlainResponse),
}

impl Callers {
    /// Callers of `site`.
    pub fn new(world: Arc<Mutex<World>>, site: &Site) -> Self {
        let history = lock(&world).history.clone();
        Self {
            world,
            history,
            deadline: Duration::from_secs_f64(site.traffic.deadline_seconds),
            plain_service: site.plain_service().map(|service| service.name.clone()),
        }
    }

    /// Makes the request of `arrival`, without waiting for its end.
    pub fn ask(&self, arrival: Arrival) {
        let callers = self.clone();
        tokio::spawn(async move { callers.try_nodes(&arrival).await });
    }

    async fn try_nodes(&self, arrival: &Arrival) {
        for number in 0..TRIES {
            let Some((name, node)) = self.node(arrival, number) else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let request = format!("r{}-{number}", arrival.number);
            self.history.record(Event::RequestBegins {
                request: request.clone(),
                node: name,
                deadline_ms: self.deadline.as_millis() as u64,
            });
            let end = self.try_once(arrival, &request, &node).await;
            let again = match &end {
                RequestEnd::NodeLost => true,
                RequestEnd::Refused { verdict, reason } => {
                    *verdict == Verdict::NotRun && reason != "deadline"
                }
                RequestEnd::Answered { .. } | RequestEnd::BrokeOff => false,
            };
            self.history.record(Event::RequestEnds { request, end });
            if !again {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// A node that accepts connections, of the arrival's zone if there is one.
    fn node(&self, arrival: &Arrival, number: usize) -> Option<(String, Node)> {
        let world = lock(&self.world);
        let zones = world.nodes.iter().map(|node| &node.zone);
        let mut names: Vec<_> = zones.cloned().collect();
        names.sort();
        names.dedup();
        let zone = &names[arrival.zone % names.len()];
        let open = world.nodes.iter().filter(|node| node.accepts);
        let running: Vec<_> = open
            .filter_map(|node| Some((node, node.running.as_ref()?)))
            .collect();
        let local: Vec<_> = running
            .iter()
            .filter(|(node, _)| &node.zone == zone)
            .collect();
        let (node, chosen) = match local.is_empty() {
            false => local[(arrival.number + number) % local.len()],
            true => running.get((arrival.number + number) % running.len().max(1))?,
        };
        Some((node.name.to_string(), (*chosen).clone()))
    }

    async fn try_once(&self, arrival: &Arrival, request: &str, node: &Node) -> RequestEnd {
        let deadline = Instant::now() + self.deadline;
        let (sender, mut pieces) = mpsc::channel(256);
        let work = self.work(arrival, request, node, deadline, sender);
        node.kernel.spawn(Stage::Front, work);
        let mut text = String::new();
        let silent = deadline + PATIENCE;
        loop {
            // Once an answer has begun it may take its time, but not be silent.
            let until = match text.is_empty() {
                true => silent,
                false => Instant::now() + self.deadline + PATIENCE,
            };
            let piece = tokio::time::timeout_at(until, pieces.recv()).await;
            match piece {
                Ok(Some(Piece::Text(piece))) => {
                    if text.is_empty() {
                        let request = request.to_owned();
                        self.history.record(Event::FirstToken { request });
                    }
                    text.push_str(&piece);
                }
                Ok(Some(Piece::Done)) => {
                    let right = expected_text(arrival) == Some(text);
                    return RequestEnd::Answered { right };
                }
                Ok(Some(Piece::Plain(response))) => {
                    let right = response.body == expected_plain(arrival).as_bytes();
                    return RequestEnd::Answered { right };
                }
                Ok(Some(Piece::Broken)) => return RequestEnd::BrokeOff,
                Ok(Some(Piece::Refused(refusal))) => {
                    return RequestEnd::Refused {
                        reason: refusal.reason.as_str().to_owned(),
                        verdict: refusal.verdict,
                    };
                }
                Ok(None) | Err(_) => return RequestEnd::NodeLost,
            }
        }
    }

    /// What the node does for the request; it dies and freezes with the node.
    fn work(
        &self,
        arrival: &Arrival,
        request: &str,
        node: &Node,
        deadline: Instant,
        sender: mpsc::Sender<Piece>,
    ) -> std::pin::Pin<Box<dyn Future<Output = ()> + Send>> {
        let router = node.router.clone();
        let customer = CustomerName::try_from(format!("customer-{}", arrival.customer))
            .unwrap_or_else(|_| unreachable!("numbers make customer names"));
        if let Ask::Model {
            target,
            prompt,
            maximum_tokens,
        } = &arrival.ask
        {
            let request = ModelRequest {
                request_id: request.to_owned(),
                customer,
                priority: 0,
                maximum_waiting: 10_000,
                target: target.clone(),
                prompt: prompt.clone(),
                maximum_tokens: *maximum_tokens,
                deadline,
                repeatable: true,
            };
            return Box::pin(async move {
                let mut answer = match router.generate(request).await {
                    Ok(answer) => answer,
                    Err(refusal) => {
                        let _ = sender.send(Piece::Refused(refusal)).await;
                        return;
                    }
                };
                while let Some(event) = answer.events.recv().await {
                    let piece = match event {
                        AnswerEvent::Text(text) => Piece::Text(text),
                        AnswerEvent::Finish(_) => Piece::Done,
                        AnswerEvent::Failed { .. } => Piece::Broken,
                    };
                    if sender.send(piece).await.is_err() {
                        return;
                    }
                }
            });
        }
        let call = self.plain_call(arrival, request, customer, deadline);
        Box::pin(async move {
            let piece = match router.call_plain(call).await {
                Ok(response) => Piece::Plain(response),
                Err(refusal) => Piece::Refused(refusal),
            };
            let _ = sender.send(piece).await;
        })
    }

    fn plain_call(
        &self,
        arrival: &Arrival,
        request: &str,
        customer: CustomerName,
        deadline: Instant,
    ) -> PlainCall {
        let (method, path) = method_and_path(arrival);
        let operation = format!("operation-{}", arrival.number);
        let header = |name: &str, value: &str| (name.to_owned(), Bytes::from(value.to_owned()));
        PlainCall {
            request_id: request.to_owned(),
            customer,
            service: self
                .plain_service
                .clone()
                .unwrap_or_else(|| unreachable!("plain requests come only with a plain service")),
            method: method.to_owned(),
            path: path.to_owned(),
            headers: vec![
                header(OPERATION_HEADER, &operation),
                header(TRY_HEADER, request),
            ],
            body: Bytes::new(),
            key: Some(operation),
            deadline,
        }
    }
}

fn method_and_path(arrival: &Arrival) -> (&'static str, &'static str) {
    match arrival.ask {
        Ask::Booking => ("POST", "/book"),
        Ask::LookUp | Ask::Model { .. } => ("GET", "/slots"),
    }
}

fn expected_plain(arrival: &Arrival) -> String {
    let (method, path) = method_and_path(arrival);
    expected_body(method, path, &format!("operation-{}", arrival.number))
}

fn expected_text(arrival: &Arrival) -> Option<String> {
    match &arrival.ask {
        Ask::Model {
            target,
            prompt,
            maximum_tokens,
        } => Some(Answer::new(target, prompt, *maximum_tokens).text()),
        Ask::LookUp | Ask::Booking => None,
    }
}
