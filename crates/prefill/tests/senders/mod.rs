//! Runners that read prompts one after the other, in passed-in time, and the tenants that
//! send them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillReport, PrefillRequest, tenant_key};

/// Prompt tokens that each runner reads a second.
pub const TOKENS_PER_SECOND: f64 = 20_000.0;
/// Tokens a second that an owner grants at most: a runner reads prompts in 0.8 of the time.
pub const GRANTED_TOKENS_PER_SECOND: f64 = 0.8 * TOKENS_PER_SECOND;
/// Step of the played time.
const STEP: Duration = Duration::from_millis(2);
const TARGET_GAP: Duration = Duration::from_millis(300);

/// Pseudo-random numbers from a fixed seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(2).wrapping_add(1))
    }

    /// Returns the next number, from 0 to less than 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.fraction() * bound as f64) as usize
    }
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub prompt_tokens: u32,
    /// Time after which the caller leaves.
    pub patience: Duration,
}

/// What one tenant sends.
#[derive(Debug, Clone)]
pub struct Sender {
    pub tenant: Arc<str>,
    /// Prompt tokens a second, over all runners that it sends to.
    pub tokens_per_second: f64,
    /// Kinds of its requests, all equally frequent.
    pub kinds: Vec<Kind>,
    /// Numbers of the runners that serve it, all equally often.
    pub runners: Vec<usize>,
}

/// What came of the requests of one tenant and kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Served {
    pub asked: u32,
    /// Prompts that were read before the caller gave up.
    pub read: u32,
    pub tokens: u64,
}

impl Served {
    /// Part of the prompts that were not read before their callers left.
    pub fn unread_fraction(&self) -> f64 {
        1.0 - f64::from(self.read) / f64::from(self.asked.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.read += other.read;
        self.tokens += other.tokens;
    }
}

/// A prompt that was granted or waits for its permit.
struct Sent {
    sender: usize,
    kind: usize,
    runner: usize,
    asked_at: Instant,
}

/// A runner that reads its granted prompts one after the other.
#[derive(Default)]
struct PlayedRunner {
    /// Number of each granted prompt and when it was granted, oldest first.
    granted: VecDeque<(u64, Instant)>,
    /// When the runner has read all earlier prompts.
    free_at: Option<Instant>,
}

/// A number of runners, spread evenly over a number of owners.
pub struct Play {
    start: Instant,
    owners: Vec<PrefillOwner>,
    runners: Vec<PlayedRunner>,
    sent: BTreeMap<u64, Sent>,
    served: BTreeMap<(usize, usize), Served>,
    last_number: u64,
}

impl Play {
    pub fn new(runners: usize, owners: usize) -> Self {
        Self {
            start: Instant::now(),
            owners: (0..owners).map(|_| PrefillOwner::default()).collect(),
            runners: (0..runners).map(|_| PlayedRunner::default()).collect(),
            sent: BTreeMap::new(),
            served: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Plays `senders` for `length`, then lets the prompts that wait end.
    pub fn run(&mut self, senders: &[Sender], length: Duration, seed: u64) {
        let mut random = Random::new(seed);
        let end = self.start + length;
        let mut now = self.start;
        while now < end + Duration::from_secs(15) {
            for (index, sender) in senders.iter().enumerate().filter(|_| now < end) {
                let mean_tokens = mean_tokens(&sender.kinds);
                let chance = sender.tokens_per_second / mean_tokens * STEP.as_secs_f64();
                if random.fraction() < chance {
                    let runner = sender.runners[random.below(sender.runners.len())];
                    let kind = random.below(sender.kinds.len());
                    self.ask(index, sender, runner, kind, now);
                }
            }
            for runner in 0..self.runners.len() {
                self.read_prompts(runner, senders, now);
            }
            self.grant_waiting(now);
            now += STEP;
        }
    }

    /// Returns what came of all requests of a sender.
    pub fn served(&self, sender: usize) -> Served {
        let mut sum = Served::default();
        for ((_, _), served) in self.served.range((sender, 0)..(sender + 1, 0)) {
            sum.add(served);
        }
        sum
    }

    fn owner_of(&mut self, runner: usize) -> &mut PrefillOwner {
        let count = self.owners.len();
        &mut self.owners[runner % count]
    }

    fn ask(&mut self, index: usize, sender: &Sender, runner: usize, kind: usize, now: Instant) {
        self.last_number += 1;
        let number = self.last_number;
        let properties = sender.kinds[kind];
        let served = self.served.entry((index, kind)).or_default();
        served.asked += 1;
        let request = PrefillRequest {
            node: "node".into(),
            number,
            runner: runner as u32,
            prompt_tokens: properties.prompt_tokens,
            priority: 1,
            patience_ms: properties.patience.as_millis() as u32,
            target_gap_ms: TARGET_GAP.as_millis() as u32,
            tenant: Some(tenant_key(&sender.tenant)),
            known_tokens_per_second: TOKENS_PER_SECOND as u32,
        };
        match self.owner_of(runner).request(&request, now) {
            PrefillAnswer::Granted => self.runners[runner].granted.push_back((number, now)),
            PrefillAnswer::Queued { .. } => {}
            PrefillAnswer::Denied { .. } | PrefillAnswer::NotOwner => return,
        }
        let sent = Sent {
            sender: index,
            kind,
            runner,
            asked_at: now,
        };
        self.sent.insert(number, sent);
    }

    fn grant_waiting(&mut self, now: Instant) {
        for owner in &mut self.owners {
            for grant in owner.poll(now) {
                let runner = self.sent[&grant.number].runner;
                self.runners[runner].granted.push_back((grant.number, now));
            }
        }
    }

    /// Reports the prompts that a runner has read by `now`.
    fn read_prompts(&mut self, index: usize, senders: &[Sender], now: Instant) {
        while let Some((number, granted_at)) = self.runners[index].granted.front().copied() {
            let sent = &self.sent[&number];
            let kind = senders[sent.sender].kinds[sent.kind];
            let seconds = f64::from(kind.prompt_tokens) / TOKENS_PER_SECOND;
            let begun_at = self.runners[index].free_at.max(Some(granted_at));
            let read_at = begun_at.unwrap_or(granted_at) + Duration::from_secs_f64(seconds);
            if read_at > now {
                return;
            }
            self.runners[index].granted.pop_front();
            self.runners[index].free_at = Some(read_at);
            self.count_read(number, kind, read_at);
            let report = PrefillReport {
                node: "node".into(),
                number,
                runner: index as u32,
                read_ms: Some((read_at - granted_at).as_millis() as u32),
            };
            self.owner_of(index).report(&report, now);
        }
    }

    fn count_read(&mut self, number: u64, kind: Kind, read_at: Instant) {
        let sent = self.sent.remove(&number).expect("the prompt was sent");
        let served = self.served.entry((sent.sender, sent.kind)).or_default();
        let waited = read_at - sent.asked_at;
        served.tokens += u64::from(kind.prompt_tokens);
        served.read += u32::from(waited <= kind.patience);
    }
}

fn mean_tokens(kinds: &[Kind]) -> f64 {
    let tokens: u32 = kinds.iter().map(|kind| kind.prompt_tokens).sum();
    f64::from(tokens) / kinds.len() as f64
}
