//! The leader's calls to a runner: giving an order and reading a report.

use std::sync::Arc;

use barleyspar_catalog::{DialectError, Order, OrderAnswer, Report, Runner};
use barleyspar_loading::Lease;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::context::Context;
use crate::runner_call::{CallError, call};

/// Why a report could not be read.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The call got no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is no valid report.
    #[error(transparent)]
    Unreadable(#[from] DialectError),
    /// Another incarnation of the runner answered, which was started at this time, in
    /// milliseconds since 1970.
    #[error("the report is from another incarnation, started at {0}")]
    OtherIncarnation(u64),
}

/// The result of an order.
#[derive(Debug)]
pub struct OrderResult {
    /// Id of the runner that the order is for.
    pub runner: Arc<str>,
    /// The order as it was to be sent, with its fencing token and expected sequence
    /// number.
    pub order: Order,
    /// The runner's answer, or why there is none.
    pub answer: Result<OrderAnswer, CallError>,
}

/// The result of reading a report.
#[derive(Debug)]
pub struct ReportResult {
    /// Id of the runner whose report was requested.
    pub runner: Arc<str>,
    /// The runner's report, or why there is none.
    pub report: Result<Report, ReportError>,
}

/// Sends `order` to `runner`, provided that `lease` still allows it when the request is
/// written.
pub async fn send_order(
    context: Context,
    runner: Arc<Runner>,
    order: Order,
    lease: watch::Receiver<Option<Lease>>,
) -> OrderResult {
    let request = context.dialect.order_call(&order);
    let token = order.fencing_token;
    let is_allowed = move || {
        let now = Instant::now().into_std();
        lease
            .borrow()
            .is_some_and(|lease| lease.fencing_token == token && lease.may_order(now))
    };
    let answer = call(&context, &runner, "order", request, is_allowed)
        .await
        .map(|(status, _)| context.dialect.read_order_answer(status));
    OrderResult {
        runner: runner.id.clone(),
        order,
        answer,
    }
}

/// Reads the report of `runner`. A report from another incarnation of it is an error.
pub async fn read_report(context: Context, runner: Arc<Runner>) -> ReportResult {
    let request = context.dialect.report_call(&runner.name);
    let report = call(&context, &runner, "report", request, || true)
        .await
        .map_err(ReportError::from)
        .and_then(|(status, body)| Ok(context.dialect.read_report(status, &body)?))
        .and_then(|report| check_incarnation(&runner, report));
    ReportResult {
        runner: runner.id.clone(),
        report,
    }
}

/// Rejects a report from another incarnation of `runner`, whose models and orders are
/// not those of this one.
fn check_incarnation(runner: &Runner, report: Report) -> Result<Report, ReportError> {
    match (runner.born, report.born) {
        (Some(known), Some(born)) if known != born => Err(ReportError::OtherIncarnation(born)),
        _ => Ok(report),
    }
}
