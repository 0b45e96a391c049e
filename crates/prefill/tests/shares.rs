//! How tenants share what the prefill owners of runners grant while it is short.

mod senders;

use std::time::{Duration, Instant};

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillReport, PrefillRequest};
use senders::{GRANTED_TOKENS_PER_SECOND, Kind, Play, Sender, TOKENS_PER_SECOND};

const TENANTS: usize = 16;
const CROWDED: std::ops::Range<usize> = 0..3;
/// What a crowded tenant sends, in parts of its usual.
const CROWD_FACTOR: f64 = 6.0;
/// What all tenants usually send, in parts of what the owners grant.
const USUAL_LOAD: f64 = 0.7;
/// Number of requests that each tenant usually sends in a play.
const USUAL_REQUESTS: f64 = 400.0;
const SEEDS: [u64; 3] = [11, 12, 13];

const SHORT: Kind = Kind {
    prompt_tokens: 400,
    patience: Duration::from_secs(6),
};
const USUAL: Kind = Kind {
    prompt_tokens: 1_500,
    patience: Duration::from_secs(8),
};
const PATIENT: Kind = Kind {
    prompt_tokens: 3_000,
    patience: Duration::from_secs(12),
};

/// Sixteen tenants at `runners`, three of which send `crowd_factor` times their usual. Each
/// sends to the runners of its model: six of them at most.
fn tenants(runners: usize, crowd_factor: f64) -> Vec<Sender> {
    let usual = USUAL_LOAD * GRANTED_TOKENS_PER_SECOND * runners as f64 / TENANTS as f64;
    (0..TENANTS)
        .map(|number| Sender {
            tenant: format!("tenant-{number}").into(),
            tokens_per_second: if CROWDED.contains(&number) {
                usual * crowd_factor
            } else {
                usual
            },
            kinds: vec![SHORT, USUAL, PATIENT],
            runners: (0..runners.min(10))
                .map(|index| (number * 5 + index * 7) % runners)
                .collect(),
        })
        .collect()
}

fn play(runners: usize, owners: usize, senders: &[Sender], seed: u64) -> Play {
    let tokens = USUAL_REQUESTS
        * f64::from(SHORT.prompt_tokens + USUAL.prompt_tokens + PATIENT.prompt_tokens)
        / 3.0;
    let length =
        tokens * TENANTS as f64 / (USUAL_LOAD * GRANTED_TOKENS_PER_SECOND * runners as f64);
    let mut play = Play::new(runners, owners);
    play.run(senders, Duration::from_secs_f64(length), seed);
    play
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}

/// Three of sixteen tenants at six times their usual, so that 1.36 times as much is asked for
/// as is granted.
fn a_crowd_of_three_tenants_harms_no_other(runners: usize, owners: usize, seed: u64) {
    let usual = play(runners, owners, &tenants(runners, 1.0), seed);
    let crowded = play(runners, owners, &tenants(runners, CROWD_FACTOR), seed);
    for tenant in 0..TENANTS {
        let own = crowded.served(tenant);
        let others = (0..TENANTS).filter(|other| *other != tenant);
        let others: Vec<f64> = others
            .map(|other| crowded.served(other).tokens as f64)
            .collect();
        let mean = mean(others.into_iter());
        println!(
            "seed {seed} tenant {tenant}: {own:?}, mean of the others {mean:.0}, usually {:?}",
            usual.served(tenant)
        );
        assert!(own.tokens as f64 >= mean / 4.0, "tenant {tenant}");
        if !CROWDED.contains(&tenant) {
            let allowed = usual.served(tenant).unread_fraction() + 0.05;
            assert!(
                own.unread_fraction() <= allowed,
                "tenant {tenant} is not read"
            );
        }
    }
}

#[test]
fn a_crowd_at_one_runner_costs_other_tenants_their_answers() {
    for seed in SEEDS {
        a_crowd_of_three_tenants_harms_no_other(1, 1, seed);
    }
}

/// Each owner counts only what it granted itself.
#[test]
fn a_crowd_at_forty_runners_costs_other_tenants_their_answers() {
    for seed in SEEDS {
        a_crowd_of_three_tenants_harms_no_other(40, 8, seed);
    }
}

/// Much longer to read than the others.
const LONG: Kind = Kind {
    prompt_tokens: 9_000,
    patience: Duration::from_secs(10),
};

/// One tenant alone sends three kinds of request, 1.5 times as much as is granted in all.
#[test]
fn a_kind_of_request_of_a_crowded_tenant_starves() {
    for seed in SEEDS {
        let kinds = vec![SHORT, USUAL, PATIENT, LONG];
        // Equally many tokens of each kind.
        let senders: Vec<Sender> = kinds
            .into_iter()
            .map(|kind| one_kind_sender(1.5 / 4.0 * GRANTED_TOKENS_PER_SECOND, kind))
            .collect();
        let mut play = Play::new(1, 1);
        play.run(&senders, Duration::from_secs(120), seed);
        let read: Vec<f64> = (0..senders.len())
            .map(|sender| play.served(sender).tokens as f64)
            .collect();
        println!("seed {seed}: {read:?}");
        let mean = mean(read.iter().copied());
        for (kind, tokens) in read.iter().enumerate() {
            assert!(*tokens >= mean / 4.0, "kind {kind}");
        }
    }
}

/// Two tenants at one runner, whose shares are equal. The first sends sixteen times its share
/// of prompts of hurried callers, the second twice its share of those of patient ones.
#[test]
fn a_larger_crowd_gets_more_than_a_smaller_one() {
    for seed in SEEDS {
        let share = GRANTED_TOKENS_PER_SECOND / 2.0;
        let crowds = [(16.0, SHORT), (2.0, PATIENT)];
        let [large, small] = crowds.map(|(factor, kind)| one_kind_sender(factor * share, kind));
        let senders = [large, renamed(&small)];
        let mut play = Play::new(1, 1);
        play.run(&senders, Duration::from_secs(60), seed);
        let tokens = [play.served(0).tokens as f64, play.served(1).tokens as f64];
        println!("seed {seed}: {tokens:?}");
        assert!(tokens[0].min(tokens[1]) >= 0.8 * tokens[0].max(tokens[1]));
    }
}

/// A tenant asks for twice what is granted, beside another that sends a tenth of its share.
#[test]
fn what_a_tenant_leaves_unused_is_granted_to_nobody() {
    for seed in SEEDS {
        let crowd = one_kind_sender(2.0 * GRANTED_TOKENS_PER_SECOND, USUAL);
        let small = renamed(&one_kind_sender(0.05 * GRANTED_TOKENS_PER_SECOND, USUAL));
        let length = Duration::from_secs(60);
        let mut play = Play::new(1, 1);
        play.run(&[crowd, small], length, seed);
        let tokens = play.served(0).tokens + play.served(1).tokens;
        let granted = GRANTED_TOKENS_PER_SECOND * length.as_secs_f64();
        println!("seed {seed}: {tokens} of {granted}");
        assert!(tokens as f64 >= 0.95 * granted, "{tokens} of {granted}");
    }
}

fn one_kind_sender(tokens_per_second: f64, kind: Kind) -> Sender {
    Sender {
        tenant: "tenant".into(),
        tokens_per_second,
        kinds: vec![kind],
        runners: vec![0],
    }
}

fn renamed(sender: &Sender) -> Sender {
    Sender {
        tenant: "another".into(),
        ..sender.clone()
    }
}

/// A hundred prompts of one tenant are asked for, more than can be read before their callers leave,
/// then one of another comes. Its turn is long before that of the last of the hundred.
#[test]
fn a_prompt_is_denied_for_the_waiting_prompts_of_another_tenant() {
    let now = Instant::now();
    let mut owner = PrefillOwner::default();
    let mut request = PrefillRequest {
        node: "node".into(),
        number: 0,
        runner: 1,
        prompt_tokens: USUAL.prompt_tokens,
        priority: 1,
        patience_ms: 3_000,
        target_gap_ms: 300,
        tenant: Some(1),
        known_tokens_per_second: TOKENS_PER_SECOND as u32,
    };
    for number in 0..100 {
        request.number = number;
        owner.request(&request, now);
    }
    request.number = 100;
    let last_of_crowd = owner.request(&request, now);
    assert!(matches!(last_of_crowd, PrefillAnswer::Denied { .. }));
    request.tenant = Some(2);
    let other = owner.request(&request, now);
    assert!(matches!(other, PrefillAnswer::Queued { .. }), "{other:?}");
}

/// A tenant gives back ten permits for 4,000 tokens each, then it and another one wait. Its prompt
/// has less time left.
#[test]
fn a_tenant_pays_for_permits_that_it_gave_back() {
    let now = Instant::now();
    let mut owner = PrefillOwner::default();
    let question = |number, tenant, patience_ms| PrefillRequest {
        node: "node".into(),
        number,
        runner: 1,
        prompt_tokens: 4_000,
        priority: 1,
        patience_ms,
        target_gap_ms: 300,
        tenant: Some(tenant),
        known_tokens_per_second: TOKENS_PER_SECOND as u32,
    };
    let report = |number, read_ms| PrefillReport {
        node: "node".into(),
        number,
        runner: 1,
        read_ms,
    };
    for number in 0..10 {
        let answer = owner.request(&question(number, 1, 30_000), now);
        assert_eq!(answer, PrefillAnswer::Granted);
        owner.report(&report(number, None), now);
    }
    owner.request(&question(10, 3, 30_000), now);
    owner.request(&question(11, 2, 31_000), now);
    owner.request(&question(12, 1, 30_000), now);
    let later = now + Duration::from_millis(400);
    owner.report(&report(10, Some(200)), later);
    let granted: Vec<u64> = owner.poll(later).iter().map(|grant| grant.number).collect();
    assert_eq!(granted, [12]);
}

/// Load: a runner that is busy reading; a long prompt and a short one whose callers leave at the same
/// time, then two equal ones of which the second is more urgent.
#[test]
fn the_prompt_with_more_time_to_spare_or_the_less_urgent_one_is_read_first() {
    let now = Instant::now();
    let granted = |second: PrefillRequest, first: PrefillRequest| {
        let mut owner = PrefillOwner::default();
        let busy = PrefillRequest {
            number: 0,
            prompt_tokens: 4_700,
            ..first.clone()
        };
        owner.request(&busy, now);
        owner.request(&first, now);
        owner.request(&second, now);
        let read_at = now + Duration::from_millis(400);
        let report = PrefillReport {
            node: "node".into(),
            number: 0,
            runner: 1,
            read_ms: Some(400),
        };
        owner.report(&report, read_at);
        owner.poll(read_at).first().map(|grant| grant.number)
    };
    let prompt = |number, tokens, priority| PrefillRequest {
        node: "node".into(),
        number,
        runner: 1,
        prompt_tokens: tokens,
        priority,
        patience_ms: 3_000,
        target_gap_ms: 300,
        tenant: None,
        known_tokens_per_second: TOKENS_PER_SECOND as u32,
    };
    assert_eq!(granted(prompt(2, 4_000, 1), prompt(1, 2_000, 1)), Some(2));
    assert_eq!(granted(prompt(2, 2_000, 0), prompt(1, 2_000, 1)), Some(2));
}
