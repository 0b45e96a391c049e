//! A client's request between its admission and its end: what it asks for, the runners
//! that were tried, and whether it may have run.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Denial, Progress};
use barleyspar_catalog::{
    AllowedRegions, Forward, ModelReference, RequestFacts, RequestKind, Route, Runner, Tenant,
};
use barleyspar_dispatch::{AttemptKind, Failure, Outcome, Query};
use barleyspar_domain::Verdict;
use tokio::time::{Instant, timeout};

use crate::attempt::{AttemptError, Outgoing};
use crate::context::Context;
use crate::crashes::{BrokenRequest, ResendDecision};
use crate::inflight::InFlightGuard;
use crate::journal;
use crate::quota::Charge;

/// Most rejections by runners after which a request still gets another attempt.
const MAX_REJECTIONS: u32 = 2;
/// Most attempts without a byte sent after which a request still gets another one.
const MAX_UNSENT: u32 = 4;
/// Fraction of the route's timeout below which a client's remaining time shows that the
/// request is a retry by the client.
const FIRST_TRY_FRACTION: f64 = 0.95;
/// Longest wait for the finding whether a lost runner crashed under the request. Where
/// all parties answer, it takes one connection attempt and one exchange of datagrams.
const CRASH_FINDING_TIMEOUT: Duration = Duration::from_millis(100);
/// Lower bound of the stall timeout for requests that are not streams.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Lower bound of the stall timeout for streams before their first event.
const MIN_STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Gaps between events of at least this length do not count towards the usual gap.
const LONG_GAP: Duration = Duration::from_millis(60);
/// Number of gaps from which a stream's usual gap is known.
const MIN_GAP_SAMPLES: u32 = 10;

/// What the admission of a request determined.
pub struct Admitted {
    /// The route that matches the request's host and path.
    pub route: Arc<Route>,
    /// The service that the route's traffic split chose.
    pub service: Arc<str>,
    /// The tenant whose credential the request carries; `None` if the route requires no
    /// tenant.
    pub tenant: Option<Arc<Tenant>>,
    /// The units granted to the request from its tenant's quota; `None` if the tenant
    /// has no quota.
    pub charge: Option<Charge>,
}

/// An admitted request until its end.
pub struct Exchange {
    /// The shared state of the gateway.
    pub context: Context,
    /// The route that matches the request's host and path.
    pub route: Arc<Route>,
    /// The service that the route's traffic split chose.
    pub service: Arc<str>,
    /// The tenant whose credential the request carries; `None` if the route requires no
    /// tenant.
    pub tenant: Option<Arc<Tenant>>,
    charge: Option<Charge>,
    /// Whether the service's runners load models.
    pub has_engine: bool,
    /// Values read from the request's head.
    pub facts: RequestFacts,
    /// The request as it is sent to runners.
    pub outgoing: Outgoing,
    /// When the request's head arrived.
    pub received: Instant,
    /// When the gateway gives up on the request.
    pub deadline: Instant,
    /// When the client last got an event; the time of arrival before the first one.
    pub last_event_at: Instant,
    /// Whether the request may have run at any of the runners tried so far.
    pub verdict: Verdict,
    /// Time from the request's arrival to its first event; `None` before that, and for
    /// requests that are not streams.
    pub first_event: Option<Duration>,
    /// Longest time between two events of the stream; zero before its second event.
    pub longest_gap: Duration,
    usual_gap_sum: Duration,
    usual_gap_count: u32,
    excluded: Vec<Arc<str>>,
    possible_runs: u32,
    rejections: u32,
    unsent: u32,
    crash_finding: Option<ResendDecision>,
    ended: bool,
    _in_flight: InFlightGuard,
}

impl Exchange {
    /// Creates the exchange of a request whose body has been read completely.
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
        let in_flight = context.requests_in_flight.start_request();
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
            last_event_at: received,
            verdict: Verdict::NotRun,
            first_event: None,
            longest_gap: Duration::ZERO,
            usual_gap_sum: Duration::ZERO,
            usual_gap_count: 0,
            excluded: Vec::new(),
            possible_runs: 0,
            rejections: 0,
            unsent: 0,
            crash_finding: None,
            ended: false,
            _in_flight: in_flight,
        }
    }

    /// Returns the id of the client's attempt for log lines; `-` if the client sent none.
    pub fn id(&self) -> &str {
        self.outgoing.request_id.as_deref().unwrap_or("-")
    }

    /// Returns the request's priority: that of its tenant, or else of its route. 0 is the
    /// most urgent.
    pub fn priority(&self) -> u8 {
        let tenant_priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(self.route.priority)
    }

    /// Checks again, before each attempt, whether the request's credential allows it: the
    /// configuration may have changed while it waited or ran at another runner.
    pub fn reauthorize(&self) -> Result<(), Denial> {
        let credential = self.facts.credential.as_ref();
        let authorized = self.context.authorize(&self.route, credential).map(drop);
        authorized.inspect_err(|denial| {
            journal::denied(&self.context, &self.facts, &self.route, *denial);
        })
    }

    /// Returns the remaining time for which the request must not be sent to any runner;
    /// `None` if it is not quarantined. Logs a quarantine.
    pub fn quarantined(&self) -> Option<Duration> {
        let remaining = self
            .context
            .crashes
            .remaining_quarantine(self.outgoing.fingerprint);
        remaining.inspect(|remaining| self.log_quarantine(*remaining))
    }

    /// Waits until the request is quarantined, and returns the remaining time of the
    /// quarantine. Logs it.
    pub async fn until_quarantined(&self) -> Duration {
        let fingerprint = self.outgoing.fingerprint;
        let remaining = self
            .context
            .crashes
            .wait_until_quarantined(fingerprint)
            .await;
        self.log_quarantine(remaining);
        remaining
    }

    fn log_quarantine(&self, remaining: Duration) {
        journal::quarantine_applied(self.id(), self.outgoing.fingerprint, remaining);
    }

    /// Logs that the request was admitted under the configuration `version`.
    pub fn log_accepted(&self, version: u64) {
        journal::accepted(&journal::Accepted {
            request: self.id(),
            route: &self.route,
            version,
            service: &self.service,
            tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
            wanted: self.facts.model.as_ref(),
            priority: self.priority(),
            cost: self.charge.as_ref().map(Charge::cost),
            remaining: self.remaining_time(),
        });
    }

    /// Logs that the request waits for a runner.
    pub fn log_waiting(&self) {
        let wanted = self.facts.model.as_ref();
        journal::waiting_for_runner(self.id(), &self.service, wanted, self.priority());
    }

    /// Returns the time until the deadline; zero after it.
    pub fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Records the time of an event that is now sent to the client, and its gap to the
    /// event before.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        if self.first_event.is_some() {
            let gap = now - self.last_event_at;
            self.longest_gap = self.longest_gap.max(gap);
            if gap < LONG_GAP {
                self.usual_gap_sum += gap;
                self.usual_gap_count += 1;
            }
        } else {
            self.first_event = Some(now - self.received);
        }
        self.last_event_at = now;
    }

    /// Returns the mean time between two events, long gaps excluded; `None` with fewer
    /// than [`MIN_GAP_SAMPLES`] gaps.
    pub fn usual_gap(&self) -> Option<Duration> {
        (self.usual_gap_count >= MIN_GAP_SAMPLES).then(|| self.usual_gap_sum / self.usual_gap_count)
    }

    /// Builds the dispatcher's query for the next attempt. If `may_wait` is false, the
    /// dispatcher refuses instead of queueing.
    pub fn query(&self, attempt: AttemptKind, may_wait: bool) -> Query {
        let since_last_event = self.last_event_at.elapsed();
        Query {
            service: self.service.clone(),
            wanted: self.wanted(),
            priority: self.priority(),
            prompt_tokens: self.facts.prompt_tokens,
            cache_tokens: self.facts.prompt_tokens + self.facts.answer_tokens,
            prefix_key: self.affinity(),
            deadline: self.deadline.into_std(),
            target_latency: self.route.target_latency,
            patience: self
                .route
                .stream_patience
                .map(|patience| patience.saturating_sub(since_last_event)),
            is_client_retry: self.is_client_retry(),
            allowed_regions: AllowedRegions::for_request(&self.route, self.tenant.as_deref()),
            excluded_runners: self.excluded.clone(),
            attempt,
            may_wait,
        }
    }

    /// Returns whether the client seems to retry after a refusal: its deadline leaves it
    /// less time than the route's timeout.
    fn is_client_retry(&self) -> bool {
        match (self.facts.deadline, self.route.timeout) {
            (Some(remaining), Some(allowed)) => remaining < allowed.mul_f64(FIRST_TRY_FRACTION),
            _ => false,
        }
    }

    /// Returns the model that the runner must have loaded; `None` if the service's runners
    /// load no models or the request names none.
    fn wanted(&self) -> Option<ModelReference> {
        self.facts.model.clone().filter(|_| self.has_engine)
    }

    /// Returns the key by which requests prefer the same runner: equal for requests with
    /// the same model and the same shared prefix.
    fn affinity(&self) -> Option<u64> {
        let wanted = self.wanted()?;
        Some(barleyspar_domain::rendezvous_weight(
            &wanted,
            &self.facts.shared_prefix,
        ))
    }

    /// Returns the values that the gateway adds to the request's headers for `runner`.
    /// `last_event_id`: the last event that the client has, if a stream is resumed.
    pub fn forward(&self, runner: &Runner, last_event_id: Option<String>) -> Forward {
        Forward {
            runner: runner.name.clone(),
            remaining: Some(self.remaining_time()),
            priority: self.has_engine.then_some(self.priority()),
            last_event_id,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
        }
    }

    /// Returns whether the request may be sent to another runner although it may have run
    /// at one already.
    pub fn may_retry(&self) -> bool {
        self.route.repeatable()
            && self.possible_runs < self.route.maximum_attempts
            && self.remaining_time() > Duration::from_millis(50)
    }

    /// Returns the time until which the next attempt waits for the head of an answer. It is
    /// the request's deadline unless there are `other_runners` and the request may be
    /// sent to one of them after this attempt.
    pub fn head_deadline(&self, other_runners: bool) -> Instant {
        let may_run_again =
            self.route.repeatable() && self.possible_runs + 1 < self.route.maximum_attempts;
        if !(may_run_again && other_runners) {
            return self.deadline;
        }
        self.deadline.min(Instant::now() + self.stall_timeout())
    }

    /// Returns the time without a first byte after which an attempt counts as failed.
    pub fn stall_timeout(&self) -> Duration {
        let target = self.route.target_latency.unwrap_or_default();
        match self.route.kind {
            RequestKind::Streaming => (target * 3 / 2).max(MIN_STREAM_STALL_TIMEOUT),
            _ => (target * 2).max(MIN_STALL_TIMEOUT),
        }
    }

    /// Records a failed attempt at `runner`. Returns the kind of the next attempt; `None`
    /// if there must be none.
    pub fn after_failure(
        &mut self,
        runner: &Arc<Runner>,
        error: &AttemptError,
    ) -> Option<AttemptKind> {
        journal::attempt_failed(self.id(), &runner.id, error);
        self.excluded.push(runner.id.clone());
        if !error.sent {
            self.unsent += 1;
            return (self.unsent <= MAX_UNSENT).then_some(AttemptKind::Unsent);
        }
        if error.outcome == Outcome::Failed(Failure::Broken) {
            self.report_broken_connection(runner, self.progress_without_head());
        }
        self.record_run(&runner.id, error.verdict);
        self.may_retry().then_some(AttemptKind::Retry)
    }

    /// Returns how far the request may have come at a runner that sent no head of an answer.
    /// Runners send a stream's head when they start to run it, and any other head together
    /// with the complete answer.
    fn progress_without_head(&self) -> Progress {
        match self.route.kind {
            RequestKind::Streaming => Progress::Queued,
            RequestKind::Idempotent | RequestKind::NonIdempotent => Progress::Started,
        }
    }

    /// Reports that the connection to `runner` broke, so that it is examined whether the
    /// runner crashed. `progress`: how far the request had come there.
    pub fn report_broken_connection(&mut self, runner: &Arc<Runner>, progress: Progress) {
        let fingerprint = self.outgoing.fingerprint;
        let (broken, crash_finding) = BrokenRequest::new(self.id().into(), fingerprint, progress);
        self.crash_finding = Some(crash_finding);
        self.context
            .crashes
            .report_broken_connection(runner.clone(), broken);
    }

    /// Waits, for at most [`CRASH_FINDING_TIMEOUT`], until it is known whether the request
    /// crashed the runner to which the connection broke last. A request that crashes
    /// runners would crash one more if it were sent on at once.
    pub async fn await_crash_finding(&mut self) {
        if let Some(crash_finding) = self.crash_finding.take() {
            // The callers read the finding from the quarantine.
            let _ = timeout(CRASH_FINDING_TIMEOUT, crash_finding).await;
        }
    }

    /// Records that the request ran or may have run at `runner`. The tenant's charge is
    /// spent from then on, and further attempts go to other runners.
    pub fn record_run(&mut self, runner: &Arc<str>, verdict: Verdict) {
        self.verdict = self.verdict.combined_with(verdict);
        if let Some(charge) = &mut self.charge {
            charge.mark_used();
        }
        self.possible_runs += 1;
        if !self.excluded.contains(runner) {
            self.excluded.push(runner.clone());
        }
    }

    /// Records that `runner` rejected the request without running it. Returns whether
    /// another attempt is allowed. A runner that requested a pause is not excluded: it may
    /// get the request after the pause.
    pub fn after_rejection(&mut self, runner: &Arc<str>, outcome: Outcome) -> bool {
        if outcome != Outcome::Paused {
            self.excluded.push(runner.clone());
        }
        self.rejections += 1;
        self.rejections <= MAX_REJECTIONS
    }

    /// Records the end of the request in the log and the metrics. `status` is that of the
    /// answer; 0 if the client left before it.
    pub fn end(&mut self, status: u16, reason: &str) {
        self.ended = true;
        if reason == journal::ANSWERED {
            self.context
                .crashes
                .report_served(self.outgoing.fingerprint);
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
