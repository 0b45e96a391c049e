//! A runner as the leader tracks it: its last report and its pending order.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, ModelSpec, Order, OrderAction, Report, Runner};
use barleyspar_loading::{PossibleLoad, RunnerView};
use tokio::time::Instant;

/// Delay before a report is read again while the runner is carrying out an order. A
/// read is cheap (a report is 300 bytes), whereas a late report delays a cold start.
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// Delay before the report of a rate-limited runner is read again: each read takes a
/// permit from callers.
const LIMITED_REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time for which a busy runner is assumed to stay busy if its order is unknown. The
/// planner assumes that a runner that is busy for longer stays so for as long as it is
/// overdue.
const ASSUMED_BUSY_FOR: Duration = Duration::from_secs(1);

/// Time after which an order that a runner left unanswered is not expected any more, once the
/// runner answers reports: a process that stood still takes up what it has received at once.
/// While a runner answers nothing, the order is expected without a limit.
const LATE_ORDER_TIME: Duration = Duration::from_secs(1);

/// A runner that the leader may give orders, with the state of its reports and orders.
pub struct TrackedRunner {
    /// The runner's entry in the store.
    pub runner: Arc<Runner>,
    /// The runner's state as input of the planner.
    pub view: RunnerView,
    /// When the runner's report is read next; `None` if no read is due.
    pub report_at: Option<Instant>,
    /// When the runner's report was last requested; before the first request, when the
    /// leader began to track the runner.
    pub report_requested_at: Instant,
    /// Whether a read of the runner's report is in progress.
    pub report_in_progress: bool,
    /// Whether an order to the runner is in progress.
    pub order_in_progress: bool,
    /// Megabytes that the model takes which this leader has ordered the runner to load: the
    /// largest size listed since the order. `None` without such an order, or if the runner has
    /// not accepted it.
    pub loading_mb: Option<f64>,
    /// Until when the runner may not be called, because its rate limit is reached or it
    /// requested a pause; `None` if it may.
    pub no_calls_until: Option<Instant>,
}

impl TrackedRunner {
    /// Returns the delay before the report is read again if the last one did not show
    /// the result of the runner's orders.
    pub fn report_retry_delay(&self) -> Duration {
        if self.view.rate_limit.is_some() {
            LIMITED_REPORT_DELAY
        } else {
            REPORT_DELAY
        }
    }

    /// Raises the sizes of the copies that this leader ordered to those that `configuration`
    /// lists.
    pub fn raise_ordered_sizes(&mut self, configuration: &Configuration) {
        let service = configuration.services.get(&self.view.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        for (model, size_mb) in &mut self.view.ordered_weights_mb {
            if let Some(spec) = engine.models.get(model) {
                *size_mb = size_mb.max(spec.weights_mb);
            }
        }
        let order = self.view.order_in_progress.as_ref();
        let spec = order.and_then(|order| ordered_spec(configuration, &self.view, order));
        if let (Some(loading_mb), Some(spec)) = (&mut self.loading_mb, spec) {
            *loading_mb = loading_mb.max(spec.weights_mb);
        }
    }

    /// Tracks a runner of which only its entry in the store is known; its report is
    /// read at once.
    pub fn new(runner: &Arc<Runner>) -> Self {
        Self {
            runner: runner.clone(),
            view: RunnerView::new(runner),
            report_at: Some(Instant::now()),
            report_requested_at: Instant::now(),
            report_in_progress: false,
            order_in_progress: false,
            loading_mb: None,
            no_calls_until: None,
        }
    }
}

/// Notes that the runner may still load `model`, which it was ordered when it had accepted
/// `sequence` orders, and which it has not answered.
pub fn note_possible_load(view: &mut RunnerView, model: &Arc<str>, sequence: u64) {
    view.possible_load = Some(PossibleLoad {
        model: model.clone(),
        sequence,
        until: (Instant::now() + LATE_ORDER_TIME).into_std(),
    });
}

/// Applies a report with a sequence number no lower than the known one.
pub fn apply_report(entry: &mut TrackedRunner, report: Report) {
    let view = &mut entry.view;
    view.report_known = true;
    view.reachable = true;
    view.sequence = report.sequence;
    view.busy = report.busy;
    view.models = report.models;
    view.pending_adapters = report.pending_adapters;
    if !report.copies.memory.is_empty() || !report.copies.disk.is_empty() {
        view.copies = report.copies;
    }
    if let Some(possible) = view.possible_load.take() {
        if report.sequence > possible.sequence {
            if view.busy && view.order_in_progress.is_none() {
                let model = possible.model;
                view.order_in_progress = Some(OrderAction::LoadModel { model });
            }
        } else {
            view.possible_load = Some(possible);
        }
    }
    let models = &view.models;
    let is_held = |model: &Arc<str>| models.iter().any(|held| held.model == *model);
    view.ordered_weights_mb.retain(|model, _| is_held(model));
    if !entry.order_in_progress && !view.busy {
        if let (Some(OrderAction::LoadModel { model }), Some(size_mb)) =
            (&view.order_in_progress, entry.loading_mb.take())
            && is_held(model)
        {
            view.ordered_weights_mb.insert(model.clone(), size_mb);
        }
        view.order_in_progress = None;
        view.busy_until = None;
    }
    if view.busy {
        let assumed_until = Instant::now() + ASSUMED_BUSY_FOR;
        view.busy_until.get_or_insert(assumed_until.into_std());
    }
    let is_done = !view.busy && view.pending_adapters.is_empty();
    let delay = entry.report_retry_delay();
    entry.report_at = (!is_done).then(|| Instant::now() + delay);
}

/// Updates the runner's state for an accepted `order`, before the next report confirms
/// it.
pub fn apply_accepted_order(entry: &mut TrackedRunner, order: &Order) {
    let view = &mut entry.view;
    // The next report corrects a number that cannot rise.
    view.sequence = order.expected_sequence.saturating_add(1);
    match &order.action {
        OrderAction::LoadModel { .. } | OrderAction::UnloadModel { .. } => view.busy = true,
        OrderAction::LoadAdapter { model, adapter } => {
            view.order_in_progress = None;
            view.pending_adapters.push((model.clone(), adapter.clone()));
        }
        OrderAction::UnloadAdapter { model, adapter } => {
            view.order_in_progress = None;
            for replica in view
                .models
                .iter_mut()
                .filter(|replica| replica.model == *model)
            {
                replica.adapters.retain(|name| name != adapter);
            }
        }
    }
}

/// Returns what `configuration` lists for the model that the order loads; `None` for other
/// orders and models that it does not list.
pub fn ordered_spec<'a>(
    configuration: &'a Configuration,
    runner: &RunnerView,
    action: &OrderAction,
) -> Option<&'a ModelSpec> {
    let OrderAction::LoadModel { model } = action else {
        return None;
    };
    let service = configuration.services.get(&runner.service)?;
    service.engine.as_ref()?.models.get(model)
}

/// Returns how long `runner` takes to load the model once it begins; zero for orders
/// other than loading a known model.
pub fn load_time(
    configuration: &Configuration,
    runner: &RunnerView,
    action: &OrderAction,
) -> Duration {
    ordered_spec(configuration, runner, action).map_or(Duration::ZERO, |spec| {
        runner.weight_source(action.model()).load_time(spec)
    })
}
