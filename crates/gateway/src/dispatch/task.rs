//! The task that owns the dispatcher: it carries out commands, answers requests for permits,
//! and polls the queue when the passing of time may let a waiting request proceed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::{
    Acquired, Arrival, Dispatcher, Grant, LimitChange, Query, Refusal, Splitter, Ticket,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::dispatch::{
    AdvertisedLimits, BrittleServiceNames, CallId, Command, DispatchHandle, DrainingRunners,
    Permit, RatePermitRequest, RequestedPauses, Snapshot,
};
use crate::essential_tasks::EssentialTasks;
use crate::journal;

/// Time until the next poll of the queue if no command arrives and nothing is due earlier.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3600);

/// Longest time between two polls of the queue while requests wait. A runner that rejected a
/// request becomes eligible again after some time; the task gets no command then and notices
/// it only at its next poll.
const MAX_POLL_INTERVAL_WHILE_WAITING: Duration = Duration::from_millis(200);

/// Time added to each timer, so that it never fires shortly before the time for which it was
/// set.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// Starts the task and returns a handle to it. `urgent_demand` is notified when a request
/// starts to wait or is refused, so that this node's demand is sent to the placement leader
/// at once. `rate_permits` receives the requests for permits to call rate-limited runners.
/// The task becomes one of `tasks`.
pub fn start(
    dispatcher: Dispatcher,
    urgent_demand: Arc<tokio::sync::Notify>,
    rate_permits: mpsc::UnboundedSender<RatePermitRequest>,
    tasks: &EssentialTasks,
) -> DispatchHandle {
    let (commands, inbox) = mpsc::unbounded_channel();
    let (limits_sender, limits) = watch::channel(AdvertisedLimits::default());
    let (brittle_sender, brittle) = watch::channel(BrittleServiceNames::default());
    let (draining_sender, draining) = watch::channel(DrainingRunners::default());
    let (pauses_sender, requested_pauses) = watch::channel(RequestedPauses::default());
    let handle = DispatchHandle {
        commands,
        shared: Arc::default(),
        limits,
        brittle,
        draining,
        requested_pauses,
    };
    let task = DispatchTask {
        dispatcher,
        splitter: Splitter::default(),
        replies: HashMap::new(),
        tickets: HashMap::new(),
        handle: handle.clone(),
        urgent_demand,
        rate_permits,
        limits: limits_sender,
        brittle: brittle_sender,
        draining: draining_sender,
        requested_pauses: pauses_sender,
        logged_ignored_prompts: 0,
    };
    tasks.spawn("dispatch", task.run(inbox));
    handle
}

struct DispatchTask {
    dispatcher: Dispatcher,
    splitter: Splitter,
    /// Callers of the waiting requests: the call's id and the channel for the answer.
    replies: HashMap<Ticket, (CallId, oneshot::Sender<Result<Permit, Refusal>>)>,
    tickets: HashMap<CallId, Ticket>,
    handle: DispatchHandle,
    urgent_demand: Arc<tokio::sync::Notify>,
    rate_permits: mpsc::UnboundedSender<RatePermitRequest>,
    limits: watch::Sender<AdvertisedLimits>,
    brittle: watch::Sender<BrittleServiceNames>,
    draining: watch::Sender<DrainingRunners>,
    requested_pauses: watch::Sender<RequestedPauses>,
    /// Number of ignored prompts that the log has told.
    logged_ignored_prompts: u64,
}

impl DispatchTask {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Command>) {
        loop {
            let poll_interval = self.poll_interval();
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                () = tokio::time::sleep(poll_interval) => {}
            }
            while let Ok(command) = inbox.try_recv() {
                self.handle_command(command);
            }
            self.answer_waiting();
            self.request_rate_permits();
        }
    }

    /// Returns the time until the queue must be polled even if no command arrives.
    fn poll_interval(&self) -> Duration {
        let until = |at: std::time::Instant| at.saturating_duration_since(now()) + TIMER_SLACK;
        let next_permit = self
            .dispatcher
            .next_permit_request_at()
            .map_or(MAX_POLL_INTERVAL, until);
        let next_refusal = self.dispatcher.next_refusal_at();
        let next_refusal = next_refusal.map_or(MAX_POLL_INTERVAL, |at| {
            until(at).min(MAX_POLL_INTERVAL_WHILE_WAITING)
        });
        let has_waiting = self.dispatcher.waiting_count() > 0;
        let pause_end = self
            .dispatcher
            .next_pause_end(now())
            .filter(|_| has_waiting);
        next_permit
            .min(next_refusal)
            .min(pause_end.map_or(MAX_POLL_INTERVAL, until))
    }

    /// Requests permits to call rate-limited runners from the limit owners.
    fn request_rate_permits(&mut self) {
        for request in self.dispatcher.start_permit_requests(now()) {
            // Sending fails only if the task that asks the limit owners has ended, and it ends
            // only with the process.
            let _ = self.rate_permits.send(request);
        }
    }

    /// Logs changes of runners' rate limits and publishes all current ones to the handles.
    /// `source` says whether the runner itself or another node reported the changes.
    fn publish_limits(&self, changes: impl IntoIterator<Item = LimitChange>, source: &'static str) {
        for change in changes {
            journal::runner_limit(&change, source);
        }
        let limits = self.dispatcher.advertised_limits();
        let limits = limits
            .map(|(id, advertised)| (id.clone(), advertised))
            .collect();
        self.limits.send_replace(Arc::new(limits));
    }

    /// Logs a service that became brittle or ceased to be, and publishes all brittle ones to the
    /// handles. `source` says whether a runner or another node reported it.
    fn publish_brittle(&self, service: &str, source: &'static str) {
        let brittle: BTreeSet<Arc<str>> = self.dispatcher.brittle_services().collect();
        journal::service_brittle(service, brittle.contains(service), source);
        self.brittle.send_replace(Arc::new(brittle));
    }

    /// Logs the runners that are newly known to be draining, and publishes all draining
    /// runners to the handles. `source` says whether the runner itself or another node
    /// reported them.
    fn publish_added_draining(&self, added: &[Arc<str>], source: &'static str) {
        if added.is_empty() {
            return;
        }
        for runner in added {
            journal::runner_draining(runner, source);
        }
        self.publish_draining();
    }

    /// Publishes the draining runners to the handles.
    fn publish_draining(&self) {
        let draining = Arc::new(self.dispatcher.draining_runners());
        self.draining.send_replace(draining);
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
            Command::Finish(permit, outcome, arrival) => {
                self.dispatcher.finish(permit, outcome, arrival, now());
            }
            Command::RecordAnswer(permit) => self.dispatcher.record_answer(permit, now()),
            Command::RecordReading { runner, sent_at } => {
                let sent_at = sent_at.into_std();
                self.dispatcher.record_reading(&runner, sent_at, now());
            }
            Command::RunnersToProbe(reply) => {
                let _ = reply.send(self.dispatcher.runners_to_probe());
            }
            Command::RecordInterimOutcome(permit, outcome) => self
                .dispatcher
                .record_interim_outcome(permit, outcome, now()),
            Command::ChooseService(route, reply) => {
                let _ = reply.send(self.splitter.pick(&route));
            }
            Command::SetConfiguration(configuration) => {
                self.splitter.retain(&configuration.routes);
                self.dispatcher.set_configuration(configuration);
            }
            Command::UpdateRunner(runner) => {
                if self.dispatcher.update_runner(runner, now()) {
                    self.publish_draining();
                }
            }
            Command::RemoveRunner(id) => self.dispatcher.remove_runner(&id, now()),
            Command::RetainRunners(kept) => self.dispatcher.retain_runners(&kept, now()),
            Command::ApplyInventory(inventory) => self.dispatcher.apply_inventory(inventory, now()),
            Command::SetPeerLoad(source, load, valid_for) => {
                self.dispatcher
                    .set_peer_load(source, load, valid_for, now())
            }
            Command::ApplyLimit(id, advertised) => {
                let change = self.dispatcher.record_advertised_limit(&id, advertised);
                self.publish_limits(change, "runner");
            }
            Command::ApplyLimitUpdates(updates) => {
                let changes = self.dispatcher.apply_limit_updates(&updates, now());
                self.publish_limits(changes, "node");
            }
            Command::RecordBrittle(id, tolerated, at) => {
                let at = at.into_std();
                if let Some(service) = self.dispatcher.record_brittle(&id, tolerated, at) {
                    self.publish_brittle(&service, "runner");
                }
            }
            Command::ApplyBrittleUpdates(updates) => {
                for service in self.dispatcher.apply_brittle_updates(updates, now()) {
                    self.publish_brittle(&service, "node");
                }
            }
            Command::MarkDraining(id) => {
                if self.dispatcher.record_draining(&id, now(), now()) {
                    self.publish_added_draining(&[id], "runner");
                }
            }
            Command::SetRequestedPause(id, pause) => {
                self.dispatcher.record_requested_pause(&id, pause, now());
                let pauses = Arc::new(self.dispatcher.pause_ends(now()));
                self.requested_pauses.send_replace(pauses);
            }
            Command::ApplyDrainingUpdates(updates) => {
                let added = self.dispatcher.apply_draining_updates(&updates, now());
                self.publish_added_draining(&added, "node");
            }
            Command::ApplyRatePermitAnswer(id, answer) => {
                self.dispatcher.apply_rate_permit_answer(&id, answer, now())
            }
            Command::ApplyPrefillUpdates(updates) => {
                for change in self.dispatcher.apply_prefill_updates(&updates, now()) {
                    journal::runner_speed(&change);
                }
            }
            Command::RecordPrefillWait(runner, wait) => {
                self.dispatcher.record_prefill_wait(runner, wait, now());
            }
            Command::PresentSoftware(reply) => {
                let _ = reply.send(self.dispatcher.present_software());
            }
            Command::SetSharedSoftwareRecord(record) => {
                self.dispatcher.set_shared_software_record(record);
            }
            Command::RecordUnknownSoftware => self.dispatcher.record_unknown_software(now()),
            Command::FindSoleSoftware(service, time, reply) => {
                // Sending fails if the client has left; then nobody waits for the version.
                let _ = reply.send(self.dispatcher.sole_software(&service, time, now()));
            }
            Command::SetBudgetLimits(limits) => self.dispatcher.set_budget_limits(limits),
            Command::SetMembers(members) => self.dispatcher.set_members(members, now()),
            Command::SetEvacuatedZones(zones) => {
                let zones = zones
                    .into_iter()
                    .map(|(zone, serves_until)| (zone, serves_until.into_std()));
                self.dispatcher.set_evacuated_zones(zones.collect(), now());
            }
            Command::FindCallable(id, reply) => {
                let _ = reply.send(self.dispatcher.callable_runner(&id, now()));
            }
            Command::ReadingSpeeds(reply) => {
                let _ = reply.send(self.dispatcher.reading_speeds());
            }
            Command::Snapshot(reply) => {
                self.log_ignored_prompts();
                let _ = reply.send(Snapshot {
                    load: self.dispatcher.local_in_flight(),
                    unreachable: self.dispatcher.unreachable_runners(now()),
                    demand: self.dispatcher.demand_items(now()),
                    prompts: self.dispatcher.prompt_demand_items(now()),
                    streams: self.dispatcher.stream_demand_items(),
                    limits: self.dispatcher.limit_updates(now()),
                    draining: self.dispatcher.draining_updates(now()),
                    brittle: self.dispatcher.brittle_updates(now()),
                });
            }
        }
    }

    /// Logs how many prompts were ignored in the demand since this was last logged, if any.
    fn log_ignored_prompts(&mut self) {
        let ignored = self.dispatcher.ignored_prompts();
        if ignored > self.logged_ignored_prompts {
            journal::prompts_ignored(ignored - self.logged_ignored_prompts);
            self.logged_ignored_prompts = ignored;
        }
    }

    /// Answers the call at once if the dispatcher grants or refuses it; otherwise keeps
    /// `reply` until the dispatcher decides.
    fn acquire(
        &mut self,
        call: CallId,
        query: Query,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
    ) {
        match self.dispatcher.acquire(query, now()) {
            Acquired::Granted(grant) => self.reply(reply, Ok(grant)),
            Acquired::Refused(refusal) => {
                self.report_demand_now();
                self.reply(reply, Err(refusal));
            }
            Acquired::Waiting(ticket) => {
                self.replies.insert(ticket, (call, reply));
                self.tickets.insert(call, ticket);
                self.report_demand_now();
            }
        }
    }

    /// Makes the peer task send this node's demand to the placement leader without delay.
    fn report_demand_now(&self) {
        self.urgent_demand.notify_one();
    }

    fn reply(
        &self,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        answer: Result<Grant, Refusal>,
    ) {
        let answer = answer.map(|grant| Permit {
            grant,
            handle: self.handle.clone(),
            prefill: None,
            arrival: Arrival::Never,
            finished: false,
        });
        // If the caller is gone, the permit is dropped here, which ends the attempt.
        let _ = reply.send(answer);
    }

    /// Answers the waiting calls that are now granted or refused.
    fn answer_waiting(&mut self) {
        if self.dispatcher.waiting_count() == 0 {
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
