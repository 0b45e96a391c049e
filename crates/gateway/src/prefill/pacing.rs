//! Waits, on behalf of a request, for the permit to send its prompt to the chosen runner.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{RequestKind, runner_key};
use barleyspar_dispatch::{Refusal, RefusalReason, retry_after};
use barleyspar_prefill::MAX_PROMPT_TOKENS;
use tokio::time::{Instant, interval};

use crate::answers::REJECTED_RETRY_AFTER;
use crate::dispatch::Permit;
use crate::exchange::Exchange;
use crate::journal;
use crate::prefill::{GrantedBy, PrefillAsk, PrefillDecision, PrefillPermit};

/// Number of times that a request is moved to another runner to be read sooner.
const MAX_MOVES: usize = 2;
/// Interval at which it is checked whether the runner still accepts work.
const RUNNER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a permit to resume a stream, whose client waits for the next event.
const RESUMPTION_PATIENCE: Duration = Duration::from_millis(200);

/// The runners that a request gave up for another one because they read its prompt too late.
#[derive(Debug)]
pub struct Moves {
    may_move: bool,
    left_runners: Vec<Arc<str>>,
}

impl Moves {
    /// Creates the moves of a request that has left no runner. One that may not wait for a
    /// runner stays where it is, since it may find no other one.
    pub fn new(may_wait: bool) -> Self {
        Self {
            may_move: may_wait,
            left_runners: Vec::new(),
        }
    }

    /// Returns the ids of the runners that the request left.
    pub fn left_runners(&self) -> &[Arc<str>] {
        &self.left_runners
    }

    /// Whether the request may leave the runner of `permit` for another one.
    fn may_leave(&self, permit: &Permit) -> bool {
        self.may_move
            && self.left_runners.len() < MAX_MOVES
            && permit.candidates() > 1
            && !self.left_runners.contains(&permit.runner().id)
    }
}

/// How a request goes on after its question for a permit.
#[derive(Debug)]
pub enum Turn {
    /// The prompt may be sent to the chosen runner now.
    Send,
    /// The request needs another runner.
    Elsewhere,
    /// No runner is expected to read the prompt before its client gives up.
    Refused(Refusal),
}

/// Waits for the permit to send the prompt of `exchange` to the runner of `permit`, and
/// attaches it. Requests that need none are sent at once. Dropping the future frees whatever
/// it waits for.
pub async fn await_turn(exchange: &Exchange, permit: &mut Permit, moves: &mut Moves) -> Turn {
    let Some(handle) = &exchange.context.prefill else {
        return Turn::Send;
    };
    let gives_up_at = exchange.answer_due_at();
    let may_leave = moves.may_leave(permit);
    let Some(ask) = ask_for(exchange, permit, gives_up_at, may_leave) else {
        return Turn::Send;
    };
    let decision = tokio::select! {
        biased;
        decision = handle.acquire(ask) => decision,
        () = runner_stops(permit) => return Turn::Elsewhere,
    };
    match decision {
        // The task is gone, which happens only when the process ends.
        None => Turn::Send,
        Some(PrefillDecision::Granted(prefill)) => {
            attach(exchange, permit, prefill);
            Turn::Send
        }
        Some(PrefillDecision::Elsewhere(wait)) => leave(exchange, permit, moves, wait, "elsewhere"),
        Some(PrefillDecision::Denied(wait)) if may_leave => {
            leave(exchange, permit, moves, wait, "denied")
        }
        Some(PrefillDecision::Denied(wait)) => {
            exchange.context.metrics.prefill_decided("denied");
            Turn::Refused(refusal(exchange, wait))
        }
        Some(PrefillDecision::TimedOut) => {
            exchange.context.metrics.prefill_decided("timed_out");
            Turn::Refused(refusal(exchange, REJECTED_RETRY_AFTER))
        }
    }
}

/// Waits for the permit to resume a stream at the runner of `permit`, for at most
/// [`RESUMPTION_PATIENCE`]. The stream is resumed with or without it.
pub async fn await_turn_briefly(exchange: &Exchange, permit: &mut Permit) {
    let Some(handle) = &exchange.context.prefill else {
        return;
    };
    let started = Instant::now();
    let gives_up_at = started + RESUMPTION_PATIENCE;
    let Some(ask) = ask_for(exchange, permit, gives_up_at, false) else {
        return;
    };
    let outcome = match tokio::time::timeout_at(gives_up_at, handle.acquire(ask)).await {
        Ok(Some(PrefillDecision::Granted(prefill))) => {
            return attach(exchange, permit, prefill);
        }
        Ok(Some(PrefillDecision::TimedOut)) | Err(_) => "timed_out",
        Ok(_) => "denied",
    };
    exchange.context.metrics.prefill_decided(outcome);
}

/// Builds the question of a request; `None` if the request needs no permit: it is no stream
/// with a target gap, or has no prompt that an engine reads.
fn ask_for(
    exchange: &Exchange,
    permit: &Permit,
    gives_up_at: Instant,
    may_move: bool,
) -> Option<PrefillAsk> {
    let route = &exchange.route;
    let target_gap = route.target_gap?;
    let prompt_tokens = exchange.readable_prompt_tokens();
    let has_prompt = exchange.has_engine && prompt_tokens > 0;
    if route.kind != RequestKind::Streaming || !has_prompt {
        return None;
    }
    Some(PrefillAsk {
        runner: permit.runner().id.clone(),
        prompt_tokens: prompt_tokens.min(MAX_PROMPT_TOKENS.into()),
        priority: exchange.priority(),
        gives_up_at,
        target_gap,
        tenant: exchange.tenant_key(),
        tokens_per_second: permit.tokens_per_second(),
        in_flight: permit.in_flight() + 1,
        may_move,
    })
}

/// Waits until the permit's runner accepts no more work.
async fn runner_stops(permit: &Permit) {
    let mut checks = interval(RUNNER_CHECK_INTERVAL);
    while permit.runner_accepts_work() {
        checks.tick().await;
    }
}

fn attach(exchange: &Exchange, permit: &mut Permit, prefill: PrefillPermit) {
    let waited = prefill.waited();
    let outcome = match prefill.granted_by {
        GrantedBy::Owner => "granted",
        GrantedBy::OwnersQueue => "queued",
        GrantedBy::ThisNode => "unowned",
    };
    exchange.context.metrics.prefill_decided(outcome);
    exchange.context.metrics.prefill_waited(waited);
    journal::prefill_wait(&journal::PrefillWait {
        request: exchange.id(),
        runner: &permit.runner().id,
        owner: &prefill.owner,
        outcome,
        waited,
        expected: prefill.expected_wait,
    });
    permit.attach_prefill(prefill);
}

/// Leaves the permit's runner, and tells the dispatcher of the wait there.
fn leave(
    exchange: &Exchange,
    permit: &Permit,
    moves: &mut Moves,
    wait: Duration,
    outcome: &'static str,
) -> Turn {
    let runner = permit.runner().id.clone();
    let dispatch = &exchange.context.dispatch;
    dispatch.record_prefill_wait(runner_key(&runner), wait);
    exchange.context.metrics.prefill_decided(outcome);
    journal::prefill_elsewhere(exchange.id(), &runner, wait);
    moves.left_runners.push(runner);
    Turn::Elsewhere
}

fn refusal(exchange: &Exchange, wait: Duration) -> Refusal {
    Refusal {
        reason: RefusalReason::PrefillFull,
        retry_after: retry_after(wait, exchange.remaining_time()),
        retry_budget: None,
    }
}
