//! Lost, repeated, invented and absurd messages.

use std::collections::BTreeSet;
use std::time::Instant;

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillReport, PrefillRequest};
use common::{RUNNER, ask, granted_at, is_queued, ms, question, report, speed};

mod common;

#[test]
fn a_repeated_question_counts_twice() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    for _ in 0..3 {
        assert_eq!(ask(&mut owner, 1, 2000, now), PrefillAnswer::Granted);
    }
    assert_eq!(ask(&mut owner, 2, 2700, now), PrefillAnswer::Granted);
}

#[test]
fn a_copy_of_a_question_after_its_report_takes_budget() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    report(&mut owner, 1, Some(200), now + ms(200));
    let later = now + ms(400);
    assert_ne!(ask(&mut owner, 1, 4000, later), PrefillAnswer::Granted);
    assert_eq!(ask(&mut owner, 2, 4000, later), PrefillAnswer::Granted);
    assert!(owner.poll(later + ms(1000)).is_empty());
}

#[test]
fn a_question_that_arrives_after_its_report_is_granted() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    report(&mut owner, 2, Some(100), now);
    assert!(!is_queued(ask(&mut owner, 2, 4000, now)));
    assert!(owner.poll(now + ms(5000)).is_empty());
}

#[test]
fn a_lost_grant_is_not_told_again_or_counts_twice() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    assert!(is_queued(ask(&mut owner, 2, 2000, now)));
    report(&mut owner, 1, Some(200), now + ms(200));
    let granted = granted_at(&mut owner, 2, now + ms(200)).unwrap();
    // Both prompts take 300 ms, of which 240 ms may lie in the window that ends at 360 ms.
    assert_eq!(granted, now + ms(260));
    for _ in 0..2 {
        assert_eq!(ask(&mut owner, 2, 2000, granted), PrefillAnswer::Granted);
    }
    assert!(owner.poll(granted).is_empty());
    assert_eq!(ask(&mut owner, 3, 2700, granted), PrefillAnswer::Granted);
}

#[test]
fn a_queued_prompt_waits_for_itself_when_asked_again() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    let first = ask(&mut owner, 2, 2000, now);
    assert!(is_queued(first));
    assert_eq!(ask(&mut owner, 2, 2000, now), first);
}

#[test]
fn a_doubled_report_frees_what_another_prompt_holds() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 2400, now);
    ask(&mut owner, 2, 2300, now);
    for _ in 0..3 {
        report(&mut owner, 1, Some(120), now + ms(120));
    }
    assert!(is_queued(ask(&mut owner, 3, 2600, now + ms(400))));
    assert!(owner.poll(now + ms(500)).is_empty());
}

#[test]
fn a_report_of_an_unknown_runner_or_number_changes_something() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    report(&mut owner, 99, None, now);
    let elsewhere = PrefillReport {
        node: "node".into(),
        number: 1,
        runner: RUNNER + 1,
        read_ms: None,
    };
    owner.report(&elsewhere, now);
    assert!(is_queued(ask(&mut owner, 2, 4000, now)));
    assert_eq!(owner.updates(now).len(), 1);
}

#[test]
fn an_unused_permit_stays_taken() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    report(&mut owner, 1, None, now);
    assert_eq!(ask(&mut owner, 2, 4000, now), PrefillAnswer::Granted);
}

#[test]
fn a_node_that_dies_with_a_permit_blocks_the_runner() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    assert!(is_queued(ask(&mut owner, 2, 4000, now + ms(1))));
    let granted = granted_at(&mut owner, 2, now + ms(1)).unwrap();
    assert!(granted - now < ms(2500), "{:?}", granted - now);
    // The prompt granted later was read, so the first one is no longer waited for.
    report(&mut owner, 2, Some(200), granted + ms(200));
    let later = granted + ms(400);
    assert_eq!(ask(&mut owner, 3, 4000, later), PrefillAnswer::Granted);
}

#[test]
fn absurd_questions_and_reports_stop_the_owner() {
    let now = Instant::now();
    let extremes = [0, 1, u32::MAX];
    let mut number = 0;
    for tokens in extremes {
        for milliseconds in extremes {
            let mut owner = PrefillOwner::default();
            for known_tokens_per_second in extremes {
                number += 1;
                let request = PrefillRequest {
                    priority: milliseconds,
                    patience_ms: milliseconds,
                    target_gap_ms: milliseconds,
                    known_tokens_per_second,
                    ..question(number, tokens)
                };
                owner.request(&request, now);
                report(&mut owner, number, Some(milliseconds), now + ms(number));
                owner.request(&question(number + 1000, 1000), now + ms(number));
            }
            let later = now + ms(40_000);
            let urgent = PrefillRequest {
                priority: 0,
                ..question(5000, 1000)
            };
            assert_eq!(owner.request(&urgent, later), PrefillAnswer::Granted);
            assert_ne!(speed(&mut owner, later), f64::from(u32::MAX));
        }
    }
}

/// A prompt said to have four billion tokens, of which nothing is reported, then usual ones.
#[test]
fn an_absurd_prompt_blocks_a_runner_for_half_a_minute() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4_000_000_000, now);
    let soon = now + ms(10);
    let PrefillAnswer::Queued { wait_ms } = ask(&mut owner, 2, 1000, soon) else {
        panic!("the runner reads the first prompt");
    };
    assert!(wait_ms <= 10_000, "{wait_ms}");
    let granted = granted_at(&mut owner, 2, soon).expect("it is granted") - now;
    assert!(granted <= ms(10_000), "{granted:?}");
}

/// Two prompts of 4,000 tokens, each read in 200 ms; the second one is granted after 140 ms.
#[test]
fn a_prompt_is_queued_that_gives_up_while_it_is_read() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    let request = PrefillRequest {
        patience_ms: 300,
        ..question(2, 4000)
    };
    let answer = owner.request(&request, now);
    assert!(matches!(answer, PrefillAnswer::Denied { .. }), "{answer:?}");
}

/// Two prompts of 4,000 tokens, each read in 200 ms. The runner reads neither within 850 ms of
/// the second one's patience of a second.
#[test]
fn a_queued_prompt_is_told_to_wait_until_it_cannot_be_read() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    let request = PrefillRequest {
        patience_ms: 1000,
        ..question(2, 4000)
    };
    assert!(is_queued(owner.request(&request, now)));
    let answer = owner.request(&request, now + ms(850));
    assert!(matches!(answer, PrefillAnswer::Denied { .. }), "{answer:?}");
    assert_eq!(owner.next_poll_at(now + ms(850)), None);
}

/// A prompt of 4,000 tokens waits for one that is read after 400 ms, 150 ms before the patience
/// of the waiting one ends.
#[test]
fn a_prompt_that_cannot_be_read_any_more_goes_before_others() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4800, now);
    let request = PrefillRequest {
        patience_ms: 550,
        ..question(2, 4000)
    };
    assert!(is_queued(owner.request(&request, now)));
    let later = now + ms(400);
    report(&mut owner, 1, Some(400), later);
    assert!(owner.poll(later).is_empty());
    assert_eq!(ask(&mut owner, 3, 1000, later), PrefillAnswer::Granted);
}

#[test]
fn a_prompt_without_patience_is_queued() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    let request = PrefillRequest {
        patience_ms: 0,
        ..question(2, 4000)
    };
    let answer = owner.request(&request, now);
    assert!(matches!(answer, PrefillAnswer::Denied { .. }), "{answer:?}");
    assert_eq!(owner.next_poll_at(now), None);
}

/// The prompt before it is read within 200 ms.
#[test]
fn a_prompt_is_queued_that_gives_up_before_its_grant() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    let request = PrefillRequest {
        patience_ms: 100,
        ..question(2, 2000)
    };
    let answer = owner.request(&request, now);
    assert!(matches!(answer, PrefillAnswer::Denied { .. }), "{answer:?}");
}

/// 100 more urgent prompts of 10,000 tokens go first, which takes 62 s.
#[test]
fn a_prompt_behind_a_long_queue_is_promised_a_short_wait() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let patient = |number| PrefillRequest {
        priority: 0,
        patience_ms: u32::MAX,
        ..question(number, 10_000)
    };
    for number in 0..100 {
        owner.request(&patient(number), now);
    }
    let answer = ask(&mut owner, 100, 10_000, now);
    assert!(matches!(answer, PrefillAnswer::Denied { .. }), "{answer:?}");
}

/// 20,000 questions for one runner.
#[test]
fn questions_for_one_runner_fill_the_memory() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    let answers = (0..20_000).map(|number| ask(&mut owner, number, 0, now));
    let kept = answers.filter(|answer| !matches!(answer, PrefillAnswer::Denied { .. }));
    assert!(kept.count() <= 1024 + 256);
    owner.poll(now);
    assert!(owner.next_poll_at(now).unwrap() > now);
}

/// 5,000 reports on questions that never arrived.
#[test]
fn invented_reports_fill_the_memory() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 0, 100, now);
    for number in 1..5000 {
        report(&mut owner, number, None, now);
    }
    assert_eq!(ask(&mut owner, 1, 100, now), PrefillAnswer::Granted);
}

/// 5,000 invented runners, asked about after a prompt began to wait for a real one.
#[test]
fn invented_runners_fill_the_memory_or_drop_a_waiting_prompt() {
    let (mut owner, now) = (PrefillOwner::default(), Instant::now());
    ask(&mut owner, 1, 4000, now);
    assert!(is_queued(ask(&mut owner, 2, 4000, now)));
    for runner in 1000..6000 {
        let request = PrefillRequest {
            runner,
            ..question(3, 100)
        };
        owner.request(&request, now + ms(1));
    }
    let updates = (0..100).flat_map(|_| owner.updates(now + ms(1)));
    let runners: BTreeSet<u32> = updates.map(|update| update.runner).collect();
    assert!(runners.len() <= 1024, "{}", runners.len());
    assert!(granted_at(&mut owner, 2, now + ms(1)).is_some());
}
