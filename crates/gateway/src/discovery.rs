//! Turns the store's changes into what the parts of a gateway need.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use barleyspar_catalog::{Event, Item, Revision, RouteTable, Runner, RunnerState, StoredObject};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::arrivals::Arrivals;
use crate::context::Context;
use crate::feed::Change;
use crate::kept_configuration::{self, ConfigurationKeeper, KEPT_CONFIGURATION_KEY};
use crate::names::Names;
use crate::peers::PeerHandle;
use crate::placement::{LEADER_KEY, LeaderRecord, PlacementHandle, SETTLED_ERA_KEY, decode_era};
use crate::register::MEMBER_PREFIX;
use crate::restored::{Restored, Settled};
use crate::tasks::sleep_until_some;

/// Part of its bound within which an evacuation is in force; the rest covers what was
/// granted a runner at the end of it, connections (0.3 s) and links besides.
///
/// What stands only in the zone is served there until it was loaded elsewhere.
const EVACUATION_PART: f64 = 0.7;

/// Where changes go.
pub struct Discovery {
    /// What all parts share.
    pub context: Context,
    /// The routes in force.
    pub routes: watch::Sender<Option<Arc<RouteTable>>>,
    /// The placement task.
    pub placement: PlacementHandle,
    /// The peers task.
    pub peers: PeerHandle,
    /// Who leads the placement.
    pub leader: watch::Sender<Option<LeaderRecord>>,
    /// The store's era in which a lease of the leader was taken last.
    pub settled_era: watch::Sender<u32>,
    /// When the routes in force were known to be the operators' latest.
    pub confirmed: watch::Sender<Option<Instant>>,
    /// Keeps the configuration in force in a store that shows an older one.
    pub keeper: ConfigurationKeeper,
    /// The configuration in force as it stands, or stood, in the store.
    pub in_force: Option<Item>,
    /// The revision of the configuration that is kept in the store.
    pub kept: Option<Revision>,
    /// Whether the latest configuration could not be read.
    pub unreadable: bool,
    /// Which arrivals the log tells of.
    pub arrivals: Arrivals,
    /// Names that runners' entries share.
    pub names: Names,
    /// Runners that stand in the store, by their own ids.
    pub runners: HashMap<Arc<str>, Arc<Runner>>,
    /// What is believed of a store that came back from a copy.
    pub restored: Restored,
    /// Zones that the operators evacuate, and until when the runners of each still
    /// serve what no others can.
    pub evacuated: BTreeMap<Arc<str>, Instant>,
}

impl Discovery {
    /// Passes changes on until they end.
    pub async fn run(mut self, mut changes: mpsc::Receiver<Change>) {
        loop {
            let settles_at = self.restored.next();
            tokio::select! {
                change = changes.recv() => match change {
                    Some(change) => self.change(change),
                    None => return,
                },
                () = sleep_until_some(settles_at) => self.settle(),
            }
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Everything(items, era) => self.everything(items, era),
            Change::Event(Event::Written(item)) => self.written(&item, false),
            Change::Event(Event::Removed { key, .. }) => self.removed(&key),
            Change::CompleteAt(at) => self.complete_at(at),
        }
    }

    /// Takes in what has become certain since the store came back from a copy.
    fn settle(&mut self) {
        for settled in self.restored.settle() {
            match settled {
                Settled::RunnerGone(name) => self.runner_gone(&name),
                Settled::NotEvacuated(zone) => self.evacuate(|zones| {
                    zones.remove(&zone);
                }),
                Settled::RunnerLives(runner, revision) => self.runner(*runner, revision, false),
            }
        }
    }

    /// Takes in that no change before `at` is missing. That says nothing of a
    /// configuration that this node cannot read.
    fn complete_at(&self, at: Instant) {
        if !self.unreadable {
            self.confirmed.send_replace(Some(at));
        }
    }

    fn everything(&mut self, items: Vec<Item>, era: u32) {
        let is_restored = self.restored.begins(era);
        self.keeper.begin_reading();
        self.kept = None;
        let members: Vec<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(MEMBER_PREFIX))
            .collect();
        self.peers.retain(&members);
        if !items.iter().any(|item| item.key == LEADER_KEY) {
            self.leader.send_replace(None);
        }
        if !items.iter().any(|item| item.key == SETTLED_ERA_KEY) {
            self.settled_era.send_replace(0);
        }
        let dialect = self.context.dialect.clone();
        if is_restored {
            self.note_lacking(&items);
        }
        let evacuated: Vec<&str> = items
            .iter()
            .filter_map(|item| dialect.evacuation_of_key(&item.key))
            .collect();
        let mut zones = self.evacuated.clone();
        zones.retain(|zone, _| evacuated.contains(&&**zone) || self.restored.is_zone_lacking(zone));
        self.evacuate(|known| *known = zones);
        // Evacuations and the configuration first: no runner may be used before them.
        let (first, runners): (Vec<&Item>, Vec<&Item>) = items
            .iter()
            .partition(|item| dialect.runner_of_key(&item.key).is_none());
        for item in first.iter().chain(&runners) {
            self.written(item, true);
        }
        let named: HashSet<&str> = runners
            .iter()
            .filter_map(|item| dialect.runner_of_key(&item.key))
            .collect();
        self.runners
            .retain(|name, _| named.contains(&**name) || self.restored.is_lacking(name));
        tracing::info!(
            event = "store_known",
            runners = self.runners.len(),
            members = members.len(),
            objects = items.len()
        );
        let kept: Vec<Arc<str>> = self
            .runners
            .values()
            .map(|known| known.id.clone())
            .collect();
        self.context.dispatch.retain_runners(kept.clone());
        self.placement.retain_runners(kept);
        if is_restored {
            self.keep_configuration();
        }
    }

    /// Notes what this node knew and the copy that the store came back from lacks.
    fn note_lacking(&mut self, items: &[Item]) {
        let dialect = self.context.dialect.clone();
        let runners: HashSet<&str> = items
            .iter()
            .filter_map(|item| dialect.runner_of_key(&item.key))
            .collect();
        let zones: HashSet<&str> = items
            .iter()
            .filter_map(|item| dialect.evacuation_of_key(&item.key))
            .collect();
        let lacks_runner = |name: &&Arc<str>| !runners.contains(&***name);
        let lacks_zone = |zone: &&Arc<str>| !zones.contains(&***zone);
        let lacking = self.runners.keys().filter(lacks_runner).cloned();
        let lacking_zones = self.evacuated.keys().filter(lacks_zone).cloned();
        self.restored.lacks(lacking, lacking_zones);
    }

    fn written(&mut self, item: &Item, whole_reading: bool) {
        if item.key == SETTLED_ERA_KEY {
            self.settled_era.send_replace(decode_era(&item.value));
            return;
        }
        if item.key == KEPT_CONFIGURATION_KEY {
            self.kept = Some(item.revision);
            if let Some(kept) = kept_configuration::decode(&item.value) {
                self.written(&kept, whole_reading);
            }
            return;
        }
        if item.key == LEADER_KEY {
            let record = LeaderRecord::decode(&item.value, item.revision);
            if let Some(record) = &record {
                tracing::info!(
                    event = "placement_leader",
                    leader = &*record.node,
                    token = record.token
                );
            }
            self.leader.send_replace(record);
            return;
        }
        if let Some(name) = item.key.strip_prefix(MEMBER_PREFIX) {
            self.peers.joined(name, &item.value);
            return;
        }
        match self.context.dialect.read_object(&item.key, &item.value) {
            Ok(StoredObject::Configuration(configuration)) => {
                self.unreadable = false;
                self.keeper.shows(configuration.version);
                if self.configure(*configuration) {
                    self.in_force = Some(item.clone());
                }
            }
            Ok(StoredObject::Runner(runner)) => self.runner(*runner, item.revision, whole_reading),
            Ok(StoredObject::Evacuation(zone)) => {
                self.restored.zone_written(&zone);
                let last = self.last_of_evacuated();
                self.evacuate(|zones| {
                    zones.entry(zone).or_insert(last);
                });
            }
            Ok(StoredObject::Other) => {}
            Err(error) => {
                tracing::warn!(event = "object_unreadable", key = item.key, %error);
                let dialect = self.context.dialect.clone();
                match dialect.runner_of_key(&item.key) {
                    // Somebody else's entry, which names no runner to use.
                    Some(name) => self.runner_gone(name),
                    None => self.unreadable = true,
                }
            }
        }
    }

    fn removed(&mut self, key: &str) {
        let dialect = self.context.dialect.clone();
        if key == LEADER_KEY {
            self.leader.send_replace(None);
        } else if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            self.peers.left(name);
        } else if let Some(zone) = dialect.evacuation_of_key(key) {
            self.evacuate(|zones| {
                zones.remove(zone);
            });
        } else if let Some(name) = dialect.runner_of_key(key) {
            self.restored.removed(name);
            self.runner_gone(name);
        }
    }

    /// The runner `name` is no more, or its entry does not say where it is.
    fn runner_gone(&mut self, name: &str) {
        let Some(known) = self.runners.remove(name) else {
            return;
        };
        tracing::info!(event = "runner_gone", runner = &*known.id);
        self.restored.gone(&known);
        self.context.dispatch.remove_runner(known.id.clone());
        self.placement.remove_runner(known.id.clone());
    }

    /// Changes which zones are evacuated, and tells everybody if that is new.
    fn evacuate(&mut self, change: impl FnOnce(&mut BTreeMap<Arc<str>, Instant>)) {
        let before = self.evacuated.clone();
        change(&mut self.evacuated);
        if self.evacuated == before {
            return;
        }
        let zones: BTreeSet<Arc<str>> = self.evacuated.keys().cloned().collect();
        tracing::info!(event = "evacuation", before = ?before.keys(), now = ?zones);
        self.context.dispatch.set_evacuated(self.evacuated.clone());
        self.placement.set_evacuated(zones);
    }

    /// Until when runners of a zone whose evacuation is read now still serve what no
    /// others can. It was asked for after the last moment at which this node is known
    /// to have missed no change, so its bound began then at the earliest.
    fn last_of_evacuated(&self) -> Instant {
        let now = Instant::now();
        let bound = self.context.settings.bounds.evacuation;
        let asked = *self.confirmed.borrow();
        asked
            .zip(bound)
            .map_or(now, |(asked, bound)| asked + bound.mul_f64(EVACUATION_PART))
    }

    /// Has the configuration in force kept, if the store shows an older one.
    fn keep_configuration(&self) {
        if let (Some(version), Some(item)) = (self.version(), &self.in_force) {
            self.keeper.keep(item.clone(), version, self.kept);
        }
    }

    /// The version in force.
    fn version(&self) -> Option<u64> {
        let routes = self.context.routes.borrow();
        routes.as_ref().map(|table| table.configuration().version)
    }

    /// Puts a configuration in force, unless a newer one is; whether it did.
    fn configure(&self, configuration: barleyspar_catalog::Configuration) -> bool {
        if self.version() >= Some(configuration.version) {
            return false;
        }
        let version = configuration.version;
        let configuration = Arc::new(configuration);
        self.context.dispatch.configure(configuration.clone());
        self.placement.configure(configuration.clone());
        self.context.metrics.configuration(version);
        let routes = configuration.routes.len();
        let table = RouteTable::new(configuration);
        for (former, latter) in table.tenants_sharing_credentials() {
            tracing::warn!(
                event = "configuration_faulty",
                version,
                cause = "two tenants hold the same credential; the latter is served under it",
                former = &**former,
                latter = &**latter
            );
        }
        self.routes.send_replace(Some(Arc::new(table)));
        tracing::info!(event = "configuration_in_force", version, routes);
        true
    }

    fn runner(&mut self, mut runner: Runner, revision: Revision, whole_reading: bool) {
        if !self.restored.believes(&runner, revision) {
            let runner = &*runner.id;
            tracing::info!(event = "runner_doubted", runner, era = revision.era);
            return;
        }
        if !self.follow_life(&runner) {
            return;
        }
        self.names.share(&mut runner);
        let runner = Arc::new(runner);
        self.tell(&runner, revision, whole_reading);
        self.placement.update_runner(runner.clone());
        self.context.dispatch.update_runner(runner);
    }

    /// Forgets a former life of `runner`. Whether this is its latest.
    fn follow_life(&mut self, runner: &Runner) -> bool {
        let Some(known) = self.runners.get(&runner.name) else {
            return true;
        };
        if known.id == runner.id {
            return true;
        }
        if runner.born < known.born {
            tracing::info!(
                event = "former_life",
                runner = &*runner.id,
                latest = &*known.id
            );
            return false;
        }
        self.runner_gone(&runner.name);
        true
    }

    /// Says in the log that a runner is there, or takes no new work any more.
    /// An entry that only names other models is no line: at size these are most
    /// of all changes, and the leader tells of them by its orders and reports.
    /// Nor is one of a `whole_reading` that shows what is usual: `store_known`
    /// counts these.
    fn tell(&mut self, runner: &Arc<Runner>, revision: Revision, whole_reading: bool) {
        let known = self.runners.insert(runner.name.clone(), runner.clone());
        let told = known.map(|known| known.state);
        let expected = told.unwrap_or(RunnerState::Available);
        if expected == runner.state && (told.is_some() || whole_reading) {
            return;
        }
        if expected == runner.state && !self.arrivals.tells(Instant::now()) {
            return;
        }
        tracing::info!(
            event = "runner_entry",
            runner = &*runner.id,
            service = &*runner.service,
            zone = &*runner.zone,
            state = ?runner.state,
            heartbeat = runner.heartbeat,
            models = runner.models.len(),
            era = revision.era,
            revision = revision.number
        );
    }
}
