//! The dispatcher's task ([`task`]), and handles to it.

mod task;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use barleyspar_catalog::{Configuration, Route, Runner, RunnerLimit};
use barleyspar_dispatch::{
    AdvertisedLimit, BudgetLimits, DemandItem, Grant, Inventory, LeavingNews, LimitNews, Outcome,
    PermitId, Query, RatePermitAnswer, Refusal, RunnerKey,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

pub use task::start;

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
    HearLimit(Arc<str>, AdvertisedLimit),
    HearLimits(Vec<LimitNews>),
    HearLeaving(Arc<str>),
    HearPause(Arc<str>, Duration),
    HearLeavingNews(Vec<LeavingNews>),
    TakeRatePermit(Arc<str>, RatePermitAnswer),
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
    /// Runners that said that they leave.
    pub leaving: Vec<LeavingNews>,
}

/// What runners said last of their limits, those that named one.
pub type Limits = Arc<BTreeMap<Arc<str>, AdvertisedLimit>>;

/// Runners that said that they leave.
pub type LeavingRunners = Arc<BTreeSet<Arc<str>>>;

/// When the pauses end that runners asked this node for.
pub type RunnerPauses = Arc<BTreeMap<Arc<str>, std::time::Instant>>;

/// A runner that this node wants to call, and the limit that it named.
pub type RatePermitWanted = (Arc<str>, RunnerLimit);

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
    leaving: watch::Receiver<LeavingRunners>,
    pauses: watch::Receiver<RunnerPauses>,
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
    pub fn hear_limit(&self, id: Arc<str>, advertised: AdvertisedLimit) {
        self.send(Command::HearLimit(id, advertised));
    }

    /// Takes in what another node heard of runners' limits.
    pub fn hear_limits(&self, news: Vec<LimitNews>) {
        if !news.is_empty() {
            self.send(Command::HearLimits(news));
        }
    }

    /// Takes in that the runner `id` said that it leaves.
    pub fn hear_leaving(&self, id: Arc<str>) {
        self.send(Command::HearLeaving(id));
    }

    /// Takes in what another node heard of leaving runners.
    pub fn hear_leaving_news(&self, news: Vec<LeavingNews>) {
        if !news.is_empty() {
            self.send(Command::HearLeavingNews(news));
        }
    }

    /// Takes in that the runner `id` wants nothing of this node for `pause`.
    pub fn hear_pause(&self, id: Arc<str>, pause: Duration) {
        self.send(Command::HearPause(id, pause));
    }

    /// How much longer the runner `id` wants nothing of this node, if it does.
    pub fn pause_left(&self, id: &str) -> Option<Duration> {
        let end = self.pauses.borrow().get(id).copied()?;
        let left = end.saturating_duration_since(Instant::now().into_std());
        (!left.is_zero()).then_some(left)
    }

    /// Takes in whether the runner `id` may be called.
    pub fn take_rate_permit(&self, id: Arc<str>, answer: RatePermitAnswer) {
        self.send(Command::TakeRatePermit(id, answer));
    }

    /// What runners said last of their limits.
    pub fn limits(&self) -> Limits {
        self.limits.borrow().clone()
    }

    /// The runners that said that they leave.
    pub fn leaving(&self) -> LeavingRunners {
        self.leaving.borrow().clone()
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
