//! Expected time until a runner sends the first event of a stream, where it is known how fast
//! the candidates read prompts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_domain::decay_factor;
use barleyspar_prefill::LearnedSpeed;

use crate::query::Query;
use crate::runner::RunnerEntry;
use crate::selection::SelectionContext;

/// Half-life of the difference between a learned speed and the fastest candidate's, from the
/// last change of the speed on: a runner that nobody uses since it was slow is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);
/// Part of a runner's reading time that other nodes are assumed to fill with new prompts
/// after its owner has told a wait.
const OTHER_NODES_SHARE: f64 = 0.5;
/// Cost of each second that the caller waits for the first event. The same for all requests: one
/// that could wait longer still holds up those that are read after it.
const SECOND_COST: f64 = 2.0;
/// Cost of each running stream that a prompt holds up beyond the pause that its route allows.
/// Some of them end before it is read.
const HELD_UP_STREAM_COST: f64 = 0.5;

/// What the expected delays of a request at all candidates depend on.
pub struct FirstEventForecast<'a> {
    context: SelectionContext<'a>,
    prompt_tokens: f64,
    /// Longest pause that running streams bear; infinite if the route names none.
    target_gap_seconds: f64,
    /// The model that the request needs.
    model: Option<Arc<str>>,
    /// Seconds for each prompt token at the fastest candidate.
    fastest_seconds_per_token: f64,
}

impl<'a> FirstEventForecast<'a> {
    /// Creates the forecast for `query`; `None` if the request has no prompt, or no candidate's
    /// speed is known.
    pub fn new(
        candidates: &[&RunnerEntry],
        query: &Query,
        context: SelectionContext<'a>,
    ) -> Option<Self> {
        let fastest_seconds_per_token = candidates
            .iter()
            .filter_map(|entry| context.estimates.speed(entry.key))
            .map(seconds_per_token)
            .reduce(f64::min)?;
        (query.prompt_tokens > 0).then_some(Self {
            context,
            prompt_tokens: query.prompt_tokens as f64,
            target_gap_seconds: query
                .target_gap
                .map_or(f64::INFINITY, |gap| gap.as_secs_f64()),
            model: query.wanted.as_ref().map(|wanted| wanted.model.clone()),
            fastest_seconds_per_token,
        })
    }

    /// Returns the cost of the runner of `entry`: of the expected time until the first event, and
    /// of each running stream that the prompt holds up.
    pub fn cost(&self, entry: &RunnerEntry) -> f64 {
        let seconds_per_token = self.expected_seconds_per_token(entry);
        let unread_seconds = entry.unread.tokens() as f64 * seconds_per_token;
        let told_seconds = self.told_wait_seconds(entry, seconds_per_token);
        let read_seconds = self.prompt_tokens * seconds_per_token;
        let first_event_seconds = unread_seconds.max(told_seconds) + read_seconds;
        SECOND_COST * first_event_seconds
            + HELD_UP_STREAM_COST * self.held_up_streams(entry, read_seconds)
    }

    /// Returns the number of running streams whose pause the prompt, read in `read_seconds`,
    /// makes longer than their routes allow. No permit can avoid that: a prompt is not divided.
    fn held_up_streams(&self, entry: &RunnerEntry, read_seconds: f64) -> f64 {
        let event_seconds = self
            .model
            .as_ref()
            .and_then(|model| entry.usual_event_gap(model));
        if read_seconds + event_seconds.unwrap_or(0.0) <= self.target_gap_seconds {
            return 0.0;
        }
        f64::from(entry.total_in_flight())
    }

    /// Returns the time in which the runner is expected to read a token. A runner of unknown
    /// speed counts as fast as the fastest candidate, so that its speed is learned.
    fn expected_seconds_per_token(&self, entry: &RunnerEntry) -> f64 {
        let fastest = self.fastest_seconds_per_token;
        let Some(speed) = self.context.estimates.speed(entry.key) else {
            return fastest;
        };
        let decay = decay_factor(self.age(speed.changed_at), SLOWNESS_HALF_LIFE);
        fastest + (seconds_per_token(speed) - fastest) * decay
    }

    /// Returns the wait for a permit, by what the runner's owner told last, what this node
    /// has sent since then, and what other nodes may have sent. That is unknown, and random
    /// here, so that nodes with the same knowledge make different choices.
    fn told_wait_seconds(&self, entry: &RunnerEntry, seconds_per_token: f64) -> f64 {
        let Some(told) = self
            .context
            .estimates
            .recent_wait(entry.key, self.context.now)
        else {
            return 0.0;
        };
        let age_seconds = self.age(told.learned_at).as_secs_f64();
        let others_seconds = age_seconds * 2.0 * OTHER_NODES_SHARE * self.context.jitter(entry);
        let rest_seconds = told.wait.as_secs_f64() + others_seconds - age_seconds;
        let own_tokens = entry.unread.tokens_after(told.learned_at);
        rest_seconds.max(0.0) + own_tokens as f64 * seconds_per_token
    }

    fn age(&self, at: Instant) -> Duration {
        self.context.now.saturating_duration_since(at)
    }
}

fn seconds_per_token(speed: LearnedSpeed) -> f64 {
    1.0 / speed.tokens_per_second
}

#[cfg(test)]
#[path = "first_event_forecast_tests.rs"]
mod tests;
