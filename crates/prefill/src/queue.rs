//! The prompts that wait for a permit at one runner, and which of them goes first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::TenantKey;
use crate::shares::TenantShares;
use crate::speed::read_time;

/// Identifies a question: the asking node and the number that it gave to the question.
pub type QuestionId = (Arc<str>, u64);

/// A prompt that waits for a permit.
#[derive(Debug, Clone)]
pub struct WaitingPrompt {
    /// The question, to which the grant refers.
    pub id: QuestionId,
    /// Number of tokens of the prompt.
    pub tokens: u64,
    /// The caller's tenant, if any.
    pub tenant: Option<TenantKey>,
    /// Longest pause between two events of the request's answer.
    pub target_gap: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// When the request stops waiting.
    pub gives_up_at: Instant,
}

/// Largest number of prompts that wait for one runner.
const MAX_WAITING: usize = 256;
/// Waiting prompts that a tenant may have for each free place of the queue. So there is room
/// for other tenants, however many prompts one sends.
const PROMPTS_PER_FREE_PLACE: usize = 3;

/// Key by which waiting prompts are ordered, smallest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    priority: u32,
    /// Whether the prompt's tenant was granted more than its share, so that it waits for
    /// those of the others.
    over_share: bool,
    /// The last time at which the prompt can be granted and still be read before its request
    /// gives up. A long prompt has to begin earlier than a short one.
    latest_start: Instant,
}

/// Prompts that wait for one runner.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    waiting: Vec<WaitingPrompt>,
}

impl PrefillQueue {
    /// Adds a prompt.
    pub fn push(&mut self, prompt: WaitingPrompt) {
        self.waiting.push(prompt);
    }

    /// Whether no further prompt of `tenant` may be added. Prompts without a tenant count as
    /// those of one.
    pub fn is_full_for(&self, tenant: Option<TenantKey>) -> bool {
        let free_places = MAX_WAITING.saturating_sub(self.waiting.len());
        let own = self.waiting.iter().filter(|prompt| prompt.tenant == tenant);
        own.count() >= PROMPTS_PER_FREE_PLACE * free_places
    }

    /// Whether no prompt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns when the first of the prompts gives up waiting; `None` if none waits.
    pub fn next_gives_up_at(&self) -> Option<Instant> {
        self.waiting.iter().map(|prompt| prompt.gives_up_at).min()
    }

    /// Returns the tokens of all waiting prompts.
    pub fn tokens(&self) -> u64 {
        self.waiting.iter().map(|prompt| prompt.tokens).sum()
    }

    /// Returns the prompt of this question; `None` if it does not wait.
    pub fn get(&self, id: &QuestionId) -> Option<&WaitingPrompt> {
        self.waiting.iter().find(|prompt| prompt.id == *id)
    }

    /// Removes the prompt of this question, if it waits.
    pub fn remove(&mut self, id: &QuestionId) {
        self.waiting.retain(|prompt| prompt.id != *id);
    }

    /// Drops the prompts that have given up waiting by `now`.
    pub fn drop_given_up(&mut self, now: Instant) {
        self.waiting.retain(|prompt| now < prompt.gives_up_at);
    }

    /// Returns the prompt that goes first at a runner that reads `tokens_per_second`, if
    /// tenants have used `shares`; `None` if none can be read before it gives up.
    pub fn first(
        &self,
        tokens_per_second: f64,
        shares: &TenantShares,
        now: Instant,
    ) -> Option<&WaitingPrompt> {
        let order = self.order(tokens_per_second, shares, now);
        self.readable(tokens_per_second, now)
            .min_by_key(|prompt| order.urgency(prompt))
    }

    /// Returns the tokens of the other waiting prompts that are expected to be granted before
    /// `prompt`: none if it goes first now.
    pub fn tokens_before(
        &self,
        prompt: &WaitingPrompt,
        tokens_per_second: f64,
        shares: &TenantShares,
        now: Instant,
    ) -> u64 {
        let order = self.order(tokens_per_second, shares, now);
        let own = order.urgency(prompt);
        let is_before = |other: &&WaitingPrompt| order.urgency(other) <= own;
        let others = || {
            self.readable(tokens_per_second, now)
                .filter(|other| other.id != prompt.id)
        };
        if !others().any(|other| is_before(&other)) {
            return 0;
        }
        let Some(tenant) = prompt.tenant else {
            return tokens(others().filter(is_before));
        };
        let is_more_urgent = |other: &&WaitingPrompt| other.priority < prompt.priority;
        let more_urgent = tokens(others().filter(is_more_urgent));
        let equals = others().filter(|other| other.priority == prompt.priority);
        let (own_prompts, equals): (Vec<&WaitingPrompt>, Vec<&WaitingPrompt>) =
            equals.partition(|other| other.tenant == prompt.tenant);
        let own_tokens = tokens(own_prompts.into_iter().filter(is_before));
        let own_start = shares.start(tenant) + own_tokens;
        more_urgent + own_tokens + tokens_of_others_before(own_start, equals, shares)
    }

    fn order<'a>(
        &self,
        tokens_per_second: f64,
        shares: &'a TenantShares,
        now: Instant,
    ) -> Order<'a> {
        Order {
            tokens_per_second,
            shares,
            least_start: self.least_start(tokens_per_second, shares, now),
            now,
        }
    }

    /// The prompts that can be read before they give up. The others gain nothing by a grant.
    fn readable(
        &self,
        tokens_per_second: f64,
        now: Instant,
    ) -> impl Iterator<Item = &WaitingPrompt> {
        let prompts = self.waiting.iter();
        prompts.filter(move |prompt| can_be_read(prompt, tokens_per_second, now))
    }

    /// Virtual time at which the next prompt starts of the waiting tenant that was granted
    /// least; `u64::MAX` if no tenant waits for a prompt that can be read.
    fn least_start(&self, tokens_per_second: f64, shares: &TenantShares, now: Instant) -> u64 {
        let prompts = self.readable(tokens_per_second, now);
        let tenants = prompts.filter_map(|prompt| prompt.tenant);
        tenants
            .map(|tenant| shares.start(tenant))
            .min()
            .unwrap_or(u64::MAX)
    }
}

fn tokens<'a>(prompts: impl Iterator<Item = &'a WaitingPrompt>) -> u64 {
    prompts.map(|prompt| prompt.tokens).sum()
}

/// Returns the tokens that other tenants are granted before a prompt that starts at the
/// virtual time `own_start`. Prompts without a tenant have no share, so all of them count.
fn tokens_of_others_before(
    own_start: u64,
    others: Vec<&WaitingPrompt>,
    shares: &TenantShares,
) -> u64 {
    let mut waiting: BTreeMap<Option<TenantKey>, u64> = BTreeMap::new();
    for other in others {
        *waiting.entry(other.tenant).or_default() += other.tokens;
    }
    let before = waiting.into_iter().map(|(tenant, tokens)| match tenant {
        Some(tenant) => tokens.min(shares.tokens_before(tenant, own_start)),
        None => tokens,
    });
    before.sum()
}

/// What decides the order of the waiting prompts at a time.
struct Order<'a> {
    tokens_per_second: f64,
    shares: &'a TenantShares,
    least_start: u64,
    now: Instant,
}

impl Order<'_> {
    fn urgency(&self, prompt: &WaitingPrompt) -> Urgency {
        let is_over_share = |tenant| self.shares.is_over_share(tenant, self.least_start);
        let reading = read_time(prompt.tokens, self.tokens_per_second);
        let latest_start = prompt.gives_up_at.checked_sub(reading);
        Urgency {
            priority: prompt.priority,
            over_share: prompt.tenant.is_some_and(is_over_share),
            latest_start: latest_start.unwrap_or(self.now),
        }
    }
}

fn can_be_read(prompt: &WaitingPrompt, tokens_per_second: f64, now: Instant) -> bool {
    let time_left = prompt.gives_up_at.saturating_duration_since(now);
    read_time(prompt.tokens, tokens_per_second) <= time_left
}
