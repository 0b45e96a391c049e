//! A call of this node's own to a runner (an order, a report, a probe), with its answer.

use std::time::Duration;

use barleyspar_catalog::{AnswerFacts, Runner};
use barleyspar_dispatch::RatePermitAnswer;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::rate_permits;
use crate::signals::{self, SignalledCall};
use crate::tunnel::verify_reach;
use crate::upstream::Connection;

/// Timeout for the whole answer to a call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Why a call to a runner got no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// Nothing was sent: the lease ended before, or the connection failed.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The runner must not be called for this time: its rate limit is reached, or it
    /// requested a pause.
    #[error("the runner must not be called for {0:?}")]
    NotBefore(Duration),
    /// The call was sent but not answered: the runner may have acted on it, or may
    /// still do so.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Sends `request` to `runner`, unless `is_allowed` returns false once the connection is
/// open, and returns the answer. `call_name` names the call in the log.
pub async fn call(
    context: &Context,
    runner: &Runner,
    call_name: &'static str,
    mut request: Request<Bytes>,
    is_allowed: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), CallError> {
    if let Some(pause) = context.dispatch.remaining_pause(&runner.id) {
        return Err(CallError::NotBefore(pause));
    }
    acquire_rate_permit(context, runner).await?;
    // Runners tell the holders of the lease apart by their address, so that no call goes through
    // a peer.
    let connected = context.connect_directly(runner, CONNECT_TIMEOUT).await;
    let mut connection = connected.map_err(|error| {
        crate::tasks::spawn(verify_reach(context.clone(), runner.id.clone()));
        CallError::Unreachable(error.to_string())
    })?;
    if let Ok(host) = HeaderValue::from_str(&runner.address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    if !is_allowed() {
        return Err(CallError::NotSent("the lease has ended".to_owned()));
    }
    match exchange(context, runner, call_name, &mut connection, request).await {
        Ok((status, facts, body)) => {
            let keep_alive = facts.keep_alive_seconds;
            context.put_back(runner, connection, keep_alive);
            Ok((status, body))
        }
        Err(error) => {
            // After a network partition, a pending order could otherwise reach the
            // runner behind the orders of a successor.
            connection.discard();
            Err(error)
        }
    }
}

/// Sends `request` and reads its answer.
async fn exchange(
    context: &Context,
    runner: &Runner,
    call_name: &'static str,
    connection: &mut Connection,
    request: Request<Bytes>,
) -> Result<(StatusCode, AnswerFacts, Bytes), CallError> {
    let sent_at = Instant::now();
    let deadline = sent_at + ANSWER_TIMEOUT;
    let unanswered = |cause: String| CallError::Unanswered(cause);
    let response = timeout_at(deadline, connection.send(request))
        .await
        .map_err(|_| unanswered("timed out".to_owned()))?
        .map_err(|error| {
            if error.was_sent() {
                unanswered(error.cause)
            } else {
                CallError::NotSent(error.cause)
            }
        })?;
    let (head, body) = response.into_parts();
    let facts = context.dialect.read_answer(&head);
    if facts.request_id.is_some() {
        return Err(unanswered("a caller's answer came instead".to_owned()));
    }
    let signalled_call = SignalledCall {
        runner,
        call: call_name,
        sent_at,
        peer: None,
        limit_expected: false,
    };
    signals::apply_signals(context, &signalled_call, head.status, &facts);
    context.dispatch.record_reading(runner.id.clone(), sent_at);
    let body = timeout_at(deadline, Limited::new(body, MAX_ANSWER_BYTES).collect())
        .await
        .map_err(|_| unanswered("timed out".to_owned()))?
        .map_err(|error| unanswered(error.to_string()))?
        .to_bytes();
    Ok((head.status, facts, body))
}

/// Acquires a permit to call `runner` if it is rate-limited: these calls count
/// towards the limit that all nodes share.
async fn acquire_rate_permit(context: &Context, runner: &Runner) -> Result<(), CallError> {
    let advertised = context
        .dispatch
        .advertised_limits()
        .get(&runner.id)
        .copied();
    let Some(limit) = advertised.and_then(|advertised| advertised.limit) else {
        return Ok(());
    };
    match rate_permits::request_permit(context, &runner.id, limit).await {
        RatePermitAnswer::Granted => Ok(()),
        RatePermitAnswer::Denied(wait) => Err(CallError::NotBefore(wait)),
    }
}
