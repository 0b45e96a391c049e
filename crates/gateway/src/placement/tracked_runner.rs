//! A runner as the leader keeps it: what it reported and what it was ordered.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, Order, OrderAction, Report, Runner};
use barleyspar_loading::RunnerView;
use tokio::time::Instant;

/// Time until a report is read again. A look costs little (a report is 300 bytes),
/// what it tells too late holds up a cold start.
const REPORT_AGAIN: Duration = Duration::from_millis(60);
/// The same for a rate-limited runner, where each look takes a call from callers.
const LIMITED_REPORT_AGAIN: Duration = Duration::from_millis(400);
/// Time for which a runner is thought busy of whose order nothing is known. A
/// runner that stays busy longer is thought to stay so as long again.
const UNKNOWN_BUSY: Duration = Duration::from_secs(1);

/// A runner with its entry and what the leader does there.
pub struct Entry {
    /// The runner as discovery shows it.
    pub runner: Arc<Runner>,
    /// The runner as the planner sees it.
    pub view: RunnerView,
    /// When its report is read next, if it is.
    pub report_at: Option<Instant>,
    /// When its report was asked for last.
    pub looked_at: Instant,
    /// Whether its report is being read.
    pub asking: bool,
    /// Whether an order is on its way to it.
    pub ordering: bool,
    /// Until when it may not be called: its limit is reached, or it asked for a pause.
    pub held_back_until: Option<Instant>,
}

impl Entry {
    /// Time until its report is read again, where the last one was too early.
    pub fn report_again(&self) -> Duration {
        if self.view.limit.is_some() {
            LIMITED_REPORT_AGAIN
        } else {
            REPORT_AGAIN
        }
    }

    /// A runner of which only the discovery's entry is known.
    pub fn new(runner: &Arc<Runner>) -> Self {
        Self {
            runner: runner.clone(),
            view: RunnerView::new(runner),
            report_at: Some(Instant::now()),
            looked_at: Instant::now(),
            asking: false,
            ordering: false,
            held_back_until: None,
        }
    }
}

/// Takes in a report that is not older than what is known.
pub fn take_report(entry: &mut Entry, report: Report) {
    let view = &mut entry.view;
    view.reported = true;
    view.reachable = true;
    view.sequence = report.sequence;
    view.busy = report.busy;
    view.models = report.models;
    view.pending_adapters = report.pending_adapters;
    if !report.copies.memory.is_empty() || !report.copies.disk.is_empty() {
        view.copies = report.copies;
    }
    if !entry.ordering && !view.busy {
        view.ordered = None;
        view.busy_until = None;
    }
    if view.busy {
        let unknown = Instant::now() + UNKNOWN_BUSY;
        view.busy_until.get_or_insert(unknown.into_std());
    }
    let settled = !view.busy && view.pending_adapters.is_empty();
    let again = entry.report_again();
    entry.report_at = (!settled).then(|| Instant::now() + again);
}

/// Takes in that the runner accepted `order`.
pub fn accepted(entry: &mut Entry, order: &Order) {
    let view = &mut entry.view;
    view.sequence = order.expected_sequence + 1;
    match &order.action {
        OrderAction::LoadModel { .. } | OrderAction::UnloadModel { .. } => view.busy = true,
        OrderAction::LoadAdapter { model, adapter } => {
            view.ordered = None;
            view.pending_adapters.push((model.clone(), adapter.clone()));
        }
        OrderAction::UnloadAdapter { model, adapter } => {
            view.ordered = None;
            for held in view.models.iter_mut().filter(|held| held.model == *model) {
                held.adapters.retain(|name| name != adapter);
            }
        }
    }
}

/// Time that `runner` takes for a load, once it begins; nothing for other orders.
pub fn load_time(
    configuration: &Configuration,
    runner: &RunnerView,
    action: &OrderAction,
) -> Duration {
    let OrderAction::LoadModel { model } = action else {
        return Duration::ZERO;
    };
    let engine = configuration
        .services
        .get(&runner.service)
        .and_then(|service| service.engine.as_ref());
    let Some(spec) = engine.and_then(|engine| engine.models.get(model)) else {
        return Duration::ZERO;
    };
    runner.source(model).load_time(spec)
}
