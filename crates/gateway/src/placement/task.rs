//! The task that leads the placement while this node holds the lease.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, Order, OrderAction, OrderAnswer};
use barleyspar_loading::{
    ClusterDemand, KnownSizes, Lease, ModelSizes, PlannedOrder, Planner, RunnerView,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::context::Context;
use crate::peers::{PeerHandle, demand_valid_for};
use crate::placement::inventories::{inventory, split_into_messages};
use crate::placement::lease::order_holder;
use crate::placement::order::{OrderResult, ReportError, ReportResult, read_report, send_order};
use crate::placement::reading_speeds::ReadingSpeedsReader;
use crate::placement::runners::Runners;
use crate::placement::summary::log_step;
use crate::placement::tracked_runner::{
    apply_accepted_order, apply_report, load_time, note_possible_load, ordered_spec,
};
use crate::placement::{Command, PlacementHandle, PlacementInbox, RecordedSizes};
use crate::runner_call::CallError;

/// Time after which the leader's task takes a step even if nothing has changed.
const TICK: Duration = Duration::from_millis(100);
/// Minimum pause after a planning step, as a multiple of the step's duration: demand
/// comes from hundreds of nodes, and a step per message would leave no time for orders.
const PLANNING_PAUSE_FACTOR: u32 = 2;
/// Delay between an order's expected end and the first read of the runner's report. A
/// report from before the order has a lower sequence number and is read again.
const REPORT_LAG: Duration = Duration::from_millis(80);
/// Delay between an order's expected end and the first read of a rate-limited runner's
/// report: late enough that this report shows the order's result.
const LIMITED_REPORT_LAG: Duration = Duration::from_millis(300);
/// Time between two steps of the leader's task above which the process counts as frozen
/// in between.
const FREEZE: Duration = Duration::from_millis(500);
/// Time without orders after a freeze: if another node has become the leader meanwhile,
/// this node learns of it.
const NO_ORDERS_AFTER_FREEZE: Duration = Duration::from_millis(700);
/// Minimum time between two publications of inventories, per node of the fleet; changes
/// within this time are sent together.
const PUBLISH_PAUSE: Duration = Duration::from_millis(1);
/// Upper limit of the minimum time between two publications of inventories, since nodes
/// learn of a new replica that much later. Where relays forward the messages, the
/// leader sends to few nodes, however large the fleet is.
const MAX_PUBLISH_PAUSE: Duration = Duration::from_millis(40);
/// Minimum time between two log lines on planning steps: one a second is enough to
/// explain a cold start, and adds little to the lines on orders.
const SUMMARY_PAUSE: Duration = Duration::from_secs(1);
/// Delay before a report is read again after a read failed or the runner could not be
/// reached.
const REPORT_RETRY: Duration = Duration::from_millis(500);

/// Leads the placement while this node holds the lease: reads reports, plans, gives
/// orders and publishes inventories.
pub struct PlacementTask {
    context: Context,
    planner: Planner,
    demand: ClusterDemand,
    reading_speeds: ReadingSpeedsReader,
    configuration: Arc<Configuration>,
    runners: Runners,
    /// The era of the store that showed the latest record of models' sizes.
    sizes_era: u32,
    recorded_sizes: ModelSizes,
    known_sizes: KnownSizes,
    /// Set to the sizes to be put on record while this node leads; `None` otherwise.
    wanted_sizes: watch::Sender<Option<ModelSizes>>,
    lease: watch::Receiver<Option<Lease>>,
    /// The fencing token of the lease under which this node leads; `None` while it does
    /// not lead.
    leading_token: Option<u64>,
    /// The highest token of this node that a runner rejected in favour of a higher one;
    /// orders need a higher token.
    fenced_token: u64,
    /// Ids of runners whose inventories have yet to be sent to the other nodes.
    unpublished: BTreeSet<Arc<str>>,
    /// When a planning step was last logged; `None` before the first one.
    summary_logged_at: Option<Instant>,
    peers: PeerHandle,
    handle: PlacementHandle,
    inbox: mpsc::UnboundedReceiver<Command>,
}

impl PlacementTask {
    /// Creates a task that gives orders while `lease` is held. It sets `wanted_sizes` to the
    /// sizes of models that must be on record.
    pub fn new(
        context: Context,
        planner: Planner,
        lease: watch::Receiver<Option<Lease>>,
        peers: PeerHandle,
        wanted_sizes: watch::Sender<Option<ModelSizes>>,
        handle: PlacementHandle,
        inbox: PlacementInbox,
    ) -> Self {
        Self {
            context,
            planner,
            demand: ClusterDemand::default(),
            reading_speeds: ReadingSpeedsReader::default(),
            configuration: Arc::default(),
            runners: Runners::default(),
            sizes_era: 0,
            recorded_sizes: ModelSizes::default(),
            known_sizes: KnownSizes::default(),
            wanted_sizes,
            lease,
            leading_token: None,
            fenced_token: 0,
            unpublished: BTreeSet::new(),
            summary_logged_at: None,
            peers,
            handle,
            inbox: inbox.0,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut next_step = Instant::now() + TICK;
        let mut planning_paused_until = Instant::now();
        let mut stepped_at = None;
        let mut quiet_until = Instant::now();
        let mut next_publication = Instant::now();
        // The lease's sender is dropped when the process is asked to stop.
        let mut lease_over = false;
        loop {
            let mut lease = self.lease.clone();
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                changed = lease.changed(), if !lease_over => lease_over = changed.is_err(),
                () = sleep_until(next_step), if self.leading_token.is_some() => {}
                () = sleep_until(next_publication), if !self.unpublished.is_empty() => {
                    self.send_inventories();
                    next_publication = Instant::now() + self.publish_pause();
                    continue;
                }
            }
            while let Ok(command) = self.inbox.try_recv() {
                self.handle_command(command);
            }
            self.follow_lease();
            if self.leading_token.is_some() {
                if stepped_at.is_some_and(|at: Instant| at.elapsed() > FREEZE) {
                    quiet_until = Instant::now() + NO_ORDERS_AFTER_FREEZE;
                }
                self.read_reports();
                self.reading_speeds
                    .read_if_due(&self.context.dispatch, &self.handle);
                let began = Instant::now();
                if began >= quiet_until && began >= planning_paused_until {
                    self.plan_orders();
                    planning_paused_until =
                        Instant::now() + began.elapsed() * PLANNING_PAUSE_FACTOR;
                }
            }
            // Only a leader takes a step in every tick, so only its pauses show a
            // freeze.
            stepped_at = self.leading_token.map(|_| Instant::now());
            next_step = Instant::now() + TICK;
            if planning_paused_until > Instant::now() {
                next_step = planning_paused_until;
            }
        }
    }

    fn publish_pause(&self) -> Duration {
        let pause = PUBLISH_PAUSE * self.context.dispatch.member_count();
        pause.min(MAX_PUBLISH_PAUSE)
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Configure(configuration) => {
                self.runners
                    .keep_capacities(&self.configuration, &configuration);
                self.configuration = configuration;
                if self.leading_token.is_some() {
                    self.runners.track_engines(&self.configuration);
                    self.runners.raise_ordered_sizes(&self.configuration);
                }
                self.update_known_sizes();
            }
            Command::RecordedSizes(recorded) => self.apply_recorded_sizes(recorded),
            Command::UpdateRunner(runner) => {
                let leads = self.leading_token.is_some();
                self.runners.update(runner, &self.configuration, leads);
            }
            Command::RemoveRunner(id) => self.runners.remove(&id),
            Command::SetEvacuated(zones) => self.runners.set_evacuated(zones),
            Command::RetainRunners(kept) => self.runners.retain(&kept),
            Command::Demand(node, items, unreachable) => {
                let valid_for = demand_valid_for(self.context.dispatch.member_count());
                self.demand.update(node, items, valid_for, now());
                self.runners.reread_unreachable(&unreachable);
            }
            Command::Prompts(node, items) => {
                let valid_for = demand_valid_for(self.context.dispatch.member_count());
                self.demand.update_prompts(node, items, valid_for, now());
            }
            Command::Streams(node, items) => {
                let valid_for = demand_valid_for(self.context.dispatch.member_count());
                self.demand.update_streams(node, items, valid_for, now());
            }
            Command::Inventories(inventories) => {
                for inventory in &inventories {
                    self.runners.note_published(inventory);
                }
            }
            Command::ReadingSpeeds(speeds) => self.runners.set_reading_speeds(&speeds),
            Command::Ordered(result) => self.handle_order_result(result),
            Command::Reported(result) => self.handle_report(result),
        }
    }

    /// Uses the record of models' sizes that the store shows. A store restored from a backup
    /// may show an older record, so that the sizes known before stay.
    fn apply_recorded_sizes(&mut self, recorded: RecordedSizes) {
        let mut sizes = recorded.sizes;
        if recorded.era > self.sizes_era {
            sizes.raise(&self.recorded_sizes);
        }
        self.sizes_era = recorded.era;
        self.recorded_sizes = sizes;
        self.update_known_sizes();
    }

    fn update_known_sizes(&mut self) {
        self.known_sizes = KnownSizes::new(self.recorded_sizes.clone(), &self.configuration);
        self.want_sizes(self.known_sizes.bounds().clone());
    }

    /// Has `sizes` put on record if this node leads.
    fn want_sizes(&self, sizes: ModelSizes) {
        let wanted = self.leading_token.map(|_| sizes);
        self.wanted_sizes.send_if_modified(|present| {
            let is_new = *present != wanted;
            *present = wanted;
            is_new
        });
    }

    /// Drops and lowers the recorded sizes that no held copy needs.
    fn settle_sizes(&self) {
        if self.known_sizes.are_as_listed() {
            return;
        }
        let mut sizes = self.known_sizes.bounds().clone();
        sizes.settle(
            &self.configuration,
            &self.runners.held_copies(&self.configuration),
        );
        self.want_sizes(sizes);
    }

    /// Starts or stops leading when the lease was acquired or lost.
    fn follow_lease(&mut self) {
        let token = self
            .lease
            .borrow_and_update()
            .map(|lease| lease.fencing_token);
        if token == self.leading_token {
            return;
        }
        self.leading_token = token;
        self.context.metrics.set_leading(token.is_some());
        self.planner.reset(now());
        match token {
            Some(_) => self.runners.start_leading(&self.configuration),
            None => self.runners.stop_leading(),
        }
        self.update_known_sizes();
    }

    fn read_reports(&mut self) {
        let now = Instant::now();
        for entry in self.runners.tracked_mut() {
            let due = entry.report_at.is_some_and(|at| at <= now);
            if !due || entry.report_in_progress || !entry.view.available {
                continue;
            }
            entry.report_in_progress = true;
            entry.report_requested_at = Instant::now();
            entry.report_at = None;
            let (context, runner) = (self.context.clone(), entry.runner.clone());
            let handle = self.handle.clone();
            crate::tasks::spawn(async move {
                handle.send(Command::Reported(read_report(context, runner).await));
            });
        }
    }

    fn handle_report(&mut self, result: ReportResult) {
        let Some(entry) = self.runners.get_mut(&result.runner) else {
            return;
        };
        entry.report_in_progress = false;
        entry.view.report_unread = false;
        let report = match result.report {
            Ok(report) => report,
            Err(ReportError::Call(CallError::NotBefore(wait))) => {
                entry.no_calls_until = Instant::now().checked_add(wait);
                entry.report_at = entry.no_calls_until;
                return;
            }
            Err(cause) => {
                tracing::info!(event = "report_failed", runner = &*result.runner, %cause);
                entry.view.report_known = false;
                entry.view.reachable = false;
                entry.report_at = Some(Instant::now() + REPORT_RETRY);
                return;
            }
        };
        tracing::info!(
            event = "report",
            runner = &*result.runner,
            sequence = report.sequence,
            known_sequence = entry.view.sequence,
            busy = report.busy,
            models = report.models.len(),
            pending = report.pending_adapters.len(),
            in_memory = report.copies.memory.len(),
            on_disk = report.copies.disk.len()
        );
        if report.sequence < entry.view.sequence {
            entry.report_at = Some(Instant::now() + entry.report_retry_delay());
            return;
        }
        apply_report(entry, report);
        self.publish_runner(&result.runner);
    }

    /// Updates a runner's inventory in this node's dispatcher, and queues it for the
    /// other nodes.
    fn publish_runner(&mut self, runner: &Arc<str>) {
        if let Some(entry) = self.runners.get(runner) {
            self.context
                .dispatch
                .apply_inventory(inventory(&entry.view));
            self.unpublished.insert(runner.clone());
        }
    }

    /// Sends the queued inventories to all nodes.
    fn send_inventories(&mut self) {
        let unpublished = std::mem::take(&mut self.unpublished);
        let entries = unpublished
            .iter()
            .filter_map(|runner| self.runners.get(runner));
        let inventories = entries.map(|entry| inventory(&entry.view)).collect();
        for message in split_into_messages(inventories) {
            self.peers.publish_inventories(message);
        }
    }

    fn plan_orders(&mut self) {
        let lease = *self.lease.borrow();
        let may_order =
            |lease: &Lease| lease.may_order(now()) && lease.fencing_token > self.fenced_token;
        let Some(lease) = lease.filter(may_order) else {
            return;
        };
        self.runners
            .set_draining(&self.context.dispatch.draining_runners());
        self.runners
            .set_limits(&self.context.dispatch.advertised_limits());
        self.runners.forget_late_loads();
        let mut views: Vec<RunnerView> = self
            .runners
            .tracked()
            .map(|entry| entry.view.clone())
            .collect();
        let orders = self.planner.plan(
            &self.configuration,
            &self.known_sizes,
            &mut views,
            &mut self.demand,
            now(),
        );
        self.runners.request_reports(self.planner.reports_needed());
        for order in orders {
            self.send_order(order, lease.fencing_token);
        }
        if self
            .summary_logged_at
            .is_none_or(|at| at.elapsed() >= SUMMARY_PAUSE)
        {
            self.summary_logged_at = Some(Instant::now());
            self.planner.summaries().iter().for_each(log_step);
            self.settle_sizes();
        }
    }

    fn send_order(&mut self, planned: PlannedOrder, token: u64) {
        let Some(entry) = self.runners.get_mut(&planned.runner) else {
            return;
        };
        if entry.order_in_progress {
            return;
        }
        entry.order_in_progress = true;
        let duration = load_time(&self.configuration, &entry.view, &planned.action) + REPORT_LAG;
        entry.view.busy_until = Some(now() + duration);
        entry.view.order_in_progress = Some(planned.action.clone());
        let spec = ordered_spec(&self.configuration, &entry.view, &planned.action);
        entry.loading_mb = spec.map(|spec| spec.weights_mb);
        entry.report_at = None;
        let order = Order {
            runner: entry.runner.name.clone(),
            action: planned.action,
            holder: order_holder(&self.context),
            fencing_token: token,
            expected_sequence: entry.view.sequence,
        };
        tracing::info!(
            event = "order",
            runner = &*order.runner,
            action = order.action.name(),
            model = &**order.action.model(),
            adapter = order.action.adapter().map(|name| &**name),
            source = ?planned.source,
            free_mb = planned.free_mb,
            wanted_by = &*planned.wanted_by,
            token,
            sequence = order.expected_sequence
        );
        let (context, runner) = (self.context.clone(), entry.runner.clone());
        let (handle, lease) = (self.handle.clone(), self.lease.clone());
        // The inventory is published before the runner answers the order, since
        // requests wait for a model only once its load was ordered.
        self.publish_runner(&planned.runner);
        crate::tasks::spawn(async move {
            handle.send(Command::Ordered(
                send_order(context, runner, order, lease).await,
            ));
        });
    }

    fn handle_order_result(&mut self, result: OrderResult) {
        let outcome = if result.answer.is_ok() {
            "answered"
        } else {
            "unanswered"
        };
        self.context
            .metrics
            .order_ended(result.order.action.name(), outcome);
        let Some(entry) = self.runners.get_mut(&result.runner) else {
            return;
        };
        entry.order_in_progress = false;
        let load_time = load_time(&self.configuration, &entry.view, &result.order.action);
        let report_lag = if entry.view.rate_limit.is_some() {
            LIMITED_REPORT_LAG
        } else {
            REPORT_LAG
        };
        let action = result.order.action.name();
        if matches!(result.answer, Ok(OrderAnswer::Fenced)) {
            let token = result.order.fencing_token;
            tracing::info!(event = "fenced", runner = &*result.runner, token);
            self.fenced_token = self.fenced_token.max(token);
        }
        match &result.answer {
            Ok(answer) => {
                tracing::info!(event = "order_answered", runner = &*result.runner, action, answer = ?answer);
            }
            Err(error) => {
                tracing::info!(event = "order_unanswered", runner = &*result.runner, action, %error);
            }
        }
        if !matches!(result.answer, Ok(OrderAnswer::Accepted)) {
            entry.loading_mb = None;
        }
        let later = |delay: Duration| Some(Instant::now() + delay);
        match result.answer {
            Ok(OrderAnswer::Accepted | OrderAnswer::AlreadyHolds) => {
                apply_accepted_order(entry, &result.order);
                entry.report_at = later(load_time + report_lag);
            }
            Err(CallError::Unreachable(_)) => {
                entry.view.order_in_progress = None;
                entry.view.report_known = false;
                entry.view.reachable = false;
                entry.report_at = later(REPORT_RETRY);
            }
            Err(CallError::NotBefore(wait)) => {
                entry.view.order_in_progress = None;
                entry.no_calls_until = Instant::now().checked_add(wait);
                entry.report_at = entry.no_calls_until;
            }
            Err(CallError::NotSent(_)) => {
                entry.view.order_in_progress = None;
                entry.report_at = later(entry.report_retry_delay());
            }
            Ok(_) | Err(CallError::Unanswered(_)) => {
                if let (Err(_), OrderAction::LoadModel { model }) =
                    (&result.answer, &result.order.action)
                {
                    note_possible_load(&mut entry.view, model, result.order.expected_sequence);
                }
                entry.view.report_known = false;
                entry.report_at = later(REPORT_LAG);
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
