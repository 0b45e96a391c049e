//! Decides when prompts may be sent to one runner.

use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;

use crate::ended::EndedQuestions;
use crate::gaps::RecentGaps;
use crate::pace::EventPace;
use crate::queue::{PrefillQueue, QuestionId, WaitingPrompt};
use crate::schedule::{ReadingLimit, ReadingSchedule};
use crate::shares::TenantShares;
use crate::speed::{MIN_SAMPLE_TOKENS, ReadingSpeed, read_time};
use crate::unread::{MAX_UNREAD_TIME, UnreadPrompts};
use crate::{MAX_PROMPT_TOKENS, PrefillAnswer, PrefillRequest, PrefillUpdate};

/// Part of the target gap in which a runner of unknown pace may read prompts; in the rest it
/// decodes the tokens of its running streams.
const READING_FRACTION: f64 = 0.8;
/// Part of the time that decoding leaves of the target gap, in which a runner may read prompts.
/// The rest covers errors of what was learned.
const USABLE_FRACTION: f64 = 0.9;
/// Least part of the target gap in which a runner may read prompts, however slowly it decodes.
const MIN_READING_FRACTION: f64 = 0.2;
/// Speed assumed for the waits of prompts at a runner whose speed is not known yet.
const ASSUMED_TOKENS_PER_SECOND: f64 = 10_000.0;
/// Tokens that a runner of unknown speed may have in reading. Any two prompts that are too short
/// for a sample of its speed fit into it, and make up a sample together.
const UNKNOWN_SPEED_BUDGET_TOKENS: u64 = 2 * MIN_SAMPLE_TOKENS;
/// Largest number of prompts granted within the longest window, and of unread ones.
const MAX_GRANTS: usize = 1024;
/// Error of the times in reports, which are whole milliseconds.
const REPORT_ROUNDING: Duration = Duration::from_millis(1);
/// Number of tokens of a prompt of usual length, for the wait in updates.
const USUAL_PROMPT_TOKENS: u64 = 1000;

/// State of one runner.
#[derive(Debug)]
pub struct RunnerPrefill {
    schedule: ReadingSchedule,
    unread: UnreadPrompts,
    ended: EndedQuestions,
    queue: PrefillQueue,
    shares: TenantShares,
    speed: ReadingSpeed,
    pace: EventPace,
    gaps: RecentGaps,
    /// When the runner has read, at the granted rate, a prompt that exceeds its budget.
    over_budget_until: Instant,
    asked_at: Instant,
}

impl RunnerPrefill {
    /// Returns the state before the first question, which is `request`.
    pub fn new(request: &PrefillRequest, now: Instant) -> Self {
        Self {
            schedule: ReadingSchedule::default(),
            unread: UnreadPrompts::default(),
            ended: EndedQuestions::default(),
            queue: PrefillQueue::default(),
            shares: TenantShares::default(),
            speed: ReadingSpeed::starting_from(request.known_tokens_per_second, now),
            pace: EventPace::default(),
            gaps: RecentGaps::new(now),
            over_budget_until: now,
            asked_at: now,
        }
    }

    /// When a node asked last for a permit for this runner.
    pub fn asked_at(&self) -> Instant {
        self.asked_at
    }

    /// Whether prompts wait for this runner.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Answers a question. The same question gets the same answer as long as nothing changes.
    pub fn answer(&mut self, request: &PrefillRequest, now: Instant) -> PrefillAnswer {
        self.asked_at = now;
        self.drop_outdated(now);
        let new_prompt = waiting_prompt(request, now);
        if self.unread.contains(&new_prompt.id) {
            return PrefillAnswer::Granted;
        }
        let queued = self.queue.get(&new_prompt.id).cloned();
        let is_queued = queued.is_some();
        let prompt = queued.unwrap_or(new_prompt);
        let before = self
            .queue
            .tokens_before(&prompt, self.rate(now), &self.shares, now);
        let wait = self.wait(prompt.tokens, before, now);
        let wait_ms = milliseconds(wait);
        if !is_queued {
            if self.ended.contains(&prompt.id, now) {
                return PrefillAnswer::Denied { wait_ms };
            }
            if before == 0 && self.fits(prompt.tokens, now) {
                self.grant(prompt, now);
                return PrefillAnswer::Granted;
            }
        }
        if !self.is_read_in_time(&prompt, wait, now) {
            self.queue.remove(&prompt.id);
            return PrefillAnswer::Denied { wait_ms };
        }
        if !is_queued {
            if self.queue.is_full_for(prompt.tenant) {
                return PrefillAnswer::Denied { wait_ms };
            }
            self.queue.push(prompt);
        }
        PrefillAnswer::Queued { wait_ms }
    }

    /// Whether a prompt that waits for `wait` is read before it gives up.
    fn is_read_in_time(&self, prompt: &WaitingPrompt, wait: Duration, now: Instant) -> bool {
        let patience = prompt.gives_up_at.saturating_duration_since(now);
        let reading = read_time(prompt.tokens, self.speed_or_assumed());
        wait.saturating_add(reading) < patience
    }

    /// Applies a report: the time from sending the prompt to its first event, or `None` if it
    /// was not sent or not read.
    pub fn report(&mut self, id: QuestionId, read_time: Option<Duration>, now: Instant) {
        self.queue.remove(&id);
        match read_time {
            Some(read_time) => self.record_read(&id, read_time, now),
            None => self.free_permit(&id, now),
        }
        self.ended.add(id, now);
    }

    fn record_read(&mut self, id: &QuestionId, read_time: Duration, now: Instant) {
        let Some(prompt) = self.unread.read(id) else {
            return;
        };
        // A prompt sent before its grant was not read as scheduled, so it tells no speed.
        let since_grant = now.saturating_duration_since(prompt.granted_at);
        if read_time <= since_grant + REPORT_ROUNDING {
            self.speed.record(prompt.tokens, now - read_time, now);
        }
        if self.unread.len() == 0 {
            self.end_reading(prompt.granted_at, now);
        }
    }

    /// Ends the expected reading at `now`, when the runner has read all, the last prompt since
    /// `granted_at`. So one that is faster than expected is not held back.
    fn end_reading(&mut self, granted_at: Instant, now: Instant) {
        self.schedule.end_reading(now);
        let reading = now.saturating_duration_since(granted_at);
        let fraction = self.reading_fraction(self.gaps.shortest(now));
        let paid_for_at = granted_at + reading.div_f64(fraction);
        self.over_budget_until = self.over_budget_until.min(paid_for_at);
    }

    fn free_permit(&mut self, id: &QuestionId, now: Instant) {
        let Some(prompt) = self.unread.remove(id) else {
            return;
        };
        self.schedule.take_back(prompt.tokens, prompt.granted_at);
        if let Some(tenant) = prompt.tenant {
            self.shares.take_back(tenant, prompt.tokens);
        }
        if self.is_over_budget(prompt.tokens, now) {
            self.over_budget_until = now;
        }
    }

    /// Grants the waiting prompts that fit now, in their order.
    pub fn grant_waiting(&mut self, now: Instant) -> Vec<QuestionId> {
        self.drop_outdated(now);
        let mut granted = Vec::new();
        while let Some(first) = self.first(now).cloned()
            && self.fits(first.tokens, now)
        {
            self.queue.remove(&first.id);
            granted.push(first.id.clone());
            self.grant(first, now);
        }
        granted
    }

    /// When a waiting prompt may be granted or gives up, if no report comes before; `None` if
    /// none waits.
    pub fn next_change_at(&self, now: Instant) -> Option<Instant> {
        let gives_up_at = self.queue.next_gives_up_at()?;
        let first = self.first(now);
        let fits_at = first.map(|first| self.fits_at(first.tokens, now));
        Some(fits_at.map_or(gives_up_at, |fits_at| fits_at.min(gives_up_at)))
    }

    /// Returns the update on this runner, whose key is `runner`, for other nodes.
    pub fn update(&mut self, runner: RunnerKey, now: Instant) -> PrefillUpdate {
        self.drop_outdated(now);
        let wait = self.wait(USUAL_PROMPT_TOKENS, self.queue.tokens(), now);
        PrefillUpdate {
            runner,
            tokens_per_second: self.speed.tokens_per_second().unwrap_or(0.0) as u32,
            wait_ms: u16::try_from(wait.as_millis()).unwrap_or(u16::MAX),
        }
    }

    /// Tokens that the runner may have in reading.
    fn budget(&self, now: Instant) -> u64 {
        if self.speed.tokens_per_second().is_none() {
            return UNKNOWN_SPEED_BUDGET_TOKENS;
        }
        let gap = self.gaps.shortest(now);
        (self.rate(now) * gap.as_secs_f64()) as u64
    }

    fn is_over_budget(&self, tokens: u64, now: Instant) -> bool {
        self.speed.tokens_per_second().is_some() && tokens > self.budget(now)
    }

    fn speed_or_assumed(&self) -> f64 {
        let speed = self.speed.tokens_per_second();
        speed.unwrap_or(ASSUMED_TOKENS_PER_SECOND)
    }

    /// Tokens a second that are granted at most.
    fn rate(&self, now: Instant) -> f64 {
        self.speed_or_assumed() * self.reading_fraction(self.gaps.shortest(now))
    }

    /// Part of the time in which the runner may read prompts, so that no pause between two
    /// events exceeds `target_gap`.
    fn reading_fraction(&self, target_gap: Duration) -> f64 {
        let Some(event_time) = self.pace.event_time() else {
            return READING_FRACTION;
        };
        let decoding = event_time.as_secs_f64() / target_gap.as_secs_f64();
        ((1.0 - decoding) * USABLE_FRACTION).max(MIN_READING_FRACTION)
    }

    /// Records the usual time between two events of a stream at the runner.
    pub fn record_pace(&mut self, event_time: Duration) {
        self.pace.record(event_time);
    }

    fn limit(&self, now: Instant) -> ReadingLimit {
        let window = self.gaps.shortest(now);
        ReadingLimit {
            window,
            reading: window.mul_f64(self.reading_fraction(window)),
        }
    }

    fn drop_outdated(&mut self, now: Instant) {
        self.queue.drop_given_up(now);
        self.unread.drop_lost(self.speed_or_assumed(), now);
    }

    /// Whether a prompt may be sent now.
    fn fits(&mut self, tokens: u64, now: Instant) -> bool {
        let room = self.schedule.len(now) < MAX_GRANTS && self.unread.len() < MAX_GRANTS;
        room && self.fits_at(tokens, now) <= now
    }

    /// When a prompt may be sent, if nothing is granted or reported until then. Even at an idle
    /// runner it may have to wait: reading that has ended still counts in the window, and a
    /// prompt over the budget is followed by a pause for decoding.
    fn fits_at(&self, tokens: u64, now: Instant) -> Instant {
        let fits_unread = self.unread_allow_at(tokens, now);
        fits_unread.max(self.schedule_allows_at(tokens, now))
    }

    /// When the schedule allows a prompt of `tokens`. Nothing is known of the reading of a
    /// runner of unknown speed.
    fn schedule_allows_at(&self, tokens: u64, now: Instant) -> Instant {
        if self.speed.tokens_per_second().is_none() {
            return now;
        }
        let time = bounded_read_time(tokens, self.speed_or_assumed());
        let fits_at = self.schedule.fits_at(time, self.limit(now), now);
        fits_at.max(self.over_budget_until)
    }

    /// When the unread prompts allow one of `tokens` beside them, if no report comes.
    fn unread_allow_at(&self, tokens: u64, now: Instant) -> Instant {
        let unread = self.unread.tokens();
        let budget = self.budget(now);
        if unread == 0 || unread + tokens <= budget {
            return now;
        }
        let retry_at = self.unread.retry_at(self.speed_or_assumed());
        retry_at.map_or(now, |at| at.max(now))
    }

    /// Expected time until a prompt of `tokens` is granted, with `before` tokens of other
    /// prompts to be granted first.
    fn wait(&self, tokens: u64, before: u64, now: Instant) -> Duration {
        let allowed_at = self.schedule_allows_at(tokens, now);
        let allowed_in = allowed_at.saturating_duration_since(now);
        let read_in = self.unread_allow_in(tokens, now);
        let first_in = allowed_in.max(read_in);
        first_in.saturating_add(read_time(before, self.rate(now)))
    }

    /// Tokens a second that are expected to be granted while the unread prompts are read, by how
    /// long the runner already takes for them.
    fn present_rate(&self, now: Instant) -> f64 {
        let slowdown = self.unread.oldest().map_or(1.0, |oldest| {
            self.speed.slowdown(oldest.tokens, oldest.granted_at, now)
        });
        self.rate(now) / slowdown
    }

    /// Expected time until the unread prompts allow one of `tokens` beside them.
    fn unread_allow_in(&self, tokens: u64, now: Instant) -> Duration {
        let allow_at = self.unread_allow_at(tokens, now);
        let allowed_in = allow_at.saturating_duration_since(now);
        if self.unread.is_overdue(self.speed_or_assumed(), now) {
            return allowed_in;
        }
        let budget = self.budget(now).max(tokens);
        let excess = (self.unread.tokens() + tokens).saturating_sub(budget);
        read_time(excess, self.present_rate(now)).min(allowed_in)
    }

    fn grant(&mut self, prompt: WaitingPrompt, now: Instant) {
        let tokens = prompt.tokens;
        self.gaps.record(prompt.target_gap, now);
        if self.is_over_budget(tokens, now) {
            self.over_budget_until = now + bounded_read_time(tokens, self.rate(now));
        }
        let time = bounded_read_time(tokens, self.speed_or_assumed());
        self.schedule.add(tokens, time, now);
        if let Some(tenant) = prompt.tenant {
            self.shares.charge(tenant, tokens, now);
        }
        self.unread.add(prompt, now);
    }

    fn first(&self, now: Instant) -> Option<&WaitingPrompt> {
        self.queue.first(self.rate(now), &self.shares, now)
    }
}

/// Returns the prompt of a question asked at `now`. One without tokens counts as one token, so
/// that nothing is granted without limit.
fn waiting_prompt(request: &PrefillRequest, now: Instant) -> WaitingPrompt {
    WaitingPrompt {
        id: (request.node.clone(), request.number),
        tokens: request.prompt_tokens.clamp(1, MAX_PROMPT_TOKENS).into(),
        tenant: request.tenant,
        target_gap: Duration::from_millis(request.target_gap_ms.into()),
        priority: request.priority,
        gives_up_at: now + Duration::from_millis(request.patience_ms.into()),
    }
}

/// Returns the time to read `tokens`, at most that for which a prompt may be unread.
fn bounded_read_time(tokens: u64, tokens_per_second: f64) -> Duration {
    read_time(tokens, tokens_per_second).min(MAX_UNREAD_TIME)
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
