//! The rate limit of one runner in this node's view: what the runner advertised, and this
//! node's permit to call it.
//!
//! Plain state without I/O; [`crate::limits`] applies it in the dispatcher.

use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerLimit;

/// Age from which an advertised limit is stale: the runner is called again, also for
/// requests that other runners could take, since a runner without requests sends no
/// answer that shows whether its limit still holds.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Time for which a permit to call a runner is valid.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// What a runner advertised as its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvertisedLimit {
    /// Limit that the runner's answer carried; `None` if the answer carried none, which
    /// ends an earlier limit.
    pub limit: Option<RunnerLimit>,
    /// Time of the runner's answer with this limit, or without one, by this node's clock.
    pub at: Instant,
}

impl AdvertisedLimit {
    /// Whether the runner advertised a limit so long ago that the limit may have ended.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.limit.is_some() && now.saturating_duration_since(self.at) >= STALE_AFTER
    }

    /// Whether the runner advertised a limit that is not stale yet.
    pub fn is_current(&self, now: Instant) -> bool {
        self.limit.is_some() && !self.is_stale(now)
    }
}

/// The limit owner's answer to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RatePermitAnswer {
    /// The runner may be called once.
    Granted,
    /// The runner may not be called; the owner may be asked again after this time.
    Denied(Duration),
}

/// This node's permit to call a rate-limited runner, and its request for one.
#[derive(Debug, Clone, Copy, Default)]
struct RatePermit {
    granted_until: Option<Instant>,
    wanted: bool,
    requested: bool,
    /// Earliest time of the next permit request; `None` if one may be sent at any time.
    retry_at: Option<Instant>,
}

impl RatePermit {
    fn is_valid(&self, now: Instant) -> bool {
        self.granted_until.is_some_and(|until| now < until)
    }

    /// When the next permit request may be sent; `None` while one is under way, or if one
    /// may be sent at any time.
    fn next_request_at(&self) -> Option<Instant> {
        self.retry_at
            .max(self.granted_until)
            .filter(|_| !self.requested)
    }

    fn may_request(&self, now: Instant) -> bool {
        !self.requested && self.next_request_at().is_none_or(|at| at <= now)
    }
}

/// The rate limit of a runner that advertised one at some time.
#[derive(Debug)]
pub struct RateLimit {
    advertised: AdvertisedLimit,
    permit: RatePermit,
}

impl RateLimit {
    /// Creates the state for the first limit that a runner advertises.
    pub fn new(advertised: AdvertisedLimit) -> Self {
        Self {
            advertised,
            permit: RatePermit::default(),
        }
    }

    /// Returns the newest advertisement of the runner: its limit, or that the limit has
    /// ended.
    pub fn advertised(&self) -> AdvertisedLimit {
        self.advertised
    }

    /// Records what the runner advertised. Returns the limit before, or `None` if
    /// something newer is known already. A permit is dropped when the limit ends.
    pub fn record_advertised(
        &mut self,
        advertised: AdvertisedLimit,
    ) -> Option<Option<RunnerLimit>> {
        if advertised.at < self.advertised.at {
            return None;
        }
        if advertised.limit.is_none() {
            self.permit = RatePermit::default();
        }
        Some(std::mem::replace(&mut self.advertised, advertised).limit)
    }

    /// Whether this node may call the runner now: the runner's limit has ended, or this
    /// node has a valid permit.
    pub fn permits_call(&self, now: Instant) -> bool {
        self.advertised.limit.is_none() || self.permit.is_valid(now)
    }

    /// When this node may get a permit for a request with `ahead` others before it;
    /// `None` if there is no limit, or the wait is too long to be represented.
    pub fn permit_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        let per_second = self.advertised.limit?.per_second();
        let next_request = self.permit.retry_at.unwrap_or(now).max(now);
        let queueing_time = Duration::try_from_secs_f64(ahead as f64 / per_second).ok()?;
        next_request.checked_add(queueing_time)
    }

    /// Uses up the permit, which covers a single call of the runner.
    pub fn consume_permit(&mut self) {
        self.permit.granted_until = None;
    }

    /// Notes that a request could be sent to the runner if this node had a permit, so that
    /// [`Self::start_permit_request`] starts a request for one.
    pub fn want_permit(&mut self) {
        self.permit.wanted = true;
    }

    /// When the next permit request may be sent; `None` if no permit is needed, while a
    /// request is under way, or if one may be sent at any time.
    pub fn next_request_at(&self) -> Option<Instant> {
        self.permit.next_request_at().filter(|_| self.permit.wanted)
    }

    /// Starts a permit request, if one is needed and may be sent now. Returns the limit
    /// to ask its owner about; the answer goes to [`Self::apply_permit_answer`].
    pub fn start_permit_request(&mut self, now: Instant) -> Option<RunnerLimit> {
        let limit = self.advertised.limit?;
        if !self.permit.wanted || !self.permit.may_request(now) {
            return None;
        }
        self.permit.wanted = false;
        self.permit.requested = true;
        Some(limit)
    }

    /// Ends the permit request under way with the limit owner's answer: stores the
    /// permit, or the time until which no further request is sent.
    pub fn apply_permit_answer(&mut self, answer: RatePermitAnswer, now: Instant) {
        self.permit.requested = false;
        match answer {
            RatePermitAnswer::Granted => self.permit.granted_until = Some(now + PERMIT_LIFETIME),
            RatePermitAnswer::Denied(wait) => self.permit.retry_at = now.checked_add(wait),
        }
    }
}
