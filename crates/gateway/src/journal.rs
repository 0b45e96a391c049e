//! Log lines of decisions: one vocabulary for all of them.
//!
//! `event` names the decision, `request` the client's attempt, `verdict`
//! whether it may have run.

use std::time::Duration;

use barleyspar_callers::{Denial, Fingerprint};
use barleyspar_catalog::{ModelReference, RequestFacts, Route, RunnerLimit, Tenant};
use barleyspar_dispatch::{LimitChange, Refusal};
use barleyspar_domain::Verdict;

use crate::attempt::AttemptError;
use crate::context::Context;
use crate::crashes::Broken;
use crate::dispatch::Permit;

/// Reason of an end with the runner's whole answer.
pub const ANSWERED: &str = "answered";

/// Milliseconds with fractions.
pub fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}

/// A request that was taken from a client.
pub struct Accepted<'a> {
    /// Its id.
    pub request: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// Version of the configuration that it was taken by.
    pub version: u64,
    /// The service that its traffic split chose.
    pub service: &'a str,
    /// Its tenant, where callers have tenants.
    pub tenant: Option<&'a str>,
    /// What it asks for.
    pub wanted: Option<&'a ModelReference>,
    /// Its rank.
    pub priority: u8,
    /// Units of its tenant's limit that it was granted.
    pub cost: Option<u64>,
    /// Time until its deadline.
    pub left: Duration,
}

/// A request was taken from a client.
pub fn accepted(accepted: &Accepted<'_>) {
    let wanted = accepted.wanted;
    tracing::info!(
        event = "accepted",
        request = accepted.request,
        route = &*accepted.route.name,
        kind = ?accepted.route.kind,
        version = accepted.version,
        service = accepted.service,
        tenant = accepted.tenant,
        model = wanted.map(|wanted| &*wanted.model),
        adapter = wanted.and_then(|wanted| wanted.adapter.as_deref()),
        priority = accepted.priority,
        cost = accepted.cost,
        left_ms = milliseconds(accepted.left)
    );
}

/// A request is not served under the credential that it carries.
pub fn denied(context: &Context, facts: &RequestFacts, route: &Route, denial: Denial) {
    let table = context.routes.borrow();
    tracing::warn!(
        event = "denied",
        request = facts.request_id.as_deref(),
        route = &*route.name,
        reason = ?denial,
        has_credential = facts.credential.is_some(),
        version = table.as_ref().map(|table| table.configuration().version),
        knowledge_age_ms = context.knowledge_age().map(milliseconds)
    );
}

/// A request's tenant is over its limit.
pub fn limited(facts: &RequestFacts, tenant: &Tenant, cost: u64, wait: Duration) {
    tracing::warn!(
        event = "limited",
        request = facts.request_id.as_deref(),
        tenant = &*tenant.name,
        cost,
        per_second = tenant.quota.map(|quota| quota.per_second),
        burst = tenant.quota.map(|quota| quota.burst),
        wait_ms = milliseconds(wait)
    );
}

/// A runner was chosen.
pub fn chosen(request: &str, permit: &Permit, waited: Duration) {
    tracing::info!(
        event = "chosen",
        request,
        runner = &*permit.runner().id,
        address = %permit.runner().address,
        candidates = permit.candidates(),
        in_flight = permit.in_flight(),
        waited_ms = milliseconds(waited)
    );
}

/// A request waits for a runner of `service`.
pub fn waits(request: &str, service: &str, wanted: Option<&ModelReference>, priority: u8) {
    tracing::info!(
        event = "waits",
        request,
        service,
        model = wanted.map(|wanted| &*wanted.model),
        adapter = wanted.and_then(|wanted| wanted.adapter.as_deref()),
        priority
    );
}

/// An attempt failed.
pub fn attempt_failed(request: &str, runner: &str, error: &AttemptError) {
    tracing::warn!(
        event = "attempt_failed",
        request,
        runner,
        verdict = error.verdict.as_str(),
        sent = error.sent,
        outcome = ?error.outcome,
        cause = %error.cause
    );
}

/// A runner said that it failed to run the request.
pub fn runner_failed(request: &str, runner: &str, status: u16) {
    tracing::warn!(event = "runner_failed", request, runner, status);
}

/// A runner crashed while a request was there, which this node may have served lately.
pub fn runner_crashed(runner: &str, broken: &Broken, served_lately: bool) {
    tracing::warn!(
        event = "runner_crashed",
        request = &*broken.request,
        fingerprint = %broken.fingerprint,
        runner,
        progress = broken.progress.name(),
        served_lately
    );
}

/// A request is sent to no runner for this time, since it crashes runners; `source` is who
/// said so.
pub fn quarantined(request: Fingerprint, left: Duration, source: &'static str) {
    tracing::warn!(
        event = "quarantined",
        fingerprint = %request,
        left_ms = milliseconds(left),
        source
    );
}

/// A try of a request in quarantine is not sent on.
pub fn quarantine_met(request: &str, fingerprint: Fingerprint, left: Duration) {
    tracing::warn!(
        event = "quarantine_met",
        request,
        %fingerprint,
        left_ms = milliseconds(left)
    );
}

/// The limit that a runner is known to name has changed; `source` is who said so.
pub fn runner_limit(change: &LimitChange, source: &'static str) {
    let per_second = |limit: Option<RunnerLimit>| limit.map(RunnerLimit::per_second);
    tracing::warn!(
        event = "runner_limit",
        runner = &*change.runner,
        per_second = per_second(change.limit),
        before = per_second(change.before),
        source
    );
}

/// A runner said that it leaves; `source` is who said so.
pub fn runner_leaves(runner: &str, source: &'static str) {
    tracing::warn!(event = "runner_leaves", runner, source);
}

/// A runner said in its answer to a `call` that it wants nothing of this node for a time.
pub fn runner_pauses(runner: &str, call: &'static str, pause: Duration) {
    let pause_ms = milliseconds(pause);
    tracing::warn!(event = "runner_pauses", runner, call, pause_ms);
}

/// The request was refused by the dispatcher.
pub fn refused(request: &str, refusal: Refusal, verdict: Verdict) {
    tracing::warn!(
        event = "refused",
        request,
        reason = refusal.reason.name(),
        verdict = verdict.as_str(),
        retry_after_ms = milliseconds(refusal.retry_after)
    );
}

/// How a request ended.
pub struct Ended<'a> {
    /// Its id.
    pub request: &'a str,
    /// Status of its answer; 0 for none.
    pub status: u16,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Time since it came.
    pub took: Duration,
    /// Of a stream: time until its first event, and its longest pause.
    pub events: Option<(Duration, Duration)>,
    /// Why it ended so.
    pub reason: &'a str,
}

/// A request ended.
pub fn ended(ended: &Ended<'_>) {
    let Ended {
        request,
        status,
        reason,
        ..
    } = *ended;
    let served = (200..300).contains(&status) && reason == ANSWERED;
    let first_event_ms = ended.events.map(|(first, _)| milliseconds(first));
    let longest_gap_ms = ended.events.map(|(_, gap)| milliseconds(gap));
    let took_ms = milliseconds(ended.took);
    let verdict = ended.verdict.as_str();
    if served {
        tracing::info!(
            event = "ended",
            request,
            status,
            verdict,
            took_ms,
            first_event_ms,
            longest_gap_ms,
            reason
        );
    } else {
        tracing::warn!(
            event = "ended",
            request,
            status,
            verdict,
            took_ms,
            first_event_ms,
            longest_gap_ms,
            reason
        );
    }
}

/// The request ended before it was sent anywhere.
pub fn turned_away(request: &str, status: u16, verdict: Verdict, took: Duration, reason: &str) {
    tracing::warn!(
        event = "ended",
        request,
        status,
        verdict = verdict.as_str(),
        took_ms = milliseconds(took),
        reason
    );
}

/// A stream goes on at another runner.
pub fn resumed(request: &str, runner: &str, after: Option<&str>, cause: &str) {
    tracing::info!(event = "resumed", request, runner, after, cause);
}
