//! The dispatcher's task ([`task`]) and the handles through which the rest of the
//! gateway uses it.

mod task;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use barleyspar_catalog::{Configuration, Route, Runner, RunnerLimit, SoftwareVersion};
use barleyspar_dispatch::{
    AdvertisedLimit, Arrival, BrittleUpdate, BudgetLimits, BudgetUse, DemandItem, DrainingUpdate,
    Grant, Inventory, LimitUpdate, Outcome, PermitId, PromptDemandItem, Query, RatePermitAnswer,
    Refusal, RequestNumber, RunnerKey, StreamDemandItem, VersionsByService,
};
use barleyspar_prefill::PrefillUpdate;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::prefill::PrefillPermit;

pub use task::start;

/// Identifies one call of [`DispatchHandle::acquire`], so that it can be cancelled.
type CallId = u64;

/// Permit to send one attempt to one runner. Dropping it ends the attempt with the outcome
/// [`Outcome::Abandoned`].
#[derive(Debug)]
pub struct Permit {
    grant: Grant,
    handle: DispatchHandle,
    /// Permit of the runner's prefill owner; `None` if the request needs or got none.
    prefill: Option<PrefillPermit>,
    arrival: Arrival,
    finished: bool,
}

impl Permit {
    /// Returns the runner to which the permit allows one attempt.
    pub fn runner(&self) -> &Arc<Runner> {
        &self.grant.runner
    }

    /// Returns the number of runners that were eligible when this one was chosen, this
    /// one included.
    pub fn candidates(&self) -> usize {
        self.grant.candidates
    }

    /// Returns the number of attempts in flight at the runner when the permit was granted,
    /// this one excluded.
    pub fn in_flight(&self) -> u32 {
        self.grant.in_flight
    }

    /// Returns the usual time until the first byte of the runner's answer; `None` if it is not
    /// known.
    pub fn usual_response(&self) -> Option<Duration> {
        self.grant.usual_response
    }

    /// Returns the number of prompt tokens that the runner reads a second; `None` if it is
    /// not known.
    pub fn tokens_per_second(&self) -> Option<f64> {
        self.grant.tokens_per_second
    }

    /// Returns what the decision on this retry rested on; `None` if the attempt is no retry.
    pub fn retry_budget(&self) -> Option<BudgetUse> {
        self.grant.retry_budget
    }

    /// Returns whether the runner advertised a rate limit when the permit was granted.
    pub fn runner_is_limited(&self) -> bool {
        self.grant.is_rate_limited
    }

    /// Returns whether the runner still takes new work. Turns false when the runner starts
    /// to drain, is replaced or removed, or its evacuated zone reaches the deadline.
    pub fn runner_accepts_work(&self) -> bool {
        self.grant.accepts_work.is_open(Instant::now().into_std())
    }

    /// Attaches the prefill owner's permit, which is freed when the attempt ends.
    pub fn attach_prefill(&mut self, prefill: PrefillPermit) {
        self.prefill = Some(prefill);
    }

    /// Returns the time that the prompt waited for the prefill owner's permit; `None` without
    /// one.
    pub fn prefill_wait(&self) -> Option<Duration> {
        self.prefill.as_ref().map(PrefillPermit::waited)
    }

    /// Sets what is known of the request's arrival at the runner.
    pub fn set_arrival(&mut self, arrival: Arrival) {
        self.arrival = arrival;
    }

    /// Records that the runner has begun its answer. What waits for that is told at once; else the
    /// end of the attempt tells it.
    pub fn record_answer(&mut self) {
        self.arrival = Arrival::Over;
        if self.grant.retry_budget.is_some() {
            self.handle.send(Command::RecordAnswer(self.grant.permit));
        }
    }

    /// Records that the request is now sent to the runner.
    pub fn record_sent(&mut self) {
        self.arrival = Arrival::Pending;
        if let Some(prefill) = &self.prefill {
            prefill.record_sent();
        }
    }

    /// Records that the runner has sent an event of the answer, so it has read the prompt.
    pub fn record_event(&self) {
        if let Some(prefill) = &self.prefill {
            prefill.report_read();
        }
    }

    /// Records the usual time between two events of the complete answer.
    pub fn record_pace(&self, usual_gap: Duration) {
        if let Some(prefill) = &self.prefill {
            prefill.report_pace(usual_gap);
        }
    }

    /// Reports an interim outcome of the attempt, which stays in flight.
    pub fn report_interim_outcome(&self, outcome: Outcome) {
        self.handle
            .send(Command::RecordInterimOutcome(self.grant.permit, outcome));
    }

    /// Reports the outcome of the attempt, which ends it.
    pub fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        self.finished = true;
        let (permit, arrival) = (self.grant.permit, self.arrival);
        self.handle.send(Command::Finish(permit, outcome, arrival));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.finished {
            self.end(Outcome::Abandoned);
        }
    }
}

/// A message from a [`DispatchHandle`] to the dispatcher's task.
enum Command {
    Acquire {
        call: CallId,
        query: Box<Query>,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
    },
    Cancel(CallId),
    Finish(PermitId, Outcome, Arrival),
    RecordAnswer(PermitId),
    RecordReading {
        runner: Arc<str>,
        sent_at: Instant,
    },
    RunnersToProbe(oneshot::Sender<Vec<Arc<Runner>>>),
    RecordInterimOutcome(PermitId, Outcome),
    ChooseService(Arc<Route>, oneshot::Sender<Arc<str>>),
    SetConfiguration(Arc<Configuration>),
    UpdateRunner(Arc<Runner>),
    RemoveRunner(Arc<str>),
    RetainRunners(Vec<Arc<str>>),
    ApplyInventory(Inventory),
    SetPeerLoad(Arc<str>, Vec<(RunnerKey, u32)>, Duration),
    ApplyLimit(Arc<str>, AdvertisedLimit),
    ApplyLimitUpdates(Vec<LimitUpdate>),
    RecordBrittle(Arc<str>, Option<u32>, Instant),
    ApplyBrittleUpdates(Vec<BrittleUpdate>),
    MarkDraining(Arc<str>),
    SetRequestedPause(Arc<str>, Duration),
    ApplyDrainingUpdates(Vec<DrainingUpdate>),
    ApplyRatePermitAnswer(Arc<str>, RatePermitAnswer),
    ApplyPrefillUpdates(Vec<PrefillUpdate>),
    RecordPrefillWait(RunnerKey, Duration),
    SetMembers(Vec<Arc<str>>),
    SetEvacuatedZones(BTreeMap<Arc<str>, Instant>),
    SetBudgetLimits(BudgetLimits),
    FindSoleSoftware(Arc<str>, Duration, oneshot::Sender<Option<SoftwareVersion>>),
    PresentSoftware(oneshot::Sender<VersionsByService>),
    SetSharedSoftwareRecord(VersionsByService),
    RecordUnknownSoftware,
    FindCallable(Arc<str>, oneshot::Sender<Option<Arc<Runner>>>),
    Snapshot(oneshot::Sender<Snapshot>),
    ReadingSpeeds(oneshot::Sender<Vec<(RunnerKey, f64)>>),
}

/// The part of the dispatcher's state that this node sends to other nodes.
#[derive(Debug)]
pub struct Snapshot {
    /// This node's attempts in flight by runner, without those of other nodes.
    pub load: Vec<(RunnerKey, u32)>,
    /// Runners that this node cannot reach.
    pub unreachable: Vec<RunnerKey>,
    /// Demand by model from the requests that this node serves.
    pub demand: Vec<DemandItem>,
    /// Prompt tokens by model of the requests that this node serves.
    pub prompts: Vec<PromptDemandItem>,
    /// Streams that wait at this node for a model at one software version.
    pub streams: Vec<StreamDemandItem>,
    /// Rate limits that runners advertised, as updates for other nodes.
    pub limits: Vec<LimitUpdate>,
    /// Runners that signalled that they are draining, as updates for other nodes.
    pub draining: Vec<DrainingUpdate>,
    /// Services that are brittle, or were until a moment ago, as updates for other nodes.
    pub brittle: Vec<BrittleUpdate>,
}

/// The rate limit that each runner last advertised, by runner id. Runners that
/// never advertised one are missing.
pub type AdvertisedLimits = Arc<BTreeMap<Arc<str>, AdvertisedLimit>>;

/// Names of the services whose runners are brittle.
pub type BrittleServiceNames = Arc<BTreeSet<Arc<str>>>;

/// Ids of the runners that signalled that they are draining.
pub type DrainingRunners = Arc<BTreeSet<Arc<str>>>;

/// Ends of the pauses that runners requested of this node, by runner id.
pub type RequestedPauses = Arc<BTreeMap<Arc<str>, std::time::Instant>>;

/// Request for a permit to call a rate-limited runner: the runner's id and the limit
/// that it advertised.
pub type RatePermitRequest = (Arc<str>, RunnerLimit);

/// Counters that handles read and write directly, without a message to the task.
#[derive(Debug, Default)]
struct SharedCounters {
    /// Number of nodes over which cluster-wide limits are divided; 0 before it is known.
    member_count: AtomicU32,
    /// Id of the next call of [`DispatchHandle::acquire`].
    next_call: AtomicU64,
    next_request: AtomicU64,
}

/// Handle to the dispatcher's task. Its methods send a command and, where they return
/// nothing, do not wait until the command is carried out.
#[derive(Debug, Clone)]
pub struct DispatchHandle {
    // The queue has no limit of its own. Its length is bounded by the requests in flight and
    // by the messages of peers, since the task handles each command immediately.
    commands: mpsc::UnboundedSender<Command>,
    shared: Arc<SharedCounters>,
    limits: watch::Receiver<AdvertisedLimits>,
    brittle: watch::Receiver<BrittleServiceNames>,
    draining: watch::Receiver<DrainingRunners>,
    requested_pauses: watch::Receiver<RequestedPauses>,
}

/// Cancels a call of [`DispatchHandle::acquire`] whose future is dropped while it waits. Has
/// no effect on a call that is already answered.
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
        // The dispatcher's task ends only with the process, so the command is always received.
        let _ = self.commands.send(command);
    }

    /// Records that `runner` has answered a call that was sent at `sent_at`.
    pub fn record_reading(&self, runner: Arc<str>, sent_at: Instant) {
        self.send(Command::RecordReading { runner, sent_at });
    }

    /// Returns the runners whose answer the retry budget waits for.
    pub async fn runners_to_probe(&self) -> Vec<Arc<Runner>> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::RunnersToProbe(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns a number for a client's request that no other request has.
    pub fn next_request_number(&self) -> RequestNumber {
        self.shared.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Requests a permit for a runner that can serve `query`. Waits in the queue until one is
    /// granted or the dispatcher refuses the request. Returns `None` if the dispatcher's
    /// task is gone.
    pub async fn acquire(&self, query: Query) -> Option<Result<Permit, Refusal>> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        self.send(Command::Acquire {
            call,
            query: Box::new(query),
            reply,
        });
        let _cancel = CancelOnDrop { handle: self, call };
        answer.await.ok()
    }

    /// Chooses the service for the next request on `route`, by the route's traffic split.
    pub async fn choose_service(&self, route: &Arc<Route>) -> Arc<str> {
        if let [only] = route.backends.as_slice() {
            return only.service.clone();
        }
        let (reply, answer) = oneshot::channel();
        self.send(Command::ChooseService(route.clone(), reply));
        answer
            .await
            .unwrap_or_else(|_| route.backends[0].service.clone())
    }

    /// Replaces the configuration of routes and services that the dispatcher applies.
    pub fn set_configuration(&self, configuration: Arc<Configuration>) {
        self.send(Command::SetConfiguration(configuration));
    }

    /// Adds a runner, or replaces its entry, from the runner's object in the store.
    pub fn update_runner(&self, runner: Arc<Runner>) {
        self.send(Command::UpdateRunner(runner));
    }

    /// Removes the runner `id` and all state that belongs to it.
    pub fn remove_runner(&self, id: Arc<str>) {
        self.send(Command::RemoveRunner(id));
    }

    /// Removes all runners except those with an id in `kept`.
    pub fn retain_runners(&self, kept: Vec<Arc<str>>) {
        self.send(Command::RetainRunners(kept));
    }

    /// Applies the list of models and adapters that a runner has loaded.
    pub fn apply_inventory(&self, inventory: Inventory) {
        self.send(Command::ApplyInventory(inventory));
    }

    /// Replaces the load last set for `source`: the attempts in flight by runner of one other
    /// node or, in clusters with relays, of all other nodes. It expires after `valid_for`.
    pub fn set_peer_load(
        &self,
        source: Arc<str>,
        load: Vec<(RunnerKey, u32)>,
        valid_for: Duration,
    ) {
        self.send(Command::SetPeerLoad(source, load, valid_for));
    }

    /// Applies the rate limit that the runner `id` advertised in an answer to this node.
    pub fn apply_limit(&self, id: Arc<str>, advertised: AdvertisedLimit) {
        self.send(Command::ApplyLimit(id, advertised));
    }

    /// Applies runners' rate limits that another node reported.
    pub fn apply_limit_updates(&self, updates: Vec<LimitUpdate>) {
        if !updates.is_empty() {
            self.send(Command::ApplyLimitUpdates(updates));
        }
    }

    /// Whether the runners of `service` are brittle, as far as is known.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.brittle.borrow().contains(service)
    }

    /// Records what the runner `id` said at `at` of its service: how many rejections for lack
    /// of room within a second it survives, or `None` if it is not brittle.
    pub fn record_brittle(&self, id: Arc<str>, tolerated: Option<u32>, at: Instant) {
        self.send(Command::RecordBrittle(id, tolerated, at));
    }

    /// Applies what another node reported of brittle services.
    pub fn apply_brittle_updates(&self, updates: Vec<BrittleUpdate>) {
        self.send(Command::ApplyBrittleUpdates(updates));
    }

    /// Marks the runner `id` as draining, after its signal in an answer to this node.
    pub fn mark_draining(&self, id: Arc<str>) {
        self.send(Command::MarkDraining(id));
    }

    /// Marks the runners as draining that another node reported to be so.
    pub fn apply_draining_updates(&self, updates: Vec<DrainingUpdate>) {
        if !updates.is_empty() {
            self.send(Command::ApplyDrainingUpdates(updates));
        }
    }

    /// Stops attempts to the runner `id` for `pause`, which the runner requested of this
    /// node.
    pub fn set_requested_pause(&self, id: Arc<str>, pause: Duration) {
        self.send(Command::SetRequestedPause(id, pause));
    }

    /// Returns the remaining time of the pause that the runner `id` requested of this
    /// node; `None` if there is none or it is over.
    pub fn remaining_pause(&self, id: &str) -> Option<Duration> {
        let end = self.requested_pauses.borrow().get(id).copied()?;
        let remaining = end.saturating_duration_since(Instant::now().into_std());
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Applies the limit owner's answer to a [`RatePermitRequest`] for the runner `id`.
    pub fn apply_rate_permit(&self, id: Arc<str>, answer: RatePermitAnswer) {
        self.send(Command::ApplyRatePermitAnswer(id, answer));
    }

    /// Applies what prefill owners tell of their runners.
    pub fn apply_prefill_updates(&self, updates: Vec<PrefillUpdate>) {
        if !updates.is_empty() {
            self.send(Command::ApplyPrefillUpdates(updates));
        }
    }

    /// Records the wait for a permit that the prefill owner of a runner named in an answer.
    pub fn record_prefill_wait(&self, runner: RunnerKey, wait: Duration) {
        self.send(Command::RecordPrefillWait(runner, wait));
    }

    /// Returns the rate limit that each runner last advertised to any node.
    pub fn advertised_limits(&self) -> AdvertisedLimits {
        self.limits.borrow().clone()
    }

    /// Returns the ids of the runners that signalled to any node that they are draining.
    pub fn draining_runners(&self) -> DrainingRunners {
        self.draining.borrow().clone()
    }

    /// Sets the nodes over which cluster-wide limits are divided, this one included.
    pub fn set_members(&self, members: Vec<Arc<str>>) {
        let count = members.len() as u32;
        self.shared.member_count.store(count, Ordering::Relaxed);
        self.send(Command::SetMembers(members));
    }

    /// Sets the zones that operators evacuate. Until the time given for a zone, its
    /// runners still serve requests that no runner elsewhere can serve.
    pub fn set_evacuated_zones(&self, zones: BTreeMap<Arc<str>, Instant>) {
        self.send(Command::SetEvacuatedZones(zones));
    }

    /// Sets the limits of the retry budget, which all nodes share.
    pub fn set_budget_limits(&self, limits: BudgetLimits) {
        self.send(Command::SetBudgetLimits(limits));
    }

    /// Returns the number of nodes over which cluster-wide limits are divided; at least 1.
    pub fn member_count(&self) -> u32 {
        self.shared.member_count.load(Ordering::Relaxed).max(1)
    }

    /// Returns the runner `id` if this node may call it now and can reach it; `None` also if
    /// the dispatcher's task is gone.
    pub async fn find_callable_runner(&self, id: Arc<str>) -> Option<Arc<Runner>> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::FindCallable(id, reply));
        answer.await.ok()?
    }

    /// Returns the software version of the runners of `service` if this node knows that all of
    /// them within the last `time` had the same; else `None`.
    pub async fn sole_software(
        &self,
        service: Arc<str>,
        time: Duration,
    ) -> Option<SoftwareVersion> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::FindSoleSoftware(service, time, reply));
        answer.await.ok()?
    }

    /// Returns the software versions of the runners that are there now; `None` if the
    /// dispatcher's task is gone.
    pub async fn present_software(&self) -> Option<VersionsByService> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::PresentSoftware(reply));
        answer.await.ok()
    }

    /// Sets the software versions that served lately according to the record in the store.
    pub fn set_shared_software_record(&self, record: VersionsByService) {
        self.send(Command::SetSharedSoftwareRecord(record));
    }

    /// Records that runners may have come and gone without this node's knowledge.
    pub fn record_unknown_software(&self) {
        self.send(Command::RecordUnknownSoftware);
    }

    /// Returns the part of the dispatcher's state that is sent to other nodes; `None` if the
    /// dispatcher's task is gone.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Snapshot(reply));
        answer.await.ok()
    }

    /// Returns the number of prompt tokens that runners read a second, for each runner of
    /// which it is known; `None` if the dispatcher's task is gone.
    pub async fn reading_speeds(&self) -> Option<Vec<(RunnerKey, f64)>> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::ReadingSpeeds(reply));
        answer.await.ok()
    }
}
