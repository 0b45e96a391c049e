//! Reading the machine list: the runner directory of the log and leaving notices.

use std::collections::BTreeMap;
use std::sync::Arc;

use barleyspar_control_log::{Change, ControlState};
use barleyspar_domain::{RunnerName, RunnerRecord, RunnerState};
use barleyspar_kernel::Stage;
use barleyspar_peer::call;

use crate::NOTICE_SERVICE;
use crate::list_reader::ListReader;
use crate::notices::RunnerLife;
use crate::start::Shared;

/// Changes that bring the directory in `state` to what `listed` says, given how
/// often in a row each runner has been missing from the list.
pub fn directory_changes(
    state: &ControlState,
    listed: &BTreeMap<RunnerName, RunnerRecord>,
    absences: &BTreeMap<RunnerName, u32>,
    absences_before_removal: u32,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for (name, runner) in listed {
        let known = state.runners().get(name);
        if known.is_none_or(|known| supersedes(runner, known)) {
            changes.push(Change::PutRunner(runner.clone()));
        }
    }
    for name in state.runners().keys() {
        let absent = absences.get(name).copied().unwrap_or(0);
        if !listed.contains_key(name) && absent >= absences_before_removal {
            changes.push(Change::RemoveRunner(name.clone()));
        }
    }
    changes
}

/// Whether `listed` is news about the runner `known`. The list lags, so within
/// one incarnation a runner that is leaving never becomes live again, and an
/// older incarnation is never believed.
fn supersedes(listed: &RunnerRecord, known: &RunnerRecord) -> bool {
    if listed.incarnation != known.incarnation {
        return listed.incarnation > known.incarnation;
    }
    let revived = known.state == RunnerState::Leaving && listed.state == RunnerState::Live;
    listed != known && !revived
}

/// Runs the task that, in a few members of each zone, reads the machine list
/// and tells the zone which runners are leaving.
pub(crate) async fn run_notices(shared: Arc<Shared>) {
    let stop = shared.kernel.stop_signal(Stage::Control);
    let mut reader = ListReader::new(Arc::clone(&shared.machines));
    loop {
        tokio::select! {
            biased;
            () = stop.raised() => return,
            () = tokio::time::sleep(shared.config.machine_list_interval) => {}
        }
        let view = shared.membership.view();
        if !view.is_relay(shared.config.list_readers_per_zone) {
            continue;
        }
        let Ok(listed) = reader.read().await else {
            continue;
        };
        let leaving = listed
            .iter()
            .filter(|runner| runner.state == RunnerState::Leaving)
            .map(|runner| RunnerLife {
                runner: runner.name.clone(),
                incarnation: runner.incarnation,
            });
        if shared.notices.add(leaving) {
            tell_zone(&shared);
        }
        let state = shared.log.state();
        shared.notices.retain(|life| {
            let in_list = listed.iter().any(|runner| runner.name == life.runner);
            in_list || state.runners().contains_key(&life.runner)
        });
    }
}

/// Tells every member of this zone what this node knows of leaving runners.
pub(crate) fn tell_zone(shared: &Arc<Shared>) {
    let notices = shared.notices.all();
    let view = shared.membership.view();
    for member in view.reachable_in(&view.me.zone) {
        if member.name == view.me.name {
            continue;
        }
        let (shared, notices) = (Arc::clone(shared), notices.clone());
        let address = member.address;
        let kernel = shared.kernel.clone();
        kernel.spawn(Stage::Control, async move {
            let transport = shared.transport.as_ref();
            let time_limit = shared.config.peer_time_limit;
            let told: Result<bool, _> =
                call(transport, address, NOTICE_SERVICE, &notices, time_limit).await;
            if let Err(error) = told {
                tracing::debug!(%error, "a leaving notice was not delivered");
            }
        });
    }
}
