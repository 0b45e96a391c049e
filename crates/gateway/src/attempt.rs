//! One attempt at one runner, up to the head of its answer.

use std::time::Duration;

use barleyspar_callers::Fingerprint;
use barleyspar_catalog::{AnswerFacts, Forward, Runner};
use barleyspar_dispatch::{Failure, Outcome};
use barleyspar_domain::Verdict;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::dispatch::Permit;
use crate::notices::{self, Heard};
use crate::upstream::{ConnectError, Connection};

/// A request as it is sent to runners.
#[derive(Debug)]
pub struct Outgoing {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub target: Uri,
    /// The client's headers, those only that are its own to set.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: Bytes,
    /// Id of the client's attempt.
    pub request_id: Option<String>,
    /// What it has in common with the caller's other tries.
    pub fingerprint: Fingerprint,
    /// The memory set aside for the body.
    pub _memory: OwnedSemaphorePermit,
}

/// An attempt that got the head of an answer.
#[derive(Debug)]
pub struct Answered {
    /// The attempt's permit.
    pub permit: Permit,
    /// The connection on which the body comes.
    pub connection: Connection,
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// What the head says.
    pub facts: AnswerFacts,
    /// The body.
    pub body: Incoming,
    /// Time until the head came.
    pub waited: Duration,
}

/// An attempt that got none.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether any byte of it left.
    pub sent: bool,
    /// What it says of the runner.
    pub outcome: Outcome,
    /// What happened.
    pub cause: String,
}

impl AttemptError {
    fn unsent(outcome: Outcome, cause: String) -> Self {
        Self {
            verdict: Verdict::NotRun,
            sent: false,
            outcome,
            cause,
        }
    }

    fn unknown(failure: Failure, cause: String) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            sent: true,
            outcome: Outcome::Failed(failure),
            cause,
        }
    }
}

/// Sends `outgoing` to the permit's runner and waits for the head of the answer
/// until `patience`. An error gives the permit back.
pub async fn attempt(
    context: &Context,
    permit: Permit,
    outgoing: &Outgoing,
    forward: Forward,
    patience: Instant,
) -> Result<Answered, AttemptError> {
    match attempt_with(context, &permit, outgoing, forward, patience).await {
        Ok(parts) => {
            context.metrics.attempt_ended("head", "answered");
            let (connection, head, facts, body, waited) = parts;
            Ok(Answered {
                permit,
                connection,
                status: head.status,
                headers: head.headers,
                facts,
                body,
                waited,
            })
        }
        Err(error) => {
            context
                .metrics
                .attempt_ended("head", error.verdict.as_str());
            permit.finish(error.outcome);
            Err(error)
        }
    }
}

type HeadParts = (
    Connection,
    http::response::Parts,
    AnswerFacts,
    Incoming,
    Duration,
);

async fn attempt_with(
    context: &Context,
    permit: &Permit,
    outgoing: &Outgoing,
    forward: Forward,
    patience: Instant,
) -> Result<HeadParts, AttemptError> {
    let mut connection = connect(context, permit.runner(), patience).await?;
    if !permit.is_open() {
        let cause = "the runner began to leave".to_owned();
        return Err(AttemptError::unsent(Outcome::Abandoned, cause));
    }
    let request = build(context, outgoing, forward);
    let sent_at = Instant::now();
    let answer = timeout_at(patience, connection.send(request)).await;
    let waited = sent_at.elapsed();
    let response = match answer {
        Err(_) => {
            let cause = "no head of an answer in time".to_owned();
            return Err(AttemptError::unknown(Failure::Silent, cause));
        }
        Ok(Err(error)) if !error.sent => {
            return Err(AttemptError::unsent(
                Outcome::Abandoned,
                format!("connection closed before the request: {}", error.cause),
            ));
        }
        Ok(Err(error)) => return Err(AttemptError::unknown(Failure::Broken, error.cause)),
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    let facts = context.dialect.read_answer(&head);
    check_head(&head, &facts, outgoing)?;
    let heard = Heard {
        asked: permit.runner(),
        call: "request",
        sent_at,
        always_limited: permit.is_limited(),
    };
    notices::hear(context, &heard, head.status, &facts);
    Ok((connection, head, facts, body, waited))
}

/// Refuses a head that cannot be the answer to this request.
fn check_head(
    head: &http::response::Parts,
    facts: &AnswerFacts,
    outgoing: &Outgoing,
) -> Result<(), AttemptError> {
    let foreign = match (&facts.request_id, &outgoing.request_id) {
        (Some(answered), Some(asked)) => answered != asked,
        _ => false,
    };
    let broken = |cause: &str| AttemptError::unknown(Failure::Broken, cause.to_owned());
    if foreign {
        return Err(broken("the answer belongs to another request"));
    }
    if head.status.is_success() && !facts.signed {
        return Err(broken("the success is not signed"));
    }
    if facts.encoded {
        return Err(broken("the body is encoded"));
    }
    Ok(())
}

/// What it says of its runner that `answered` says that the request did not run.
pub fn rejection(answered: &Answered) -> Outcome {
    if answered.status == StatusCode::MISDIRECTED_REQUEST {
        misdirected(answered)
    } else if answered.facts.notice.pause.is_some() {
        Outcome::Paused
    } else {
        Outcome::Busy
    }
}

fn misdirected(answered: &Answered) -> Outcome {
    let asked = &answered.permit.runner().name;
    match &answered.facts.runner {
        Some(answering) if **answering != **asked => Outcome::Replaced,
        _ => Outcome::NotHeld,
    }
}

async fn connect(
    context: &Context,
    runner: &Runner,
    patience: Instant,
) -> Result<Connection, AttemptError> {
    let left = patience.saturating_duration_since(Instant::now());
    let connected = context.connect(runner, CONNECT_TIMEOUT.min(left)).await;
    connected.map_err(|error| {
        let outcome = match error {
            ConnectError::NoShareLeft => Outcome::Busy,
            ConnectError::Refused(_) | ConnectError::TimedOut => {
                Outcome::Failed(Failure::Unreachable)
            }
        };
        AttemptError::unsent(outcome, error.to_string())
    })
}

fn build(context: &Context, outgoing: &Outgoing, forward: Forward) -> Request<Bytes> {
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    let headers = request.headers_mut();
    *headers = outgoing.headers.clone();
    for (name, value) in &context.dialect.added_headers(&forward) {
        headers.insert(name, value.clone());
    }
    request
}
