//! Permits to call rate-limited runners: asks the owners of their limits for the
//! dispatcher, and for the leader's own calls.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::RunnerLimit;
use barleyspar_dispatch::RatePermitAnswer;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::dispatch::RatePermitWanted;
use crate::quota::QuotaDecision;

/// Time until an owner that gave no answer is asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);

/// Asks for what comes from `wanted` until the process ends.
pub async fn ask(context: Context, mut wanted: mpsc::UnboundedReceiver<RatePermitWanted>) {
    while let Some((runner, limit)) = wanted.recv().await {
        let context = context.clone();
        crate::tasks::spawn(async move {
            let answer = permit(&context, &runner, limit).await;
            context.dispatch.take_rate_permit(runner, answer);
        });
    }
}

/// Asks for a permit to call `runner` once, which named `limit`.
pub async fn permit(context: &Context, runner: &Arc<str>, limit: RunnerLimit) -> RatePermitAnswer {
    match context.quota.admit_call(runner.clone(), limit).await {
        QuotaDecision::Granted => RatePermitAnswer::Granted,
        QuotaDecision::Denied(wait) => RatePermitAnswer::Denied(wait),
        QuotaDecision::Unknown => RatePermitAnswer::Denied(UNANSWERED_PAUSE),
    }
}
