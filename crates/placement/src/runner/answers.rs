//! Answering demands out of the newest inventory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_control_log::ControlState;
use barleyspar_domain::ModelName;
use barleyspar_platform::engine::Inventory;
use barleyspar_policy::Decision;
use tokio::time::Instant;

use super::{RunnerTask, WaitingDemand};
use crate::messages::{Demand, DemandAnswer, RefusalReason};
use crate::plan::{Situation, Standing, Target};

/// Requests waiting for a model that one replica is thought to clear soon.
const WAITING_PER_REPLICA: u32 = 32;

impl RunnerTask {
    pub(super) fn with_situation<T>(
        &self,
        state: &ControlState,
        look: impl FnOnce(&Situation<'_>) -> T,
    ) -> Option<T> {
        let seen = self.seen.as_ref()?;
        let decisions = self.decisions(state, &seen.inventory);
        let situation = Situation {
            runner: &self.record.name,
            inventory: &seen.inventory,
            inventory_age: seen.at.elapsed(),
            state,
            decisions: &decisions,
            wants: &self.wants,
            default_keep_alive: self.shared.config.default_keep_alive,
            shortest_residency: self.shared.config.shortest_residency,
        };
        Some(look(&situation))
    }

    fn decisions(
        &self,
        state: &ControlState,
        inventory: &Inventory,
    ) -> BTreeMap<ModelName, Arc<Decision>> {
        let wall_clock = (self.shared.wall_clock)();
        let mut decisions = self
            .shared
            .decisions
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        let held = inventory.models.iter().map(|held| &held.model);
        let wanted = self.wants.keys().map(|target| &target.model);
        let asked = self.waiting.iter().map(|waiting| &waiting.target.model);
        let models = held.chain(wanted).chain(asked).chain(&self.granted.models);
        models
            .filter_map(|name| state.model(name))
            .filter_map(|model| {
                let decision = decisions.decide(state, model, wall_clock)?;
                Some((model.name.clone(), decision))
            })
            .collect()
    }

    /// Answers the demands whose answer is known or whose time is up.
    pub(super) fn resolve(&mut self) {
        let now = Instant::now();
        let totals = waiting_by_target(&self.waiting);
        let answers: BTreeMap<Target, DemandAnswer> = totals
            .iter()
            .map(|(target, waiting)| (target.clone(), self.answer(target, *waiting)))
            .collect();
        for entry in std::mem::take(&mut self.waiting) {
            let answer = answers[&entry.target].clone();
            if entry.reply.is_closed() {
                continue;
            }
            if now >= entry.until || is_final(&answer, &entry.demand) {
                let _ = entry.reply.send(answer);
            } else {
                self.waiting.push(entry);
            }
        }
        for (target, answer) in answers {
            if matches!(answer, DemandAnswer::Ready { .. }) {
                self.wants.remove(&target);
            }
        }
    }

    fn answer(&self, target: &Target, waiting: u32) -> DemandAnswer {
        let retry_after = self.shared.config.retry_after.as_millis() as u64;
        let refuse = |reason| DemandAnswer::Refused {
            reason,
            retry_after_milliseconds: retry_after,
        };
        let replicas_wanted = waiting.div_ceil(WAITING_PER_REPLICA).max(1);
        if self.office.is_none() || self.trouble.is_some() {
            return refuse(RefusalReason::EngineUnavailable);
        }
        let state = self.shared.log.state();
        let Some(seen) = &self.seen else {
            return refuse(RefusalReason::EngineUnavailable);
        };
        let leaving = &self.shared.notices;
        if seen.inventory.leaving
            || leaving.is_leaving(&self.record.name, seen.inventory.incarnation)
        {
            return refuse(RefusalReason::Leaving);
        }
        match self.with_situation(&state, |situation| situation.standing(target)) {
            Some(Standing::Ready) => DemandAnswer::Ready { replicas_wanted },
            _ if !self.is_current() => refuse(RefusalReason::NotCurrent),
            Some(Standing::Possible) if waiting == 0 => DemandAnswer::Idle,
            Some(Standing::Possible) => DemandAnswer::Loading {
                expected_milliseconds: self.expected(&state, target).as_millis() as u64,
                replicas_wanted,
            },
            Some(Standing::NoMemory) => refuse(RefusalReason::NoMemory),
            Some(Standing::Withdrawing) => refuse(RefusalReason::Withdrawing),
            Some(Standing::NotGranted) | None => refuse(RefusalReason::NotGranted),
        }
    }

    fn expected(&self, state: &ControlState, target: &Target) -> Duration {
        let bytes = state.model(&target.model).map_or(0, |m| m.memory_bytes);
        let whole = self.estimate.expect(self.tier_of(&target.model), bytes);
        let started = self.loads.get(&target.model).map(|watch| watch.started);
        whole.saturating_sub(started.map_or(Duration::ZERO, |at| at.elapsed()))
    }
}

fn waiting_by_target(waiting: &[WaitingDemand]) -> BTreeMap<Target, u32> {
    let mut totals: BTreeMap<Target, u32> = BTreeMap::new();
    for entry in waiting {
        let total = totals.entry(entry.target.clone()).or_default();
        *total = total.saturating_add(entry.demand.waiting);
    }
    totals
}

/// Whether `answer` is to be given at once.
fn is_final(answer: &DemandAnswer, demand: &Demand) -> bool {
    match answer {
        DemandAnswer::Ready { .. } => !demand.known_ready,
        DemandAnswer::Refused { .. } | DemandAnswer::NotKeeper => true,
        DemandAnswer::Loading { .. } | DemandAnswer::Idle => demand.known_ready,
    }
}
