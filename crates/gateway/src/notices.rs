//! What runners say of themselves in their answers: one place hears it, whatever was
//! asked of them.

use barleyspar_catalog::{AnswerFacts, Runner, RunnerNotice};
use barleyspar_dispatch::AdvertisedLimit;
use http::StatusCode;
use tokio::time::Instant;

use crate::context::Context;
use crate::journal;

/// An answer of a runner, as far as it speaks of the runner.
pub struct Heard<'a> {
    /// The runner that was asked.
    pub asked: &'a Runner,
    /// What was asked of it, for figures.
    pub call: &'static str,
    /// When it was asked.
    pub sent_at: Instant,
    /// Whether it names its limit in each answer of this kind, as long as it has one.
    pub always_limited: bool,
}

/// Takes in what the head of an answer says of the runner that was asked.
pub fn hear(context: &Context, heard: &Heard<'_>, status: StatusCode, facts: &AnswerFacts) {
    if !answers_itself(heard.asked, status, facts) {
        return;
    }
    let RunnerNotice {
        limit,
        leaves,
        pause,
    } = facts.notice;
    if limit.is_some() || heard.always_limited {
        hear_limit(context, heard, facts);
    }
    if leaves {
        context.metrics.runner_notice(heard.call, "leaves");
        context.dispatch.hear_leaving(heard.asked.id.clone());
    }
    if let Some(pause) = pause {
        context.metrics.runner_notice(heard.call, "pause");
        journal::runner_pauses(&heard.asked.id, heard.call, pause);
        context.dispatch.hear_pause(heard.asked.id.clone(), pause);
    }
}

/// Whether the answer comes from the runner that was asked: a misdirected request may be
/// answered by another one, at an address that has changed hands.
fn answers_itself(asked: &Runner, status: StatusCode, facts: &AnswerFacts) -> bool {
    match &facts.runner {
        Some(answering) => **answering == *asked.name,
        None => status != StatusCode::MISDIRECTED_REQUEST,
    }
}

/// Takes in what an answer says of its runner's limit. One without a limit speaks for
/// the moment at which the call was sent: an answer that names one may have overtaken it.
fn hear_limit(context: &Context, heard: &Heard<'_>, facts: &AnswerFacts) {
    let limit = facts.notice.limit;
    context.metrics.limited_answer(heard.call, limit.is_some());
    let at = if limit.is_some() {
        Instant::now()
    } else {
        heard.sent_at
    };
    let at = at.into_std();
    let runner = heard.asked.id.clone();
    context
        .dispatch
        .hear_limit(runner, AdvertisedLimit { limit, at });
}
