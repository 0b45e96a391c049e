//! From a client's request to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Denial;
use barleyspar_catalog::RequestKind;
use barleyspar_dispatch::{AttemptKind, Failure, Outcome, Query, Refusal};
use barleyspar_domain::Verdict;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::admission::admit;
use crate::answers::{OwnAnswer, REJECTED_RETRY_AFTER, STOPPING_RETRY_AFTER, close_if_draining};
use crate::attempt::{Answered, attempt, rejection};
use crate::body::AnswerBody;
use crate::context::Context;
use crate::dispatch::Permit;
use crate::exchange::Exchange;
use crate::journal;
use crate::lifecycle::Stage;
use crate::relay::{self, WHOLE_ANSWER_BYTES};
use crate::stream;

/// Wait for a runner from which on the log tells of it.
const WAIT_WORTH_LOGGING: Duration = Duration::from_millis(20);
/// Time to read a rejection's body, so that its connection can be used again.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// What comes after an attempt.
enum Next {
    /// The answer for the client.
    Answer(Response<AnswerBody>),
    /// Another attempt.
    Again(AttemptKind),
}

/// Serves one request.
pub async fn serve(context: Context, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let facts = context.dialect.read_request(&head);
    let request_id = facts.request_id.clone();
    match admit(&context, head, body, facts, received).await {
        Ok(exchange) => {
            let mut response = run(exchange).await;
            close_if_draining(&context, &mut response);
            response
        }
        Err(answer) => {
            context.metrics.turned_away(answer.reason);
            let id = request_id.as_deref().unwrap_or("-");
            let status = answer.status.as_u16();
            journal::turned_away(
                id,
                status,
                answer.verdict,
                received.elapsed(),
                answer.reason,
            );
            answer.into_response(&context, request_id.as_deref())
        }
    }
}

/// Tries runners until there is an answer.
async fn run(mut exchange: Exchange) -> Response<AnswerBody> {
    let mut kind = AttemptKind::First;
    let mut fallback = None;
    loop {
        let answered = match try_once(&mut exchange, kind, fallback.take()).await {
            Ok(answered) => answered,
            Err(Next::Answer(response)) => return response,
            Err(Next::Again(next)) => {
                kind = next;
                continue;
            }
        };
        if answered.facts.event_stream && answered.status == StatusCode::OK {
            return stream::events(exchange, answered);
        }
        match relay::whole(&mut exchange, answered).await {
            relay::Relayed::Answer(response) => return response,
            relay::Relayed::Pieces(collected, answered) => {
                return relay::pieces(exchange, collected, answered);
            }
            relay::Relayed::Failed(response) if exchange.may_run_again() => {
                fallback = Some(response);
                kind = AttemptKind::Retry;
            }
            relay::Relayed::Failed(response) => {
                exchange.end(response.status().as_u16(), "runner_failed");
                return response;
            }
            relay::Relayed::Broken if exchange.may_run_again() => kind = AttemptKind::Retry,
            relay::Relayed::Broken => return own(&mut exchange, broken_answer("answer_broken")),
        }
    }
}

fn broken_answer(reason: &'static str) -> OwnAnswer {
    OwnAnswer::failed(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, reason)
}

fn own(exchange: &mut Exchange, answer: OwnAnswer) -> Response<AnswerBody> {
    exchange.end(answer.status.as_u16(), answer.reason);
    answer.into_response(&exchange.context, exchange.outgoing.request_id.as_deref())
}

/// One attempt. `fallback` is the answer if no runner can be had any more.
async fn try_once(
    exchange: &mut Exchange,
    kind: AttemptKind,
    fallback: Option<Response<AnswerBody>>,
) -> Result<Answered, Next> {
    let may_wait = fallback.is_none();
    exchange.settle().await;
    let asked = Instant::now();
    let query = exchange.query(kind, may_wait);
    let lifecycle = exchange.context.lifecycle.clone();
    let streams = exchange.route.kind == RequestKind::Streaming;
    let acquired = tokio::select! {
        biased;
        left = exchange.until_quarantined() => {
            return Err(Next::Answer(turn_away(exchange, fallback, "quarantined", left)));
        }
        acquired = acquire(exchange, query) => acquired,
        // A stream that begins now would not end in time; another node can have it.
        () = lifecycle.reached(Stage::Closing), if streams => None,
    };
    let permit = match acquired {
        Some(Ok(permit)) => permit,
        Some(Err(refusal)) => {
            journal::refused(exchange.id(), refusal, exchange.verdict);
            let (reason, retry_after) = (refusal.reason.name(), refusal.retry_after);
            let answer = turn_away(exchange, fallback, reason, retry_after);
            return Err(Next::Answer(answer));
        }
        None => {
            let answer = refuse(exchange, "stopping", STOPPING_RETRY_AFTER);
            return Err(Next::Answer(answer));
        }
    };
    if let Err(denial) = exchange.authorize_again() {
        return Err(Next::Answer(deny(exchange, denial)));
    }
    journal::chosen(exchange.id(), &permit, asked.elapsed());
    let runner = permit.runner().clone();
    let forward = exchange.forward(&runner, None);
    let patience = exchange.head_patience(permit.candidates() > 1);
    let context = exchange.context.clone();
    match attempt(&context, permit, &exchange.outgoing, forward, patience).await {
        Ok(answered) => after_head(exchange, &runner.id, answered).await,
        Err(error) => match exchange.after_failure(&runner, &error) {
            Some(kind) => Err(Next::Again(kind)),
            None => Err(Next::Answer(give_up(exchange))),
        },
    }
}

/// Asks for a runner, and says in the log if that takes time.
async fn acquire(exchange: &Exchange, query: Query) -> Option<Result<Permit, Refusal>> {
    let acquired = exchange.context.dispatch.acquire(query);
    tokio::pin!(acquired);
    match timeout(WAIT_WORTH_LOGGING, acquired.as_mut()).await {
        Ok(acquired) => acquired,
        Err(_) => {
            exchange.tell_waiting();
            acquired.await
        }
    }
}

/// The answer to a request that no further runner is tried for.
fn give_up(exchange: &mut Exchange) -> Response<AnswerBody> {
    if exchange.verdict == Verdict::NotRun {
        return refuse(exchange, "unreachable", REJECTED_RETRY_AFTER);
    }
    let verdict = exchange.verdict;
    let answer = if exchange.left().is_zero() {
        OwnAnswer::failed(StatusCode::GATEWAY_TIMEOUT, verdict, "deadline")
    } else {
        OwnAnswer::failed(StatusCode::BAD_GATEWAY, verdict, "attempt_failed")
    };
    own(exchange, answer)
}

/// The answer to a request that is sent to no further runner: `fallback` if there is one,
/// which a runner gave that failed to run it.
fn turn_away(
    exchange: &mut Exchange,
    fallback: Option<Response<AnswerBody>>,
    reason: &'static str,
    retry_after: Duration,
) -> Response<AnswerBody> {
    let Some(response) = fallback else {
        return refuse(exchange, reason, retry_after);
    };
    exchange.end(response.status().as_u16(), "runner_failed");
    response
}

/// A refusal, or a failure if the request may have run somewhere.
fn refuse(
    exchange: &mut Exchange,
    reason: &'static str,
    retry_after: Duration,
) -> Response<AnswerBody> {
    let answer = if exchange.verdict == Verdict::NotRun {
        OwnAnswer::refused(reason, retry_after)
    } else {
        OwnAnswer::failed(StatusCode::BAD_GATEWAY, exchange.verdict, reason)
    };
    own(exchange, answer)
}

/// The answer to a request whose credential no longer allows it.
fn deny(exchange: &mut Exchange, denial: Denial) -> Response<AnswerBody> {
    let answer = OwnAnswer::denied(denial);
    let answer = if exchange.verdict == Verdict::NotRun {
        answer
    } else {
        OwnAnswer::failed(StatusCode::BAD_GATEWAY, exchange.verdict, answer.reason)
    };
    own(exchange, answer)
}

/// Sorts out rejections; what runs goes on.
async fn after_head(
    exchange: &mut Exchange,
    runner: &Arc<str>,
    answered: Answered,
) -> Result<Answered, Next> {
    let turned_away = match answered.status {
        StatusCode::MISDIRECTED_REQUEST => true,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => answered.facts.not_run,
        _ => false,
    };
    if !turned_away {
        exchange.ran_at(runner, Verdict::Ran);
        if breaks_promise(exchange, &answered) {
            answered.permit.finish(Outcome::Failed(Failure::Error));
            return Err(Next::Answer(own(exchange, broken_answer("runner_failed"))));
        }
        return Ok(answered);
    }
    let outcome = rejection(&answered);
    tracing::info!(
        event = "rejected",
        request = exchange.id(),
        runner = &**runner,
        status = answered.status.as_u16()
    );
    let Answered {
        permit,
        connection,
        facts,
        body,
        ..
    } = answered;
    let until = Instant::now() + REJECTION_BODY_TIMEOUT;
    if let Ok(Ok(_)) = timeout_at(until, Limited::new(body, WHOLE_ANSWER_BYTES).collect()).await {
        let pool = &exchange.context.pool;
        pool.put_back(runner, connection, facts.keep_alive_seconds);
    }
    permit.finish(outcome);
    if exchange.after_rejection(runner, outcome) && !exchange.left().is_zero() {
        return Err(Next::Again(AttemptKind::Retry));
    }
    Err(Next::Answer(refuse(
        exchange,
        "rejected",
        REJECTED_RETRY_AFTER,
    )))
}

/// Whether passing the answer on would promise that a request did not run
/// which did.
fn breaks_promise(exchange: &Exchange, answered: &Answered) -> bool {
    let promises = matches!(
        answered.status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    promises && !answered.facts.not_run && !exchange.route.repeatable()
}
