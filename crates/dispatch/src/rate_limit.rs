//! The rate limit of one runner, as its node knows it: what the runner advertised, and
//! this node's permit to call it.
//!
//! A pure value below [`crate::runner`]; what it means for the dispatcher stands in
//! [`crate::limits`].

use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerLimit;

/// Time after a runner's last word of its limit from which on it is asked again, also by a
/// request that others could take: no word comes from a runner that nobody uses.
const DOUBTED_AFTER: Duration = Duration::from_secs(5);
/// Time for which a permit to call a runner holds.
const PERMIT_LASTS: Duration = Duration::from_millis(500);

/// What a runner said of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvertisedLimit {
    /// The limit; `None` where it names none.
    pub limit: Option<RunnerLimit>,
    /// When it said so.
    pub at: Instant,
}

impl AdvertisedLimit {
    /// Whether the runner named a limit, and may take more by now.
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.limit.is_some() && now.saturating_duration_since(self.at) >= DOUBTED_AFTER
    }

    /// Whether the runner named a limit a short while ago.
    pub fn binds(&self, now: Instant) -> bool {
        self.limit.is_some() && !self.is_doubted(now)
    }
}

/// What the owner of a limit says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RatePermitAnswer {
    /// The runner may be called once.
    Granted,
    /// It may be called after this time, or the owner may be asked again.
    Denied(Duration),
}

/// Permit of this node to call a rate-limited runner.
#[derive(Debug, Clone, Copy, Default)]
struct RatePermit {
    granted_until: Option<Instant>,
    wanted: bool,
    asking: bool,
    /// When asking makes sense again.
    next_at: Option<Instant>,
}

impl RatePermit {
    fn holds(&self, now: Instant) -> bool {
        self.granted_until.is_some_and(|until| now < until)
    }

    /// When the owner is asked next, if a permit is wanted then; `None` while it is being
    /// asked, or if it may be asked at any time.
    fn next_question(&self) -> Option<Instant> {
        self.next_at
            .max(self.granted_until)
            .filter(|_| !self.asking)
    }

    fn may_ask(&self, now: Instant) -> bool {
        !self.asking && self.next_question().is_none_or(|at| at <= now)
    }
}

/// The rate limit of a runner that named one once.
#[derive(Debug)]
pub struct RateLimit {
    advertised: AdvertisedLimit,
    permit: RatePermit,
}

impl RateLimit {
    /// A limit of which this was said first.
    pub fn new(advertised: AdvertisedLimit) -> Self {
        Self {
            advertised,
            permit: RatePermit::default(),
        }
    }

    /// What the runner said last.
    pub fn advertised(&self) -> AdvertisedLimit {
        self.advertised
    }

    /// Takes in what the runner said; the limit before, or `None` if something later is
    /// known.
    pub fn hear(&mut self, advertised: AdvertisedLimit) -> Option<Option<RunnerLimit>> {
        if advertised.at < self.advertised.at {
            return None;
        }
        if advertised.limit.is_none() {
            self.permit = RatePermit::default();
        }
        Some(std::mem::replace(&mut self.advertised, advertised).limit)
    }

    /// Whether this node may call the runner now.
    pub fn permits(&self, now: Instant) -> bool {
        self.advertised.limit.is_none() || self.permit.holds(now)
    }

    /// When this node may be permitted to call the runner, `ahead` other requests before.
    pub fn permit_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        let per_second = self.advertised.limit?.per_second();
        let next = self.permit.next_at.unwrap_or(now).max(now);
        let queue = Duration::try_from_secs_f64(ahead as f64 / per_second).ok()?;
        next.checked_add(queue)
    }

    /// This node calls the runner.
    pub fn use_permit(&mut self) {
        self.permit.granted_until = None;
    }

    /// Notes that a permit is wanted.
    pub fn want_permit(&mut self) {
        self.permit.wanted = true;
    }

    /// When the owner is to be asked next, if nothing else happens.
    pub fn next_question(&self) -> Option<Instant> {
        self.permit.next_question().filter(|_| self.permit.wanted)
    }

    /// The limit whose owner is to be asked for a permit now, if one is wanted; the answer
    /// goes to [`Self::take`].
    pub fn ask(&mut self, now: Instant) -> Option<RunnerLimit> {
        let limit = self.advertised.limit?;
        if !self.permit.wanted || !self.permit.may_ask(now) {
            return None;
        }
        self.permit.wanted = false;
        self.permit.asking = true;
        Some(limit)
    }

    /// Takes in the owner's answer.
    pub fn take(&mut self, answer: RatePermitAnswer, now: Instant) {
        self.permit.asking = false;
        match answer {
            RatePermitAnswer::Granted => self.permit.granted_until = Some(now + PERMIT_LASTS),
            RatePermitAnswer::Denied(wait) => self.permit.next_at = now.checked_add(wait),
        }
    }
}
