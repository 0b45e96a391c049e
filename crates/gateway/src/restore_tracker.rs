//! Decides what to use of a store that was restored from a backup.
//!
//! The backup lacks what was written after it: runners and evacuations that it does not
//! show are kept until their writers had time to write them again. It also shows
//! runners that had gone: these are not used until their heartbeat rises or their
//! entries have lasted long enough.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Revision, Runner};
use tokio::time::Instant;

/// Time within which entries that the backup lacks are written again.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Time after which a runner that had gone counts as alive if its entry is still there:
/// longer than the entry of a dead runner lasts.
const ALIVE_AFTER: Duration = Duration::from_secs(10);
/// Time for which a runner that has gone is remembered, to recognize it in a backup.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);

/// A runner that this node dropped, because its entry was removed, replaced by that of
/// another incarnation, or unreadable.
#[derive(Debug)]
struct GoneRunner {
    id: Arc<str>,
    heartbeat: u64,
    era: u32,
    at: Instant,
}

/// A runner that the backup shows although it had gone, so that it may be dead.
#[derive(Debug)]
struct UncertainRunner {
    runner: Runner,
    revision: Revision,
    alive_at: Instant,
}

/// A decision on an entry that was uncertain after the store was restored from a
/// backup.
#[derive(Debug)]
pub enum Decision {
    /// The runner was not written again within [`REWRITE_TIME`] and has gone.
    RunnerGone(Arc<str>),
    /// The evacuation was not written again within [`REWRITE_TIME`] and has ended.
    EvacuationEnded(Arc<str>),
    /// The runner's entry has lasted for [`ALIVE_AFTER`], so the runner is alive.
    RunnerAlive(Box<Runner>, Revision),
}

/// The entries that are uncertain since the store was restored from a backup.
#[derive(Debug, Default)]
pub struct RestoreTracker {
    era: Option<u32>,
    /// Names of runners that the restored store lacks but that may be written again.
    missing_runners: HashSet<Arc<str>>,
    /// Zones whose evacuation the restored store lacks but that may be written again.
    missing_zones: HashSet<Arc<str>>,
    /// When entries that are still missing count as removed.
    missing_until: Option<Instant>,
    gone: HashMap<Arc<str>, GoneRunner>,
    uncertain: HashMap<Arc<str>, UncertainRunner>,
}

impl RestoreTracker {
    /// Records that the full state was read in `era`. Returns whether the store was
    /// restored from a backup since this node last read it.
    pub fn start_era(&mut self, era: u32) -> bool {
        let before = self.era.replace(era);
        before.is_some_and(|before| before < era)
    }

    /// Records runners and evacuated zones that this node knew and the restored store
    /// does not show.
    pub fn record_missing(
        &mut self,
        runners: impl IntoIterator<Item = Arc<str>>,
        zones: impl IntoIterator<Item = Arc<str>>,
    ) {
        self.missing_runners.extend(runners);
        self.missing_zones.extend(zones);
        self.missing_until = Some(Instant::now() + REWRITE_TIME);
    }

    /// Whether the restored store lacks the runner `name`, which may be written again.
    pub fn is_runner_missing(&self, name: &str) -> bool {
        self.missing_runners.contains(name)
    }

    /// Whether the restored store lacks the evacuation of `zone`, which may be written
    /// again.
    pub fn is_zone_missing(&self, zone: &str) -> bool {
        self.missing_zones.contains(zone)
    }

    /// Records that the evacuation of `zone` was written again.
    pub fn zone_written(&mut self, zone: &str) {
        self.missing_zones.remove(zone);
    }

    /// Checks an entry of a runner that the store shows. Returns false if the runner
    /// had gone before the restore and may be dead; the decision on it is later
    /// returned by `take_due_decisions`.
    pub fn accepts(&mut self, runner: &Runner, revision: Revision) -> bool {
        self.missing_runners.remove(&runner.name);
        let is_uncertain = self.gone.get(&runner.name).is_some_and(|gone| {
            gone.id == runner.id && gone.era < revision.era && runner.heartbeat <= gone.heartbeat
        });
        if !is_uncertain {
            self.uncertain.remove(&runner.name);
            return true;
        }
        let alive_at = Instant::now() + ALIVE_AFTER;
        let uncertain = UncertainRunner {
            runner: runner.clone(),
            revision,
            alive_at,
        };
        self.uncertain
            .entry(runner.name.clone())
            .or_insert(uncertain);
        false
    }

    /// Records that the store's entry of the runner `name` was removed.
    pub fn entry_removed(&mut self, name: &str) {
        self.missing_runners.remove(name);
        self.uncertain.remove(name);
    }

    /// Records that `runner`, which this node knew, has gone.
    pub fn record_gone(&mut self, runner: &Runner) {
        self.gone
            .retain(|_, gone| gone.at.elapsed() < REMEMBERED_FOR);
        let gone = GoneRunner {
            id: runner.id.clone(),
            heartbeat: runner.heartbeat,
            era: self.era.unwrap_or(0),
            at: Instant::now(),
        };
        self.gone.insert(runner.name.clone(), gone);
    }

    /// Returns when the next decision is due; `None` if no entry is uncertain.
    pub fn next_decision_at(&self) -> Option<Instant> {
        let uncertain = self.uncertain.values().map(|uncertain| uncertain.alive_at);
        uncertain.chain(self.missing_until).min()
    }

    /// Returns the decisions that are due now, and forgets the entries that they
    /// concern.
    pub fn take_due_decisions(&mut self) -> Vec<Decision> {
        let now = Instant::now();
        let mut decisions = Vec::new();
        if self.missing_until.is_some_and(|until| until <= now) {
            self.missing_until = None;
            decisions.extend(self.missing_runners.drain().map(Decision::RunnerGone));
            decisions.extend(self.missing_zones.drain().map(Decision::EvacuationEnded));
        }
        let is_due = |uncertain: &UncertainRunner| uncertain.alive_at <= now;
        for (name, uncertain) in self.uncertain.extract_if(|_, uncertain| is_due(uncertain)) {
            self.gone.remove(&name);
            decisions.push(Decision::RunnerAlive(
                Box::new(uncertain.runner),
                uncertain.revision,
            ));
        }
        decisions
    }
}
