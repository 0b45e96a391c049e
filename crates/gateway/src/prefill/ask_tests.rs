//! When a queued prompt moves to another runner.

use super::*;

/// A prompt of 1,000 tokens whose request waits for 5 s, at a runner that reads 10,000 tokens a
/// second.
fn ask(now: Instant) -> PrefillAsk {
    PrefillAsk {
        runner: "runner".into(),
        prompt_tokens: 1000,
        priority: 1,
        gives_up_at: now + Duration::from_secs(5),
        target_gap: Duration::from_millis(300),
        tenant: None,
        tokens_per_second: Some(10_000.0),
        in_flight: 1,
        may_move: true,
    }
}

#[tokio::test(start_paused = true)]
async fn a_prompt_moves_for_a_wait_that_reading_it_anew_takes_itself() {
    let ask = ask(Instant::now());
    assert!(!ask.moves_after(Duration::from_millis(100)));
    let unknown_speed = PrefillAsk {
        tokens_per_second: None,
        ..ask
    };
    assert!(!unknown_speed.moves_after(MIN_MOVE_WAIT / 2));
}

#[tokio::test(start_paused = true)]
async fn a_prompt_waits_although_another_runner_may_read_it_sooner() {
    let ask = ask(Instant::now());
    assert!(ask.moves_after(Duration::from_millis(120)));
    let unknown_speed = PrefillAsk {
        tokens_per_second: None,
        ..ask
    };
    assert!(unknown_speed.moves_after(MIN_MOVE_WAIT));
}

#[tokio::test(start_paused = true)]
async fn a_prompt_without_another_runner_moves() {
    let only_runner = PrefillAsk {
        may_move: false,
        ..ask(Instant::now())
    };
    assert!(!only_runner.moves_after(Duration::from_secs(3)));
}

/// A prompt that is read in 100 ms, whose own turn comes just before its request gives up.
#[tokio::test(start_paused = true)]
async fn a_prompt_without_an_owner_is_sent_too_late_to_be_read() {
    let now = Instant::now();
    let ask = ask(now);
    let send_at = ask.unowned_send_at(ask.gives_up_at - Duration::from_millis(1), now);
    assert_eq!(send_at, ask.gives_up_at - Duration::from_millis(120));
}

/// A prompt whose own turn comes after its request gives up.
#[tokio::test(start_paused = true)]
async fn a_prompt_without_an_owner_is_given_up_unsent() {
    let now = Instant::now();
    let unknown_speed = PrefillAsk {
        tokens_per_second: None,
        ..ask(now)
    };
    let send_at = unknown_speed.unowned_send_at(now + Duration::from_secs(9), now);
    assert!(send_at < unknown_speed.gives_up_at);
}
