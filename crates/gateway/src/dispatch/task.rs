//! The task that owns the dispatcher.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_dispatch::{
    Acquired, Dispatcher, Grant, LimitChange, Query, Refusal, Splitter, Ticket,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::dispatch::{
    CallId, Command, DispatchHandle, LeavingRunners, Limits, Permit, RatePermitWanted,
    RunnerPauses, Snapshot,
};
use crate::journal;

/// Time between two looks at the queue when nothing happens.
const LONGEST_PAUSE: Duration = Duration::from_secs(3600);

/// The same while requests wait: what a runner refused is tried again after a
/// while, and no message says so.
const WAITING_PAUSE: Duration = Duration::from_millis(200);

/// Time by which a timer is set late, so that what it waits for is there.
const TIMER_SLACK: Duration = Duration::from_millis(1);

/// Starts the task. `urgent` is notified when a request begins to wait; `rate_permits` gets
/// the rate-limited runners for which a permit is wanted.
pub fn start(
    dispatcher: Dispatcher,
    urgent: Arc<tokio::sync::Notify>,
    rate_permits: mpsc::UnboundedSender<RatePermitWanted>,
) -> DispatchHandle {
    let (commands, inbox) = mpsc::unbounded_channel();
    let (limits_sender, limits) = watch::channel(Limits::default());
    let (leaving_sender, leaving) = watch::channel(LeavingRunners::default());
    let (pauses_sender, pauses) = watch::channel(RunnerPauses::default());
    let handle = DispatchHandle {
        commands,
        shared: Arc::default(),
        limits,
        leaving,
        pauses,
    };
    let task = DispatchTask {
        dispatcher,
        splitter: Splitter::default(),
        replies: HashMap::new(),
        tickets: HashMap::new(),
        handle: handle.clone(),
        urgent,
        rate_permits,
        limits: limits_sender,
        leaving: leaving_sender,
        pauses: pauses_sender,
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
    rate_permits: mpsc::UnboundedSender<RatePermitWanted>,
    limits: watch::Sender<Limits>,
    leaving: watch::Sender<LeavingRunners>,
    pauses: watch::Sender<RunnerPauses>,
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
            self.ask_rate_permits();
        }
    }

    fn pause(&self) -> Duration {
        let until = |at: std::time::Instant| at.saturating_duration_since(now()) + TIMER_SLACK;
        let permit = self
            .dispatcher
            .next_rate_permit()
            .map_or(LONGEST_PAUSE, until);
        let refusal = self.dispatcher.next_refusal();
        let refusal = refusal.map_or(LONGEST_PAUSE, |at| until(at).min(WAITING_PAUSE));
        let waits = self.dispatcher.waiting() > 0;
        let pause_end = self.dispatcher.next_pause_end(now()).filter(|_| waits);
        permit
            .min(refusal)
            .min(pause_end.map_or(LONGEST_PAUSE, until))
    }

    /// Has the owners of limits asked for permits to call rate-limited runners.
    fn ask_rate_permits(&mut self) {
        for wanted in self.dispatcher.rate_permits_to_ask(now()) {
            // The task that asks ends only with the process.
            let _ = self.rate_permits.send(wanted);
        }
    }

    /// Tells what changed of runners' limits, and everything that is known of them.
    fn tell_limits(&self, changes: impl IntoIterator<Item = LimitChange>, source: &'static str) {
        for change in changes {
            journal::runner_limit(&change, source);
        }
        let limits = self.dispatcher.limits();
        let limits = limits
            .map(|(id, advertised)| (id.clone(), advertised))
            .collect();
        self.limits.send_replace(Arc::new(limits));
    }

    /// Tells which runners leave, if any of them was not known to.
    fn tell_leaving(&self, added: &[Arc<str>], source: &'static str) {
        if added.is_empty() {
            return;
        }
        for runner in added {
            journal::runner_leaves(runner, source);
        }
        self.show_leaving();
    }

    fn show_leaving(&self) {
        let leaving = Arc::new(self.dispatcher.leaving());
        self.leaving.send_replace(leaving);
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
            Command::UpdateRunner(runner) => {
                if self.dispatcher.update_runner(runner, now()) {
                    self.show_leaving();
                }
            }
            Command::RemoveRunner(id) => self.dispatcher.remove_runner(&id),
            Command::RetainRunners(kept) => self.dispatcher.retain_runners(&kept),
            Command::UpdateModels(inventory) => self.dispatcher.update_models(inventory, now()),
            Command::PeerLoad(source, load, believed_for) => {
                self.dispatcher
                    .set_peer_load(source, load, believed_for, now())
            }
            Command::HearLimit(id, advertised) => {
                let change = self.dispatcher.hear_limit(&id, advertised);
                self.tell_limits(change, "runner");
            }
            Command::HearLimits(news) => {
                let changes = self.dispatcher.hear_limits(&news, now());
                self.tell_limits(changes, "node");
            }
            Command::HearLeaving(id) => {
                if self.dispatcher.hear_leaving(&id, now(), now()) {
                    self.tell_leaving(&[id], "runner");
                }
            }
            Command::HearPause(id, pause) => {
                self.dispatcher.hear_pause(&id, pause, now());
                let pauses = Arc::new(self.dispatcher.pauses(now()));
                self.pauses.send_replace(pauses);
            }
            Command::HearLeavingNews(news) => {
                let added = self.dispatcher.hear_leaving_news(&news, now());
                self.tell_leaving(&added, "node");
            }
            Command::TakeRatePermit(id, answer) => {
                self.dispatcher.take_rate_permit(&id, answer, now())
            }
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
                    leaving: self.dispatcher.leaving_news(now()),
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
