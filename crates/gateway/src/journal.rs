//! Log lines about requests and runners, with the same field names in all of them.
//!
//! The field `event` names the event or decision, `request` is the id that the client gave
//! to the request (`-` or absent if none), and `verdict` says whether the request may have run.

use std::net::SocketAddr;
use std::time::Duration;

use barleyspar_callers::{Denial, EndedRun, Fingerprint};
use barleyspar_catalog::{
    ModelReference, RequestFacts, Route, Runner, RunnerLimit, SoftwareVersion, Tenant,
};
use barleyspar_dispatch::{BudgetUse, LimitChange, Refusal, RunnerSpeedChange};
use barleyspar_domain::Verdict;

use crate::answers::OwnAnswer;
use crate::attempt::AttemptError;
use crate::context::Context;
use crate::crashes::{AppliedQuarantine, BrokenRequest};
use crate::dispatch::Permit;
use crate::upstream::ConnectError;

/// The `reason` of a request that ended with a runner's complete answer.
pub const ANSWERED: &str = "answered";
/// Wait for a permit to send a prompt after which the wait is logged.
const LOGGED_PREFILL_WAIT: Duration = Duration::from_millis(20);

/// Returns the duration in milliseconds, rounded to microseconds.
pub fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}

/// Values of the log line about an admitted request.
pub struct Accepted<'a> {
    /// Id of the client's attempt.
    pub request: &'a str,
    /// The route that matches the request.
    pub route: &'a Route,
    /// Version of the configuration by which the request was admitted.
    pub version: u64,
    /// The service that the route's traffic split chose.
    pub service: &'a str,
    /// Name of the caller's tenant; `None` if the route requires no tenant.
    pub tenant: Option<&'a str>,
    /// The model and adapter that the request names; `None` if it names none.
    pub wanted: Option<&'a ModelReference>,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of tokens of the prompt; 0 if the request names none.
    pub prompt_tokens: u64,
    /// Id of the client's attempt that began the stream that the request resumes; `None` if it
    /// names none.
    pub resumes: Option<&'a str>,
    /// Units charged to the tenant's quota; `None` if the tenant has no quota.
    pub cost: Option<u64>,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// Logs that a request was admitted.
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
        prompt_tokens = accepted.prompt_tokens,
        resumes = accepted.resumes,
        cost = accepted.cost,
        left_ms = milliseconds(accepted.remaining)
    );
}

/// Logs that a request is denied because of its credential, or because this node's view is
/// too stale to check it.
pub fn denied(context: &Context, facts: &RequestFacts, route: &Route, denial: Denial) {
    let table = context.routes.borrow();
    tracing::warn!(
        event = "denied",
        request = facts.request_id.as_deref(),
        route = &*route.name,
        reason = ?denial,
        has_credential = facts.credential.is_some(),
        version = table.as_ref().map(|table| table.configuration().version),
        knowledge_age_ms = context.view_staleness().map(milliseconds)
    );
}

/// Logs that a request was refused because its tenant's quota is used up. The quota covers
/// the request after `wait`.
pub fn over_quota(facts: &RequestFacts, tenant: &Tenant, cost: u64, wait: Duration) {
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

/// Logs to which runner a request is sent. `waited`: time that the request waited for it.
pub fn chosen(request: &str, permit: &Permit, waited: Duration) {
    tracing::info!(
        event = "chosen",
        request,
        runner = &*permit.runner().id,
        address = %permit.runner().address,
        software = permit.runner().software.as_str(),
        candidates = permit.candidates(),
        in_flight = permit.in_flight(),
        waited_ms = milliseconds(waited),
        prefill_wait_ms = permit.prefill_wait().map(milliseconds),
        retry_budget = permit.retry_budget().map(budget_text)
    );
}

/// Values of the log line about a prompt that waited for its permit.
pub struct PrefillWait<'a> {
    /// Id of the client's attempt.
    pub request: &'a str,
    /// Id of the runner to which the prompt is sent.
    pub runner: &'a str,
    /// The prefill owner of the runner.
    pub owner: &'a str,
    /// Who granted the permit.
    pub outcome: &'static str,
    /// Time from the question to the permit.
    pub waited: Duration,
    /// Longest wait that the owner named; zero if it named none.
    pub expected: Duration,
}

/// Logs a wait for a permit to send a prompt, if it was longer than [`LOGGED_PREFILL_WAIT`].
pub fn prefill_wait(wait: &PrefillWait<'_>) {
    if wait.waited <= LOGGED_PREFILL_WAIT {
        return;
    }
    tracing::info!(
        event = "prefill_wait",
        request = wait.request,
        runner = wait.runner,
        owner = wait.owner,
        outcome = wait.outcome,
        waited_ms = milliseconds(wait.waited),
        expected_ms = milliseconds(wait.expected)
    );
}

/// Logs that a request leaves `runner`, which would read its prompt too late. `expected`: the
/// wait that the prefill owner named.
pub fn prefill_elsewhere(request: &str, runner: &str, expected: Duration) {
    tracing::info!(
        event = "prefill_elsewhere",
        request,
        runner,
        expected_ms = milliseconds(expected)
    );
}

/// Logs that a request waits for a runner of `service`.
pub fn waiting_for_runner(
    request: &str,
    service: &str,
    wanted: Option<&ModelReference>,
    priority: u8,
) {
    tracing::info!(
        event = "waits",
        request,
        service,
        model = wanted.map(|wanted| &*wanted.model),
        adapter = wanted.and_then(|wanted| wanted.adapter.as_deref()),
        priority
    );
}

/// Logs that an attempt ended without the head of an answer.
pub fn attempt_failed(request: &str, runner: &str, error: &AttemptError) {
    tracing::warn!(
        event = "attempt_failed",
        request,
        runner,
        verdict = error.verdict.as_str(),
        sent = error.was_sent(),
        arrival = error.arrival.name(),
        outcome = ?error.outcome,
        cause = %error.cause
    );
}

/// Logs that a runner cannot be connected to any more. `unreachable`: how many runners this
/// node fails to connect to, this one included.
pub fn runner_unreachable(runner: &str, error: &ConnectError, unreachable: usize) {
    tracing::warn!(event = "runner_unreachable", runner, cause = %error, unreachable);
}

/// Logs that a runner can be connected to again, after `lasted`.
pub fn runner_reached(runner: &str, lasted: Duration) {
    tracing::info!(
        event = "runner_reached",
        runner,
        lasted_ms = milliseconds(lasted)
    );
}

/// Logs that a runner is reached through peers, since this node's own link to it is lost.
pub fn runner_tunnelled(runner: &str) {
    tracing::warn!(event = "runner_tunnelled", runner);
}

/// Logs that this node seems to be partitioned from all runners, which its peers reach.
pub fn partitioned() {
    tracing::warn!(event = "partitioned_from_runners");
}

/// Logs that a request is sent to a runner through the peer at `peer`.
pub fn sent_through_peer(request: &str, runner: &str, peer: SocketAddr) {
    tracing::info!(event = "sent_through_peer", request, runner, %peer);
}

/// Logs that a peer gave no answer when it was asked to connect to a runner.
pub fn tunnel_not_answered(runner: &str, peer: &str, error: &std::io::Error) {
    tracing::info!(event = "tunnel_not_answered", runner, peer, cause = %error);
}

/// Logs that the connection to a runner broke, or was closed, within the body of an answer.
pub fn answer_broken(request: &str, runner: &str, cause: &str) {
    tracing::info!(event = "answer_broken", request, runner, cause);
}

/// Logs that a runner answered a request with a failure of its own.
pub fn runner_failed(request: &str, runner: &str, status: u16) {
    tracing::warn!(event = "runner_failed", request, runner, status);
}

/// Logs that a runner crashed while it processed a request. `served_lately`: whether this
/// node recently served the same request, so that the crash does not count against it.
pub fn runner_crashed(runner: &str, broken: &BrokenRequest, served_lately: bool) {
    tracing::warn!(
        event = "runner_crashed",
        request = &*broken.request,
        fingerprint = %broken.keys.request,
        runner,
        progress = broken.progress.name(),
        parts = part_ids(&broken.parts),
        served_lately
    );
}

/// Logs that a connection broke during a request, at a runner that did not crash as far as is
/// known.
pub fn connection_broke(runner: &str, broken: &BrokenRequest) {
    tracing::info!(
        event = "connection_broke",
        request = &*broken.request,
        fingerprint = %broken.keys.request,
        runner,
        progress = broken.progress.name(),
        parts = part_ids(&broken.parts)
    );
}

/// Logs that a runner crashed after a request had left it. The request's lines are found by its
/// fingerprint.
pub fn runner_crashed_after(run: &EndedRun) {
    tracing::warn!(
        event = "runner_crashed_after",
        fingerprint = %run.request,
        runner = &*run.runner,
        had_answered = run.had_answered,
        complete = run.is_complete
    );
}

/// Returns the ids of parts of a prompt as callers write them, joined by commas.
fn part_ids(parts: &[u64]) -> String {
    let ids: Vec<String> = parts.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// Logs that a request, or a part of prompts, was quarantined for `remaining` because it crashes
/// runners. `source`: the limit owner, which decided it, another node, which reported it, or
/// the crashes that all nodes reported.
pub fn quarantined(key: Fingerprint, remaining: Duration, source: &'static str) {
    tracing::warn!(
        event = "quarantined",
        fingerprint = %key,
        left_ms = milliseconds(remaining),
        source
    );
}

/// Logs that a part of prompts is not quarantined any more, because an answer with it began.
pub fn quarantine_ended(part: Fingerprint) {
    tracing::info!(event = "quarantine_ended", fingerprint = %part);
}

/// Logs that a request is not sent to a runner because it, or a part of its prompt, is
/// quarantined.
pub fn quarantine_applied(request: &str, applied: AppliedQuarantine) {
    tracing::warn!(
        event = "quarantine_met",
        request,
        fingerprint = %applied.key,
        left_ms = milliseconds(applied.remaining)
    );
}

/// Logs that the rate limit advertised by a runner changed. `source`: who reported it, the
/// runner itself or another node.
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

/// Logs that the speed at which a runner reads prompts changed by more than a fifth.
/// `age_ms`: time since the speed before was learned.
pub fn runner_speed(changed: &RunnerSpeedChange) {
    let change = changed.change;
    tracing::info!(
        event = "runner_speed",
        runner = &*changed.runner,
        tokens_per_second = change.now.round(),
        before = change.before.round(),
        age_ms = milliseconds(change.age)
    );
}

/// Logs that the runners of a service become brittle, so that each crashes if it has to reject
/// many requests, or cease to be. `source`: who reported it, a runner or another node.
pub fn service_brittle(service: &str, brittle: bool, source: &'static str) {
    tracing::warn!(event = "service_brittle", service, brittle, source);
}

/// Logs that a runner is draining. `source`: who reported it, the runner itself or another
/// node.
pub fn runner_draining(runner: &str, source: &'static str) {
    tracing::warn!(event = "runner_leaves", runner, source);
}

/// Logs that a runner, in its answer to a `call`, requested a pause from this node.
pub fn runner_requested_pause(runner: &str, call: &'static str, pause: Duration) {
    let pause_ms = milliseconds(pause);
    tracing::warn!(event = "runner_pauses", runner, call, pause_ms);
}

/// Logs that the dispatcher refused a request, with the reason of the refusal.
pub fn refused(request: &str, refusal: Refusal, verdict: Verdict) {
    tracing::warn!(
        event = "refused",
        request,
        reason = refusal.reason.name(),
        verdict = verdict.as_str(),
        retry_after_ms = milliseconds(refusal.retry_after),
        retry_budget = refusal.retry_budget.map(budget_text)
    );
}

/// Returns a log field's text for what a decision on a retry rests on.
fn budget_text(budget: BudgetUse) -> String {
    let BudgetUse {
        nodes,
        life,
        requests,
        arrived,
        pending,
        is_settled,
        remaining,
    } = budget;
    format!(
        "nodes={nodes} life_ms={} settled={is_settled} requests={requests} arrived={arrived} \
         pending={pending} remaining={remaining}",
        milliseconds(life)
    )
}

/// Values of the log line about the end of an admitted request.
pub struct Ended<'a> {
    /// Id of the client's attempt.
    pub request: &'a str,
    /// Status of the answer; 0 if the client left before it.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time since the request arrived.
    pub took: Duration,
    /// Time until the first event of a stream, and the longest gap between two events;
    /// `None` if no event was sent.
    pub events: Option<(Duration, Duration)>,
    /// Why the request ended: [`ANSWERED`] or the name of a failure or refusal.
    pub reason: &'a str,
}

/// Logs the end of an admitted request, as a warning unless a complete answer with a success
/// status was sent.
pub fn ended(ended: &Ended<'_>) {
    let Ended {
        request,
        status,
        reason,
        ..
    } = *ended;
    let served = (200..300).contains(&status) && reason == ANSWERED;
    let first_event_ms = ended
        .events
        .map(|(first_event, _)| milliseconds(first_event));
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

/// Logs the end of a request that was not admitted but got `answer`, with the version of the
/// configuration in force and the time for which this node may have missed changes of it.
pub fn turned_away(context: &Context, request: &str, answer: &OwnAnswer, took: Duration) {
    let version = context.configuration_version();
    let knowledge_age_ms = context.view_staleness().map(milliseconds);
    tracing::warn!(
        event = "ended",
        request,
        status = answer.status.as_u16(),
        version,
        knowledge_age_ms,
        reason = answer.reason,
        verdict = answer.verdict.as_str(),
        took_ms = milliseconds(took)
    );
}

/// Logs that a stream is resumed at another runner, after the event with the id `after`, or
/// from its start if no event with an id was sent. `cause`: why it ended at the last runner.
pub fn resumed(request: &str, runner: &Runner, after: Option<&str>, cause: &str) {
    tracing::info!(
        event = "resumed",
        request,
        runner = &*runner.id,
        software = runner.software.as_str(),
        after,
        cause
    );
}

/// Logs at which software version the stream that a request resumes must go on; `None` if that
/// is not known. `source`: how it was found out.
pub fn stream_origin(request: &str, software: Option<&SoftwareVersion>, source: &'static str) {
    let software = software.map(SoftwareVersion::as_str);
    tracing::info!(event = "stream_origin", request, software, source);
}

/// Logs that `prompts` requests named prompts that no runner can hold, which are not counted
/// in the demand.
pub fn prompts_ignored(prompts: u64) {
    tracing::info!(event = "prompts_ignored", prompts);
}
