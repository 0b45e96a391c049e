//! The dispatcher: grants runners to requests, lets them wait, or refuses them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    Configuration, EngineSpec, HeldModel, ModelReference, Runner, RunnerState, Service,
};

use crate::budget::{BudgetLimits, RetryBudget};
use crate::choice::cheapest;
use crate::demand::{DemandItem, DemandTable};
use crate::health::{Failure, Outcome};
use crate::queue::{Queue, Waiting};
use crate::runner::{RunnerEntry, RunnerKey, runner_key};

/// Requests beyond its slots that a plain runner is given.
const PLAIN_QUEUE: u32 = 2;
/// Part of a runner's cache that requests in flight may want together.
const CACHE_PART: f64 = 0.9;
/// Part of a target latency after which a refusal is late.
const EARLY_REFUSAL_PART: u32 = 5;
/// Time to be told to come back when nothing better is known.
const USUAL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time from an order to the first event, beyond the load itself.
const LOAD_OVERHEAD: Duration = Duration::from_millis(600);
/// Time before its deadline at which a waiting request is refused.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// Part of its time that a client is told to wait before it comes back.
const RETRY_AFTER_PART: u32 = 3;
/// How long a refused request is expected back after the time it was told.
const EXPECTED_BACK_SLACK: Duration = Duration::from_secs(2);
/// Part of a client's patience after which a request that waits is refused: a
/// client that is told so comes back, one that gives up does not.
const PATIENCE_PART: f64 = 0.92;
/// Time for which a runner that refused is left alone.
const BUSY_BLOCK: Duration = Duration::from_millis(100);
/// Time for which an address that another runner has is left alone.
const WRONG_RUNNER_BLOCK: Duration = Duration::from_secs(4);
/// Requests that may wait at one node.
const LONGEST_QUEUE: usize = 2000;
/// Time for which a silent node's load is believed.
const PEER_LOAD_AGE: Duration = Duration::from_secs(3);

/// Names a request in the dispatcher.
pub type Ticket = u64;
/// Names a granted attempt.
pub type PermitId = u64;

/// What a request wants.
#[derive(Debug, Clone)]
pub struct Query {
    /// The service.
    pub service: Arc<str>,
    /// The model, for services that have them.
    pub wanted: Option<ModelReference>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Tokens that it may need in the runner's cache.
    pub tokens: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Key of the shared parts of its prompt.
    pub affinity: Option<u64>,
    /// When its time is up.
    pub deadline: Instant,
    /// Time within which it should be answered.
    pub target_latency: Option<Duration>,
    /// Time after which the client gives up if nothing comes.
    pub patience: Option<Duration>,
    /// Runners that it has been to.
    pub excluded: Vec<Arc<str>>,
    /// What came before.
    pub attempt: AttemptKind,
    /// Whether it may wait for a runner.
    pub may_wait: bool,
}

/// What came before an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// Nothing: it is the request's first.
    First,
    /// An attempt of which no byte was sent; it cost nothing.
    Unsent,
    /// An attempt that arrived at a runner; this one costs retry budget.
    Retry,
}

/// A granted attempt.
#[derive(Debug, Clone)]
pub struct Grant {
    /// To be given back by [`Dispatcher::finish`].
    pub permit: PermitId,
    /// The runner.
    pub runner: Arc<Runner>,
    /// Runners that could have been taken.
    pub candidates: usize,
    /// Attempts at the runner before this one.
    pub in_flight: u32,
    /// Whether the runner takes new work; goes false as soon as it leaves.
    pub open: Arc<AtomicBool>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No runner of the service is known.
    NoRunner,
    /// The model is not loaded and cannot be in time.
    NotLoaded,
    /// All runners are full.
    Full,
    /// The retry budget is spent.
    RetryBudget,
    /// Too many requests wait.
    QueueFull,
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRunner => "no_runner",
            Self::NotLoaded => "not_loaded",
            Self::Full => "full",
            Self::RetryBudget => "retry_budget",
            Self::QueueFull => "queue_full",
        }
    }
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Answer to a request for a runner.
#[derive(Debug, Clone)]
pub enum Acquired {
    /// Here is one.
    Granted(Grant),
    /// Wait; the answer comes from [`Dispatcher::poll`].
    Waiting(Ticket),
    /// No.
    Refused(Refusal),
}

#[derive(Debug)]
struct Permit {
    runner: Arc<str>,
    service: Arc<str>,
    wanted: Option<ModelReference>,
    tokens: u64,
    unread_tokens: u64,
}

#[derive(Debug)]
struct PeerLoad {
    at: Instant,
    in_flight: Vec<(RunnerKey, u32)>,
}

/// The state of all of this node's requests and of all runners it knows.
#[derive(Debug)]
pub struct Dispatcher {
    zone: Arc<str>,
    limits: BudgetLimits,
    started: Instant,
    configuration: Arc<Configuration>,
    runners: BTreeMap<Arc<str>, RunnerEntry>,
    queue: Queue,
    permits: HashMap<PermitId, Permit>,
    budgets: HashMap<Arc<str>, RetryBudget>,
    demand: DemandTable,
    peers: HashMap<Arc<str>, PeerLoad>,
    nodes: usize,
    next_id: u64,
}

impl Dispatcher {
    /// A dispatcher of a node in `zone` that started at `now`.
    pub fn new(zone: Arc<str>, limits: BudgetLimits, now: Instant) -> Self {
        Self {
            zone,
            limits,
            started: now,
            configuration: Arc::default(),
            runners: BTreeMap::new(),
            queue: Queue::default(),
            permits: HashMap::new(),
            budgets: HashMap::new(),
            demand: DemandTable::default(),
            peers: HashMap::new(),
            nodes: 1,
            next_id: 0,
        }
    }

    /// Puts a configuration in force.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        self.configuration = configuration;
    }

    /// Changes what all nodes together may spend on retries.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
        for budget in self.budgets.values_mut() {
            budget.set_limits(limits);
        }
    }

    /// Sets the number of nodes that share limits, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Nodes that share limits.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Takes in a runner's entry.
    pub fn update_runner(&mut self, runner: Runner, now: Instant) {
        match self.runners.get_mut(&runner.id) {
            Some(entry) => entry.update(runner, now),
            None => {
                let id = runner.id.clone();
                self.runners.insert(id, RunnerEntry::new(runner, now));
            }
        }
    }

    /// Takes in what a runner holds, from its own report.
    pub fn update_models(&mut self, id: &str, sequence: u64, models: Vec<HeldModel>, now: Instant) {
        if let Some(entry) = self.runners.get_mut(id) {
            entry.update_models(sequence, models, now);
        }
    }

    /// Forgets a runner.
    pub fn remove_runner(&mut self, id: &str) {
        if let Some(entry) = self.runners.remove(id) {
            entry.close();
        }
    }

    /// Forgets all runners but those in `kept`.
    pub fn retain_runners(&mut self, kept: &[Arc<str>]) {
        self.runners.retain(|id, entry| {
            let keep = kept.contains(id);
            if !keep {
                entry.close();
            }
            keep
        });
    }

    /// A runner, if it takes new work.
    pub fn open_runner(&self, id: &str) -> Option<&Arc<Runner>> {
        self.runners
            .get(id)
            .filter(|entry| entry.is_open())
            .map(|entry| &entry.runner)
    }

    /// All runners known.
    pub fn runners(&self) -> impl Iterator<Item = &Arc<Runner>> {
        self.runners.values().map(|entry| &entry.runner)
    }

    /// Takes in another node's attempts in flight.
    pub fn set_peer_load(
        &mut self,
        node: Arc<str>,
        in_flight: Vec<(RunnerKey, u32)>,
        now: Instant,
    ) {
        self.peers.insert(node, PeerLoad { at: now, in_flight });
        self.sum_peer_load(now);
    }

    fn sum_peer_load(&mut self, now: Instant) {
        self.peers
            .retain(|_, load| now.saturating_duration_since(load.at) < PEER_LOAD_AGE);
        let mut sums: HashMap<RunnerKey, u32> = HashMap::new();
        for (key, count) in self.peers.values().flat_map(|load| &load.in_flight) {
            *sums.entry(*key).or_default() += count;
        }
        for (id, entry) in &mut self.runners {
            entry.peer_in_flight = sums.get(&runner_key(id)).copied().unwrap_or(0);
        }
    }

    /// This node's attempts in flight by runner.
    pub fn own_load(&self) -> Vec<(RunnerKey, u32)> {
        self.runners
            .iter()
            .filter(|(_, entry)| entry.in_flight > 0)
            .map(|(id, entry)| (runner_key(id), entry.in_flight))
            .collect()
    }

    /// Runners that this node cannot reach.
    pub fn unreachable(&self, now: Instant) -> Vec<RunnerKey> {
        self.runners
            .iter()
            .filter(|(_, entry)| entry.health.is_unreachable(now))
            .map(|(id, _)| runner_key(id))
            .collect()
    }

    /// This node's demand.
    pub fn demand(&mut self, now: Instant) -> Vec<DemandItem> {
        self.demand.items(now)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Retries left for `service`.
    pub fn retries_left(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let nodes = self.nodes;
        self.budget(service).left(now, nodes)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let (limits, started) = (self.limits, self.started);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits, started))
    }

    /// Asks for a runner.
    pub fn acquire(&mut self, query: Query, now: Instant) -> Acquired {
        if let Some(refusal) = self.account(&query, now) {
            return Acquired::Refused(refusal);
        }
        if let Some(grant) = self.try_grant(&query, now) {
            return Acquired::Granted(grant);
        }
        self.wait_or_refuse(query, now)
    }

    fn account(&mut self, query: &Query, now: Instant) -> Option<Refusal> {
        let nodes = self.nodes;
        match query.attempt {
            AttemptKind::Unsent => return None,
            AttemptKind::Retry => {
                let taken = self.budget(&query.service).try_take(now, nodes);
                return (!taken).then_some(Refusal {
                    reason: RefusalReason::RetryBudget,
                    retry_after: USUAL_RETRY_AFTER,
                });
            }
            AttemptKind::First => self.budget(&query.service).count_request(now),
        }
        if let Some(wanted) = &query.wanted {
            self.demand.requested(&query.service, wanted, now);
        }
        None
    }

    fn try_grant(&mut self, query: &Query, now: Instant) -> Option<Grant> {
        let service = self.configuration.services.get(&query.service).cloned();
        let engine = service.as_ref().and_then(|service| service.engine.as_ref());
        let usable: Vec<&RunnerEntry> = self
            .runners
            .values()
            .filter(|entry| entry.runner.service == query.service && entry.is_open())
            .filter(|entry| !query.excluded.contains(&entry.runner.id))
            .filter(|entry| can_serve(entry, query, engine, now))
            .collect();
        let healthy: Vec<&RunnerEntry> = usable
            .iter()
            .copied()
            .filter(|entry| !entry.health.is_blocked(now))
            .collect();
        // With no sound runner left, a doubtful one is better than none.
        let considered = if healthy.is_empty() { usable } else { healthy };
        let candidates: Vec<&RunnerEntry> = considered
            .into_iter()
            .filter(|entry| !entry.health.is_busy(now))
            .filter(|entry| has_room(entry, query, engine))
            .collect();
        let index = cheapest(&candidates, query, &self.zone, now)?;
        let id = candidates[index].runner.id.clone();
        let count = candidates.len();
        Some(self.grant(&id, query, count))
    }

    fn grant(&mut self, id: &Arc<str>, query: &Query, candidates: usize) -> Grant {
        self.next_id += 1;
        let permit = self.next_id;
        let entry = self.runners.get_mut(id).expect("the runner was chosen");
        let in_flight = entry.total_in_flight();
        entry.in_flight += 1;
        entry.tokens += query.tokens;
        entry.unread_tokens += query.prompt_tokens;
        let runner = entry.runner.clone();
        let open = entry.open.clone();
        if let Some(wanted) = &query.wanted {
            self.demand.started(&query.service, wanted);
        }
        self.permits.insert(
            permit,
            Permit {
                runner: id.clone(),
                service: query.service.clone(),
                wanted: query.wanted.clone(),
                tokens: query.tokens,
                unread_tokens: query.prompt_tokens,
            },
        );
        Grant {
            permit,
            runner,
            candidates,
            in_flight,
            open,
        }
    }

    fn wait_or_refuse(&mut self, query: Query, now: Instant) -> Acquired {
        let (reason, refuse_at) = self.waiting_time(&query, now);
        if self.queue.len() >= LONGEST_QUEUE {
            return Acquired::Refused(self.refuse(&query, RefusalReason::QueueFull, now));
        }
        if refuse_at <= now || !query.may_wait {
            return Acquired::Refused(self.refuse(&query, reason, now));
        }
        self.next_id += 1;
        let ticket = self.next_id;
        if let Some(wanted) = &query.wanted {
            self.demand.waits(&query.service, wanted, query.priority);
        }
        self.queue.push(Waiting {
            ticket,
            query,
            refuse_at,
            reason,
        });
        Acquired::Waiting(ticket)
    }

    /// Why the request has to wait, and until when that makes sense.
    fn waiting_time(&self, query: &Query, now: Instant) -> (RefusalReason, Instant) {
        let early = now + query.target_latency.unwrap_or(USUAL_RETRY_AFTER) / EARLY_REFUSAL_PART;
        let last = (query.deadline - DEADLINE_MARGIN.min(query.deadline - now)).max(now);
        let patient = query.patience.map_or(last, |patience| {
            last.min(now + patience.mul_f64(PATIENCE_PART))
        });
        let known = self
            .runners
            .values()
            .any(|entry| entry.runner.service == query.service && entry.is_open());
        if !known {
            return (RefusalReason::NoRunner, early.min(last));
        }
        let Some(wanted) = &query.wanted else {
            return (RefusalReason::Full, early.min(last));
        };
        let loaded = self.runners.values().any(|entry| {
            entry.runner.service == query.service && entry.is_open() && entry.holds(wanted, now)
        });
        if loaded {
            return (RefusalReason::Full, patient);
        }
        let ready = now + self.expected_load_time(query, wanted) + LOAD_OVERHEAD;
        if ready < patient {
            return (RefusalReason::NotLoaded, patient);
        }
        (RefusalReason::NotLoaded, early.min(last))
    }

    /// The quickest way to have `wanted` loaded somewhere.
    fn expected_load_time(&self, query: &Query, wanted: &ModelReference) -> Duration {
        let engine = self
            .configuration
            .services
            .get(&query.service)
            .and_then(|service| service.engine.as_ref());
        let Some(spec) = engine.and_then(|engine| engine.models.get(&wanted.model)) else {
            return Duration::ZERO;
        };
        self.runners
            .values()
            .filter(|entry| entry.runner.service == query.service && entry.is_open())
            .map(|entry| {
                let runner = &entry.runner;
                if runner.models.iter().any(|held| held.model == wanted.model) {
                    Duration::ZERO
                } else if runner.copies.memory.contains(&wanted.model) {
                    spec.memory_load
                } else if runner.copies.disk.contains(&wanted.model) {
                    spec.disk_load
                } else {
                    spec.remote_load
                }
            })
            .min()
            .unwrap_or(spec.remote_load)
    }

    fn refuse(&mut self, query: &Query, reason: RefusalReason, now: Instant) -> Refusal {
        let left = query.deadline.saturating_duration_since(now);
        let wish = match (&query.wanted, reason) {
            (Some(wanted), RefusalReason::NotLoaded) => {
                self.expected_load_time(query, wanted) + LOAD_OVERHEAD
            }
            _ => USUAL_RETRY_AFTER,
        };
        let retry_after = wish.min(left / RETRY_AFTER_PART);
        if let Some(wanted) = &query.wanted {
            let until = now + retry_after + EXPECTED_BACK_SLACK;
            self.demand.expected(&query.service, wanted, until);
        }
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Gives up waiting.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.queue.remove(ticket) {
            self.stop_waiting(&waiting.query);
        }
    }

    fn stop_waiting(&mut self, query: &Query) {
        if let Some(wanted) = &query.wanted {
            self.demand.waits_no_more(&query.service, wanted);
        }
    }

    /// Answers waiting requests that can be answered now.
    pub fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<Grant, Refusal>)> {
        let mut answers = Vec::new();
        let mut kept = Vec::new();
        for waiting in self.queue.take() {
            if let Some(grant) = self.try_grant(&waiting.query, now) {
                self.stop_waiting(&waiting.query);
                answers.push((waiting.ticket, Ok(grant)));
            } else if waiting.refuse_at <= now {
                self.stop_waiting(&waiting.query);
                let refusal = self.refuse(&waiting.query, waiting.reason, now);
                answers.push((waiting.ticket, Err(refusal)));
            } else {
                kept.push(waiting);
            }
        }
        self.queue.restore(kept);
        answers
    }

    /// When [`Self::poll`] is needed next if nothing else happens.
    pub fn next_refusal(&self) -> Option<Instant> {
        self.queue.next_refusal()
    }

    /// Takes back a permit. Whether the runner was still known.
    pub fn finish(&mut self, permit: PermitId, outcome: Outcome, now: Instant) {
        let Some(permit) = self.permits.remove(&permit) else {
            return;
        };
        if let Some(wanted) = &permit.wanted {
            self.demand.ended(&permit.service, wanted);
        }
        let Some(entry) = self.runners.get_mut(&permit.runner) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.tokens = entry.tokens.saturating_sub(permit.tokens);
        entry.unread_tokens = entry.unread_tokens.saturating_sub(permit.unread_tokens);
        apply(entry, outcome, permit.wanted, now);
    }

    /// Takes in an outcome while the permit stays in use.
    pub fn observe(&mut self, permit: PermitId, outcome: Outcome, now: Instant) {
        let Some(permit) = self.permits.get_mut(&permit) else {
            return;
        };
        let wanted = permit.wanted.clone();
        let read = match outcome {
            Outcome::PromptRead { .. } => std::mem::take(&mut permit.unread_tokens),
            _ => 0,
        };
        if let Some(entry) = self.runners.get_mut(&permit.runner) {
            entry.unread_tokens = entry.unread_tokens.saturating_sub(read);
            apply(entry, outcome, wanted, now);
        }
    }

    /// Connections that this node may have to a runner of `service`.
    pub fn connection_share(&self, service: &Service) -> u32 {
        /// The rest covers nodes that do not know of each other yet.
        const USED_PART: f64 = 0.8;
        let share = f64::from(service.connection_limit) * USED_PART / self.nodes as f64;
        (share as u32).max(1)
    }
}

fn apply(entry: &mut RunnerEntry, outcome: Outcome, wanted: Option<ModelReference>, now: Instant) {
    match outcome {
        Outcome::Success { first_byte } | Outcome::PromptRead { first_byte } => {
            entry.health.succeeded(now, first_byte);
        }
        Outcome::Streamed { usual_gap } => {
            if let Some(wanted) = wanted {
                entry.streamed(&wanted.model, usual_gap);
            }
        }
        Outcome::Busy => {
            entry.health.failed(now, Failure::Error);
            entry.health.busy_for(now, BUSY_BLOCK);
        }
        Outcome::NotHeld => match wanted {
            Some(wanted) => entry.lacks(wanted, now),
            None => entry.health.block_for(now, WRONG_RUNNER_BLOCK),
        },
        Outcome::WrongRunner => entry.health.block_for(now, WRONG_RUNNER_BLOCK),
        Outcome::Failed(failure) => entry.health.failed(now, failure),
        Outcome::Abandoned => {}
    }
}

/// Whether the runner holds what the request wants.
fn can_serve(
    entry: &RunnerEntry,
    query: &Query,
    engine: Option<&EngineSpec>,
    now: Instant,
) -> bool {
    debug_assert_eq!(entry.runner.state, RunnerState::Available);
    match (engine, &query.wanted) {
        (Some(_), Some(wanted)) => entry.holds(wanted, now),
        _ => true,
    }
}

/// Whether the runner has a slot and cache for the request.
fn has_room(entry: &RunnerEntry, query: &Query, engine: Option<&EngineSpec>) -> bool {
    let slots = entry.runner.slots.max(1);
    match engine {
        Some(engine) => {
            let cache = engine.cache_tokens as f64 * CACHE_PART;
            let fits = entry.tokens == 0 || (entry.tokens + query.tokens) as f64 <= cache;
            entry.total_in_flight() < slots && fits
        }
        None => entry.total_in_flight() < slots + PLAIN_QUEUE,
    }
}
