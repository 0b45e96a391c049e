//! Sends a request to one runner and reads the head of the answer.

use std::time::Duration;

use barleyspar_callers::Fingerprint;
use barleyspar_catalog::{AnswerFacts, ForwardedHeaders, Runner};
use barleyspar_dispatch::{Arrival, Failure, Outcome};
use barleyspar_domain::Verdict;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::dispatch::Permit;
use crate::journal;
use crate::signals::{self, SignalledCall};
use crate::upstream::{ConnectError, Connection, ReceivedBody};

/// A caller's request as it is sent to runners, the same for each attempt.
#[derive(Debug)]
pub struct Outgoing {
    /// Method of the client's request, which runners get unchanged.
    pub method: Method,
    /// Path and query of the client's request, which runners get unchanged.
    pub target: Uri,
    /// The headers of the client's request that callers may set; those that belong to the
    /// gateway, runners or the connection are dropped.
    pub headers: HeaderMap,
    /// Body of the client's request, unchanged.
    pub body: Bytes,
    /// Id that the client gave to the request; each retry by the client has its own. `None`
    /// if the client gave none.
    pub request_id: Option<String>,
    /// Identifies the request across the caller's retries: equal for the same host, path,
    /// credential and body.
    pub fingerprint: Fingerprint,
    /// Reservation of the memory that the body takes; released when it is dropped.
    pub _memory: OwnedSemaphorePermit,
}

/// An attempt that received the head of an answer. The body is still to be read.
#[derive(Debug)]
pub struct Answered {
    /// Permit of the attempt, to be finished with the attempt's outcome once the body is read.
    pub permit: Permit,
    /// The connection on which the body arrives.
    pub connection: Connection,
    /// Status with which the runner answered, which the client gets unless the gateway makes
    /// another attempt or answers itself.
    pub status: StatusCode,
    /// Headers of the runner's answer, unfiltered.
    pub headers: HeaderMap,
    /// Values that the platform's dialect reads from the head.
    pub facts: AnswerFacts,
    /// The part of the runner's body that has not been read yet.
    pub body: ReceivedBody,
    /// Time from sending the request to the head of the answer.
    pub waited: Duration,
}

/// An attempt that ended without the head of an answer.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the request may have run at the runner.
    pub verdict: Verdict,
    /// Whether the request may yet arrive at the runner; [`Arrival::Never`] if no byte of it was
    /// written to the socket.
    pub arrival: Arrival,
    /// Outcome that is reported to the dispatcher for the runner.
    pub outcome: Outcome,
    /// Description of the failure for the log.
    pub cause: String,
}

impl Outgoing {
    /// Returns a connection to the pool after the answer to this request was read completely from
    /// it. Without an id, a late copy of the answer could not be told from the answer to another
    /// request, so the connection is closed then.
    pub fn put_back(
        &self,
        context: &Context,
        runner: &Runner,
        connection: Connection,
        keep_alive_seconds: Option<u64>,
    ) {
        if self.request_id.is_some() {
            context.put_back(runner, connection, keep_alive_seconds);
        }
    }
}

impl AttemptError {
    /// Whether any byte of the request was written to the socket.
    pub fn was_sent(&self) -> bool {
        self.arrival != Arrival::Never
    }

    /// Creates the error of an attempt that wrote no byte of the request, so it did not run.
    fn unsent(outcome: Outcome, cause: String) -> Self {
        Self {
            verdict: Verdict::NotRun,
            arrival: Arrival::Never,
            outcome,
            cause,
        }
    }

    /// Creates the error of an attempt that sent at least a part of the request, which
    /// therefore may have run.
    fn may_have_run(failure: Failure, arrival: Arrival, cause: String) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            arrival,
            outcome: Outcome::Failed(failure),
            cause,
        }
    }
}

/// Sends `outgoing` to the permit's runner and waits for the head of the answer until
/// `head_deadline`. On an error, the permit is finished with the error's outcome.
pub async fn attempt(
    context: &Context,
    mut permit: Permit,
    outgoing: &Outgoing,
    forward: ForwardedHeaders,
    head_deadline: Instant,
) -> Result<Answered, AttemptError> {
    match send_and_read_head(context, &mut permit, outgoing, forward, head_deadline).await {
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
            permit.set_arrival(error.arrival);
            permit.finish(error.outcome);
            Err(error)
        }
    }
}

/// Connection, head of the answer, values read from the head, body, and time from sending
/// the request to the head.
type HeadParts = (
    Connection,
    http::response::Parts,
    AnswerFacts,
    ReceivedBody,
    Duration,
);

/// Connects to the permit's runner, sends the request, checks the head of the answer and
/// applies the runner's signals in it.
async fn send_and_read_head(
    context: &Context,
    permit: &mut Permit,
    outgoing: &Outgoing,
    forward: ForwardedHeaders,
    head_deadline: Instant,
) -> Result<HeadParts, AttemptError> {
    let mut connection = connect(context, permit.runner(), outgoing, head_deadline).await?;
    if !permit.runner_accepts_work() {
        let cause = "the runner started to drain".to_owned();
        return Err(AttemptError::unsent(Outcome::Abandoned, cause));
    }
    if let Some(peer) = connection.peer() {
        let request = outgoing.request_id.as_deref().unwrap_or("-");
        journal::sent_through_peer(request, &permit.runner().id, peer);
    }
    let request = build_request(context, outgoing, forward);
    let sent_at = Instant::now();
    permit.record_sent();
    let answer = timeout_at(head_deadline, connection.send(request)).await;
    let waited = sent_at.elapsed();
    let response = match answer {
        Err(_) => {
            // The link may be silent, on which other requests would hang as well.
            context.pool.close_idle(&permit.runner().id);
            let cause = "timed out waiting for the head of the answer".to_owned();
            let arrival = Arrival::Pending;
            return Err(AttemptError::may_have_run(Failure::Silent, arrival, cause));
        }
        Ok(Err(error)) if !error.was_sent() => {
            return Err(AttemptError::unsent(
                Outcome::Abandoned,
                format!(
                    "connection closed before the request was sent: {}",
                    error.cause
                ),
            ));
        }
        Ok(Err(error)) => {
            let (arrival, cause) = (error.arrival, error.cause);
            return Err(AttemptError::may_have_run(Failure::Broken, arrival, cause));
        }
        Ok(Ok(response)) => response,
    };
    permit.record_answer();
    let (head, body) = response.into_parts();
    let facts = context.dialect.read_answer(&head);
    check_head(&head, &facts, outgoing)?;
    let call = SignalledCall {
        runner: permit.runner(),
        call: "request",
        sent_at,
        peer: connection.peer(),
        limit_expected: permit.runner_is_limited(),
    };
    signals::apply_signals(context, &call, head.status, &facts);
    Ok((connection, head, facts, body, waited))
}

/// Returns an error for a head that cannot be a runner's answer to this request.
fn check_head(
    head: &http::response::Parts,
    facts: &AnswerFacts,
    outgoing: &Outgoing,
) -> Result<(), AttemptError> {
    // Answers to the gateway's own calls on this connection have no id.
    let is_for_other_request =
        outgoing.request_id.is_some() && facts.request_id != outgoing.request_id;
    let broken =
        |cause: &str| AttemptError::may_have_run(Failure::Broken, Arrival::Over, cause.to_owned());
    if is_for_other_request {
        return Err(broken("the answer has the id of another request"));
    }
    if head.status.is_success() && !facts.signed {
        return Err(broken("the answer has a success status but no signature"));
    }
    if facts.encoded {
        return Err(broken("the answer's body has a content encoding"));
    }
    Ok(())
}

/// Returns the outcome of an attempt that the runner rejected without running the
/// request.
pub fn rejection_outcome(answered: &Answered) -> Outcome {
    if answered.status == StatusCode::MISDIRECTED_REQUEST {
        misdirected_outcome(answered)
    } else if answered.facts.signals.requested_pause.is_some() {
        Outcome::Paused
    } else {
        Outcome::Busy
    }
}

/// Returns the outcome of an attempt that got the status 421: another runner answered, or
/// the runner does not have the model loaded.
fn misdirected_outcome(answered: &Answered) -> Outcome {
    let expected = &answered.permit.runner().name;
    match &answered.facts.runner_name {
        Some(answering) if **answering != **expected => Outcome::Replaced,
        _ => Outcome::NotHeld,
    }
}

/// Gets a connection to `runner`, at the latest by `head_deadline`. A request without an id gets a
/// new one, on which no answer to another request can arrive.
async fn connect(
    context: &Context,
    runner: &Runner,
    outgoing: &Outgoing,
    head_deadline: Instant,
) -> Result<Connection, AttemptError> {
    let remaining = head_deadline.saturating_duration_since(Instant::now());
    let timeout = CONNECT_TIMEOUT.min(remaining);
    let connected = if outgoing.request_id.is_some() {
        context.connect(runner, timeout).await
    } else {
        context.open_connection(runner, timeout).await
    };
    connected.map_err(|error| {
        let outcome = match error {
            ConnectError::ConnectionLimitReached => Outcome::Busy,
            ConnectError::Refused(_) | ConnectError::TimedOut => {
                Outcome::Failed(Failure::Unreachable)
            }
        };
        AttemptError::unsent(outcome, error.to_string())
    })
}

/// Builds the request for one runner: `outgoing` with the headers that the gateway adds.
fn build_request(
    context: &Context,
    outgoing: &Outgoing,
    forward: ForwardedHeaders,
) -> Request<Bytes> {
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
