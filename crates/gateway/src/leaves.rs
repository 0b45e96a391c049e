//! Leave to call runners in need: asks the homes of their limits for the dispatcher, and
//! for the leader's own calls.

use std::sync::Arc;

use barleyspar_catalog::RunnerLimit;
use barleyspar_dispatch::LeaveAnswer;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::dispatch::LeaveWanted;
use crate::quota::QuotaDecision;

/// Asks for what comes from `wanted` until the process ends.
pub async fn ask(context: Context, mut wanted: mpsc::UnboundedReceiver<LeaveWanted>) {
    while let Some((runner, limit)) = wanted.recv().await {
        let context = context.clone();
        crate::tasks::spawn(async move {
            let answer = leave(&context, &runner, limit).await;
            context.dispatch.take_leave(runner, answer);
        });
    }
}

/// Asks for leave to call `runner` once, which named `limit`.
pub async fn leave(context: &Context, runner: &Arc<str>, limit: RunnerLimit) -> LeaveAnswer {
    match context.quota.admit_call(runner.clone(), limit).await {
        QuotaDecision::Granted => LeaveAnswer::Granted,
        QuotaDecision::Denied(wait) => LeaveAnswer::Denied(wait),
        QuotaDecision::Unknown => LeaveAnswer::Unknown,
    }
}
