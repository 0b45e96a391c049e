use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_answer_is_sent_when_its_client_has_left() {
    let now = Instant::now();
    for left in [
        Duration::ZERO,
        SECOND / 100,
        SECOND / 5,
        SECOND,
        60 * SECOND,
    ] {
        let due_in = answer_due_at(now + left, now) - now;
        assert!(due_in <= left && due_in >= left / 2, "{left:?}: {due_in:?}");
        assert!(left - due_in >= RETURN_TIME.min(left / 2), "{left:?}");
    }
}

#[test]
fn a_client_is_told_to_come_back_later_than_it_does() {
    assert_eq!(retry_after(SECOND, 9 * SECOND), SECOND);
    assert_eq!(retry_after(Duration::MAX, 9 * SECOND), 3 * SECOND);
}

#[test]
fn refused_clients_come_back_together() {
    let mut told: Vec<Duration> = (0..90)
        .map(|seed| spread_retry_after(9 * SECOND, &seed))
        .collect();
    told.sort_unstable();
    for third in 0..3 {
        let at = told[15 + 30 * third];
        let expected = SECOND * third as u32;
        assert!(at >= expected && at <= expected + SECOND, "{told:?}");
    }
}

#[test]
fn a_request_waits_unread_until_its_client_has_given_up() {
    for (left, given_up) in [(15 * SECOND, SECOND), (SECOND, SECOND / 3)] {
        let patience = unread_patience(left);
        assert!(
            patience < given_up && patience >= given_up / 2,
            "{patience:?}"
        );
    }
}
