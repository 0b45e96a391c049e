//! What a store that came back from a copy shows wrongly, and what is believed meanwhile.
//!
//! The copy lacks what was written since: runners and evacuations that it does not show are
//! kept until those that wrote them have had time to write them again. And it shows runners
//! that were gone: these are not used unless they show that they live, or stay long enough.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Revision, Runner};
use tokio::time::Instant;

/// Time within which what the copy lacks has been written again.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(2);
/// Time after which a runner that was gone is believed to live if it still stands there:
/// longer than the entry of one that does not live stays.
const LIVES_AFTER: Duration = Duration::from_secs(10);
/// Time for which a runner that has gone is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);

/// A runner that has gone.
#[derive(Debug)]
struct Gone {
    id: Arc<str>,
    heartbeat: u64,
    era: u32,
    at: Instant,
}

/// A runner that the copy shows though it was gone.
#[derive(Debug)]
struct Doubtful {
    runner: Runner,
    revision: Revision,
    believed_at: Instant,
}

/// What is to be done about a store that came back from a copy.
#[derive(Debug)]
pub enum Settled {
    /// Nobody has written this runner again: it is gone.
    RunnerGone(Arc<str>),
    /// Nobody has written this evacuation again: it was taken back.
    NotEvacuated(Arc<str>),
    /// This runner has stood there long enough.
    RunnerLives(Box<Runner>, Revision),
}

/// What is known besides what the store shows.
#[derive(Debug, Default)]
pub struct Restored {
    era: Option<u32>,
    lacking_runners: HashSet<Arc<str>>,
    lacking_zones: HashSet<Arc<str>>,
    lacking_until: Option<Instant>,
    gone: HashMap<Arc<str>, Gone>,
    doubtful: HashMap<Arc<str>, Doubtful>,
}

impl Restored {
    /// Everything is read anew in `era`. Whether the store came back from a copy since
    /// this node knew it.
    pub fn begins(&mut self, era: u32) -> bool {
        let before = self.era.replace(era);
        before.is_some_and(|before| before < era)
    }

    /// The copy lacks these runners and zones, which this node knew.
    pub fn lacks(
        &mut self,
        runners: impl IntoIterator<Item = Arc<str>>,
        zones: impl IntoIterator<Item = Arc<str>>,
    ) {
        self.lacking_runners.extend(runners);
        self.lacking_zones.extend(zones);
        self.lacking_until = Some(Instant::now() + WRITTEN_AGAIN_WITHIN);
    }

    /// Whether the copy lacks the runner `name`, which may be written again.
    pub fn is_lacking(&self, name: &str) -> bool {
        self.lacking_runners.contains(name)
    }

    /// Whether the copy lacks the evacuation of `zone`, which may be written again.
    pub fn is_zone_lacking(&self, zone: &str) -> bool {
        self.lacking_zones.contains(zone)
    }

    /// The evacuation of `zone` was written.
    pub fn zone_written(&mut self, zone: &str) {
        self.lacking_zones.remove(zone);
    }

    /// The store shows `runner`. Whether to believe that it is there.
    pub fn believes(&mut self, runner: &Runner, revision: Revision) -> bool {
        self.lacking_runners.remove(&runner.name);
        let is_doubtful = self.gone.get(&runner.name).is_some_and(|gone| {
            gone.id == runner.id && gone.era < revision.era && runner.heartbeat <= gone.heartbeat
        });
        if !is_doubtful {
            self.doubtful.remove(&runner.name);
            return true;
        }
        let believed_at = Instant::now() + LIVES_AFTER;
        let doubtful = Doubtful {
            runner: runner.clone(),
            revision,
            believed_at,
        };
        self.doubtful.entry(runner.name.clone()).or_insert(doubtful);
        false
    }

    /// The store shows the runner `name` no longer.
    pub fn removed(&mut self, name: &str) {
        self.lacking_runners.remove(name);
        self.doubtful.remove(name);
    }

    /// `runner`, which this node knew, has gone.
    pub fn gone(&mut self, runner: &Runner) {
        self.gone
            .retain(|_, gone| gone.at.elapsed() < REMEMBERED_FOR);
        let gone = Gone {
            id: runner.id.clone(),
            heartbeat: runner.heartbeat,
            era: self.era.unwrap_or(0),
            at: Instant::now(),
        };
        self.gone.insert(runner.name.clone(), gone);
    }

    /// When something is settled next.
    pub fn next(&self) -> Option<Instant> {
        let doubtful = self.doubtful.values().map(|doubtful| doubtful.believed_at);
        doubtful.chain(self.lacking_until).min()
    }

    /// What is settled by now.
    pub fn settle(&mut self) -> Vec<Settled> {
        let now = Instant::now();
        let mut settled = Vec::new();
        if self.lacking_until.is_some_and(|until| until <= now) {
            self.lacking_until = None;
            settled.extend(self.lacking_runners.drain().map(Settled::RunnerGone));
            settled.extend(self.lacking_zones.drain().map(Settled::NotEvacuated));
        }
        let is_due = |doubtful: &Doubtful| doubtful.believed_at <= now;
        for (name, doubtful) in self.doubtful.extract_if(|_, doubtful| is_due(doubtful)) {
            self.gone.remove(&name);
            settled.push(Settled::RunnerLives(
                Box::new(doubtful.runner),
                doubtful.revision,
            ));
        }
        settled
    }
}
