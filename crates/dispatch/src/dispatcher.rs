//! The dispatcher: grants runners to requests, queues them, or refuses them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{ColdBounds, Configuration, ModelReference, Runner, RunnerKey};
use barleyspar_domain::rendezvous_weight;
use barleyspar_prefill::RunnerEstimates;

use crate::arrivals::{Arrival, PendingArrivals, RequestNumber};
use crate::brittle::{BRITTLE_BUSY_TIME, BrittleServices};
use crate::budget::{BudgetLimits, BudgetShare, RetryBudget};
use crate::cold_start::ColdStarts;
use crate::demand::{DemandItem, DemandTable};
use crate::draining::DrainingRunners;
use crate::health::Outcome;
use crate::holders::Holders;
use crate::outcome::apply_outcome;
use crate::peer_load::PeerLoads;
use crate::prompt_demand::PromptDemandTable;
use crate::query::{Acquired, AttemptKind, Grant, PermitId, Query, Refusal, RefusalReason, Ticket};
use crate::queue::Queue;
use crate::requested_pauses::RequestedPauses;
use crate::runner::RunnerEntry;
use crate::selection::{SelectionContext, cheapest_candidate};
use crate::sharing_nodes::SharingNodes;
use crate::software_history::SoftwareHistory;
use crate::turnover::{SlotGroup, Turnover, WaitingTurns};

/// A granted attempt that has not ended.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Id of the runner that the attempt was granted.
    pub(crate) runner: Arc<str>,
    pub(crate) request: RequestNumber,
    service: Arc<str>,
    wanted: Option<ModelReference>,
    cache_tokens: u64,
    pub(crate) granted_at: Instant,
    /// Whether the runner was seen to accept the request, so that it holds a slot.
    accepted: bool,
    /// Whether the runner has answered, so that the request arrives no more.
    pub(crate) has_arrived: bool,
}

/// Static settings of the site that a dispatcher belongs to.
#[derive(Debug, Clone)]
pub struct Site {
    /// Region of each zone, by the zone's name.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// How far the request rate at a cold runner (one that has just started) may exceed
    /// the rate configured for its service.
    pub cold_bounds: ColdBounds,
}

/// State of all requests of this node and of all runners that it knows.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) name: Arc<str>,
    zone: Arc<str>,
    pub(crate) budget_limits: BudgetLimits,
    pub(crate) started_at: Instant,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) runners: BTreeMap<Arc<str>, RunnerEntry>,
    pub(crate) queue: Queue,
    pub(crate) permits: HashMap<PermitId, Permit>,
    pub(crate) turnover: Turnover,
    /// Ids of the runners that this node has sent a request. Reports on this node's own
    /// load and on unreachable runners look only at these few of the thousands that it
    /// knows.
    pub(crate) used_runner_ids: BTreeSet<Arc<str>>,
    pub(crate) budgets: HashMap<Arc<str>, RetryBudget>,
    /// The nodes that share the retry budgets.
    budget_nodes: SharingNodes,
    pub(crate) arrivals: PendingArrivals,
    pub(crate) brittle: BrittleServices,
    pub(crate) draining: DrainingRunners,
    pub(crate) requested_pauses: RequestedPauses,
    /// Ids of the runners that have advertised a rate limit at some time.
    pub(crate) limited_runner_ids: BTreeSet<Arc<str>>,
    pub(crate) demand: DemandTable,
    pub(crate) prompt_demand: PromptDemandTable,
    pub(crate) cold_starts: ColdStarts,
    pub(crate) holders: Holders,
    pub(crate) runner_ids_by_key: HashMap<RunnerKey, Arc<str>>,
    pub(crate) peer_loads: PeerLoads,
    /// What is known of the time that each runner takes for a prompt.
    pub(crate) estimates: RunnerEstimates,
    pub(crate) members: Vec<Arc<str>>,
    pub(crate) site: Site,
    pub(crate) software_history: SoftwareHistory,
    pub(crate) evacuated_zones: BTreeMap<Arc<str>, Instant>,
    /// Number last assigned as a permit id or ticket, which share one sequence; 0 before
    /// the first.
    pub(crate) last_id: u64,
}

impl Dispatcher {
    /// Creates a dispatcher for the node `name` in `zone`, which started at `now`.
    pub fn new(
        name: Arc<str>,
        zone: Arc<str>,
        limits: BudgetLimits,
        site: Site,
        now: Instant,
    ) -> Self {
        Self {
            name,
            zone,
            budget_limits: limits,
            started_at: now,
            configuration: Arc::default(),
            runners: BTreeMap::new(),
            queue: Queue::default(),
            permits: HashMap::new(),
            turnover: Turnover::default(),
            used_runner_ids: BTreeSet::new(),
            budgets: HashMap::new(),
            budget_nodes: SharingNodes::default(),
            arrivals: PendingArrivals::default(),
            brittle: BrittleServices::default(),
            draining: DrainingRunners::default(),
            requested_pauses: RequestedPauses::default(),
            limited_runner_ids: BTreeSet::new(),
            demand: DemandTable::default(),
            prompt_demand: PromptDemandTable::default(),
            cold_starts: ColdStarts::default(),
            holders: Holders::default(),
            runner_ids_by_key: HashMap::new(),
            peer_loads: PeerLoads::default(),
            estimates: RunnerEstimates::default(),
            members: Vec::new(),
            site,
            software_history: SoftwareHistory::default(),
            evacuated_zones: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Replaces the configuration; applies to all decisions from now on.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        self.turnover
            .retain(|service| configuration.services.contains_key(service));
        self.configuration = configuration;
    }

    /// Replaces the limits on retries that all nodes share.
    pub fn set_budget_limits(&mut self, limits: BudgetLimits) {
        self.budget_limits = limits;
        for budget in self.budgets.values_mut() {
            budget.set_limits(limits);
        }
    }

    /// Sets the names of the nodes that share retry budgets and limits, this node
    /// included.
    pub fn set_members(&mut self, members: Vec<Arc<str>>, now: Instant) {
        self.budget_nodes.set(members.len(), now);
        self.members = members;
    }

    /// Number of nodes that share limits, at least 1.
    pub(crate) fn node_count(&self) -> usize {
        self.members.len().max(1)
    }

    /// Returns this node's attempts in flight, for each runner that has any.
    pub fn local_in_flight(&self) -> Vec<(RunnerKey, u32)> {
        self.used_runners()
            .filter(|entry| entry.in_flight > 0)
            .map(|entry| (entry.key, entry.in_flight))
            .collect()
    }

    /// Returns the runners that did not respond to this node's last attempt and that it
    /// blocks at `now`.
    pub fn unreachable_runners(&self, now: Instant) -> Vec<RunnerKey> {
        self.used_runners()
            .filter(|entry| entry.health().is_unreachable(now))
            .map(|entry| entry.key)
            .collect()
    }

    /// Returns the runner `id` if this node may call it at `now`, and has not just failed to
    /// reach it.
    pub fn callable_runner(&self, id: &str, now: Instant) -> Option<Arc<Runner>> {
        let entry = self.runners.get(id)?;
        let is_callable = entry.is_open(now)
            && self.requested_pauses.allows(id, now)
            && !entry.health().is_unreachable(now);
        is_callable.then(|| entry.runner.clone())
    }

    pub(crate) fn used_runners(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.used_runner_ids
            .iter()
            .filter_map(|id| self.runners.get(id))
    }

    /// Returns the demand at this node, an item for each model or adapter with any.
    pub fn demand_items(&mut self, now: Instant) -> Vec<DemandItem> {
        self.demand.items(now)
    }

    /// Number of requests that wait for a runner.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let (limits, started) = (self.budget_limits, self.started_at);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits, started))
    }

    /// Returns this node's share of the retry budget of `service`. Nodes are ordered by
    /// rendezvous weight, so that the order differs between services.
    pub(crate) fn budget_share(&self, service: &Arc<str>, now: Instant) -> BudgetShare {
        let own_weight = rendezvous_weight(service, &self.name);
        let precedes_own = |member: &&Arc<str>| {
            **member != self.name && rendezvous_weight(service, *member) > own_weight
        };
        BudgetShare {
            nodes: self.budget_nodes.count(now),
            position: self.members.iter().filter(precedes_own).count(),
        }
    }

    /// Requests a runner: grants one, queues the request, or refuses it.
    pub fn acquire(&mut self, mut query: Query, now: Instant) -> Acquired {
        if let Some(refusal) = self.account_for_attempt(&query, now) {
            return Acquired::Refused(refusal);
        }
        self.cap_tokens(&mut query);
        if let Some(grant) = self.try_grant(&query, now) {
            return Acquired::Granted(grant);
        }
        let acquired = self.wait_or_refuse(&query, now);
        if matches!(acquired, Acquired::Refused(_)) {
            self.return_retry(&query);
        }
        acquired
    }

    /// Lowers the tokens that a request for an engine names to what a runner's cache holds. A
    /// larger prompt is never read, and would keep others from the runner.
    fn cap_tokens(&self, query: &mut Query) {
        let service = self.configuration.services.get(&query.service);
        if let Some(engine) = service.and_then(|service| service.engine.as_ref()) {
            query.prompt_tokens = query.prompt_tokens.min(engine.cache_tokens);
            query.cache_tokens = query.cache_tokens.min(engine.cache_tokens);
        }
    }

    /// Counts an attempt in the retry budget, and a first attempt in the demand, too.
    /// Returns a refusal if the budget allows no retry.
    fn account_for_attempt(&mut self, query: &Query, now: Instant) -> Option<Refusal> {
        match query.attempt {
            AttemptKind::Unsent => return None,
            AttemptKind::Retry => {
                let is_allowed = self.take_retry(query, now);
                return (!is_allowed).then(|| Refusal {
                    reason: RefusalReason::RetryBudget,
                    retry_after: self.spread_retry_after(query, now),
                    retry_budget: self.retry_budget_use(query, now),
                });
            }
            // It belongs to a window of which only its caller knows.
            AttemptKind::First if query.after_stall => {}
            AttemptKind::First => {
                self.settle_budget(&query.service, now);
                self.budget(&query.service).count_request(now);
            }
        }
        if let Some(wanted) = &query.wanted {
            self.demand
                .record_request(&query.service, wanted, query.priority, now);
        }
        self.record_prompt(query, now);
        None
    }

    /// Grants `query` the cheapest candidate; `None` if no runner can take the request
    /// now. Notes the rate permits that are needed to call further runners.
    fn try_grant(&mut self, query: &Query, now: Instant) -> Option<Grant> {
        for id in self.lacking_rate_permit(query, now) {
            self.want_rate_permit(&id);
        }
        let candidates = self.candidates(query, now);
        let context = SelectionContext {
            zone: &self.zone,
            estimates: &self.estimates,
            nodes: self.node_count(),
            seed: rendezvous_weight(&self.last_id, &*self.name),
            now,
        };
        let index = cheapest_candidate(&candidates, query, context)?;
        let id = candidates[index].runner.id.clone();
        let candidate_count = candidates.len();
        Some(self.grant(&id, query, candidate_count, now))
    }

    fn grant(&mut self, id: &Arc<str>, query: &Query, candidates: usize, now: Instant) -> Grant {
        self.last_id += 1;
        let permit = self.last_id;
        if query.attempt != AttemptKind::Unsent {
            self.queue.record_grant(query, now);
        }
        self.begin_arrival(query);
        let entry = self
            .runners
            .get_mut(id)
            .expect("candidates are known runners");
        let in_flight = entry.total_in_flight();
        entry.in_flight += 1;
        entry.record_send(now);
        entry.consume_rate_permit();
        self.used_runner_ids.insert(id.clone());
        self.requested_pauses.on_grant(id, permit);
        entry.reserved_tokens = entry.reserved_tokens.saturating_add(query.cache_tokens);
        entry.unread.add(permit, query.prompt_tokens, now);
        let runner = entry.runner.clone();
        let is_rate_limited = entry.is_rate_limited();
        let usual_response = entry.health().response_seconds();
        let tokens_per_second = self.estimates.tokens_per_second(entry.key);
        let accepts_work = entry.accepts_work();
        let retry_budget = self.retry_budget_use(query, now);
        self.turnover.begin(query.slot_group());
        if let Some(wanted) = &query.wanted {
            self.demand.add_in_flight(&query.service, wanted);
        }
        self.permits.insert(
            permit,
            Permit {
                runner: id.clone(),
                request: query.request,
                service: query.service.clone(),
                wanted: query.wanted.clone(),
                cache_tokens: query.cache_tokens,
                granted_at: now,
                accepted: false,
                has_arrived: false,
            },
        );
        Grant {
            permit,
            runner,
            candidates,
            in_flight,
            retry_budget,
            is_rate_limited,
            usual_response: usual_response.map(Duration::from_secs_f64),
            tokens_per_second,
            accepts_work,
        }
    }

    /// Tries all waiting requests again, and returns the answers of those that get a
    /// runner or are refused now.
    pub fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<Grant, Refusal>)> {
        let mut answers = Vec::new();
        let mut still_waiting = Vec::new();
        let mut turns = WaitingTurns::default();
        for mut waiting in self.queue.take_all() {
            if let Some(grant) = self.try_grant(&waiting.query, now) {
                self.stop_waiting(&waiting.query);
                answers.push((waiting.ticket, Ok(grant)));
                continue;
            }
            let group = waiting.query.slot_group();
            if let Some(refusal) = self.refusal_due(&mut waiting, turns.count(&group), now) {
                self.stop_waiting(&waiting.query);
                self.return_retry(&waiting.query);
                answers.push((waiting.ticket, Err(refusal)));
                continue;
            }
            turns.add(group);
            still_waiting.push(waiting);
        }
        self.queue.restore(still_waiting);
        answers
    }

    /// When [`Self::poll`] has to be called to refuse the next waiting request; `None` if
    /// no request waits.
    pub fn next_refusal_at(&self) -> Option<Instant> {
        self.queue.next_refusal_at()
    }

    /// Ends the attempt of a permit and records its outcome, and whether the request may yet
    /// arrive at the runner. An unknown permit is ignored.
    pub fn finish(&mut self, id: PermitId, outcome: Outcome, arrival: Arrival, now: Instant) {
        let Some(permit) = self.permits.remove(&id) else {
            return;
        };
        self.record_arrival(&permit, arrival, now);
        if outcome.shows_acceptance() {
            self.requested_pauses.on_accepted(&permit.runner, id);
        }
        let held = now.saturating_duration_since(permit.granted_at);
        let has_held = permit.accepted || outcome.shows_acceptance();
        let group = SlotGroup::of(&permit.service, permit.wanted.as_ref());
        self.turnover.end(group, has_held.then_some(held));
        self.requested_pauses.on_end(&permit.runner, id);
        if let Some(wanted) = &permit.wanted {
            self.demand.remove_in_flight(&permit.service, wanted);
        }
        let Some(entry) = self.runners.get_mut(&permit.runner) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.reserved_tokens = entry.reserved_tokens.saturating_sub(permit.cache_tokens);
        entry.unread.remove(id);
        apply_outcome(entry, outcome, permit.wanted, now);
        if outcome == Outcome::Replaced {
            // The process that had not read its requests has ended.
            self.end_given_up(&permit.runner, now, now);
            return;
        }
        if outcome == Outcome::Busy && self.brittle.contains(&permit.service) {
            entry.health_mut().mark_busy(now, BRITTLE_BUSY_TIME);
        }
    }

    /// Records an outcome of an attempt that goes on; the permit stays in use.
    pub fn record_interim_outcome(&mut self, id: PermitId, outcome: Outcome, now: Instant) {
        let Some(permit) = self.permits.get_mut(&id) else {
            return;
        };
        if outcome.shows_acceptance() {
            permit.accepted = true;
            self.requested_pauses.on_accepted(&permit.runner, id);
        }
        let wanted = permit.wanted.clone();
        if let Some(entry) = self.runners.get_mut(&permit.runner) {
            if matches!(outcome, Outcome::PromptRead { .. }) {
                entry.unread.remove(id);
            }
            apply_outcome(entry, outcome, wanted, now);
        }
    }
}
