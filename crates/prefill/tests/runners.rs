//! Runners that are slow, of unknown speed or change it, and prompts of unusual size.

use std::time::{Duration, Instant};

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillRequest};
use common::{ask, granted_at, is_queued, ms, question, report, speed};

mod common;

/// A prompt of 1,460 tokens every 50 ms for 10 s, of which the runner reads none; then it
/// reads 20,000 tokens a second again.
#[test]
fn a_slow_runner_is_sent_more_or_is_held_back_after_it_has_recovered() {
    let (mut owner, start) = (PrefillOwner::default(), Instant::now());
    let mut granted = Vec::new();
    let mut send = |owner: &mut PrefillOwner, from_ms: u64, to_ms: u64, reads: bool| {
        let mut count = 0;
        for at in (from_ms..to_ms).step_by(10) {
            let now = start + ms(at);
            if at % 50 == 0 && ask(owner, at, 1460, now) == PrefillAnswer::Granted {
                granted.push(at);
                count += 1;
            }
            for grant in owner.poll(now) {
                granted.push(grant.number);
                count += 1;
            }
            if reads && at % 70 == 0 && !granted.is_empty() {
                report(owner, granted.remove(0), Some(70), now);
            }
        }
        count
    };
    let while_slow = send(&mut owner, 0, 10_000, false);
    assert!(while_slow <= 3 + 5, "{while_slow}");
    let recovered = send(&mut owner, 10_000, 13_000, true);
    assert!(recovered >= 20, "{recovered}");
}

/// A runner reads neither a prompt that fills the budget nor those that are tried later.
#[test]
fn a_runner_that_reads_nothing_promises_a_short_wait() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4700, now);
    ask(&mut owner, 2, 4700, now);
    let tried = granted_at(&mut owner, 2, now).unwrap();
    let later = tried + ms(800);
    assert!(is_queued(ask(&mut owner, 3, 4700, later)));
    let granted = granted_at(&mut owner, 3, later).unwrap();
    let tried_again = granted + ms(100);
    let answer = ask(&mut owner, 4, 4700, tried_again);
    let told = owner.updates(tried_again)[0].wait_ms;
    let actual = granted_at(&mut owner, 4, tried_again).unwrap() - tried_again;
    let wait_ms = actual.as_millis() as u32;
    assert_eq!(answer, PrefillAnswer::Queued { wait_ms });
    assert!(u32::from(told) >= wait_ms, "{told} of {wait_ms}");
}

/// A prompt of 4,700 tokens, which usually takes 235 ms, is read within 1,880 ms. One
/// more prompt would be tried after 2,235 ms.
#[test]
fn a_runner_that_has_become_slow_promises_the_wait_of_a_fast_one() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4700, now);
    let told = |owner: &mut PrefillOwner, at: u64| owner.updates(now + ms(at))[0].wait_ms;
    let usual = told(&mut owner, 235);
    let slow = told(&mut owner, 1175);
    assert!(slow >= 4 * usual, "{slow} ms, usually {usual}");
    assert_eq!(told(&mut owner, 1880), 355);
    report(&mut owner, 1, Some(1880), now + ms(1880));
    assert_eq!(told(&mut owner, 1880), 0);
}

/// A runner reads prompts of `tokens` at 20,000 tokens a second, but `known_speed` was learned.
/// Returns when a second one is granted that is asked for when the first has been read.
fn second_grant_after_recovery(tokens: u32, known_speed: u32) -> Duration {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let slow = |number| PrefillRequest {
        known_tokens_per_second: known_speed,
        ..question(number, tokens)
    };
    assert_eq!(owner.request(&slow(1), now), PrefillAnswer::Granted);
    let read_ms = tokens / 20;
    let read_at = now + ms(read_ms.into());
    report(&mut owner, 1, Some(read_ms), read_at);
    match owner.request(&slow(2), read_at) {
        PrefillAnswer::Granted => read_at - now,
        _ => granted_at(&mut owner, 2, read_at).expect("it is granted") - now,
    }
}

/// One prompt of 1,460 tokens, or of 700, at a time. By the learned speeds they would take 14.6 s
/// and, within the budget, 233 ms.
#[test]
fn each_prompt_blocks_a_recovered_runner_for_the_time_that_it_took_before() {
    let over_budget = second_grant_after_recovery(1460, 100);
    assert!(over_budget <= ms(73 + 300), "{over_budget:?}");
    let within_budget = second_grant_after_recovery(700, 3000);
    assert!(within_budget <= ms(35 + 100), "{within_budget:?}");
}

/// Prompts of 1,460 tokens, one after the other, at a runner that reads them first within
/// 73 ms, then within 1,460 ms, then within 73 ms again.
#[test]
fn a_changed_speed_is_not_learned() {
    let (mut owner, mut now) = (PrefillOwner::default(), Instant::now());
    let mut number = 0;
    for (read_ms, prompts) in [(73, 30), (1460, 7), (73, 11)] {
        for _ in 0..prompts {
            number += 1;
            assert_eq!(ask(&mut owner, number, 1460, now), PrefillAnswer::Granted);
            now += ms(read_ms);
            report(&mut owner, number, Some(read_ms as u32), now);
            now += ms(2000);
        }
        let true_speed = 1460.0 / read_ms as f64 * 1000.0;
        let learned = speed(&mut owner, now) / true_speed;
        assert!((0.95..1.05).contains(&learned), "{read_ms} ms: {learned}");
    }
}

/// Twenty prompts of 1,460 tokens that take 730 ms each, one after the other; ten seconds later
/// five that take 73 ms.
#[test]
fn a_recovered_runner_counts_as_slow_for_many_prompts() {
    let (mut owner, mut now) = (PrefillOwner::default(), Instant::now());
    let mut number = 0;
    let mut read = |prompts: u32, read_ms: u32, now: &mut Instant| {
        for _ in 0..prompts {
            number += 1;
            ask(&mut owner, number, 1460, *now);
            *now += ms(read_ms.into());
            report(&mut owner, number, Some(read_ms), *now);
            *now += ms(300);
        }
        speed(&mut owner, *now) / 20_000.0
    };
    let slow = read(20, 730, &mut now);
    assert!(slow < 0.15, "{slow}");
    now += ms(10_000);
    let recovered = read(5, 73, &mut now);
    assert!(recovered > 0.95, "{recovered}");
}

/// Prompts of 1,460 tokens, every second of which is read within 12 instead of 73 ms.
#[test]
fn prompts_in_the_cache_set_the_speed() {
    let (mut owner, mut now) = (PrefillOwner::default(), Instant::now());
    for number in 0..40 {
        let read_ms = if number % 2 == 0 { 12 } else { 73 };
        ask(&mut owner, number, 1460, now);
        now += ms(read_ms);
        report(&mut owner, number, Some(read_ms as u32), now);
        now += ms(400);
        let learned = speed(&mut owner, now) / 20_000.0;
        assert!((0.95..1.05).contains(&learned), "{number}: {learned}");
    }
}

/// Two prompts of 1,460 tokens at a time, both told in one event after 146 ms.
#[test]
fn prompts_that_are_told_together_seem_slow() {
    let (mut owner, mut now) = (PrefillOwner::default(), Instant::now());
    for number in (0..40).step_by(2) {
        ask(&mut owner, number, 1460, now);
        ask(&mut owner, number + 1, 1460, now);
        now += ms(146);
        report(&mut owner, number, Some(146), now);
        report(&mut owner, number + 1, Some(146), now);
        now += ms(400);
    }
    let learned = speed(&mut owner, now) / 20_000.0;
    assert!((0.95..1.05).contains(&learned), "{learned}");
}

#[test]
fn a_short_target_gap_binds_for_ever_or_not_at_all() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let request = PrefillRequest {
        target_gap_ms: 50,
        ..question(1, 700)
    };
    owner.request(&request, now);
    report(&mut owner, 1, Some(35), now + ms(35));
    let soon = now + ms(1000);
    assert_eq!(ask(&mut owner, 2, 700, soon), PrefillAnswer::Granted);
    assert!(is_queued(ask(&mut owner, 3, 700, soon)));
    report(&mut owner, 3, None, soon);
    report(&mut owner, 2, Some(35), soon + ms(35));
    let later = now + ms(25_000);
    assert_eq!(ask(&mut owner, 4, 2300, later), PrefillAnswer::Granted);
    assert_eq!(ask(&mut owner, 5, 2300, later), PrefillAnswer::Granted);
}

/// A prompt of four budgets takes the runner 960 ms, or 1,200 ms at the granted rate.
#[test]
fn a_prompt_over_the_budget_is_never_granted_or_not_paid_for() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let tokens = 4 * 4800;
    assert_eq!(ask(&mut owner, 1, tokens, now), PrefillAnswer::Granted);
    assert!(is_queued(ask(&mut owner, 2, tokens, now)));
    report(&mut owner, 1, Some(960), now + ms(960));
    let granted = granted_at(&mut owner, 2, now + ms(960)).unwrap();
    assert!(granted >= now + ms(1199), "{:?}", granted - now);
    assert!(granted <= now + ms(1205), "{:?}", granted - now);
}

/// A prompt of four budgets is sent 2.1 s after a prompt of which no report came until then.
#[test]
fn another_unused_permit_pays_for_a_prompt_over_the_budget() {
    let (mut owner, start) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 1000, start);
    let now = start + ms(2100);
    let tokens = 4 * 4800;
    assert_eq!(ask(&mut owner, 2, tokens, now), PrefillAnswer::Granted);
    report(&mut owner, 2, Some(900), now + ms(900));
    report(&mut owner, 1, None, now + ms(900));
    assert!(is_queued(ask(&mut owner, 3, 1000, now + ms(1100))));
}

#[test]
fn an_unused_prompt_over_the_budget_is_paid_for() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4 * 4800, now);
    report(&mut owner, 1, None, now + ms(10));
    assert_eq!(
        ask(&mut owner, 2, 4000, now + ms(10)),
        PrefillAnswer::Granted
    );
}

/// Prompts that were sent a second before their grants, and are read 10 ms after these.
#[test]
fn prompts_sent_before_their_grants_set_the_speed() {
    let (mut owner, mut now) = (PrefillOwner::default(), Instant::now());
    for number in 0..40 {
        ask(&mut owner, number, 1460, now);
        report(&mut owner, number, Some(1000), now + ms(10));
        now += ms(400);
    }
    let learned = speed(&mut owner, now) / 20_000.0;
    assert!((0.95..1.05).contains(&learned), "{learned}");
}

fn of_unknown_speed(number: u64, tokens: u32) -> PrefillRequest {
    PrefillRequest {
        known_tokens_per_second: 0,
        ..question(number, tokens)
    }
}

/// Two prompts of 300 tokens, each of which tells the speed.
#[test]
fn a_runner_of_unknown_speed_reads_two_prompts_or_waits_for_a_gap() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let first = owner.request(&of_unknown_speed(1, 300), now);
    assert_eq!(first, PrefillAnswer::Granted);
    assert!(is_queued(owner.request(&of_unknown_speed(2, 300), now)));
    assert!(owner.poll(now + ms(15)).is_empty());
    report(&mut owner, 1, Some(20), now + ms(20));
    assert_eq!(owner.poll(now + ms(20)).len(), 1);
}

/// Ten prompts of 100 tokens at once; the first five are read within 25 ms.
#[test]
fn a_runner_that_gets_only_short_prompts_reads_one_at_a_time_and_never_tells_its_speed() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let answers = (0..10).map(|number| owner.request(&of_unknown_speed(number, 100), now));
    let granted = answers.filter(|answer| *answer == PrefillAnswer::Granted);
    assert_eq!(granted.count(), 5);
    for number in 0..5 {
        let read_ms = 5 * (number as u32 + 1);
        report(&mut owner, number, Some(read_ms), now + ms(read_ms.into()));
    }
    let learned = speed(&mut owner, now + ms(25)) / 20_000.0;
    assert!((0.95..1.05).contains(&learned), "{learned}");
}

/// Prompts of 200 tokens, too short to tell the speed, are read within 5 ms each.
#[test]
fn a_runner_of_unknown_speed_is_sent_short_prompts_at_a_guessed_rate() {
    let (mut owner, mut now) = (PrefillOwner::default(), Instant::now());
    for number in 0..100 {
        let request = PrefillRequest {
            known_tokens_per_second: 0,
            ..question(number, 200)
        };
        assert_eq!(owner.request(&request, now), PrefillAnswer::Granted);
        now += ms(5);
        report(&mut owner, number, Some(5), now);
    }
}

/// A prompt of 100,000 tokens is read for 5 s.
#[test]
fn a_long_prompt_counts_as_lost_while_it_is_read() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 100_000, now);
    assert!(is_queued(ask(&mut owner, 2, 1000, now)));
    let granted = granted_at(&mut owner, 2, now).unwrap();
    assert!(granted - now >= ms(7000), "{:?}", granted - now);
}

/// A prompt that fits beside the unread one waits behind a larger one, which does not fit and
/// cannot be read any more after 260 ms.
#[test]
fn a_prompt_that_becomes_the_first_one_is_not_granted_until_another_event() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    let urgent = PrefillRequest {
        patience_ms: 500,
        ..question(2, 4700)
    };
    assert!(is_queued(owner.request(&urgent, now)));
    assert!(is_queued(ask(&mut owner, 3, 100, now)));
    let granted = granted_at(&mut owner, 3, now).unwrap();
    assert!(granted - now <= ms(400), "{:?}", granted - now);
}

/// A stream with a target gap of 50 ms begins half a second before the end of a period.
#[test]
fn a_short_target_gap_is_forgotten_at_once_with_its_period() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 700, now);
    report(&mut owner, 1, Some(35), now + ms(35));
    let request = PrefillRequest {
        target_gap_ms: 50,
        ..question(2, 700)
    };
    owner.request(&request, now + ms(9500));
    report(&mut owner, 2, Some(35), now + ms(9535));
    let later = now + ms(11_000);
    assert_eq!(ask(&mut owner, 3, 700, later), PrefillAnswer::Granted);
    assert!(is_queued(ask(&mut owner, 4, 700, later)));
}

#[test]
fn an_endless_target_gap_lets_everything_pass() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let endless = |number| PrefillRequest {
        target_gap_ms: u32::MAX,
        ..question(number, 4000)
    };
    let answers = (0..100).map(|number| owner.request(&endless(number), now));
    let granted = answers.filter(|answer| *answer == PrefillAnswer::Granted);
    assert_eq!(granted.count(), 8);
}

/// A prompt waits 35 s for a runner that reads nothing, and nobody asks meanwhile.
#[test]
fn a_runner_with_a_waiting_prompt_is_dropped_as_idle() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let huge = u32::MAX;
    assert_eq!(ask(&mut owner, 1, huge, now), PrefillAnswer::Granted);
    let patient = PrefillRequest {
        patience_ms: u32::MAX,
        ..question(2, 1000)
    };
    assert!(is_queued(owner.request(&patient, now)));
    assert_eq!(owner.updates(now + ms(35_000)).len(), 1);
    assert_eq!(owner.poll(now + ms(35_000)).len(), 1);
}
