//! The task that owns all queues for models at this node.
//!
//! Invariant: an entry is in exactly one place, a queue or an attempt, and
//! every path out of either answers its caller. Deadlines are watched here
//! while an entry waits and in the attempt while it runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_control_log::ControlState;
use barleyspar_domain::{
    AdapterName, CustomerName, ModelName, RunnerName, RunnerRecord, RunnerState, Verdict,
};
use barleyspar_kernel::{Inbox, Stage};
use barleyspar_peer::{PeerError, call};
use barleyspar_placement::{
    Decisions, Demand, DemandAnswer, KEEPER_SERVICE, KeeperAnswer, KeeperRequest, RefusalReason,
};
use barleyspar_platform::engine::GenerateError;
use tokio::time::Instant;

use crate::balance::{Choice, PrefixMemory, choose, prefix_hash};
use crate::breaker::Breaker;
use crate::budget::RetryBudget;
use crate::dispatch::{Attempt, Outcome};
use crate::queue::Entry;
use crate::replicas::Standing;
use crate::requests::{ModelRequest, Reply};
use crate::start::Shared;
use crate::target::{Dispatched, Target, TargetKey};
use crate::{Reason, Refusal};

/// Longest sleep of the task.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);
/// When a node that is not current may be asked again.
const NOT_CURRENT_PAUSE: Duration = Duration::from_secs(1);
/// How long a runner that refused as leaving is left alone.
const LEAVING_PAUSE: Duration = Duration::from_secs(60);

/// Messages of the task.
pub enum Message {
    /// A caller's request.
    Submit(Box<ModelRequest>, Reply),
    /// A keeper answered a demand, or did not.
    Asked(Dispatched, Result<DemandAnswer, PeerError>),
    /// An attempt ended.
    Ended(Dispatched, Outcome),
}

pub(crate) struct Service {
    shared: Arc<Shared>,
    targets: BTreeMap<TargetKey, Target>,
    waiting_by_customer: BTreeMap<CustomerName, u32>,
    waiting: usize,
    breakers: BTreeMap<RunnerName, Breaker>,
    budget: RetryBudget,
    prefixes: PrefixMemory,
    decisions: Decisions,
}

impl Service {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let budget = RetryBudget::new(shared.config.retry_percentage);
        Self {
            shared,
            targets: BTreeMap::new(),
            waiting_by_customer: BTreeMap::new(),
            waiting: 0,
            breakers: BTreeMap::new(),
            budget,
            prefixes: PrefixMemory::default(),
            decisions: Decisions::default(),
        }
    }

    pub(crate) async fn run(mut self, inbox: Inbox<Message>) {
        let stop = self.shared.kernel.stop_signal(Stage::Work);
        let mut log = self.shared.log.subscribe();
        loop {
            let wake = self.next_wake();
            tokio::select! {
                biased;
                () = stop.raised() => break,
                message = inbox.receive() => {
                    let Some(message) = message else { break };
                    self.handle(message);
                }
                changed = log.changed() => {
                    if changed.is_err() { break }
                    self.step_all();
                }
                () = tokio::time::sleep_until(wake) => self.step_all(),
            }
        }
        self.refuse_everything();
    }

    fn next_wake(&self) -> Instant {
        let now = Instant::now();
        let changes = self.targets.values().filter_map(|t| t.next_change(now));
        changes
            .min()
            .unwrap_or(now + LONGEST_SLEEP)
            .min(now + LONGEST_SLEEP)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit(request, reply) => self.submit(*request, reply),
            Message::Asked(to, result) => {
                if let Some(target) = self.targets.get_mut(&to.key) {
                    let now = Instant::now();
                    match result {
                        Ok(answer) => target.replicas.take_answer(&to.runner, &answer, now),
                        Err(_) => target.replicas.note_silence(&to.runner, now),
                    }
                }
                self.step(&to.key);
            }
            Message::Ended(at, outcome) => {
                self.end_attempt(&at, outcome);
                self.step(&at.key);
            }
        }
    }

    // --- taking in ----------------------------------------------------------

    fn submit(&mut self, request: ModelRequest, reply: Reply) {
        self.shared.counters.count(|figures| figures.requests += 1);
        let log = self.shared.log.view();
        let state = log.state;
        if !log.current {
            return self.refuse(reply, not_current());
        }
        let key = match self.admit(&state, &request) {
            Ok(key) => key,
            Err(refusal) => return self.refuse(reply, refusal),
        };
        self.budget.deposit();
        let now = Instant::now();
        let entry = Entry {
            request,
            reply,
            attempts: 0,
            verdict: Verdict::NotRun,
        };
        let target = self
            .targets
            .entry(key.clone())
            .or_insert_with(|| Target::new(now));
        target.last_used = now;
        self.enqueue(&key, entry);
        self.step(&key);
    }

    fn admit(
        &mut self,
        state: &ControlState,
        request: &ModelRequest,
    ) -> Result<TargetKey, Refusal> {
        let key = resolve(state, &request.target)?;
        self.check_allowed(state, &key, request)?;
        let retry_after = self.shared.config.retry_after;
        let of_customer = self.waiting_by_customer.get(&request.customer);
        if of_customer.copied().unwrap_or(0) >= request.maximum_waiting {
            let detail = format!("{} requests of this customer wait", request.maximum_waiting);
            return Err(Refusal::not_run(Reason::CustomerLimit, detail).retry_after(retry_after));
        }
        self.make_room(&key, request.priority)?;
        Ok(key)
    }

    fn check_allowed(
        &mut self,
        state: &ControlState,
        key: &TargetKey,
        request: &ModelRequest,
    ) -> Result<(), Refusal> {
        let Some(model) = state.model(&key.model) else {
            return Ok(());
        };
        let wall_clock = (self.shared.wall_clock)();
        let decision = self.decisions.decide(state, model, wall_clock);
        let allowed = decision.is_none_or(|decision| {
            decision.customers.is_empty() || decision.customers.contains(&request.customer)
        });
        if allowed {
            return Ok(());
        }
        let detail = format!("the policy of {} does not serve this customer", key.model);
        Err(Refusal::not_run(Reason::NotAllowed, detail))
    }

    /// Makes room for one request: if a bound is reached, the last waiting
    /// request of lower priority is refused in its stead.
    fn make_room(&mut self, key: &TargetKey, priority: i32) -> Result<(), Refusal> {
        let config = &self.shared.config;
        let of_target = self.targets.get(key).map_or(0, |t| t.queue.len());
        let full = of_target >= config.maximum_waiting_per_target
            || self.waiting >= config.maximum_waiting;
        if !full {
            return Ok(());
        }
        let refusal = Refusal::not_run(Reason::QueueFull, "too many requests wait")
            .retry_after(config.retry_after);
        let target = self.targets.get_mut(key);
        let Some(target) = target.filter(|t| t.queue.lowest_priority() < Some(priority)) else {
            return Err(refusal);
        };
        if let Some(entry) = target.queue.pop_last() {
            self.left_queue(&entry);
            let verdict = entry.verdict;
            self.refuse(entry.reply, Refusal { verdict, ..refusal });
        }
        Ok(())
    }

    fn enqueue(&mut self, key: &TargetKey, entry: Entry) {
        let Some(target) = self.targets.get_mut(key) else {
            let refusal = Refusal {
                verdict: entry.verdict,
                ..Refusal::not_run(Reason::UnknownTarget, "the model was deleted")
            };
            return self.refuse(entry.reply, refusal);
        };
        self.waiting += 1;
        *self
            .waiting_by_customer
            .entry(entry.request.customer.clone())
            .or_default() += 1;
        target.queue.push(entry);
        let waiting = self.waiting as u64;
        self.shared
            .counters
            .count(|figures| figures.waiting = waiting);
    }

    /// Keeps the counts of what waits; called for each entry taken from a queue.
    fn left_queue(&mut self, entry: &Entry) {
        self.waiting -= 1;
        let waiting = self.waiting as u64;
        self.shared
            .counters
            .count(|figures| figures.waiting = waiting);
        let customer = &entry.request.customer;
        if let Some(count) = self.waiting_by_customer.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_customer.remove(customer);
            }
        }
    }

    // --- serving ------------------------------------------------------------

    fn step_all(&mut self) {
        let keys: Vec<TargetKey> = self.targets.keys().cloned().collect();
        for key in keys {
            self.step(&key);
        }
        let now = Instant::now();
        let watch_time = self.shared.config.watch_time;
        self.targets
            .retain(|_, target| !target.is_idle(now, watch_time));
    }

    /// Brings one target as far as it goes now.
    fn step(&mut self, key: &TargetKey) {
        let state = self.shared.log.state();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let grant = state.grants().get(&key.model);
        target.replicas.follow(grant.map(AsRef::as_ref));
        self.drop_overdue(key);
        self.refuse_unservable(key, &state);
        while self.dispatch_one(key, &state) {}
        self.ask_keepers(key, &state);
    }

    fn drop_overdue(&mut self, key: &TargetKey) {
        let now = Instant::now();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let abandoned = target.queue.take_abandoned();
        let expired = target.queue.take_expired(now);
        let hopeless = target.take_hopeless(now);
        let expected = target.replicas.expected(now);
        let retry_after = expected.map_or(self.shared.config.retry_after, |at| {
            at.saturating_duration_since(now)
        });
        for entry in abandoned {
            self.left_queue(&entry);
        }
        let causes = [
            "the deadline passed",
            "the deadline is before the expected answer",
        ];
        for (entries, cause) in [expired, hopeless].into_iter().zip(causes) {
            for entry in entries {
                self.left_queue(&entry);
                let refusal = Refusal {
                    verdict: entry.verdict,
                    reason: Reason::Deadline,
                    detail: cause.to_owned(),
                    retry_after: Some(retry_after),
                };
                self.refuse(entry.reply, refusal);
            }
        }
    }

    /// Refuses at once what no runner may ever serve as things are decided.
    fn refuse_unservable(&mut self, key: &TargetKey, state: &ControlState) {
        let grant = state.grants().get(&key.model);
        let none_decided = grant.is_some_and(|grant| grant.decided == 0);
        let deleted = state.model(&key.model).is_none();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if !none_decided && !deleted && !target.replicas.all_not_granted() {
            return;
        }
        let retry_after = self.shared.config.retry_after;
        for entry in target.queue.drain() {
            self.left_queue(&entry);
            let refusal = Refusal {
                verdict: entry.verdict,
                reason: Reason::NoRunner,
                detail: "no runner may hold the model".to_owned(),
                retry_after: Some(retry_after),
            };
            self.refuse(entry.reply, refusal);
        }
    }

    fn dispatch_one(&mut self, key: &TargetKey, state: &ControlState) -> bool {
        let Some((runner, entry)) = self.take_dispatchable(key, state) else {
            return false;
        };
        self.left_queue(&entry);
        let Some(record) = state.runners().get(&runner) else {
            return false;
        };
        let shared = Arc::clone(&self.shared);
        let attempt = Attempt {
            engine: Arc::clone(&shared.engine),
            address: record.address,
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            config: shared.config.clone(),
            counters: shared.counters.clone(),
        };
        shared.counters.count(|figures| figures.attempts += 1);
        let at = Dispatched {
            key: key.clone(),
            runner,
        };
        let kernel = shared.kernel.clone();
        kernel.spawn(Stage::Work, async move {
            let outcome = attempt.run(entry).await;
            let _ = shared.service.send(Message::Ended(at, outcome)).await;
        });
        true
    }

    /// The next entry and the replica it goes to, if there are both.
    fn take_dispatchable(
        &mut self,
        key: &TargetKey,
        state: &ControlState,
    ) -> Option<(RunnerName, Entry)> {
        let target = self.targets.get_mut(key)?;
        if target.queue.is_empty() {
            return None;
        }
        let now = Instant::now();
        let zone = &self.shared.zone;
        let limit = self.shared.config.in_flight_per_replica;
        let breakers = &self.breakers;
        let notices = &self.shared.notices;
        let usable = |record: &RunnerRecord| {
            record.state == RunnerState::Live
                && !notices.is_leaving(&record.name, record.incarnation)
                && breakers.get(&record.name).is_none_or(|b| b.allows(now))
        };
        let choices: Vec<Choice<'_>> = target
            .replicas
            .granted()
            .filter(|(_, replica)| replica.standing == Standing::Ready)
            .filter(|(_, replica)| replica.in_flight < limit)
            .filter(|(_, replica)| replica.busy_until.is_none_or(|until| now >= until))
            .filter_map(|(name, replica)| {
                let record = state.runners().get(name)?;
                usable(record).then(|| Choice {
                    runner: name,
                    in_flight: replica.in_flight,
                    local: &record.zone == zone,
                })
            })
            .collect();
        let entry = target.queue.pop()?;
        let prefix = prefix_hash(key.model.as_str(), &entry.request.prompt);
        let preferred = self.prefixes.replica(prefix);
        let slack = self.shared.config.affinity_slack;
        let Some(runner) = choose(&choices, preferred, slack).cloned() else {
            target.queue.push(entry);
            return None;
        };
        self.prefixes.note(prefix, &runner);
        if let Some(replica) = target.replicas.get_mut(&runner) {
            replica.in_flight += 1;
        }
        Some((runner, entry))
    }

    fn end_attempt(&mut self, at: &Dispatched, outcome: Outcome) {
        let now = Instant::now();
        let target = self.targets.get_mut(&at.key);
        if let Some(replica) = target.and_then(|t| t.replicas.get_mut(&at.runner)) {
            replica.in_flight -= 1;
        }
        match outcome {
            Outcome::Answered { whole: true } => {
                self.breakers.remove(&at.runner);
            }
            Outcome::Answered { whole: false } => self.note_failure(&at.runner, now),
            Outcome::Abandoned => {}
            Outcome::Late(entry) => {
                let refusal = Refusal {
                    verdict: Verdict::MayHaveRun,
                    reason: Reason::Deadline,
                    detail: "the back end gave no answer by the deadline".to_owned(),
                    retry_after: Some(self.shared.config.retry_after),
                };
                self.refuse(entry.reply, refusal);
            }
            Outcome::Failed(entry, error) => self.fail_attempt(at, *entry, &error, now),
        }
    }

    fn note_failure(&mut self, runner: &RunnerName, now: Instant) {
        let config = &self.shared.config;
        let breaker = self.breakers.entry(runner.clone()).or_default();
        breaker.fail(config.breaker_failures, config.breaker_pause, now);
    }

    fn fail_attempt(
        &mut self,
        at: &Dispatched,
        mut entry: Entry,
        error: &GenerateError,
        now: Instant,
    ) {
        entry.verdict = entry.verdict.combined_with(error.verdict());
        let target = self.targets.get_mut(&at.key);
        let replica = target.and_then(|t| t.replicas.get_mut(&at.runner));
        let mut costs_retry = false;
        match error {
            GenerateError::NotHeld => {
                if let Some(replica) = replica {
                    // The keeper may learn it a little later than the engine
                    // said so; the pause keeps both from being asked in a circle.
                    replica.standing = Standing::Unknown;
                    replica.busy_until = Some(now + self.shared.config.busy_pause);
                }
            }
            GenerateError::Busy => {
                if let Some(replica) = replica {
                    replica.busy_until = Some(now + self.shared.config.busy_pause);
                }
            }
            GenerateError::Leaving => {
                if let Some(replica) = replica {
                    let until = now + LEAVING_PAUSE;
                    replica.standing = Standing::Refused(RefusalReason::Leaving, until);
                }
            }
            GenerateError::Refused(cause) => {
                let refusal = Refusal {
                    verdict: entry.verdict,
                    reason: Reason::Rejected,
                    detail: cause.clone(),
                    retry_after: None,
                };
                return self.refuse(entry.reply, refusal);
            }
            GenerateError::NoConnection(_) | GenerateError::Broken(_) => {
                costs_retry = true;
                if let Some(replica) = replica {
                    replica.standing = Standing::Unknown;
                }
                self.note_failure(&at.runner, now);
            }
        }
        self.try_again(at, entry, error, costs_retry);
    }

    fn try_again(
        &mut self,
        at: &Dispatched,
        entry: Entry,
        error: &GenerateError,
        costs_retry: bool,
    ) {
        let allowed = entry.verdict == Verdict::NotRun || entry.request.repeatable;
        if allowed && (!costs_retry || self.budget.withdraw()) {
            return self.enqueue(&at.key, entry);
        }
        let refusal = Refusal {
            verdict: entry.verdict,
            reason: Reason::BackEndFailed,
            detail: error.to_string(),
            retry_after: Some(self.shared.config.retry_after),
        };
        self.refuse(entry.reply, refusal);
    }

    // --- keepers --------------------------------------------------------------

    fn ask_keepers(&mut self, key: &TargetKey, state: &ControlState) {
        let now = Instant::now();
        let watch_time = self.shared.config.watch_time;
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if !target.is_watched(now, watch_time) {
            return;
        }
        let waiting = target.queue.len() as u32;
        let deadline = target.queue.earliest_deadline();
        let time_left = deadline.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        for (runner, wake) in target.replicas.to_ask(waiting > 0, now) {
            let Some(replica) = target.replicas.get_mut(&runner) else {
                continue;
            };
            let wait = match replica.standing {
                Standing::Unknown if !wake => Duration::ZERO,
                Standing::Ready => self.shared.config.ready_watch_wait,
                _ => self.shared.config.demand_wait,
            };
            let demand = Demand {
                runner: runner.clone(),
                model: key.model.clone(),
                adapter: key.adapter.clone(),
                waiting: if wake { waiting } else { 0 },
                deadline_milliseconds: time_left.as_millis() as u64,
                known_ready: replica.standing == Standing::Ready,
                wait_milliseconds: wait.as_millis() as u64,
            };
            replica.asked = true;
            replica.woken = wake;
            let Some(record) = state.runners().get(&runner) else {
                continue;
            };
            let to = Dispatched {
                key: key.clone(),
                runner,
            };
            ask(&self.shared, record, to, demand);
        }
    }

    // --- refusing -------------------------------------------------------------

    fn refuse(&self, reply: Reply, refusal: Refusal) {
        self.shared.counters.refused(refusal.reason);
        let _ = reply.send(Err(refusal));
    }

    fn refuse_everything(&mut self) {
        let targets = std::mem::take(&mut self.targets);
        for mut target in targets.into_values() {
            for entry in target.queue.drain() {
                let refusal = Refusal {
                    verdict: entry.verdict,
                    reason: Reason::Stopping,
                    detail: "this node is stopping".to_owned(),
                    retry_after: Some(Duration::ZERO),
                };
                self.refuse(entry.reply, refusal);
            }
        }
    }
}

/// Refusal of a node that may have missed an accepted change.
pub(crate) fn not_current() -> Refusal {
    let detail = "this node is reading the newest configuration";
    Refusal::not_run(Reason::NotCurrent, detail).retry_after(NOT_CURRENT_PAUSE)
}

/// The model or adapter named `name`.
fn resolve(state: &ControlState, name: &str) -> Result<TargetKey, Refusal> {
    let unknown = || {
        let detail = format!("there is no model or adapter {name:?}");
        Refusal::not_run(Reason::UnknownTarget, detail)
    };
    let model = ModelName::try_from(name).map_err(|_| unknown())?;
    if state.model(&model).is_some() {
        return Ok(TargetKey {
            model,
            adapter: None,
        });
    }
    let adapter = AdapterName::try_from(name).map_err(|_| unknown())?;
    let spec = state.adapter(&adapter).ok_or_else(unknown)?;
    Ok(TargetKey {
        model: spec.base.clone(),
        adapter: Some(adapter),
    })
}

/// Brings `demand` to the runner's keeper and its answer back as a message.
fn ask(shared: &Arc<Shared>, record: &RunnerRecord, to: Dispatched, demand: Demand) {
    let shared = Arc::clone(shared);
    let (zone, name) = (record.zone.clone(), record.name.clone());
    let kernel = shared.kernel.clone();
    let stop = kernel.stop_signal(Stage::Work);
    let asking = async move {
        let view = shared.membership.view();
        let result = match view.keeper(&zone, name.as_str()) {
            None => Err(PeerError::Unreachable("no node takes work".to_owned())),
            Some(keeper) if keeper.name == view.me.name => Ok(shared.keeper.demand(demand).await),
            Some(keeper) => {
                let wait = Duration::from_millis(demand.wait_milliseconds);
                let time_limit = wait + shared.config.peer_time_limit;
                let request = KeeperRequest::Demand(demand);
                let transport = shared.transport.as_ref();
                let address = keeper.address;
                let answer = call(transport, address, KEEPER_SERVICE, &request, time_limit).await;
                match answer {
                    Ok(KeeperAnswer::Demand(answer)) => Ok(answer),
                    Ok(_) => Err(PeerError::Refused("unexpected answer".to_owned())),
                    Err(error) => Err(error),
                }
            }
        };
        let _ = shared.service.send(Message::Asked(to, result)).await;
    };
    kernel.spawn(Stage::Work, async move {
        tokio::select! {
            biased;
            () = stop.raised() => {}
            () = asking => {}
        }
    });
}
