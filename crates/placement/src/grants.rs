//! Planning grants: a pure function of the log's state and the decisions.

use std::collections::BTreeMap;

use barleyspar_control_log::{Change, ControlState};
use barleyspar_domain::{
    Grant, Holder, HolderState, ModelName, ModelSpec, RunnerKind, RunnerName, RunnerRecord,
    RunnerState, rendezvous_weight,
};
use barleyspar_policy::Decision;

/// Grant changes that bring `state` closer to `decisions`. Models without a
/// decision keep their grant.
///
/// Invariant: the result never adds a holder beyond the decided count, and
/// removes only holders whose incarnation is gone; others are marked as being
/// revoked and stay until their keeper has confirmed.
pub fn plan_grants(
    state: &ControlState,
    decide: &mut dyn FnMut(&ModelSpec) -> Option<std::sync::Arc<Decision>>,
) -> Vec<Change> {
    let mut planner = Planner::new(state);
    let mut changes = Vec::new();
    for model in state.models() {
        let Some(decision) = decide(model) else {
            continue;
        };
        let before = state.grants().get(&model.name);
        let after = planner.plan(model, &decision, before.map(AsRef::as_ref));
        if before.map(AsRef::as_ref) != Some(&after) {
            changes.push(Change::SetGrant(model.name.clone(), after));
        }
    }
    changes.extend(planner.plan_deleted());
    changes
}

struct Planner<'a> {
    state: &'a ControlState,
    granted_bytes: BTreeMap<RunnerName, u64>,
}

impl<'a> Planner<'a> {
    fn new(state: &'a ControlState) -> Self {
        let mut planner = Self {
            state,
            granted_bytes: BTreeMap::new(),
        };
        for (model, grant) in state.grants() {
            let bytes = state.model(model).map_or(0, |spec| spec.memory_bytes);
            for holder in &grant.holders {
                planner.add_bytes(&holder.runner, bytes);
            }
        }
        planner
    }

    fn add_bytes(&mut self, runner: &RunnerName, bytes: u64) {
        *self.granted_bytes.entry(runner.clone()).or_default() += bytes;
    }

    fn plan(&mut self, model: &ModelSpec, decision: &Decision, before: Option<&Grant>) -> Grant {
        let mut grant = self.living(before);
        grant.decided = decision.replicas;
        for holder in &mut grant.holders {
            let runner = self.state.runners().get(&holder.runner);
            if !runner.is_some_and(|runner| suits(runner, model, decision)) {
                holder.state = HolderState::Revoking;
            }
        }
        revoke_surplus(&mut grant);
        self.add_holders(&mut grant, model, decision);
        grant
    }

    /// The grant without holders whose incarnation is gone for good. A runner
    /// that came back with a new incarnation holds nothing, so its entry is
    /// renewed in place.
    fn living(&self, before: Option<&Grant>) -> Grant {
        let mut grant = before.cloned().unwrap_or_default();
        grant
            .holders
            .retain(|holder| self.state.runners().contains_key(&holder.runner));
        for holder in &mut grant.holders {
            let runner = &self.state.runners()[&holder.runner];
            if holder.incarnation != runner.incarnation {
                holder.incarnation = runner.incarnation;
                holder.state = HolderState::Granted;
            }
        }
        grant
    }

    fn add_holders(&mut self, grant: &mut Grant, model: &ModelSpec, decision: &Decision) {
        while (grant.holders.len() as u64) < u64::from(decision.replicas) {
            let Some(runner) = self.best_candidate(grant, model, decision) else {
                return;
            };
            let holder = Holder {
                runner: runner.name.clone(),
                incarnation: runner.incarnation,
                state: HolderState::Granted,
            };
            self.add_bytes(&holder.runner, model.memory_bytes);
            grant.holders.push(holder);
        }
    }

    /// The suitable runner in the zone with the fewest replicas of the model,
    /// then with the least memory granted, then by hash.
    fn best_candidate(
        &self,
        grant: &Grant,
        model: &ModelSpec,
        decision: &Decision,
    ) -> Option<&'a RunnerRecord> {
        let in_zone = |runner: &RunnerRecord| {
            let holders = grant.holders.iter();
            holders
                .filter_map(|holder| self.state.runners().get(&holder.runner))
                .filter(|other| other.zone == runner.zone)
                .count()
        };
        let filled = |runner: &RunnerRecord| {
            let granted = self.granted_bytes.get(&runner.name).copied().unwrap_or(0);
            u128::from(granted) * 1_000 / u128::from(runner.memory_bytes.max(1))
        };
        let hash =
            |runner: &RunnerRecord| rendezvous_weight(model.name.as_str(), runner.name.as_str());
        self.state
            .runners()
            .values()
            .map(AsRef::as_ref)
            .filter(|runner| grant.holder(&runner.name).is_none())
            .filter(|runner| suits(runner, model, decision))
            .min_by_key(|runner| (in_zone(runner), filled(runner), hash(runner)))
    }

    /// Grants of models that were deleted: their holders are revoked, then the
    /// grant is dropped.
    fn plan_deleted(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (model, grant) in self.state.grants() {
            if self.state.model(model).is_some() {
                continue;
            }
            let mut after = self.living(Some(grant));
            after.decided = 0;
            revoke_surplus(&mut after);
            let change = deleted_change(model, grant, after);
            changes.extend(change);
        }
        changes
    }
}

fn deleted_change(model: &ModelName, before: &Grant, after: Grant) -> Option<Change> {
    if after.holders.is_empty() {
        return Some(Change::DropGrant(model.clone()));
    }
    (before != &after).then(|| Change::SetGrant(model.clone(), after))
}

/// Marks holders beyond the decided count, the last ones first.
fn revoke_surplus(grant: &mut Grant) {
    let mut granted = 0;
    for holder in &mut grant.holders {
        if holder.state == HolderState::Granted {
            granted += 1;
            if granted > grant.decided {
                holder.state = HolderState::Revoking;
            }
        }
    }
}

fn suits(runner: &RunnerRecord, model: &ModelSpec, decision: &Decision) -> bool {
    runner.kind == RunnerKind::Engine
        && runner.service == model.service
        && runner.state == RunnerState::Live
        && runner.memory_bytes >= model.memory_bytes
        && (decision.zones.is_empty() || decision.zones.contains(&runner.zone))
}
