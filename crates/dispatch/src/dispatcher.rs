//! The dispatcher: grants runners to requests, lets them wait, or refuses them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{ColdBounds, Configuration, ModelReference};
use barleyspar_domain::rank;

use crate::budget::{BudgetLimits, RetryBudget, Share};
use crate::choice::{Chooser, cheapest};
use crate::cold_start::ColdStarts;
use crate::demand::{DemandItem, DemandTable};
use crate::health::Outcome;
use crate::holders::Holders;
use crate::leaving::Leaving;
use crate::outcome::apply;
use crate::pauses::Pauses;
use crate::peer_load::PeerLoads;
use crate::query::{Acquired, AttemptKind, Grant, PermitId, Query, Refusal, RefusalReason, Ticket};
use crate::queue::Queue;
use crate::runner::{RunnerEntry, RunnerKey};

/// Time to be told to come back when nothing better is known.
pub(crate) const USUAL_RETRY_AFTER: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Permit {
    runner: Arc<str>,
    service: Arc<str>,
    wanted: Option<ModelReference>,
    tokens: u64,
    unread_tokens: u64,
}

/// What a dispatcher is told of its site once.
#[derive(Debug, Clone)]
pub struct Site {
    /// Regions of zones.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// What cold runners may get beyond what they bear.
    pub cold: ColdBounds,
}

/// The state of all of this node's requests and of all runners it knows.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) name: Arc<str>,
    zone: Arc<str>,
    limits: BudgetLimits,
    started: Instant,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) runners: BTreeMap<Arc<str>, RunnerEntry>,
    pub(crate) queue: Queue,
    permits: HashMap<PermitId, Permit>,
    /// Runners that this node has sent a request: all that a look at its own load
    /// and troubles has to see, few of the thousands that it knows.
    pub(crate) used: BTreeSet<Arc<str>>,
    budgets: HashMap<Arc<str>, RetryBudget>,
    pub(crate) leaving: Leaving,
    pub(crate) pauses: Pauses,
    /// Runners that named a limit once.
    pub(crate) limited: BTreeSet<Arc<str>>,
    pub(crate) demand: DemandTable,
    pub(crate) cold_starts: ColdStarts,
    pub(crate) holders: Holders,
    pub(crate) ids: HashMap<RunnerKey, Arc<str>>,
    pub(crate) peer_loads: PeerLoads,
    pub(crate) members: Vec<Arc<str>>,
    pub(crate) site: Site,
    pub(crate) evacuated: BTreeMap<Arc<str>, Instant>,
    pub(crate) next_id: u64,
}

impl Dispatcher {
    /// A dispatcher of the node `name` in `zone` that started at `now`.
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
            limits,
            started: now,
            configuration: Arc::default(),
            runners: BTreeMap::new(),
            queue: Queue::default(),
            permits: HashMap::new(),
            used: BTreeSet::new(),
            budgets: HashMap::new(),
            leaving: Leaving::default(),
            pauses: Pauses::default(),
            limited: BTreeSet::new(),
            demand: DemandTable::default(),
            cold_starts: ColdStarts::default(),
            holders: Holders::default(),
            ids: HashMap::new(),
            peer_loads: PeerLoads::default(),
            members: Vec::new(),
            site,
            evacuated: BTreeMap::new(),
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

    /// Sets the nodes that share limits, this one included.
    pub fn set_members(&mut self, members: Vec<Arc<str>>) {
        self.members = members;
    }

    /// Nodes that share limits.
    pub(crate) fn nodes(&self) -> usize {
        self.members.len().max(1)
    }

    /// This node's attempts in flight by runner.
    pub fn own_load(&self) -> Vec<(RunnerKey, u32)> {
        self.used_runners()
            .filter(|entry| entry.in_flight > 0)
            .map(|entry| (entry.key, entry.in_flight))
            .collect()
    }

    /// Runners that this node cannot reach.
    pub fn unreachable(&self, now: Instant) -> Vec<RunnerKey> {
        self.used_runners()
            .filter(|entry| entry.health().is_unreachable(now))
            .map(|entry| entry.key)
            .collect()
    }

    fn used_runners(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.used.iter().filter_map(|id| self.runners.get(id))
    }

    /// This node's demand.
    pub fn demand(&mut self, now: Instant) -> Vec<DemandItem> {
        self.demand.items(now)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let (limits, started) = (self.limits, self.started);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits, started))
    }

    /// This node's share of the retries to `service`.
    fn share(&self, service: &Arc<str>) -> Share {
        let own = rank(service, &self.name);
        let before = |member: &&Arc<str>| **member != self.name && rank(service, *member) > own;
        Share {
            nodes: self.nodes(),
            place: self.members.iter().filter(before).count(),
        }
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
        match query.attempt {
            AttemptKind::Unsent => return None,
            AttemptKind::Retry => {
                let share = self.share(&query.service);
                let taken = self.budget(&query.service).try_take(now, share);
                return (!taken).then_some(Refusal {
                    reason: RefusalReason::RetryBudget,
                    retry_after: USUAL_RETRY_AFTER,
                });
            }
            AttemptKind::First => self.budget(&query.service).count_request(now),
        }
        if let Some(wanted) = &query.wanted {
            self.demand
                .requested(&query.service, wanted, query.priority, now);
        }
        None
    }

    fn try_grant(&mut self, query: &Query, now: Instant) -> Option<Grant> {
        for id in self.lacking_rate_permit(query, now) {
            self.want_rate_permit(&id);
        }
        let candidates = self.candidates(query, now);
        let chooser = Chooser {
            zone: &self.zone,
            nodes: self.nodes(),
            seed: rank(&self.next_id, &*self.name),
            now,
        };
        let index = cheapest(&candidates, query, chooser)?;
        let id = candidates[index].runner.id.clone();
        let count = candidates.len();
        Some(self.grant(&id, query, count, now))
    }

    fn grant(&mut self, id: &Arc<str>, query: &Query, candidates: usize, now: Instant) -> Grant {
        self.next_id += 1;
        let permit = self.next_id;
        let entry = self.runners.get_mut(id).expect("the runner was chosen");
        let in_flight = entry.total_in_flight();
        entry.in_flight += 1;
        entry.sends(now);
        entry.use_rate_permit();
        self.used.insert(id.clone());
        self.pauses.granted(id, permit);
        entry.tokens += query.tokens;
        entry.unread_tokens += query.prompt_tokens;
        let runner = entry.runner.clone();
        let limited = entry.is_limited();
        let open = entry.open();
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
            limited,
            open,
        }
    }

    /// Answers waiting requests that can be answered now.
    pub fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<Grant, Refusal>)> {
        let mut answers = Vec::new();
        let mut kept = Vec::new();
        for mut waiting in self.queue.take() {
            if let Some(grant) = self.try_grant(&waiting.query, now) {
                self.stop_waiting(&waiting.query);
                answers.push((waiting.ticket, Ok(grant)));
            } else if let Some(reason) = self.is_over(&mut waiting, now) {
                self.stop_waiting(&waiting.query);
                let refusal = self.refuse(&waiting.query, reason, now);
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
    pub fn finish(&mut self, id: PermitId, outcome: Outcome, now: Instant) {
        let Some(permit) = self.permits.remove(&id) else {
            return;
        };
        if outcome.is_taken() {
            self.pauses.taken(&permit.runner, id);
        }
        self.pauses.ended(&permit.runner, id);
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
    pub fn observe(&mut self, id: PermitId, outcome: Outcome, now: Instant) {
        let Some(permit) = self.permits.get_mut(&id) else {
            return;
        };
        if outcome.is_taken() {
            self.pauses.taken(&permit.runner, id);
        }
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
}
