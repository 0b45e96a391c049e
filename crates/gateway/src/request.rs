//! Serves a client's request: admits it, sends it to runners until one of them answers,
//! and returns the answer or an error of the gateway's own.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Denial;
use barleyspar_dispatch::{AttemptKind, Failure, Outcome, Query, Refusal};
use barleyspar_domain::Verdict;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::admission::admit;
use crate::answers::{OwnAnswer, REJECTED_RETRY_AFTER, STOPPING_RETRY_AFTER, close_if_draining};
use crate::attempt::{Answered, attempt, rejection_outcome};
use crate::body::AnswerBody;
use crate::context::Context;
use crate::dispatch::Permit;
use crate::exchange::Exchange;
use crate::journal;
use crate::prefill::{Moves, Turn, await_turn};
use crate::relay::{self, MAX_COLLECTED_BYTES};
use crate::resumption::bind_to_origin;
use crate::stream;

/// Waiting time for a runner after which the wait is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(20);
/// Time allowed to read the body of a rejection, so that its connection can be reused.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Next step after an attempt without an answer that can be relayed.
enum Next {
    /// The request ends with this answer to the client.
    Answer(Response<AnswerBody>),
    /// The request gets another attempt of this kind.
    Again(AttemptKind),
}

/// Serves one request and returns the answer for the client.
pub async fn serve(context: Context, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let facts = context.dialect.read_request(&head);
    let request_id = facts.request_id.clone();
    let admitted = tokio::select! {
        biased;
        admitted = admit(&context, head, body, facts, received) => admitted,
        () = context.lifecycle.wait_for_last_answers() => {
            Err(OwnAnswer::refused("stopping", STOPPING_RETRY_AFTER))
        }
    };
    match admitted {
        Ok(exchange) => {
            let mut response = run(exchange).await;
            close_if_draining(&context, &mut response);
            response
        }
        Err(answer) => {
            context.metrics.turned_away(answer.reason);
            let id = request_id.as_deref().unwrap_or("-");
            journal::turned_away(&context, id, &answer, received.elapsed());
            answer.into_response(&context, request_id.as_deref())
        }
    }
}

/// The answer to a request, complete or as far as it was read.
enum Answer {
    /// The whole answer for the client; the request has ended.
    Whole(Response<AnswerBody>),
    /// A stream of events, all of which are to be relayed.
    Stream(Box<Answered>),
    /// A long answer: the bytes already read, and the attempt from which the remaining ones are to
    /// be relayed.
    Long(Bytes, Box<Answered>),
}

/// Serves an admitted request. One that is still unanswered when the process ends gets an answer
/// of the gateway's own, since its connection would be cut otherwise.
async fn run(mut exchange: Exchange) -> Response<AnswerBody> {
    let lifecycle = exchange.context.lifecycle.clone();
    let answer = tokio::select! {
        biased;
        answer = send_to_runners(&mut exchange) => answer,
        () = lifecycle.wait_for_last_answers() => return end_unanswered(&mut exchange),
    };
    match answer {
        Answer::Whole(response) => response,
        Answer::Stream(answered) => stream::relay_events(exchange, *answered),
        Answer::Long(collected, answered) => relay::relay_chunks(exchange, collected, answered),
    }
}

/// Ends a request that waits, or that a runner has not answered completely, when the process ends.
fn end_unanswered(exchange: &mut Exchange) -> Response<AnswerBody> {
    if exchange.is_at_runner() {
        exchange.leave_runner();
        exchange.verdict = exchange.verdict.combined_with(Verdict::MayHaveRun);
    }
    refuse(exchange, "stopping", STOPPING_RETRY_AFTER)
}

/// Sends the request to runners, one after the other, until there is an answer for the
/// client.
async fn send_to_runners(exchange: &mut Exchange) -> Answer {
    if !bind_to_origin(exchange).await {
        let refusal = refuse(exchange, "unknown_origin", REJECTED_RETRY_AFTER);
        return Answer::Whole(refusal);
    }
    let mut kind = AttemptKind::First;
    let mut fallback = None;
    loop {
        let answered = match attempt_once(exchange, kind, fallback.take()).await {
            Ok(answered) => answered,
            Err(Next::Answer(response)) => return Answer::Whole(response),
            Err(Next::Again(next)) => {
                kind = next;
                continue;
            }
        };
        if answered.facts.event_stream && answered.status == StatusCode::OK {
            return Answer::Stream(Box::new(answered));
        }
        match relay::collect(exchange, answered).await {
            relay::Relayed::Answer(response) => return Answer::Whole(response),
            relay::Relayed::TooLong(collected, answered) => {
                return Answer::Long(collected, answered);
            }
            relay::Relayed::Failed(response) if exchange.may_retry() => {
                fallback = Some(response);
                kind = AttemptKind::Retry;
            }
            relay::Relayed::Failed(response) => {
                exchange.end(response.status().as_u16(), "runner_failed");
                return Answer::Whole(response);
            }
            relay::Relayed::Broken if exchange.may_retry() => kind = AttemptKind::Retry,
            relay::Relayed::Broken => {
                return Answer::Whole(end_with(exchange, bad_gateway("answer_broken")));
            }
            relay::Relayed::DeadlinePassed => return Answer::Whole(give_up(exchange)),
        }
    }
}

/// Returns the answer with status 502, for a request that may have run but whose runner
/// gave no usable answer.
fn bad_gateway(reason: &'static str) -> OwnAnswer {
    OwnAnswer::failed(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, reason)
}

/// Ends the request with an answer of the gateway's own.
fn end_with(exchange: &mut Exchange, answer: OwnAnswer) -> Response<AnswerBody> {
    exchange.end(answer.status.as_u16(), answer.reason);
    answer.into_response(&exchange.context, exchange.outgoing.request_id.as_deref())
}

/// Makes one attempt: acquires a runner, sends the request and reads the head of the
/// answer. `fallback` is the answer of an earlier runner that failed to run the request; the
/// client gets it if no runner is available at once. Without it, the request may wait for a
/// runner.
async fn attempt_once(
    exchange: &mut Exchange,
    kind: AttemptKind,
    fallback: Option<Response<AnswerBody>>,
) -> Result<Answered, Next> {
    let may_wait = fallback.is_none();
    exchange.await_resend_decision().await;
    let acquire_started = Instant::now();
    let lifecycle = exchange.context.lifecycle.clone();
    let acquired = tokio::select! {
        biased;
        remaining = exchange.wait_until_quarantined() => {
            return Err(Next::Answer(refuse_or_fall_back(
                exchange,
                fallback,
                "quarantined",
                remaining,
            )));
        }
        // Another node can serve a request that did not run yet, and has the time for it.
        () = lifecycle.wait_until_too_late(exchange.deadline),
            if exchange.verdict == Verdict::NotRun => None,
        acquired = acquire_turn(exchange, kind, may_wait) => acquired,
    };
    let permit = match acquired {
        Some(Ok(permit)) => permit,
        Some(Err(refusal)) => {
            exchange.record_refusal(refusal);
            let (reason, retry_after) = (refusal.reason.name(), refusal.retry_after);
            let answer = refuse_or_fall_back(exchange, fallback, reason, retry_after);
            return Err(Next::Answer(answer));
        }
        None => {
            let answer = refuse(exchange, "stopping", STOPPING_RETRY_AFTER);
            return Err(Next::Answer(answer));
        }
    };
    if let Err(denial) = exchange.reauthorize() {
        return Err(Next::Answer(deny(exchange, denial)));
    }
    journal::chosen(exchange.id(), &permit, acquire_started.elapsed());
    let runner = permit.runner().clone();
    let forward = exchange.added_header_values(&runner, None);
    let head_deadline = exchange.head_deadline(&permit);
    let context = exchange.context.clone();
    exchange.arrive_at(&runner);
    let attempted = tokio::select! {
        biased;
        result = attempt(&context, permit, &exchange.outgoing, forward, head_deadline) => result,
        remaining = exchange.wait_until_quarantined() => {
            exchange.leave_runner();
            exchange.record_run(&runner.id, Verdict::MayHaveRun);
            let answer = refuse(exchange, "quarantined", remaining);
            return Err(Next::Answer(answer));
        }
    };
    match attempted {
        Ok(answered) => handle_head(exchange, &runner.id, answered).await,
        Err(error) => match exchange.record_failure(&runner, &error) {
            Some(kind) => Err(Next::Again(kind)),
            None => Err(Next::Answer(give_up(exchange))),
        },
    }
}

/// Acquires a runner, and the permit to send it the prompt now.
async fn acquire_turn(
    exchange: &Exchange,
    kind: AttemptKind,
    may_wait: bool,
) -> Option<Result<Permit, Refusal>> {
    let mut kind = kind;
    let mut moves = Moves::new(may_wait);
    loop {
        let mut query = exchange.query(kind, may_wait);
        query.avoided_runners = moves.left_runners().to_vec();
        let mut permit = match acquire(exchange, query).await? {
            Ok(permit) => permit,
            Err(refusal) => return Some(Err(refusal)),
        };
        match await_turn(exchange, &mut permit, &mut moves).await {
            Turn::Send => return Some(Ok(permit)),
            Turn::Refused(refusal) => return Some(Err(refusal)),
            Turn::Elsewhere => kind = kind.after_unsent(),
        }
    }
}

/// Acquires a runner from the dispatcher. Logs a wait of more than [`LOGGED_WAIT`].
async fn acquire(exchange: &Exchange, query: Query) -> Option<Result<Permit, Refusal>> {
    let acquired = exchange.context.dispatch.acquire(query);
    tokio::pin!(acquired);
    match timeout(LOGGED_WAIT, acquired.as_mut()).await {
        Ok(acquired) => acquired,
        Err(_) => {
            exchange.log_waiting();
            acquired.await
        }
    }
}

/// Ends a request whose last attempt failed and that gets no further attempt.
fn give_up(exchange: &mut Exchange) -> Response<AnswerBody> {
    if exchange.verdict == Verdict::NotRun {
        return refuse(exchange, "unreachable", REJECTED_RETRY_AFTER);
    }
    let verdict = exchange.verdict;
    let answer = if exchange.remaining_time().is_zero() {
        OwnAnswer::failed(StatusCode::GATEWAY_TIMEOUT, verdict, "deadline")
    } else {
        OwnAnswer::failed(StatusCode::BAD_GATEWAY, verdict, "attempt_failed")
    };
    end_with(exchange, answer)
}

/// Ends a request that is not sent to another runner: with `fallback`, the answer of a
/// runner that failed to run it, or else with a refusal.
fn refuse_or_fall_back(
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

/// Ends the request with a refusal, or with a failure if it may have run at a runner.
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
    end_with(exchange, answer)
}

/// Ends an admitted request that its credential does not allow under the current
/// configuration.
fn deny(exchange: &mut Exchange, denial: Denial) -> Response<AnswerBody> {
    let answer = OwnAnswer::denied(denial);
    let answer = if exchange.verdict == Verdict::NotRun {
        answer
    } else {
        OwnAnswer::failed(StatusCode::BAD_GATEWAY, exchange.verdict, answer.reason)
    };
    end_with(exchange, answer)
}

/// Handles the head of a runner's answer. Returns the answer if the runner ran the request.
/// Otherwise ends the attempt and returns the next step: after a rejection, or if the
/// answer's status would falsely tell the client that the request did not run.
async fn handle_head(
    exchange: &mut Exchange,
    runner: &Arc<str>,
    answered: Answered,
) -> Result<Answered, Next> {
    let is_rejection = match answered.status {
        StatusCode::MISDIRECTED_REQUEST => true,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => answered.facts.not_run,
        _ => false,
    };
    if !is_rejection {
        exchange.record_run(runner, Verdict::Ran);
        if falsely_claims_not_run(exchange, &answered) {
            answered.permit.finish(Outcome::Failed(Failure::Error));
            return Err(Next::Answer(end_with(
                exchange,
                bad_gateway("runner_failed"),
            )));
        }
        return Ok(answered);
    }
    let outcome = rejection_outcome(&answered);
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
    // A runner that asked for a pause gets the same request again, with the same id. A late copy of
    // this rejection would then pass for the answer, so its connection is not used again.
    if outcome != Outcome::Paused {
        let read_deadline = Instant::now() + REJECTION_BODY_TIMEOUT;
        let rejection = Limited::new(body, MAX_COLLECTED_BYTES).collect();
        if let Ok(Ok(_)) = timeout_at(read_deadline, rejection).await {
            let (context, keep_alive) = (&exchange.context, facts.keep_alive_seconds);
            exchange
                .outgoing
                .put_back(context, permit.runner(), connection, keep_alive);
        }
    }
    permit.finish(outcome);
    if exchange.record_rejection(runner, outcome) && !exchange.remaining_time().is_zero() {
        return Err(Next::Again(AttemptKind::Retry));
    }
    Err(Next::Answer(refuse(
        exchange,
        "rejected",
        REJECTED_RETRY_AFTER,
    )))
}

/// Returns whether the answer's status would tell the client that the request did not
/// run, although it may have run and the route does not allow repeating it.
fn falsely_claims_not_run(exchange: &Exchange, answered: &Answered) -> bool {
    let claims_not_run = matches!(
        answered.status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    claims_not_run && !answered.facts.not_run && !exchange.route.repeatable()
}
