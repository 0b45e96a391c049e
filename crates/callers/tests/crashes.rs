//! Requests that were at crashed runners: how a limit owner counts them, and how nodes
//! exchange the resulting quarantines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_callers::{
    Fingerprint, Progress, Quarantine, QuotaAnswer, QuotaLimit, QuotaOwner, QuotaRequest,
    RecentlyServed, Subject, VisibleNodes,
};
use barleyspar_catalog::Credential;

const SECOND: Duration = Duration::from_secs(1);
const FAILURE_DETECTION_TIME: Duration = Duration::from_millis(1300);

fn request(number: usize) -> Fingerprint {
    Fingerprint::of("host", "/path/", None, number.to_string().as_bytes())
}

/// A limit owner with its clock and the nodes that it can see.
struct Owner {
    owner: QuotaOwner,
    now: Instant,
    visible_nodes: VisibleNodes,
}

impl Owner {
    fn new(visible: usize, total: usize) -> Self {
        let now = Instant::now();
        Self {
            owner: QuotaOwner::new(now, FAILURE_DETECTION_TIME),
            now,
            visible_nodes: VisibleNodes { visible, total },
        }
    }

    /// Counts a crash of `runner` at which the request `subject` had this progress. Returns
    /// whether the request is now considered to cause crashes.
    fn crashed(&mut self, subject: Fingerprint, runner: &str, progress: Progress) -> bool {
        self.crashed_after_other_owner(subject, runner, progress, None)
    }

    /// Like [`Self::crashed`], reported by a node that asked another owner
    /// `other_owner_asked_ms` milliseconds ago; `None` if it asked no other owner.
    fn crashed_after_other_owner(
        &mut self,
        subject: Fingerprint,
        runner: &str,
        progress: Progress,
        other_owner_asked_ms: Option<u32>,
    ) -> bool {
        let request = QuotaRequest {
            number: 1,
            node: "node".into(),
            subject: Subject::Request(subject),
            named: None,
            cost: progress.weight(),
            charge_once_key: Some(Arc::from(runner)),
            other_owner_asked_ms,
        };
        let limit = QuotaLimit::of_crashes();
        let answer = self
            .owner
            .answer(&request, limit, self.visible_nodes, self.now);
        matches!(answer, QuotaAnswer::Denied { .. })
    }
}

#[test]
fn a_fingerprint_is_the_same_in_each_retry_and_differs_by_path_caller_and_body() {
    let caller = Credential::of(b"one");
    let other = Credential::of(b"other");
    let first = Fingerprint::of("host", "/a?b", Some(&caller), b"body");
    assert_eq!(
        first,
        Fingerprint::of("host", "/a?b", Some(&caller), b"body")
    );
    let others = [
        Fingerprint::of("else", "/a?b", Some(&caller), b"body"),
        Fingerprint::of("host", "/a?c", Some(&caller), b"body"),
        Fingerprint::of("host", "/a?b", Some(&other), b"body"),
        Fingerprint::of("host", "/a?b", None, b"body"),
        Fingerprint::of("host", "/a?b", Some(&caller), b"bodz"),
    ];
    assert!(others.iter().all(|other| *other != first));
}

#[test]
fn two_crashes_of_a_started_request_or_four_others_are_too_many() {
    for (progress, tolerated) in [
        (Progress::Started, 1),
        (Progress::Queued, 3),
        (Progress::Answering, 3),
    ] {
        let mut owner = Owner::new(6, 6);
        for number in 0..tolerated {
            assert!(!owner.crashed(request(1), &format!("r{number}"), progress));
        }
        assert!(owner.crashed(request(1), "last", progress), "{progress:?}");
        assert!(!owner.crashed(request(2), "last", progress), "{progress:?}");
    }
}

#[test]
fn a_runners_crash_counts_once_however_many_nodes_saw_it() {
    let mut owner = Owner::new(6, 6);
    for progress in [Progress::Queued, Progress::Started, Progress::Answering] {
        for _ in 0..4 {
            assert!(!owner.crashed(request(1), "r1", progress), "{progress:?}");
        }
    }
    assert!(owner.crashed(request(1), "r2", Progress::Started));
    // The owner's answer may be lost, so that the node asks again.
    assert!(owner.crashed(request(1), "r2", Progress::Started));
}

/// An owner that sees at most half of all nodes grants a quota or a runner's rate limit only
/// in part. It grants the few tolerated crashes in full, since a fraction of them would be less
/// than one crash.
#[test]
fn a_minority_owner_tolerates_as_many_crashes() {
    let mut owner = Owner::new(1, 6);
    assert!(!owner.crashed(request(1), "r1", Progress::Started));
    assert!(owner.crashed(request(1), "r2", Progress::Started));
}

/// Guards against tolerating too many crashes after a change of the owner, since the new
/// owner does not know the previous one's counts. It assumes a counted crash, because nodes
/// ask only about requests that were present at one.
#[test]
fn a_crash_that_another_owner_counted_recently_is_not_forgiven() {
    let mut owner = Owner::new(5, 6);
    assert!(!owner.crashed(request(2), "r2", Progress::Started));
    let other_owner_asked_ms = Some(400);
    assert!(!owner.crashed_after_other_owner(request(1), "r0", Progress::Queued, None));
    owner.now += SECOND;
    assert!(owner.crashed_after_other_owner(
        request(1),
        "r2",
        Progress::Started,
        other_owner_asked_ms
    ));
}

#[test]
fn crashes_are_forgiven_in_time() {
    let mut owner = Owner::new(6, 6);
    assert!(!owner.crashed(request(1), "r1", Progress::Started));
    owner.now += 20 * 60 * SECOND;
    assert!(!owner.crashed(request(1), "r2", Progress::Started));
    assert!(owner.crashed(request(1), "r3", Progress::Started));
}

#[test]
fn an_owner_drops_the_oldest_of_many_requests() {
    let mut owner = Owner::new(6, 6);
    assert!(!owner.crashed(request(0), "r1", Progress::Started));
    owner.now += 61 * SECOND;
    for number in 1..=10_000 {
        owner.crashed(request(number), "r2", Progress::Started);
    }
    // The account of the oldest request was dropped, that of the newest was not.
    assert!(!owner.crashed(request(0), "r3", Progress::Started));
    assert!(owner.crashed(request(10_000), "r3", Progress::Started));
}

#[test]
fn a_relayed_quarantine_ends_on_time() {
    let now = Instant::now();
    let (mut origin, mut relay) = (Quarantine::default(), Quarantine::default());
    assert!(origin.add(request(1), now + 100 * SECOND, now));
    // Each message takes a while, and each node relays what it has received.
    for step in 0..390 {
        let at = now + step * SECOND / 4;
        relay.apply_updates(
            &origin.updates_for_round(step as usize, at),
            at + SECOND / 10,
        );
        origin.apply_updates(
            &relay.updates_for_round(step as usize, at),
            at + SECOND / 10,
        );
    }
    assert!(origin.remaining(request(1), now + 99 * SECOND).is_some());
    let ended = now + 101 * SECOND;
    assert!(origin.remaining(request(1), ended).is_none());
    assert!(relay.remaining(request(1), ended).is_none());
    assert!(origin.updates_for_round(0, ended).is_empty());
}

#[test]
fn a_message_contains_the_newest_quarantines_and_the_others_in_rotation() {
    const MANY: usize = 200;
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..MANY {
        let added = now + SECOND * number as u32 / 100;
        quarantine.add(request(number), now + 600 * SECOND, added);
    }
    let now = now + 3 * SECOND;
    let sent = |round| {
        let updates = quarantine.updates_for_round(round, now);
        assert!(updates.len() <= 16, "{}", updates.len());
        updates.into_iter().map(|update| update.request)
    };
    assert!(sent(0).any(|sent| sent == request(MANY - 1)));
    let all: BTreeSet<Fingerprint> = (0..25).flat_map(sent).collect();
    assert_eq!(all.len(), MANY);
}

#[test]
fn a_full_quarantine_keeps_the_requests_that_end_last() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..2000 {
        let until = now + (10 + number as u32) * SECOND;
        quarantine.add(request(number), until, now);
    }
    assert!(quarantine.remaining(request(0), now).is_none());
    assert!(quarantine.remaining(request(1999), now).is_some());
    let kept = (0..2000).filter(|number| quarantine.remaining(request(*number), now).is_some());
    assert_eq!(kept.count(), 1024);
}

#[test]
fn a_served_request_is_remembered_for_a_minute() {
    let now = Instant::now();
    let mut served = RecentlyServed::default();
    served.add(request(1), now);
    assert!(served.contains(request(1), now + 59 * SECOND));
    assert!(!served.contains(request(1), now + 61 * SECOND));
    assert!(!served.contains(request(2), now));
    // A request that is served repeatedly stays recorded even if many others are served.
    for number in 0..5000 {
        served.add(request(10 + number), now);
        if number.is_multiple_of(500) {
            served.add(request(1), now);
        }
    }
    assert!(served.contains(request(1), now));
    assert!(!served.contains(request(10), now));
}
