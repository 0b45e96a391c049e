//! The lagging list of machines.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_domain::{Incarnation, RunnerName, RunnerRecord, RunnerState};
use barleyspar_platform::MachineList;
use barleyspar_platform::machines::{Listing, MachineListError};
use tokio::time::Instant;

type Snapshot = Vec<RunnerRecord>;

#[derive(Debug)]
struct State {
    snapshots: VecDeque<(Instant, Snapshot)>,
    /// Number of the oldest snapshot: its tag.
    oldest: u64,
    down: bool,
}

/// The list. Cheap to clone; clones are the same list.
#[derive(Debug, Clone)]
pub struct MachineListStandIn {
    lag: Duration,
    state: Arc<Mutex<State>>,
}

impl MachineListStandIn {
    /// A list that tells what was true `lag` ago, and `machines` until then.
    pub fn new(machines: Snapshot, lag: Duration) -> Self {
        let state = State {
            snapshots: VecDeque::from([(Instant::now(), machines)]),
            oldest: 1,
            down: false,
        };
        Self {
            lag,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// A machine is leaving.
    pub fn mark_leaving(&self, name: &RunnerName) {
        self.change(|machines| {
            let found = machines.iter_mut().find(|machine| &machine.name == name);
            if let Some(machine) = found {
                machine.state = RunnerState::Leaving;
            }
        });
    }

    /// A machine is gone.
    pub fn remove(&self, name: &RunnerName) {
        self.change(|machines| machines.retain(|machine| &machine.name != name));
    }

    /// A machine came, or came back with a new incarnation.
    pub fn put(&self, machine: RunnerRecord) {
        self.change(|machines| {
            machines.retain(|other| other.name != machine.name);
            machines.push(machine);
        });
    }

    /// The true incarnation of a machine now.
    pub fn incarnation(&self, name: &RunnerName) -> Option<Incarnation> {
        let state = self.lock();
        let (_, newest) = state.snapshots.back()?;
        let machine = newest.iter().find(|machine| &machine.name == name)?;
        Some(machine.incarnation)
    }

    fn change(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut state = self.lock();
        let mut newest = match state.snapshots.back() {
            Some((_, machines)) => machines.clone(),
            None => Vec::new(),
        };
        change(&mut newest);
        state.snapshots.push_back((Instant::now(), newest));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

#[async_trait]
impl MachineList for MachineListStandIn {
    async fn list(&self, known: Option<&str>) -> Result<Listing, MachineListError> {
        let mut state = self.lock();
        if state.down {
            return Err(MachineListError("outage".to_owned()));
        }
        let now = Instant::now();
        while state.snapshots.len() > 1 && now.duration_since(state.snapshots[1].0) >= self.lag {
            state.snapshots.pop_front();
            state.oldest += 1;
        }
        let tag = format!("\"{}\"", state.oldest);
        let changed = known != Some(tag.as_str());
        Ok(Listing {
            tag: Some(tag),
            machines: changed.then(|| state.snapshots[0].1.clone()),
        })
    }
}
