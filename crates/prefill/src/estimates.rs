//! What a node knows of the time that each runner takes for a prompt, from the owners'
//! updates and from the answers to its own questions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;

use crate::PrefillUpdate;

/// Time after which an estimated wait that was not renewed counts as over.
const WAIT_LIFETIME: Duration = Duration::from_secs(2);
/// Longest wait that is kept, so that its end can be represented.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
/// Part of a learned speed by which it has to change to be reported.
const REPORTED_CHANGE: f64 = 0.2;

/// The speed at which a runner reads prompts, as its owners told it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedSpeed {
    /// Prompt tokens that the runner reads a second; more than 0.
    pub tokens_per_second: f64,
    /// When the owner told a different speed than before. Each prompt that is read changes
    /// the speed a little, so none has been read since then.
    pub changed_at: Instant,
    /// When the owner told the speed last.
    told_at: Instant,
    /// The speed of the last [`SpeedChange`], and when it was learned.
    reported: (f64, Instant),
}

impl LearnedSpeed {
    fn new(tokens_per_second: f64, told_at: Instant) -> Self {
        Self {
            tokens_per_second,
            changed_at: told_at,
            told_at,
            reported: (tokens_per_second, told_at),
        }
    }

    /// Takes a newer speed in; returns the change if it is large.
    fn update(&mut self, tokens_per_second: f64, told_at: Instant) -> Option<SpeedChange> {
        self.told_at = told_at;
        if self.tokens_per_second != tokens_per_second {
            self.tokens_per_second = tokens_per_second;
            self.changed_at = told_at;
        }
        let (before, learned_at) = self.reported;
        if (tokens_per_second - before).abs() <= REPORTED_CHANGE * before {
            return None;
        }
        self.reported = (tokens_per_second, told_at);
        Some(SpeedChange {
            before,
            now: tokens_per_second,
            age: told_at.saturating_duration_since(learned_at),
        })
    }
}

/// A change of a learned speed by more than a fifth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedChange {
    /// Prompt tokens a second at the last change, or when the speed was first learned.
    pub before: f64,
    /// Prompt tokens a second now.
    pub now: f64,
    /// Time from learning `before` to learning `now`.
    pub age: Duration,
}

/// The wait for a permit that the owner of a runner told last.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ToldWait {
    /// The wait, counted from `learned_at`.
    pub wait: Duration,
    /// When the owner estimated the wait.
    pub learned_at: Instant,
}

/// What is known of one runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerEstimate {
    /// How fast the runner reads; `None` if it is not known yet.
    pub speed: Option<LearnedSpeed>,
    /// The last wait for a permit.
    pub told_wait: ToldWait,
}

/// Estimates by runner.
#[derive(Debug, Default)]
pub struct RunnerEstimates {
    by_runner: HashMap<RunnerKey, RunnerEstimate>,
}

impl RunnerEstimates {
    /// Returns what is known of `runner`; `None` before the first update on it.
    pub fn get(&self, runner: RunnerKey) -> Option<&RunnerEstimate> {
        self.by_runner.get(&runner)
    }

    /// Returns the wait for a permit that the owner of `runner` told last; `None` if it told
    /// none lately.
    pub fn recent_wait(&self, runner: RunnerKey, now: Instant) -> Option<ToldWait> {
        let told = self.by_runner.get(&runner)?.told_wait;
        let age = now.saturating_duration_since(told.learned_at);
        (age <= WAIT_LIFETIME).then_some(told)
    }

    /// Returns the time that a prompt would wait for its permit at `runner`; zero if nothing
    /// recent is known.
    pub fn wait(&self, runner: RunnerKey, now: Instant) -> Duration {
        self.recent_wait(runner, now)
            .map_or(Duration::ZERO, |told| {
                (told.learned_at + told.wait).saturating_duration_since(now)
            })
    }

    /// Returns the speed at which `runner` reads prompts; `None` if unknown.
    pub fn speed(&self, runner: RunnerKey) -> Option<LearnedSpeed> {
        self.by_runner.get(&runner)?.speed
    }

    /// Returns the number of prompt tokens that `runner` reads a second; `None` if unknown.
    pub fn tokens_per_second(&self, runner: RunnerKey) -> Option<f64> {
        Some(self.speed(runner)?.tokens_per_second)
    }

    /// Applies an owner's update that came at `learned_at`, unless something newer is known.
    /// Relays forward updates at once, so their age is that of a message. Returns the change of the
    /// runner's speed if it is large.
    pub fn apply(&mut self, update: &PrefillUpdate, learned_at: Instant) -> Option<SpeedChange> {
        let wait = Duration::from_millis(update.wait_ms.into());
        let estimate = self.record(update.runner, wait, learned_at);
        if update.tokens_per_second == 0 {
            return None;
        }
        let tokens_per_second = f64::from(update.tokens_per_second);
        match &mut estimate.speed {
            None => estimate.speed = Some(LearnedSpeed::new(tokens_per_second, learned_at)),
            Some(speed) if speed.told_at <= learned_at => {
                return speed.update(tokens_per_second, learned_at);
            }
            Some(_) => {}
        }
        None
    }

    /// Records the wait that the owner of `runner` named in an answer at `now`.
    pub fn record_wait(&mut self, runner: RunnerKey, wait: Duration, now: Instant) {
        self.record(runner, wait.min(LONGEST_WAIT), now);
    }

    /// Records a wait, unless a newer one is known.
    fn record(
        &mut self,
        runner: RunnerKey,
        wait: Duration,
        learned_at: Instant,
    ) -> &mut RunnerEstimate {
        let told_wait = ToldWait { wait, learned_at };
        let estimate = self.by_runner.entry(runner).or_insert(RunnerEstimate {
            speed: None,
            told_wait,
        });
        if estimate.told_wait.learned_at <= learned_at {
            estimate.told_wait = told_wait;
        }
        estimate
    }

    /// Drops what is known of `runner`, whose incarnation has ended.
    pub fn remove(&mut self, runner: RunnerKey) {
        self.by_runner.remove(&runner);
    }
}
