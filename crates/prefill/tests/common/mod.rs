//! Questions and reports of one node on runners that read 20,000 tokens a second, of which
//! 4,800 may be granted within a target gap.

#![allow(dead_code, reason = "each test uses a part of this module")]

use std::time::{Duration, Instant};

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillReport, PrefillRequest};

pub const RUNNER: u32 = 7;
pub const TOKENS_PER_SECOND: u32 = 20_000;
pub const GAP_MS: u32 = 300;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn question(number: u64, tokens: u32) -> PrefillRequest {
    PrefillRequest {
        node: "node".into(),
        number,
        runner: RUNNER,
        prompt_tokens: tokens,
        priority: 1,
        patience_ms: 60_000,
        target_gap_ms: GAP_MS,
        tenant: None,
        known_tokens_per_second: TOKENS_PER_SECOND,
    }
}

pub fn report(owner: &mut PrefillOwner, number: u64, read_ms: Option<u32>, now: Instant) {
    let report = PrefillReport {
        node: "node".into(),
        number,
        runner: RUNNER,
        read_ms,
    };
    owner.report(&report, now);
}

pub fn ask(owner: &mut PrefillOwner, number: u64, tokens: u32, now: Instant) -> PrefillAnswer {
    owner.request(&question(number, tokens), now)
}

pub fn is_queued(answer: PrefillAnswer) -> bool {
    matches!(answer, PrefillAnswer::Queued { .. })
}

/// Polls as told until `number` is granted, for a minute at most. Returns the time.
pub fn granted_at(owner: &mut PrefillOwner, number: u64, start: Instant) -> Option<Instant> {
    let mut now = start;
    while now < start + ms(60_000) {
        if owner.poll(now).iter().any(|grant| grant.number == number) {
            return Some(now);
        }
        now = owner.next_poll_at(now)?.max(now);
    }
    None
}

pub fn speed(owner: &mut PrefillOwner, now: Instant) -> f64 {
    f64::from(owner.updates(now)[0].tokens_per_second)
}
