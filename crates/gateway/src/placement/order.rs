//! One order to one runner, or one look at its report.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{AnswerFacts, DialectError, Order, OrderAnswer, Report, Runner};
use barleyspar_dispatch::RatePermitAnswer;
use barleyspar_loading::Lease;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::notices::{self, Heard};
use crate::rate_permits;
use crate::upstream::Connection;

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes of an answer that are read.
const ANSWER_BYTES: usize = 1 << 20;

/// Why a call to a runner got no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came up.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The runner wants no call for this time: its limit is reached, or it asked for a
    /// pause.
    #[error("the runner wants no call for {0:?}")]
    HeldBack(Duration),
    /// It may have been done, or may be done later.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The call got no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer could not be read.
    #[error(transparent)]
    Unreadable(#[from] DialectError),
    /// Another life of the runner answered, which was born at this time.
    #[error("the runner that reports was born at {0}")]
    OtherLife(u64),
}

/// How an order ended.
#[derive(Debug)]
pub struct OrderResult {
    /// The runner.
    pub runner: Arc<str>,
    /// The order.
    pub order: Order,
    /// The runner's answer.
    pub answer: Result<OrderAnswer, CallError>,
}

/// How a look at a report ended.
#[derive(Debug)]
pub struct ReportResult {
    /// The runner.
    pub runner: Arc<str>,
    /// Its report.
    pub report: Result<Report, ReportError>,
}

/// Gives `order`, if `lease` allows it at the very moment of writing.
pub async fn give(
    context: Context,
    runner: Arc<Runner>,
    order: Order,
    lease: watch::Receiver<Option<Lease>>,
) -> OrderResult {
    let request = context.dialect.order_call(&order);
    let token = order.fencing_token;
    let allowed = move || {
        let now = Instant::now().into_std();
        lease
            .borrow()
            .is_some_and(|lease| lease.token == token && lease.may_order(now))
    };
    let answer = call(&context, &runner, "order", request, allowed)
        .await
        .map(|(status, _)| context.dialect.read_order_answer(status));
    OrderResult {
        runner: runner.id.clone(),
        order,
        answer,
    }
}

/// Reads a runner's report.
pub async fn read_report(context: Context, runner: Arc<Runner>) -> ReportResult {
    let request = context.dialect.report_call(&runner.name);
    let report = call(&context, &runner, "report", request, || true)
        .await
        .map_err(ReportError::from)
        .and_then(|(status, body)| Ok(context.dialect.read_report(status, &body)?))
        .and_then(|report| of_same_life(&runner, report));
    ReportResult {
        runner: runner.id.clone(),
        report,
    }
}

/// Refuses what another life of `runner` says, which holds and knows nothing of
/// this one.
fn of_same_life(runner: &Runner, report: Report) -> Result<Report, ReportError> {
    match (runner.born, report.born) {
        (Some(known), Some(born)) if known != born => Err(ReportError::OtherLife(born)),
        _ => Ok(report),
    }
}

async fn call(
    context: &Context,
    runner: &Runner,
    name: &'static str,
    mut request: Request<Bytes>,
    allowed: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), CallError> {
    if let Some(pause) = context.dispatch.pause_left(&runner.id) {
        return Err(CallError::HeldBack(pause));
    }
    take_rate_permit(context, runner).await?;
    let mut connection = context
        .connect(runner, CONNECT_TIMEOUT)
        .await
        .map_err(|error| CallError::Unreachable(error.to_string()))?;
    if let Ok(host) = HeaderValue::from_str(&runner.address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    if !allowed() {
        return Err(CallError::NotSent("the lease does not last".to_owned()));
    }
    match exchange(context, runner, name, &mut connection, request).await {
        Ok((status, facts, body)) => {
            let keep_alive = facts.keep_alive_seconds;
            context.pool.put_back(&runner.id, connection, keep_alive);
            Ok((status, body))
        }
        Err(error) => {
            // After a cut it could reach the runner behind the orders of a successor.
            connection.give_up();
            Err(error)
        }
    }
}

/// Sends `request` and reads its answer.
async fn exchange(
    context: &Context,
    runner: &Runner,
    name: &'static str,
    connection: &mut Connection,
    request: Request<Bytes>,
) -> Result<(StatusCode, AnswerFacts, Bytes), CallError> {
    let sent_at = Instant::now();
    let until = sent_at + ANSWER_TIMEOUT;
    let unanswered = |cause: String| CallError::Unanswered(cause);
    let response = timeout_at(until, connection.send(request))
        .await
        .map_err(|_| unanswered("time is up".to_owned()))?
        .map_err(|error| {
            if error.sent {
                unanswered(error.cause)
            } else {
                CallError::NotSent(error.cause)
            }
        })?;
    let (head, body) = response.into_parts();
    let facts = context.dialect.read_answer(&head);
    let heard = Heard {
        asked: runner,
        call: name,
        sent_at,
        always_limited: false,
    };
    notices::hear(context, &heard, head.status, &facts);
    let body = timeout_at(until, Limited::new(body, ANSWER_BYTES).collect())
        .await
        .map_err(|_| unanswered("time is up".to_owned()))?
        .map_err(|error| unanswered(error.to_string()))?
        .to_bytes();
    Ok((head.status, facts, body))
}

/// Asks for a permit to call `runner`, if it is rate-limited: the leader's calls are part
/// of what it gets from all nodes.
async fn take_rate_permit(context: &Context, runner: &Runner) -> Result<(), CallError> {
    let advertised = context.dispatch.limits().get(&runner.id).copied();
    let Some(limit) = advertised.and_then(|advertised| advertised.limit) else {
        return Ok(());
    };
    match rate_permits::permit(context, &runner.id, limit).await {
        RatePermitAnswer::Granted => Ok(()),
        RatePermitAnswer::Denied(wait) => Err(CallError::HeldBack(wait)),
    }
}
