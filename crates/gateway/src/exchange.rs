//! A client's request on its way: what it asked for, where it has been, and
//! what is known about whether it ran.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Denial, Progress};
use barleyspar_catalog::{
    Forward, Homes, ModelReference, RequestFacts, RequestKind, Route, Runner, Tenant,
};
use barleyspar_dispatch::{AttemptKind, Failure, Outcome, Query};
use barleyspar_domain::Verdict;
use tokio::time::{Instant, timeout};

use crate::attempt::{AttemptError, Outgoing};
use crate::context::Context;
use crate::crashes::{Broken, Settled};
use crate::inflight::InFlightGuard;
use crate::journal;
use crate::quota::Charge;

/// Rejections by runners that one request may collect.
const MOST_REJECTIONS: u32 = 2;
/// Attempts of which nothing was sent that one request may collect.
const MOST_UNSENT: u32 = 4;
/// Part of the route's time-out that a client has left at its first try.
const FIRST_TRY_PART: f64 = 0.95;
/// Longest wait for what a lost runner says of the request: it takes a connection and an
/// exchange of datagrams, where all answer.
const LONGEST_SETTLING: Duration = Duration::from_millis(100);
/// Shortest time after which a silent runner is left for another one.
const SHORTEST_STALL: Duration = Duration::from_millis(300);
/// Shortest time after which a silent stream is left, before its first event.
const SHORTEST_STREAM_STALL: Duration = Duration::from_millis(900);

/// Pauses of a stream from this on are not its usual pace.
const LONG_PAUSE: Duration = Duration::from_millis(60);
/// Events that tell a stream's usual pace.
const ENOUGH_GAPS: u32 = 10;

/// What the admission of a request found out.
pub struct Admitted {
    /// The route.
    pub route: Arc<Route>,
    /// The service that its traffic split chose.
    pub service: Arc<str>,
    /// The tenant that asks, where callers have tenants.
    pub tenant: Option<Arc<Tenant>>,
    /// What it was granted of its tenant's limit.
    pub charge: Option<Charge>,
}

/// A request on its way.
pub struct Exchange {
    /// What all parts share.
    pub context: Context,
    /// The route.
    pub route: Arc<Route>,
    /// The service that its traffic split chose.
    pub service: Arc<str>,
    /// The tenant that asks, where callers have tenants.
    pub tenant: Option<Arc<Tenant>>,
    charge: Option<Charge>,
    /// Whether the service's runners hold models.
    pub has_engine: bool,
    /// What the request's head says.
    pub facts: RequestFacts,
    /// The request as it goes to runners.
    pub outgoing: Outgoing,
    /// When it came.
    pub received: Instant,
    /// When its time is up.
    pub deadline: Instant,
    /// When the client last got something, or began to wait.
    pub heard: Instant,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Time until its first event, for streams.
    pub first_event: Option<Duration>,
    /// Longest time between two events, for streams.
    pub longest_gap: Duration,
    usual_gaps: Duration,
    usual_gap_count: u32,
    excluded: Vec<Arc<str>>,
    runs: u32,
    rejections: u32,
    unsent: u32,
    unsettled: Option<Settled>,
    ended: bool,
    _in_flight: InFlightGuard,
}

impl Exchange {
    /// A request that has been read whole.
    pub fn new(
        context: Context,
        admitted: Admitted,
        facts: RequestFacts,
        outgoing: Outgoing,
        received: Instant,
        deadline: Instant,
    ) -> Self {
        let Admitted {
            route,
            service,
            tenant,
            charge,
        } = admitted;
        let in_flight = context.requests.enter();
        let has_engine = context.routes.borrow().as_ref().is_some_and(|table| {
            let services = &table.configuration().services;
            services
                .get(&service)
                .is_some_and(|service| service.engine.is_some())
        });
        Self {
            context,
            route,
            service,
            tenant,
            charge,
            has_engine,
            facts,
            outgoing,
            received,
            deadline,
            heard: received,
            verdict: Verdict::NotRun,
            first_event: None,
            longest_gap: Duration::ZERO,
            usual_gaps: Duration::ZERO,
            usual_gap_count: 0,
            excluded: Vec::new(),
            runs: 0,
            rejections: 0,
            unsent: 0,
            unsettled: None,
            ended: false,
            _in_flight: in_flight,
        }
    }

    /// The request's id in logs.
    pub fn id(&self) -> &str {
        self.outgoing.request_id.as_deref().unwrap_or("-")
    }

    /// Its rank: that of its tenant, or else of its route; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }

    /// Whether it may still be sent under its credential, by what is known now:
    /// it may have waited, or is to run a second time.
    pub fn authorize_again(&self) -> Result<(), Denial> {
        let credential = self.facts.credential.as_ref();
        let authorized = self.context.authorize(&self.route, credential).map(drop);
        authorized.inspect_err(|denial| {
            journal::denied(&self.context, &self.facts, &self.route, *denial);
        })
    }

    /// How much longer it may be sent to no runner, if it is in quarantine.
    pub fn quarantined(&self) -> Option<Duration> {
        let left = self.context.crashes.quarantined(self.outgoing.fingerprint);
        left.inspect(|left| self.tell_quarantine(*left))
    }

    /// Waits until it is in quarantine: for how long.
    pub async fn until_quarantined(&self) -> Duration {
        let fingerprint = self.outgoing.fingerprint;
        let left = self.context.crashes.until_quarantined(fingerprint).await;
        self.tell_quarantine(left);
        left
    }

    fn tell_quarantine(&self, left: Duration) {
        journal::quarantine_met(self.id(), self.outgoing.fingerprint, left);
    }

    /// Says in the log that it was taken, by the configuration `version`.
    pub fn tell_accepted(&self, version: u64) {
        journal::accepted(&journal::Accepted {
            request: self.id(),
            route: &self.route,
            version,
            service: &self.service,
            tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
            wanted: self.facts.model.as_ref(),
            priority: self.priority(),
            cost: self.charge.as_ref().map(Charge::cost),
            left: self.left(),
        });
    }

    /// Says in the log that it waits for a runner.
    pub fn tell_waiting(&self) {
        let wanted = self.facts.model.as_ref();
        journal::waits(self.id(), &self.service, wanted, self.priority());
    }

    /// Time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Notes that the client gets an event now.
    pub fn event_passes(&mut self) {
        let now = Instant::now();
        if self.first_event.is_some() {
            let gap = now - self.heard;
            self.longest_gap = self.longest_gap.max(gap);
            if gap < LONG_PAUSE {
                self.usual_gaps += gap;
                self.usual_gap_count += 1;
            }
        } else {
            self.first_event = Some(now - self.received);
        }
        self.heard = now;
    }

    /// Usual time between two events, if there were enough of them.
    pub fn usual_gap(&self) -> Option<Duration> {
        (self.usual_gap_count >= ENOUGH_GAPS).then(|| self.usual_gaps / self.usual_gap_count)
    }

    /// What to ask the dispatcher for.
    pub fn query(&self, attempt: AttemptKind, may_wait: bool) -> Query {
        let silent = self.heard.elapsed();
        Query {
            service: self.service.clone(),
            wanted: self.wanted(),
            priority: self.priority(),
            prompt_tokens: self.facts.prompt_tokens,
            tokens: self.facts.prompt_tokens + self.facts.answer_tokens,
            affinity: self.affinity(),
            deadline: self.deadline.into_std(),
            target_latency: self.route.target_latency,
            patience: self
                .route
                .stream_patience
                .map(|patience| patience.saturating_sub(silent)),
            returning: self.is_returning(),
            homes: Homes::of(&self.route, self.tenant.as_deref()),
            excluded: self.excluded.clone(),
            attempt,
            may_wait,
        }
    }

    /// Whether its client seems to have been refused before: it has less time
    /// left than the route gives.
    fn is_returning(&self) -> bool {
        match (self.facts.deadline, self.route.timeout) {
            (Some(left), Some(whole)) => left < whole.mul_f64(FIRST_TRY_PART),
            _ => false,
        }
    }

    fn wanted(&self) -> Option<ModelReference> {
        self.facts.model.clone().filter(|_| self.has_engine)
    }

    /// Requests with the same model and shared parts have the same key.
    fn affinity(&self) -> Option<u64> {
        let wanted = self.wanted()?;
        Some(barleyspar_domain::rank(&wanted, &self.facts.shared_prefix))
    }

    /// What the runner is told along with the request.
    pub fn forward(&self, runner: &Runner, last_event_id: Option<String>) -> Forward {
        Forward {
            runner: runner.name.clone(),
            remaining: Some(self.left()),
            priority: self.has_engine.then_some(self.priority()),
            last_event_id,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
        }
    }

    /// Whether another runner may be tried after one at which it may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.repeatable()
            && self.runs < self.route.maximum_attempts
            && self.left() > Duration::from_millis(50)
    }

    /// Until when a silent runner is waited for, given that there are `others`.
    pub fn head_patience(&self, others: bool) -> Instant {
        let another = self.route.repeatable() && self.runs + 1 < self.route.maximum_attempts;
        if !(another && others) {
            return self.deadline;
        }
        self.deadline.min(Instant::now() + self.stall())
    }

    /// Time after which silence before the first byte is a failure.
    pub fn stall(&self) -> Duration {
        let target = self.route.target_latency.unwrap_or_default();
        match self.route.kind {
            RequestKind::Streaming => (target * 3 / 2).max(SHORTEST_STREAM_STALL),
            _ => (target * 2).max(SHORTEST_STALL),
        }
    }

    /// Takes in an attempt that failed: the next one's kind, if there is one.
    pub fn after_failure(
        &mut self,
        runner: &Arc<Runner>,
        error: &AttemptError,
    ) -> Option<AttemptKind> {
        journal::attempt_failed(self.id(), &runner.id, error);
        self.excluded.push(runner.id.clone());
        if !error.sent {
            self.unsent += 1;
            return (self.unsent <= MOST_UNSENT).then_some(AttemptKind::Unsent);
        }
        if error.outcome == Outcome::Failed(Failure::Broken) {
            self.connection_broke(runner, self.progress_without_head());
        }
        self.ran_at(&runner.id, error.verdict);
        self.may_run_again().then_some(AttemptKind::Retry)
    }

    /// How far the request has come at a runner that sent no head of an answer: a
    /// stream's head comes when its runner begins to run it, others' with the answer.
    fn progress_without_head(&self) -> Progress {
        match self.route.kind {
            RequestKind::Streaming => Progress::Queued,
            RequestKind::Idempotent | RequestKind::NonIdempotent => Progress::Started,
        }
    }

    /// The connection to `runner` broke, when the request had come so far there.
    pub fn connection_broke(&mut self, runner: &Arc<Runner>, progress: Progress) {
        let fingerprint = self.outgoing.fingerprint;
        let (broken, settled) = Broken::new(self.id().into(), fingerprint, progress);
        self.unsettled = Some(settled);
        self.context.crashes.broke(runner.clone(), broken);
    }

    /// Waits, not for long, until it is known whether the runner that it lost last crashed
    /// by it: sent on at once, it would take one more.
    pub async fn settle(&mut self) {
        if let Some(settled) = self.unsettled.take() {
            // It is in quarantine then, or is not.
            let _ = timeout(LONGEST_SETTLING, settled).await;
        }
    }

    /// Takes in that the request may have run at `runner`.
    pub fn ran_at(&mut self, runner: &Arc<str>, verdict: Verdict) {
        self.verdict = self.verdict.and(verdict);
        if let Some(charge) = &mut self.charge {
            charge.used();
        }
        self.runs += 1;
        if !self.excluded.contains(runner) {
            self.excluded.push(runner.clone());
        }
    }

    /// Takes in that `runner` refused to run it: whether to try another. One that asked
    /// for a pause may have it after that.
    pub fn after_rejection(&mut self, runner: &Arc<str>, outcome: Outcome) -> bool {
        if outcome != Outcome::Paused {
            self.excluded.push(runner.clone());
        }
        self.rejections += 1;
        self.rejections <= MOST_REJECTIONS
    }

    /// Says in the log how the request ended.
    pub fn end(&mut self, status: u16, reason: &str) {
        self.ended = true;
        if reason == journal::ANSWERED {
            self.context.crashes.served(self.outgoing.fingerprint);
        }
        let outcome = match status {
            200..=299 => "served",
            0 => "left",
            _ if self.verdict == Verdict::NotRun => "refused",
            _ => "failed",
        };
        self.context.metrics.request_ended(
            self.route.kind,
            outcome,
            reason,
            self.received.elapsed(),
        );
        journal::ended(&journal::Ended {
            request: self.id(),
            status,
            verdict: self.verdict,
            took: self.received.elapsed(),
            events: self.first_event.map(|first| (first, self.longest_gap)),
            reason,
        });
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            self.end(0, "client_left");
        }
    }
}
