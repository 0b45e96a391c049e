//! The task that owns the dispatcher, and handles to it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use barleyspar_catalog::{Configuration, Route, Runner, RunnerLimit};
use barleyspar_dispatch::{
    Acquired, BudgetLimits, DemandItem, Dispatcher, Grant, Inventory, LeaveAnswer, LimitChange,
    LimitNews, LimitWord, Outcome, PermitId, Query, Refusal, RunnerKey, Splitter, Ticket,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::journal;

/// Time between two looks at the queue when nothing happens.
const LONGEST_PAUSE: Duration = Duration::from_secs(3600);

/// The same while requests wait: what a runner refused is tried again after a
/// while, and no message says so.
const WAITING_PAUSE: Duration = Duration::from_millis(200);

/// Time by which a timer is set late, so that what it waits for is there.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// A request's place in the queue, chosen by the request.
type CallId = u64;

/// Leave to send one attempt to one runner. Dropping it gives it back.
#[derive(Debug)]
pub struct Permit {
    grant: Grant,
    handle: DispatchHandle,
    finished: bool,
}

impl Permit {
    /// The runner.
    pub fn runner(&self) -> &Arc<Runner> {
        &self.grant.runner
    }

    /// Runners that could have been taken.
    pub fn candidates(&self) -> usize {
        self.grant.candidates
    }

    /// Attempts at the runner before this one.
    pub fn in_flight(&self) -> u32 {
        self.grant.in_flight
    }

    /// Whether the runner was known to name a limit.
    pub fn is_limited(&self) -> bool {
        self.grant.limited
    }

    /// Whether the runner still takes new work.
    pub fn is_open(&self) -> bool {
        self.grant.open.load(Ordering::Relaxed)
    }

    /// Tells how the attempt goes while it goes on.
    pub fn observe(&self, outcome: Outcome) {
        self.handle
            .send(Command::Observe(self.grant.permit, outcome));
    }

    /// Gives the permit back.
    pub fn finish(mut self, outcome: Outcome) {
        self.finished = true;
        self.handle
            .send(Command::Finish(self.grant.permit, outcome));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.finished {
            self.handle
                .send(Command::Finish(self.grant.permit, Outcome::Abandoned));
        }
    }
}

enum Command {
    Acquire {
        call: CallId,
        query: Box<Query>,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
    },
    Cancel(CallId),
    Finish(PermitId, Outcome),
    Observe(PermitId, Outcome),
    Split(Arc<Route>, oneshot::Sender<Arc<str>>),
    Configure(Arc<Configuration>),
    UpdateRunner(Arc<Runner>),
    RemoveRunner(Arc<str>),
    RetainRunners(Vec<Arc<str>>),
    UpdateModels(Inventory),
    PeerLoad(Arc<str>, Vec<(RunnerKey, u32)>, Duration),
    HearLimit(Arc<str>, LimitWord),
    HearLimits(Vec<LimitNews>),
    TakeLeave(Arc<str>, LeaveAnswer),
    SetMembers(Vec<Arc<str>>),
    SetEvacuated(BTreeMap<Arc<str>, Instant>),
    SetLimits(BudgetLimits),
    Snapshot(oneshot::Sender<Snapshot>),
}

/// What this node tells other nodes of itself.
#[derive(Debug)]
pub struct Snapshot {
    /// Attempts in flight by runner.
    pub load: Vec<(RunnerKey, u32)>,
    /// Runners that do not answer.
    pub unreachable: Vec<RunnerKey>,
    /// Demand by model.
    pub demand: Vec<DemandItem>,
    /// What runners said of their limits.
    pub limits: Vec<LimitNews>,
}

/// What runners said last of their limits, those that named one.
pub type Limits = Arc<BTreeMap<Arc<str>, LimitWord>>;

/// A runner that this node wants to call, and the limit that it named.
pub type LeaveWanted = (Arc<str>, RunnerLimit);

/// What changes without a message and is read often.
#[derive(Debug, Default)]
struct Shared {
    nodes: AtomicU32,
    calls: AtomicU64,
}

/// A handle to the dispatcher's task.
#[derive(Debug, Clone)]
pub struct DispatchHandle {
    // Bounded by the requests in flight: each has one command on its way.
    commands: mpsc::UnboundedSender<Command>,
    shared: Arc<Shared>,
    limits: watch::Receiver<Limits>,
}

/// Cancels a call that is dropped while it waits; no effect once it is answered.
struct CancelOnDrop<'a> {
    handle: &'a DispatchHandle,
    call: CallId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.handle.send(Command::Cancel(self.call));
    }
}

impl DispatchHandle {
    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }

    /// Asks for a runner; waits as long as the dispatcher lets it.
    pub async fn acquire(&self, query: Query) -> Option<Result<Permit, Refusal>> {
        let call = self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        self.send(Command::Acquire {
            call,
            query: Box::new(query),
            reply,
        });
        let _cancel = CancelOnDrop { handle: self, call };
        answer.await.ok()
    }

    /// The backend for the next request on `route`.
    pub async fn split(&self, route: &Arc<Route>) -> Arc<str> {
        if let [only] = route.backends.as_slice() {
            return only.service.clone();
        }
        let (reply, answer) = oneshot::channel();
        self.send(Command::Split(route.clone(), reply));
        answer
            .await
            .unwrap_or_else(|_| route.backends[0].service.clone())
    }

    /// Puts a configuration in force.
    pub fn configure(&self, configuration: Arc<Configuration>) {
        self.send(Command::Configure(configuration));
    }

    /// Takes in a runner's entry.
    pub fn update_runner(&self, runner: Arc<Runner>) {
        self.send(Command::UpdateRunner(runner));
    }

    /// Forgets a runner.
    pub fn remove_runner(&self, id: Arc<str>) {
        self.send(Command::RemoveRunner(id));
    }

    /// Forgets all runners but those in `kept`.
    pub fn retain_runners(&self, kept: Vec<Arc<str>>) {
        self.send(Command::RetainRunners(kept));
    }

    /// Takes in what a runner holds.
    pub fn update_models(&self, inventory: Inventory) {
        self.send(Command::UpdateModels(inventory));
    }

    /// Takes in other nodes' load, as `source` says, believed for `believed_for`.
    pub fn set_peer_load(
        &self,
        source: Arc<str>,
        load: Vec<(RunnerKey, u32)>,
        believed_for: Duration,
    ) {
        self.send(Command::PeerLoad(source, load, believed_for));
    }

    /// Takes in what the runner `id` said of its limit.
    pub fn hear_limit(&self, id: Arc<str>, word: LimitWord) {
        self.send(Command::HearLimit(id, word));
    }

    /// Takes in what another node heard of runners' limits.
    pub fn hear_limits(&self, news: Vec<LimitNews>) {
        if !news.is_empty() {
            self.send(Command::HearLimits(news));
        }
    }

    /// Takes in whether the runner `id` may be called.
    pub fn take_leave(&self, id: Arc<str>, answer: LeaveAnswer) {
        self.send(Command::TakeLeave(id, answer));
    }

    /// What runners said last of their limits.
    pub fn limits(&self) -> Limits {
        self.limits.borrow().clone()
    }

    /// Sets the nodes that share limits, this one included.
    pub fn set_members(&self, members: Vec<Arc<str>>) {
        let nodes = members.len() as u32;
        self.shared.nodes.store(nodes, Ordering::Relaxed);
        self.send(Command::SetMembers(members));
    }

    /// Takes in which zones the operators evacuate, and until when the runners of
    /// each still serve what no others can.
    pub fn set_evacuated(&self, zones: BTreeMap<Arc<str>, Instant>) {
        self.send(Command::SetEvacuated(zones));
    }

    /// Changes what all nodes together may spend on retries.
    pub fn set_limits(&self, limits: BudgetLimits) {
        self.send(Command::SetLimits(limits));
    }

    /// Nodes that share limits.
    pub fn nodes(&self) -> u32 {
        self.shared.nodes.load(Ordering::Relaxed).max(1)
    }

    /// This node's load and demand.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Snapshot(reply));
        answer.await.ok()
    }
}

/// Starts the task. `urgent` is notified when a request begins to wait; `leaves` gets
/// the runners in need for which leave is wanted.
pub fn start(
    dispatcher: Dispatcher,
    urgent: Arc<tokio::sync::Notify>,
    leaves: mpsc::UnboundedSender<LeaveWanted>,
) -> DispatchHandle {
    let (commands, inbox) = mpsc::unbounded_channel();
    let (limits_sender, limits) = watch::channel(Limits::default());
    let handle = DispatchHandle {
        commands,
        shared: Arc::default(),
        limits,
    };
    let task = DispatchTask {
        dispatcher,
        splitter: Splitter::default(),
        replies: HashMap::new(),
        tickets: HashMap::new(),
        handle: handle.clone(),
        urgent,
        leaves,
        limits: limits_sender,
    };
    crate::tasks::spawn(task.run(inbox));
    handle
}

struct DispatchTask {
    dispatcher: Dispatcher,
    splitter: Splitter,
    replies: HashMap<Ticket, (CallId, oneshot::Sender<Result<Permit, Refusal>>)>,
    tickets: HashMap<CallId, Ticket>,
    handle: DispatchHandle,
    urgent: Arc<tokio::sync::Notify>,
    leaves: mpsc::UnboundedSender<LeaveWanted>,
    limits: watch::Sender<Limits>,
}

impl DispatchTask {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Command>) {
        loop {
            let pause = self.pause();
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                () = tokio::time::sleep(pause) => {}
            }
            while let Ok(command) = inbox.try_recv() {
                self.handle_command(command);
            }
            self.answer_waiting();
            self.ask_leaves();
        }
    }

    fn pause(&self) -> Duration {
        let until = |at: std::time::Instant| at.saturating_duration_since(now()) + TIMER_SLACK;
        let leave = self.dispatcher.next_leave().map_or(LONGEST_PAUSE, until);
        let refusal = self.dispatcher.next_refusal();
        let refusal = refusal.map_or(LONGEST_PAUSE, |at| until(at).min(WAITING_PAUSE));
        leave.min(refusal)
    }

    /// Has the homes of limits asked for leave to call runners in need.
    fn ask_leaves(&mut self) {
        for wanted in self.dispatcher.leaves_to_ask(now()) {
            // The task that asks ends only with the process.
            let _ = self.leaves.send(wanted);
        }
    }

    /// Tells what changed of runners' limits, and everything that is known of them.
    fn tell_limits(&self, changes: impl IntoIterator<Item = LimitChange>, source: &'static str) {
        for change in changes {
            journal::runner_limit(&change, source);
        }
        let limits = self.dispatcher.limits();
        let limits = limits.map(|(id, word)| (id.clone(), word)).collect();
        self.limits.send_replace(Arc::new(limits));
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Acquire { call, query, reply } => self.acquire(call, *query, reply),
            Command::Cancel(call) => {
                if let Some(ticket) = self.tickets.remove(&call) {
                    self.replies.remove(&ticket);
                    self.dispatcher.cancel(ticket);
                }
            }
            Command::Finish(permit, outcome) => self.dispatcher.finish(permit, outcome, now()),
            Command::Observe(permit, outcome) => self.dispatcher.observe(permit, outcome, now()),
            Command::Split(route, reply) => {
                let _ = reply.send(self.splitter.pick(&route));
            }
            Command::Configure(configuration) => {
                self.splitter.retain(&configuration.routes);
                self.dispatcher.set_configuration(configuration);
            }
            Command::UpdateRunner(runner) => self.dispatcher.update_runner(runner, now()),
            Command::RemoveRunner(id) => self.dispatcher.remove_runner(&id),
            Command::RetainRunners(kept) => self.dispatcher.retain_runners(&kept),
            Command::UpdateModels(inventory) => self.dispatcher.update_models(inventory, now()),
            Command::PeerLoad(source, load, believed_for) => {
                self.dispatcher
                    .set_peer_load(source, load, believed_for, now())
            }
            Command::HearLimit(id, word) => {
                let change = self.dispatcher.hear_limit(&id, word);
                self.tell_limits(change, "runner");
            }
            Command::HearLimits(news) => {
                let changes = self.dispatcher.hear_limits(&news, now());
                self.tell_limits(changes, "node");
            }
            Command::TakeLeave(id, answer) => self.dispatcher.take_leave(&id, answer, now()),
            Command::SetLimits(limits) => self.dispatcher.set_limits(limits),
            Command::SetMembers(members) => self.dispatcher.set_members(members),
            Command::SetEvacuated(zones) => {
                let zones = zones
                    .into_iter()
                    .map(|(zone, last)| (zone, last.into_std()));
                self.dispatcher.set_evacuated(zones.collect(), now());
            }
            Command::Snapshot(reply) => {
                let _ = reply.send(Snapshot {
                    load: self.dispatcher.own_load(),
                    unreachable: self.dispatcher.unreachable(now()),
                    demand: self.dispatcher.demand(now()),
                    limits: self.dispatcher.limit_news(now()),
                });
            }
        }
    }

    fn acquire(
        &mut self,
        call: CallId,
        query: Query,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
    ) {
        match self.dispatcher.acquire(query, now()) {
            Acquired::Granted(grant) => self.reply(reply, Ok(grant)),
            Acquired::Refused(refusal) => {
                self.call_leader();
                self.reply(reply, Err(refusal));
            }
            Acquired::Waiting(ticket) => {
                self.replies.insert(ticket, (call, reply));
                self.tickets.insert(call, ticket);
                self.call_leader();
            }
        }
    }

    fn call_leader(&self) {
        self.urgent.notify_one();
    }

    fn reply(
        &self,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        answer: Result<Grant, Refusal>,
    ) {
        let answer = answer.map(|grant| Permit {
            grant,
            handle: self.handle.clone(),
            finished: false,
        });
        // A permit that nobody takes gives itself back when it is dropped.
        let _ = reply.send(answer);
    }

    fn answer_waiting(&mut self) {
        if self.dispatcher.waiting() == 0 {
            return;
        }
        for (ticket, answer) in self.dispatcher.poll(now()) {
            if let Some((call, reply)) = self.replies.remove(&ticket) {
                self.tickets.remove(&call);
                self.reply(reply, answer);
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
