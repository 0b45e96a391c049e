//! Applies the signals that runners send in the headers of their answers (rate limit,
//! draining, requested pause), for calls of all kinds.

use std::net::SocketAddr;

use barleyspar_catalog::{AnswerFacts, Runner, RunnerSignals};
use barleyspar_dispatch::AdvertisedLimit;
use http::StatusCode;
use tokio::time::Instant;

use crate::context::Context;
use crate::journal;
use crate::tunnel::report_pause;

/// A call to a runner whose answer may carry signals.
pub struct SignalledCall<'a> {
    /// The runner to which the call was sent.
    pub runner: &'a Runner,
    /// Name of the call in metrics and log lines.
    pub call: &'static str,
    /// When the call was sent.
    pub sent_at: Instant,
    /// Address of the peer through which the call went; `None` if it went directly.
    pub peer: Option<SocketAddr>,
    /// Whether a runner with a rate limit advertises it in each answer to this call, so
    /// that an answer without one means that there is none.
    pub limit_expected: bool,
}

/// Applies the signals in the head of an answer. Ignores those of an answer that another
/// runner gave.
pub fn apply_signals(
    context: &Context,
    call: &SignalledCall<'_>,
    status: StatusCode,
    facts: &AnswerFacts,
) {
    if !is_from_called_runner(call.runner, status, facts) {
        return;
    }
    let RunnerSignals {
        limit,
        brittle,
        draining,
        requested_pause,
    } = facts.signals;
    if limit.is_some() || call.limit_expected {
        apply_limit(context, call, facts);
    }
    let service = &call.runner.service;
    if brittle.is_some() || context.dispatch.is_brittle(service) {
        apply_brittle(context, call, brittle);
    }
    if draining {
        context.metrics.runner_signal(call.call, "leaves");
        context.dispatch.mark_draining(call.runner.id.clone());
    }
    if let Some(pause) = requested_pause {
        context.metrics.runner_signal(call.call, "pause");
        journal::runner_requested_pause(&call.runner.id, call.call, pause);
        let runner = call.runner.id.clone();
        context.dispatch.set_requested_pause(runner.clone(), pause);
        if let Some(peer) = call.peer {
            // The runner asks the node that called it, which is the peer.
            let context = context.clone();
            crate::tasks::spawn(async move { report_pause(&context, peer, runner, pause).await });
        }
    }
}

/// Returns whether the answer comes from the runner that was called. A misdirected request
/// may be answered by another runner, at an address that was assigned to it since.
fn is_from_called_runner(called: &Runner, status: StatusCode, facts: &AnswerFacts) -> bool {
    match &facts.runner_name {
        Some(answering) => **answering == *called.name,
        None => status != StatusCode::MISDIRECTED_REQUEST,
    }
}

/// Applies what an answer says of whether the runner's service is brittle. That it is not counts
/// as of the time at which the call was sent, as for rate limits.
fn apply_brittle(context: &Context, call: &SignalledCall<'_>, tolerated: Option<u32>) {
    let at = tolerated.map_or(call.sent_at, |_| Instant::now());
    let runner = call.runner.id.clone();
    context.dispatch.record_brittle(runner, tolerated, at);
}

/// Applies the rate limit in an answer, or its absence. Absence counts as of the time at which
/// the call was sent: an answer to a later call, which advertises a limit, may have arrived
/// before the answer without one.
fn apply_limit(context: &Context, call: &SignalledCall<'_>, facts: &AnswerFacts) {
    let limit = facts.signals.limit;
    context.metrics.limit_answer(call.call, limit.is_some());
    let at = if limit.is_some() {
        Instant::now()
    } else {
        call.sent_at
    };
    let at = at.into_std();
    let runner = call.runner.id.clone();
    context
        .dispatch
        .apply_limit(runner, AdvertisedLimit { limit, at });
}
