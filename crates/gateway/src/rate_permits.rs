//! Requests permits to call rate-limited runners from the limit owners, for the dispatcher
//! and for the placement leader's own calls.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::RunnerLimit;
use barleyspar_dispatch::RatePermitAnswer;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::dispatch::RatePermitRequest;
use crate::quota::QuotaDecision;

/// Time until a limit owner that did not answer is asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);

/// Sends the dispatcher's requests for permits to the limit owners, and the answers to the
/// dispatcher, until the process ends.
pub async fn serve_requests(
    context: Context,
    mut requests: mpsc::UnboundedReceiver<RatePermitRequest>,
) {
    while let Some((runner, limit)) = requests.recv().await {
        let context = context.clone();
        crate::tasks::spawn(async move {
            let answer = request_permit(&context, &runner, limit).await;
            context.dispatch.apply_rate_permit(runner, answer);
        });
    }
}

/// Requests a permit for one call to `runner`, which advertised `limit`. If the limit owner
/// does not answer, the permit is denied for [`UNANSWERED_PAUSE`].
pub async fn request_permit(
    context: &Context,
    runner: &Arc<str>,
    limit: RunnerLimit,
) -> RatePermitAnswer {
    match context.quota.admit_call(runner.clone(), limit).await {
        QuotaDecision::Granted => RatePermitAnswer::Granted,
        QuotaDecision::Denied(wait) => RatePermitAnswer::Denied(wait),
        QuotaDecision::Unknown => RatePermitAnswer::Denied(UNANSWERED_PAUSE),
    }
}
