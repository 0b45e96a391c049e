//! The coordinator: one node at a time brings the runner directory and the
//! grants in the log up to date.
//!
//! Which node does it follows from membership. Two at once do no harm: each
//! change is made of the state at the position before it, or not at all.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use barleyspar_control_log::{Change, ControlState, Proposal};
use barleyspar_domain::{
    Grant, HolderState, Incarnation, ModelName, RunnerKind, RunnerName, RunnerRecord,
};
use barleyspar_kernel::Stage;
use barleyspar_peer::call;
use tokio::time::Instant;

use crate::decisions::MILLISECONDS_PER_MINUTE;
use crate::list_reader::ListReader;
use crate::machines::directory_changes;
use crate::messages::{KeeperAnswer, KeeperRequest};
use crate::start::Shared;
use crate::{Decisions, KEEPER_SERVICE, plan_grants};

const TASK: &str = "coordinator";

/// A grant that is being withdrawn from one runner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Revocation {
    model: ModelName,
    runner: RunnerName,
    incarnation: Incarnation,
}

/// Runs the coordinator's task; it acts only while this node leads.
pub(crate) async fn run_coordinator(shared: Arc<Shared>) {
    let stop = shared.kernel.stop_signal(Stage::Control);
    let mut coordinator = Coordinator::new(Arc::clone(&shared));
    loop {
        tokio::select! {
            biased;
            () = stop.raised() => return,
            () = tokio::time::sleep(shared.config.coordinator_interval) => {}
        }
        let view = shared.membership.view();
        let leads = view.leader(TASK).is_some_and(|m| m.name == view.me.name);
        if leads && shared.log.view().current {
            coordinator.round().await;
        }
    }
}

struct Coordinator {
    list: ListReader,
    shared: Arc<Shared>,
    decisions: Arc<Mutex<Decisions>>,
    absences: BTreeMap<RunnerName, u32>,
    last_list: Option<Instant>,
    planned: Option<(u64, u64)>,
}

impl Coordinator {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            list: ListReader::new(Arc::clone(&shared.machines)),
            shared,
            decisions: Arc::default(),
            absences: BTreeMap::new(),
            last_list: None,
            planned: None,
        }
    }

    async fn round(&mut self) {
        self.update_directory().await;
        self.update_grants().await;
        self.confirm_revocations().await;
    }

    async fn update_directory(&mut self) {
        let interval = self.shared.config.machine_list_interval;
        if self.last_list.is_some_and(|last| last.elapsed() < interval) {
            return;
        }
        self.last_list = Some(Instant::now());
        let listed = match self.list.read().await {
            Ok(listed) => listed,
            Err(error) => {
                tracing::debug!(%error, "machine list not read");
                return;
            }
        };
        let listed: BTreeMap<RunnerName, RunnerRecord> = listed
            .iter()
            .map(|runner| (runner.name.clone(), runner.clone()))
            .collect();
        let state = self.shared.log.state();
        self.count_absences(&state, &listed);
        let (absences, limit) = (
            self.absences.clone(),
            self.shared.config.absences_before_removal,
        );
        if directory_changes(&state, &listed, &absences, limit).is_empty() {
            return;
        }
        let proposal: Proposal =
            Box::new(move |state| Ok(directory_changes(state, &listed, &absences, limit)));
        self.append("runner directory", proposal).await;
    }

    fn count_absences(
        &mut self,
        state: &ControlState,
        listed: &BTreeMap<RunnerName, RunnerRecord>,
    ) {
        self.absences
            .retain(|name, _| state.runners().contains_key(name) && !listed.contains_key(name));
        for name in state.runners().keys() {
            if !listed.contains_key(name) {
                *self.absences.entry(name.clone()).or_default() += 1;
            }
        }
    }

    async fn update_grants(&mut self) {
        let state = self.shared.log.state();
        let wall_clock = (self.shared.wall_clock)();
        let minute = wall_clock / MILLISECONDS_PER_MINUTE;
        if self.planned == Some((state.position(), minute)) {
            return;
        }
        let decisions = Arc::clone(&self.decisions);
        let plan = move |state: &ControlState| {
            let mut decisions = decisions.lock().unwrap_or_else(|e| e.into_inner());
            plan_grants(state, &mut |model| {
                decisions.decide(state, model, wall_clock)
            })
        };
        if plan(&state).is_empty() {
            self.planned = Some((state.position(), minute));
            return;
        }
        let proposal: Proposal = Box::new(move |state| Ok(plan(state)));
        self.append("grants", proposal).await;
    }

    async fn append(&self, what: &'static str, proposal: Proposal) {
        let author = format!("node {}", self.shared.membership.view().me.name);
        match self.shared.log.append(author, proposal).await {
            Ok(appended) => {
                self.shared.log.spread(appended.position).await;
            }
            Err(error) => tracing::warn!(%error, what, "not written to the control log"),
        }
    }

    /// Asks the keepers of runners that lose a grant to confirm, and removes
    /// those that did.
    async fn confirm_revocations(&mut self) {
        let state = self.shared.log.state();
        let mut confirmed = Vec::new();
        for revocation in revocations(&state) {
            if self.is_released(&state, &revocation).await {
                confirmed.push(revocation);
            }
        }
        if confirmed.is_empty() {
            return;
        }
        let proposal: Proposal = Box::new(move |state| Ok(removals(state, &confirmed)));
        self.append("confirmed revocations", proposal).await;
    }

    async fn is_released(&self, state: &ControlState, revocation: &Revocation) -> bool {
        let Some(runner) = state.runners().get(&revocation.runner) else {
            return true;
        };
        if runner.kind != RunnerKind::Engine {
            return true;
        }
        let view = self.shared.membership.view();
        let Some(keeper) = view.keeper(&runner.zone, runner.name.as_str()) else {
            return false;
        };
        let request = KeeperRequest::ConfirmReleased {
            runner: revocation.runner.clone(),
            model: revocation.model.clone(),
            position: state.position(),
        };
        let transport = self.shared.transport.as_ref();
        let time_limit = self.shared.config.peer_time_limit;
        let answer = call(
            transport,
            keeper.address,
            KEEPER_SERVICE,
            &request,
            time_limit,
        )
        .await;
        matches!(answer, Ok(KeeperAnswer::Released(true)))
    }
}

fn revocations(state: &ControlState) -> Vec<Revocation> {
    let mut found = Vec::new();
    for (model, grant) in state.grants() {
        let revoking = grant.holders.iter();
        let revoking = revoking.filter(|holder| holder.state == HolderState::Revoking);
        found.extend(revoking.map(|holder| Revocation {
            model: model.clone(),
            runner: holder.runner.clone(),
            incarnation: holder.incarnation,
        }));
    }
    found
}

/// Grant changes that remove the confirmed holders, where they are still being
/// revoked in the same incarnation.
fn removals(state: &ControlState, confirmed: &[Revocation]) -> Vec<Change> {
    let mut changes = Vec::new();
    for (model, grant) in state.grants() {
        let mut after: Grant = grant.as_ref().clone();
        after.holders.retain(|holder| {
            let revocation = Revocation {
                model: model.clone(),
                runner: holder.runner.clone(),
                incarnation: holder.incarnation,
            };
            holder.state != HolderState::Revoking || !confirmed.contains(&revocation)
        });
        if &after != grant.as_ref() {
            changes.push(Change::SetGrant(model.clone(), after));
        }
    }
    changes
}
