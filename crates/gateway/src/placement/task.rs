//! The task that leads the placement while this node holds the lease.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, Order, OrderAnswer};
use barleyspar_loading::{DemandBook, Lease, PlannedOrder, Planner, RunnerView};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::context::Context;
use crate::peers::{PeerHandle, demand_believed_for};
use crate::placement::entry::{accepted, load_time, take_report};
use crate::placement::inventories::{inventory, parts};
use crate::placement::lease::holder;
use crate::placement::order::{
    CallError, OrderResult, ReportError, ReportResult, give, read_report,
};
use crate::placement::runners::Runners;
use crate::placement::summary::tell;
use crate::placement::{Command, PlacementHandle, PlacementInbox};

/// Longest time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(100);
/// Shortest such time, in the times that the last look took: demand comes from
/// hundreds of nodes, and a look at each message would leave no time for orders.
const REST_PART: u32 = 2;
/// Time after an order's expected end at which its runner's report is read first;
/// one that is older than the order has a lower number, and is read again.
const REPORT_LAG: Duration = Duration::from_millis(80);
/// The same at a rate-limited runner: late enough that the first report tells of the order.
const LIMITED_REPORT_LAG: Duration = Duration::from_millis(300);
/// Pause in the task's own steps after which it must have been frozen.
const FREEZE: Duration = Duration::from_millis(500);
/// Time after a freeze without orders, to hear of a successor.
const QUIET_AFTER_FREEZE: Duration = Duration::from_millis(700);
/// Shortest time between two messages of what runners hold, for each node that
/// they go to: what changes within it goes together.
const PUBLISH_PAUSE: Duration = Duration::from_millis(1);
/// The longest such time. Nodes learn of a replica this much later; where relays
/// pass messages on, the leader sends to few, however many nodes there are.
const LONGEST_PUBLISH_PAUSE: Duration = Duration::from_millis(40);
/// Time between two lines on what the planner's steps see: one a second is enough
/// to explain a cold start, and nothing beside the orders' lines.
const SUMMARY_PAUSE: Duration = Duration::from_secs(1);
/// Time until a runner that gave no report is asked again.
const REPORT_RETRY: Duration = Duration::from_millis(500);

/// The task.
pub struct PlacementTask {
    context: Context,
    planner: Planner,
    book: DemandBook,
    configuration: Arc<Configuration>,
    runners: Runners,
    lease: watch::Receiver<Option<Lease>>,
    leading: Option<u64>,
    /// Highest token of ours that a runner refused for a higher one.
    fenced_token: u64,
    /// Runners of which other nodes have yet to be told.
    unpublished: BTreeSet<Arc<str>>,
    /// When the log told last what a step saw.
    told_at: Option<Instant>,
    peers: PeerHandle,
    handle: PlacementHandle,
    inbox: mpsc::UnboundedReceiver<Command>,
}

impl PlacementTask {
    /// A task that orders while `lease` is held.
    pub fn new(
        context: Context,
        planner: Planner,
        lease: watch::Receiver<Option<Lease>>,
        peers: PeerHandle,
        handle: PlacementHandle,
        inbox: PlacementInbox,
    ) -> Self {
        Self {
            context,
            planner,
            book: DemandBook::default(),
            configuration: Arc::default(),
            runners: Runners::default(),
            lease,
            leading: None,
            fenced_token: 0,
            unpublished: BTreeSet::new(),
            told_at: None,
            peers,
            handle,
            inbox: inbox.0,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut next = Instant::now() + TICK;
        let mut rests_until = Instant::now();
        let mut stepped_at = None;
        let mut quiet_until = Instant::now();
        let mut next_publication = Instant::now();
        // The keeper of the lease ends when the process is told to stop.
        let mut lease_over = false;
        loop {
            let mut lease = self.lease.clone();
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                changed = lease.changed(), if !lease_over => lease_over = changed.is_err(),
                () = sleep_until(next), if self.leading.is_some() => {}
                () = sleep_until(next_publication), if !self.unpublished.is_empty() => {
                    self.publish_all();
                    next_publication = Instant::now() + self.publish_pause();
                    continue;
                }
            }
            while let Ok(command) = self.inbox.try_recv() {
                self.command(command);
            }
            self.follow_lease();
            if self.leading.is_some() {
                if stepped_at.is_some_and(|at: Instant| at.elapsed() > FREEZE) {
                    quiet_until = Instant::now() + QUIET_AFTER_FREEZE;
                }
                self.read_reports();
                let began = Instant::now();
                if began >= quiet_until && began >= rests_until {
                    self.order();
                    rests_until = Instant::now() + began.elapsed() * REST_PART;
                }
            }
            // Only a leader takes a step every tick.
            stepped_at = self.leading.map(|_| Instant::now());
            next = Instant::now() + TICK;
            if rests_until > Instant::now() {
                next = rests_until;
            }
        }
    }

    fn publish_pause(&self) -> Duration {
        let pause = PUBLISH_PAUSE * self.context.dispatch.nodes();
        pause.min(LONGEST_PUBLISH_PAUSE)
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Configure(configuration) => {
                self.configuration = configuration;
                if self.leading.is_some() {
                    self.runners.cover(&self.configuration);
                }
            }
            Command::UpdateRunner(runner) => {
                let leads = self.leading.is_some();
                self.runners.update(runner, &self.configuration, leads);
            }
            Command::RemoveRunner(id) => self.runners.remove(&id),
            Command::SetEvacuated(zones) => self.runners.set_evacuated(zones),
            Command::RetainRunners(kept) => self.runners.retain(&kept),
            Command::Demand(node, items, unreachable) => {
                let believed_for = demand_believed_for(self.context.dispatch.nodes());
                self.book.update(node, items, believed_for, now());
                self.runners.doubt(&unreachable);
            }
            Command::Ordered(result) => self.ordered(result),
            Command::Reported(result) => self.reported(result),
        }
    }

    /// Begins or ends leading as the lease says.
    fn follow_lease(&mut self) {
        let token = self.lease.borrow_and_update().map(|lease| lease.token);
        if token == self.leading {
            return;
        }
        self.leading = token;
        self.context.metrics.leads(token.is_some());
        self.planner.restart(now());
        match token {
            Some(_) => self.runners.lead(&self.configuration),
            None => self.runners.rest(),
        }
    }

    fn read_reports(&mut self) {
        let now = Instant::now();
        for entry in self.runners.led_mut() {
            let due = entry.report_at.is_some_and(|at| at <= now);
            if !due || entry.asking || !entry.view.open {
                continue;
            }
            entry.asking = true;
            entry.looked_at = Instant::now();
            entry.report_at = None;
            let (context, runner) = (self.context.clone(), entry.runner.clone());
            let handle = self.handle.clone();
            crate::tasks::spawn(async move {
                handle.send(Command::Reported(read_report(context, runner).await));
            });
        }
    }

    fn reported(&mut self, result: ReportResult) {
        let Some(entry) = self.runners.get_mut(&result.runner) else {
            return;
        };
        entry.asking = false;
        entry.view.unread = false;
        let report = match result.report {
            Ok(report) => report,
            Err(ReportError::Call(CallError::HeldBack(wait))) => {
                entry.held_back_until = Instant::now().checked_add(wait);
                entry.report_at = entry.held_back_until;
                return;
            }
            Err(cause) => {
                tracing::info!(event = "report_failed", runner = &*result.runner, %cause);
                entry.view.reported = false;
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
            entry.report_at = Some(Instant::now() + entry.report_again());
            return;
        }
        take_report(entry, report);
        self.publish(&result.runner);
    }

    /// Takes in at this node what a runner holds, and notes it for the others.
    fn publish(&mut self, runner: &Arc<str>) {
        if let Some(entry) = self.runners.get(runner) {
            self.context.dispatch.update_models(inventory(&entry.view));
            self.unpublished.insert(runner.clone());
        }
    }

    /// Tells all nodes what runners hold.
    fn publish_all(&mut self) {
        let unpublished = std::mem::take(&mut self.unpublished);
        let entries = unpublished
            .iter()
            .filter_map(|runner| self.runners.get(runner));
        let inventories = entries.map(|entry| inventory(&entry.view)).collect();
        for part in parts(inventories) {
            self.peers.publish(part);
        }
    }

    fn order(&mut self) {
        let lease = *self.lease.borrow();
        let may_order = |lease: &Lease| lease.may_order(now()) && lease.token > self.fenced_token;
        let Some(lease) = lease.filter(may_order) else {
            return;
        };
        self.runners.set_leaving(&self.context.dispatch.leaving());
        self.runners.set_limits(&self.context.dispatch.limits());
        let mut views: Vec<RunnerView> =
            self.runners.led().map(|entry| entry.view.clone()).collect();
        let orders = self
            .planner
            .plan(&self.configuration, &mut views, &mut self.book, now());
        self.runners.look(self.planner.looks());
        for order in orders {
            self.give(order, lease.token);
        }
        if self.told_at.is_none_or(|at| at.elapsed() >= SUMMARY_PAUSE) {
            self.told_at = Some(Instant::now());
            self.planner.summaries().iter().for_each(tell);
        }
    }

    fn give(&mut self, planned: PlannedOrder, token: u64) {
        let Some(entry) = self.runners.get_mut(&planned.runner) else {
            return;
        };
        if entry.ordering {
            return;
        }
        entry.ordering = true;
        let takes = load_time(&self.configuration, &entry.view, &planned.action) + REPORT_LAG;
        entry.view.busy_until = Some(now() + takes);
        entry.view.ordered = Some(planned.action.clone());
        entry.report_at = None;
        let order = Order {
            runner: entry.runner.name.clone(),
            action: planned.action,
            holder: holder(&self.context),
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
            wanted_by = &*planned.wanted_by,
            token,
            sequence = order.expected_sequence
        );
        let (context, runner) = (self.context.clone(), entry.runner.clone());
        let (handle, lease) = (self.handle.clone(), self.lease.clone());
        // What is on its way, too: requests wait only for what was ordered.
        self.publish(&planned.runner);
        crate::tasks::spawn(async move {
            handle.send(Command::Ordered(give(context, runner, order, lease).await));
        });
    }

    fn ordered(&mut self, result: OrderResult) {
        let outcome = if result.answer.is_ok() {
            "answered"
        } else {
            "unanswered"
        };
        self.context
            .metrics
            .order(result.order.action.name(), outcome);
        let Some(entry) = self.runners.get_mut(&result.runner) else {
            return;
        };
        entry.ordering = false;
        let load_time = load_time(&self.configuration, &entry.view, &result.order.action);
        let report_lag = if entry.view.limit.is_some() {
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
        let later = |delay: Duration| Some(Instant::now() + delay);
        match result.answer {
            Ok(OrderAnswer::Accepted | OrderAnswer::AlreadyHolds) => {
                accepted(entry, &result.order);
                entry.report_at = later(load_time + report_lag);
            }
            Err(CallError::Unreachable(_)) => {
                entry.view.ordered = None;
                entry.view.reported = false;
                entry.view.reachable = false;
                entry.report_at = later(REPORT_RETRY);
            }
            Err(CallError::HeldBack(wait)) => {
                entry.view.ordered = None;
                entry.held_back_until = Instant::now().checked_add(wait);
                entry.report_at = entry.held_back_until;
            }
            Err(CallError::NotSent(_)) => {
                entry.view.ordered = None;
                entry.report_at = later(entry.report_again());
            }
            Ok(_) | Err(CallError::Unanswered(_)) => {
                entry.view.reported = false;
                entry.report_at = later(REPORT_LAG);
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
