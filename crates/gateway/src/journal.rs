//! Log lines of decisions: one vocabulary for all of them.
//!
//! `event` names the decision, `request` the client's attempt, `verdict`
//! whether it may have run.

use std::time::Duration;

use barleyspar_catalog::Route;
use barleyspar_dispatch::Refusal;
use barleyspar_domain::Verdict;

use crate::attempt::AttemptError;
use crate::dispatch::Permit;

/// Milliseconds with fractions.
pub fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}

/// A request was taken from a client.
pub fn accepted(request: &str, route: &Route, version: u64, service: &str, left: Duration) {
    tracing::info!(
        event = "accepted",
        request,
        route = &*route.name,
        version,
        service,
        left_ms = milliseconds(left)
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

/// An attempt failed.
pub fn attempt_failed(request: &str, runner: &str, error: &AttemptError) {
    tracing::info!(
        event = "attempt_failed",
        request,
        runner,
        verdict = error.verdict.as_str(),
        sent = error.sent,
        outcome = ?error.outcome,
        cause = %error.cause
    );
}

/// The request was refused by the dispatcher.
pub fn refused(request: &str, refusal: Refusal, verdict: Verdict) {
    tracing::info!(
        event = "refused",
        request,
        reason = refusal.reason.name(),
        verdict = verdict.as_str(),
        retry_after_ms = milliseconds(refusal.retry_after)
    );
}

/// The request ended with an answer of this status.
pub fn ended(request: &str, status: u16, verdict: Verdict, took: Duration, reason: &str) {
    tracing::info!(
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
