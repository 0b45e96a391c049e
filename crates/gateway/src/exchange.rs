//! A client's request between its admission and its end: what it asks for, the runners
//! that were tried, and whether it may have run.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Denial, EndedRun, Progress};
use barleyspar_catalog::{
    AllowedRegions, ForwardedHeaders, ModelReference, RequestFacts, RequestKind, Route, Runner,
    SoftwareVersion, Tenant,
};
use barleyspar_dispatch::{AttemptKind, Failure, Outcome, Query, Refusal, RequestNumber};
use barleyspar_domain::Verdict;
use barleyspar_prefill::TenantKey;
use tokio::time::{Instant, timeout};

use crate::attempt::{AttemptError, Outgoing};
use crate::context::Context;
use crate::crashes::{AppliedQuarantine, BrokenRequest, QuarantineKeys, ResendDecision};
use crate::dispatch::Permit;
use crate::event_gaps::EventGaps;
use crate::inflight::InFlightGuard;
use crate::journal;
use crate::origins::StreamKey;
use crate::quota::Charge;
use crate::silence::silence_timeout;

/// A request that runners rejected more often than this gets no further attempt.
const MAX_REJECTIONS: u32 = 2;
/// A request gets no further attempt after more than this number of attempts that failed
/// before any byte was sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Longest wait for the decision whether a request may be resent after its connection to a
/// runner broke. The decision takes one connection attempt to the runner and, after a crash,
/// one exchange of datagrams with the limit owner.
const RESEND_DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Least silence for which an attempt is given up whose answer is no stream.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Least silence for which an attempt is given up whose answer is a stream. A sound runner may
/// be silent for a second or so; a run that is left meanwhile goes on beside the one that takes
/// its place.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1400);

/// Result of the admission of a request: its route, service, tenant and quota charge.
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

/// An admitted request, from its admission until its end is logged.
pub struct Exchange {
    /// The shared state of the gateway.
    pub context: Context,
    /// Number of the request at this gateway.
    number: RequestNumber,
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
    /// Capacity of a runner's cache, in tokens; 0 without an engine.
    engine_cache_tokens: u64,
    /// Values read from the request's head.
    pub facts: RequestFacts,
    /// The request as it is sent to runners.
    pub outgoing: Outgoing,
    /// When the request's head arrived.
    pub received: Instant,
    /// Whether the process stood still until shortly before that.
    after_stall: bool,
    /// When the gateway gives up on the request.
    pub deadline: Instant,
    /// When the client last got an event; the time of arrival before the first one.
    pub last_event_at: Instant,
    /// Whether the request may have run at any of the runners to which it was sent.
    pub verdict: Verdict,
    /// Time from the request's arrival to its first event; `None` before that, and for
    /// requests that are not streams.
    pub first_event: Option<Duration>,
    /// Times between the events of the stream.
    pub gaps: EventGaps,
    /// The software version that began the stream, at which alone it goes on; `None` before
    /// the first event, and for requests that are not streams.
    pub software: Option<SoftwareVersion>,
    /// Runner at which the request is; `None` while it waits for one, and after a rejection.
    at_runner: Option<Arc<Runner>>,
    /// Ids of the runners to which the request is not sent again.
    excluded_runners: Vec<Arc<str>>,
    /// Number of attempts at which the request ran or may have run.
    possible_runs: u32,
    rejections: u32,
    /// Number of attempts that failed before any byte was sent.
    unsent_attempts: u32,
    resend_decision: Option<ResendDecision>,
    quarantine_keys: Arc<QuarantineKeys>,
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
        let in_flight = context.requests_in_flight.start_one();
        let engine_cache_tokens = context.routes.borrow().as_ref().and_then(|table| {
            let service = table.configuration().services.get(&service)?;
            Some(service.engine.as_ref()?.cache_tokens)
        });
        let quarantine_keys =
            QuarantineKeys::new(outgoing.fingerprint, &service, &facts.shared_prefix);
        Self {
            number: context.dispatch.next_request_number(),
            after_stall: context.stalls.is_catching_up(received),
            context,
            route,
            service,
            tenant,
            charge,
            has_engine: engine_cache_tokens.is_some(),
            engine_cache_tokens: engine_cache_tokens.unwrap_or(0),
            facts,
            outgoing,
            received,
            deadline,
            last_event_at: received,
            verdict: Verdict::NotRun,
            first_event: None,
            gaps: EventGaps::default(),
            software: None,
            at_runner: None,
            excluded_runners: Vec::new(),
            possible_runs: 0,
            rejections: 0,
            unsent_attempts: 0,
            resend_decision: None,
            quarantine_keys: Arc::new(quarantine_keys),
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
    pub fn remaining_quarantine(&self) -> Option<Duration> {
        let applied = self
            .context
            .crashes
            .applied_quarantine(&self.quarantine_keys);
        applied.map(|applied| self.log_quarantine(applied))
    }

    /// Waits until the request is quarantined, and returns the remaining time of the
    /// quarantine. Logs it.
    pub async fn wait_until_quarantined(&self) -> Duration {
        let crashes = &self.context.crashes;
        let applied = crashes.wait_until_quarantined(&self.quarantine_keys).await;
        self.log_quarantine(applied)
    }

    /// Logs a quarantine that keeps the request from runners, and returns its remaining time.
    fn log_quarantine(&self, applied: AppliedQuarantine) -> Duration {
        journal::quarantine_applied(self.id(), applied);
        applied.remaining
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
            prompt_tokens: self.facts.prompt_tokens,
            resumes: self.facts.resumes.as_deref(),
            cost: self.charge.as_ref().map(Charge::cost),
            remaining: self.remaining_time(),
        });
    }

    /// Logs that the request waits for a runner.
    pub fn log_waiting(&self) {
        let wanted = self.facts.model.as_ref();
        journal::waiting_for_runner(self.id(), &self.service, wanted, self.priority());
    }

    /// Logs and counts that the dispatcher refused the request.
    pub fn record_refusal(&self, refusal: Refusal) {
        journal::refused(self.id(), refusal, self.verdict);
        let reason = refusal.reason.name();
        self.context.metrics.request_refused(reason);
    }

    /// Returns the time until the deadline; zero after it.
    pub fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Records that a runner with the version `software` wrote the first event that its client
    /// gets of the stream. The stream goes on at this version only, whichever gateway the
    /// client asks.
    pub fn record_origin(&mut self, software: &SoftwareVersion) {
        if self.software.is_some() {
            return;
        }
        self.software = Some(software.clone());
        if let Some(id) = self
            .outgoing
            .request_id
            .as_deref()
            .filter(|_| self.route.resumable)
        {
            let stream = StreamKey::new(self.outgoing.fingerprint, id);
            self.context.origins.record(stream, software.clone());
        }
    }

    /// Reports that a runner began to write an answer, so that the request's parts are not
    /// suspected of crashing runners.
    pub fn report_answer_began(&self) {
        let keys = self.quarantine_keys.clone();
        self.context.crashes.report_answer_began(keys);
    }

    /// Records the time of an event that is now sent to the client, and its gap to the
    /// event before.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        if self.first_event.is_some() {
            self.gaps.record(now - self.last_event_at);
        } else {
            self.first_event = Some(now - self.received);
        }
        self.last_event_at = now;
    }

    /// Builds the dispatcher's query for the next attempt. If `may_wait` is false, the
    /// dispatcher refuses instead of queueing.
    pub fn query(&self, attempt: AttemptKind, may_wait: bool) -> Query {
        Query {
            request: self.number,
            after_stall: self.after_stall,
            service: self.service.clone(),
            wanted: self.wanted(),
            tenant: self.tenant_key(),
            priority: self.priority(),
            prompt_tokens: self.facts.prompt_tokens,
            cache_tokens: self.cache_tokens(),
            prefix_key: self.prefix_key(),
            deadline: self.deadline.into_std(),
            due_at: self.answer_due_at().into_std(),
            target_gap: self.route.target_gap,
            allowed_regions: AllowedRegions::for_request(&self.route, self.tenant.as_deref()),
            software: self.software.clone(),
            excluded_runners: self.excluded_runners.clone(),
            avoided_runners: Vec::new(),
            attempt,
            may_wait,
        }
    }

    /// Returns the time by which the client needs an answer, or a refusal, to get it before it
    /// leaves: at the deadline or, for a stream, when the gap since the last event is longer
    /// than clients bear.
    pub fn answer_due_at(&self) -> Instant {
        let patience = self.route.stream_patience;
        let leaves_at = patience.map_or(self.deadline, |patience| {
            self.deadline.min(self.last_event_at + patience)
        });
        let now = Instant::now().into_std();
        Instant::from_std(barleyspar_dispatch::answer_due_at(
            leaves_at.into_std(),
            now,
        ))
    }

    /// Returns the number of the prompt's tokens that a runner may have to read: no more than
    /// its cache holds, whatever the client names.
    pub fn readable_prompt_tokens(&self) -> u64 {
        self.facts.prompt_tokens.min(self.engine_cache_tokens)
    }

    /// Returns the tokens of prompt and answer that the request may need in a runner's cache.
    fn cache_tokens(&self) -> u64 {
        let (prompt, answer) = (self.facts.prompt_tokens, self.facts.answer_tokens);
        prompt.saturating_add(answer).min(self.engine_cache_tokens)
    }

    /// Returns the key of the caller's tenant; `None` if the route requires no tenant.
    pub fn tenant_key(&self) -> Option<TenantKey> {
        let tenant = self.tenant.as_ref()?;
        Some(barleyspar_prefill::tenant_key(&tenant.name))
    }

    /// Returns the model that the runner must have loaded; `None` if the service's runners
    /// load no models or the request names none.
    fn wanted(&self) -> Option<ModelReference> {
        self.facts.model.clone().filter(|_| self.has_engine)
    }

    /// Returns the key by which requests prefer the same runner: equal for requests with
    /// the same model and the same shared prefix of the prompt. `None` if no model is needed.
    fn prefix_key(&self) -> Option<u64> {
        let wanted = self.wanted()?;
        Some(barleyspar_domain::rendezvous_weight(
            &wanted,
            &self.facts.shared_prefix,
        ))
    }

    /// Returns the values that the gateway adds to the request's headers for `runner`.
    /// `last_event_id`: id of the last event sent to the client, if a stream is resumed.
    pub fn added_header_values(
        &self,
        runner: &Runner,
        last_event_id: Option<String>,
    ) -> ForwardedHeaders {
        ForwardedHeaders {
            runner: runner.name.clone(),
            remaining: Some(self.remaining_time()),
            priority: self.has_engine.then_some(self.priority()),
            last_event_id,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
        }
    }

    /// Returns whether the request may be sent to another runner although it may have run
    /// at one already, and whether there is time for another attempt.
    pub fn may_retry(&self) -> bool {
        self.route.repeatable()
            && self.possible_runs < self.route.maximum_attempts
            && self.remaining_time() > Duration::from_millis(50)
    }

    /// Returns the time until which the next attempt waits for the head of an answer: the
    /// request's deadline, or an earlier time if other runners than that of `permit` are
    /// eligible and the request may be sent to one of them after this attempt.
    pub fn head_deadline(&self, permit: &Permit) -> Instant {
        let may_run_again =
            self.route.repeatable() && self.possible_runs + 1 < self.route.maximum_attempts;
        if !(may_run_again && permit.candidates() > 1) {
            return self.deadline;
        }
        let timeout = self.silence_timeout(permit.usual_response());
        self.deadline.min(Instant::now() + timeout)
    }

    /// Returns the time without a byte from a runner after which its attempt is given up, if
    /// `usual` passes usually.
    pub fn silence_timeout(&self, usual: Option<Duration>) -> Duration {
        let shortest = match self.route.kind {
            RequestKind::Streaming => MIN_STREAM_SILENCE,
            RequestKind::Idempotent | RequestKind::NonIdempotent => MIN_SILENCE,
        };
        let time_left = self
            .answer_due_at()
            .saturating_duration_since(Instant::now());
        silence_timeout(usual, time_left, shortest)
    }

    /// Records that the request is now sent to `runner`.
    pub fn arrive_at(&mut self, runner: &Arc<Runner>) {
        self.at_runner = Some(runner.clone());
    }

    /// Returns whether the request is at a runner, which may be working on it.
    pub fn is_at_runner(&self) -> bool {
        self.at_runner.is_some()
    }

    /// Records that the request left its runner, which may still be working on it.
    pub fn leave_runner(&mut self) {
        self.end_stay(false);
    }

    /// Reports that the request's stay at its runner ended. `is_complete`: whether with a complete
    /// answer.
    fn end_stay(&mut self, is_complete: bool) {
        let Some(runner) = self.at_runner.take() else {
            return;
        };
        if is_complete && self.quarantine_keys.parts.is_empty() {
            return;
        }
        let run = EndedRun {
            runner: runner.id.clone(),
            request: self.quarantine_keys.request,
            parts: self.quarantine_keys.parts.clone(),
            had_answered: is_complete || self.first_event.is_some(),
            is_complete,
        };
        self.context.crashes.report_ended_run(runner, run);
    }

    /// Records a failed attempt at `runner`. Returns the kind of the next attempt; `None`
    /// if there must be none.
    pub fn record_failure(
        &mut self,
        runner: &Arc<Runner>,
        error: &AttemptError,
    ) -> Option<AttemptKind> {
        journal::attempt_failed(self.id(), &runner.id, error);
        self.excluded_runners.push(runner.id.clone());
        if !error.was_sent() {
            self.at_runner = None;
            self.unsent_attempts += 1;
            let may_go_on = self.unsent_attempts <= MAX_UNSENT_ATTEMPTS;
            return may_go_on.then_some(self.kind_after_unsent());
        }
        if error.outcome == Outcome::Failed(Failure::Broken) {
            self.report_broken_connection(runner, self.progress_without_head());
        }
        self.leave_runner();
        self.record_run(&runner.id, error.verdict);
        self.may_retry().then_some(AttemptKind::Retry)
    }

    /// Returns the kind of the next attempt after one of which no byte was sent.
    fn kind_after_unsent(&self) -> AttemptKind {
        if self.possible_runs > 0 || self.rejections > 0 {
            AttemptKind::Retry
        } else {
            AttemptKind::Unsent
        }
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
        self.at_runner = None;
        let parts = self.facts.shared_prefix.as_slice().into();
        let keys = self.quarantine_keys.clone();
        let (broken, resend_decision) = BrokenRequest::new(self.id().into(), keys, progress, parts);
        self.resend_decision = Some(resend_decision);
        self.context
            .crashes
            .report_broken_connection(runner.clone(), broken);
    }

    /// Waits, for at most [`RESEND_DECISION_TIMEOUT`], until it is known whether the request
    /// crashed the runner to which its connection broke last. A request that crashes
    /// runners would crash one more if it were resent at once.
    pub async fn await_resend_decision(&mut self) {
        if let Some(resend_decision) = self.resend_decision.take() {
            // Only the wait matters here, whether the decision or the timeout ends it: callers
            // check afterwards whether the request is quarantined.
            let _ = timeout(RESEND_DECISION_TIMEOUT, resend_decision).await;
        }
    }

    /// Records that the request ran or may have run at `runner`. Its charge is then not
    /// returned to the tenant's quota, and further attempts go to other runners.
    pub fn record_run(&mut self, runner: &Arc<str>, verdict: Verdict) {
        self.verdict = self.verdict.combined_with(verdict);
        if let Some(charge) = &mut self.charge {
            charge.mark_used();
        }
        self.possible_runs += 1;
        if !self.excluded_runners.contains(runner) {
            self.excluded_runners.push(runner.clone());
        }
    }

    /// Records that `runner` rejected the request without running it. Returns whether
    /// another attempt is allowed. A runner that requested a pause is not excluded: it may
    /// get the request after the pause.
    pub fn record_rejection(&mut self, runner: &Arc<str>, outcome: Outcome) -> bool {
        self.at_runner = None;
        if outcome != Outcome::Paused {
            self.excluded_runners.push(runner.clone());
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
        let is_success = (200..=299).contains(&status);
        self.end_stay(is_success && reason == journal::ANSWERED);
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
            events: self.first_event.map(|first| (first, self.gaps.longest())),
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
