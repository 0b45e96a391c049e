//! Passes the changes of the store to the parts of the gateway that need them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use barleyspar_catalog::{Event, Item, Revision, RouteTable, Runner, RunnerState, StoredObject};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::arrivals::Arrivals;
use crate::context::Context;
use crate::contradicting_entries::ContradictingEntries;
use crate::feed::Change;
use crate::journal::milliseconds;
use crate::kept_configuration::{self, ConfigurationKeeper, KEPT_CONFIGURATION_KEY};
use crate::names::Names;
use crate::peers::PeerHandle;
use crate::placement::{
    LEADER_KEY, LEASE_ERA_KEY, LeaderRecord, MODEL_SIZES_KEY, PlacementHandle, RecordedSizes,
    decode_era,
};
use crate::register::MEMBER_PREFIX;
use crate::restore_tracker::{Decision, RestoreTracker};
use crate::software_record::{self, RecordedVersions, SOFTWARE_PREFIX};
use crate::tasks::sleep_until_some;

/// Fraction of the site's `evacuation_time` within which an evacuation takes effect at
/// this node. The rest covers requests granted to a runner just before, connections
/// (0.3 s) and links.
///
/// Models that are loaded only in the evacuated zone are served there until they are
/// loaded elsewhere, at most for this fraction of `evacuation_time`.
const EVACUATION_FRACTION: f64 = 0.7;

/// Receives the store's changes from the feed and passes them to the dispatcher, the
/// placement task, the peers task and the receivers of the routes and of the leader.
pub struct Discovery {
    /// The node's settings, dispatcher, dialect and other shared state.
    pub context: Context,
    /// The routes in force; `None` before the first configuration.
    pub routes: watch::Sender<Option<Arc<RouteTable>>>,
    /// Receives the configuration, the runners and the zones under evacuation.
    pub placement: PlacementHandle,
    /// Receives the members' entries in the store.
    pub peers: PeerHandle,
    /// The leader of the placement; `None` while there is none.
    pub leader: watch::Sender<Option<LeaderRecord>>,
    /// The store's era in which the placement lease was last acquired.
    pub lease_era: watch::Sender<u32>,
    /// The latest time as of which the routes in force are known to be the operators'
    /// newest; `None` before the first confirmation.
    pub confirmed_at: watch::Sender<Option<Instant>>,
    /// The time of the last call to the store whose answer is applied, as
    /// [`Change::ReadAt`] tells it.
    pub read_at: watch::Sender<Option<Instant>>,
    /// Writes the configuration in force to the store if the store shows an older one.
    pub configuration_keeper: ConfigurationKeeper,
    /// The store's item from which the configuration in force was read; `None` before
    /// the first configuration.
    pub configuration_item: Option<Item>,
    /// The revision of the configuration kept under [`KEPT_CONFIGURATION_KEY`]; `None`
    /// if there is none.
    pub kept_revision: Option<Revision>,
    /// Whether the latest configuration could not be read.
    pub configuration_unreadable: bool,
    /// Limits how many log lines on new runners are written.
    pub arrivals: Arrivals,
    /// Names that runners' entries share, to save memory.
    pub names: Names,
    /// The runners in the store, by the names under which they are stored.
    pub runners: HashMap<Arc<str>, Arc<Runner>>,
    /// Entries that contradict what is known of their runners.
    pub contradicting_entries: ContradictingEntries,
    /// Decides what to use of a store that was restored from a backup.
    pub restore_tracker: RestoreTracker,
    /// The software versions that the store has on record.
    pub recorded_software: watch::Sender<RecordedVersions>,
    /// The record of models' sizes that the store shows.
    pub recorded_sizes: watch::Sender<RecordedSizes>,
    /// Zones under evacuation, with the time until which the runners of each still
    /// serve models that are loaded nowhere else.
    pub evacuated_zones: BTreeMap<Arc<str>, Instant>,
}

impl Discovery {
    /// Applies changes until the feed ends.
    pub async fn run(mut self, mut changes: mpsc::Receiver<Change>) {
        loop {
            let decision_at = self.restore_tracker.next_decision_at();
            tokio::select! {
                change = changes.recv() => match change {
                    Some(change) => self.apply_change(change),
                    None => return,
                },
                () = sleep_until_some(decision_at) => self.apply_decisions(),
            }
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Everything(items, era) => self.apply_full_read(items, era),
            Change::Event(Event::Written(item)) => self.apply_written(&item, false),
            Change::Event(Event::Removed { key, .. }) => self.apply_removed(&key),
            Change::CompleteAt(at) => {
                self.confirm_routes(at);
                self.use_confirmed_entries(at);
            }
            Change::ReadAt(at) => {
                self.read_at.send_replace(Some(at));
            }
        }
    }

    /// Applies the due decisions on entries that are uncertain since the store was
    /// restored from a backup.
    fn apply_decisions(&mut self) {
        for decision in self.restore_tracker.take_due_decisions() {
            match decision {
                Decision::RunnerGone(name) => self.drop_runner(&name),
                Decision::EvacuationEnded(zone) => self.update_evacuated(|zones| {
                    zones.remove(&zone);
                }),
                Decision::RunnerAlive(runner, revision) => {
                    self.apply_runner(*runner, revision, false)
                }
            }
        }
    }

    /// Records that this node has received all changes before `at`. This confirms the
    /// routes in force unless the latest configuration could not be read.
    fn confirm_routes(&self, at: Instant) {
        if !self.configuration_unreadable {
            self.confirmed_at.send_replace(Some(at));
        }
    }

    fn apply_full_read(&mut self, items: Vec<Item>, era: u32) {
        let is_restored = self.restore_tracker.start_era(era);
        self.configuration_keeper.reset_shown_version();
        self.kept_revision = None;
        let members: Vec<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(MEMBER_PREFIX))
            .collect();
        self.peers.retain_members(&members);
        if !items.iter().any(|item| item.key == LEADER_KEY) {
            self.leader.send_replace(None);
        }
        if !items.iter().any(|item| item.key == LEASE_ERA_KEY) {
            self.lease_era.send_replace(0);
        }
        if !items.iter().any(|item| item.key == MODEL_SIZES_KEY) {
            self.set_recorded_sizes(RecordedSizes::missing(era));
        }
        self.update_recorded_software(RecordedVersions::clear);
        // A runner may have come and gone since the last change that is known.
        self.context.dispatch.record_unknown_software();
        let dialect = self.context.dialect.clone();
        if is_restored {
            self.record_missing(&items);
        }
        let evacuated: Vec<&str> = items
            .iter()
            .filter_map(|item| dialect.evacuated_zone_in_key(&item.key))
            .collect();
        let mut zones = self.evacuated_zones.clone();
        zones.retain(|zone, _| {
            evacuated.contains(&&**zone) || self.restore_tracker.is_zone_missing(zone)
        });
        self.update_evacuated(|known| *known = zones);
        // Evacuations and the configuration first: no runner may be used before they
        // are applied.
        let (others, runners): (Vec<&Item>, Vec<&Item>) = items
            .iter()
            .partition(|item| dialect.runner_name_in_key(&item.key).is_none());
        for item in others.iter().chain(&runners) {
            self.apply_written(item, true);
        }
        let runner_names: HashSet<&str> = runners
            .iter()
            .filter_map(|item| dialect.runner_name_in_key(&item.key))
            .collect();
        self.runners.retain(|name, _| {
            runner_names.contains(&**name) || self.restore_tracker.is_runner_missing(name)
        });
        tracing::info!(
            event = "store_known",
            runners = self.runners.len(),
            members = members.len(),
            objects = items.len()
        );
        let ids: Vec<Arc<str>> = self
            .runners
            .values()
            .map(|known| known.id.clone())
            .collect();
        self.context.dispatch.retain_runners(ids.clone());
        self.placement.retain_runners(ids);
        if is_restored {
            self.keep_configuration();
        }
    }

    /// Records the runners and evacuations that this node knows but that are not in
    /// `items`, the full state of the restored store.
    fn record_missing(&mut self, items: &[Item]) {
        let dialect = self.context.dialect.clone();
        let runners: HashSet<&str> = items
            .iter()
            .filter_map(|item| dialect.runner_name_in_key(&item.key))
            .collect();
        let zones: HashSet<&str> = items
            .iter()
            .filter_map(|item| dialect.evacuated_zone_in_key(&item.key))
            .collect();
        let is_runner_missing = |name: &&Arc<str>| !runners.contains(&***name);
        let is_zone_missing = |zone: &&Arc<str>| !zones.contains(&***zone);
        let missing_runners = self.runners.keys().filter(is_runner_missing).cloned();
        let missing_zones = self.evacuated_zones.keys().filter(is_zone_missing).cloned();
        self.restore_tracker
            .record_missing(missing_runners, missing_zones);
    }

    fn apply_written(&mut self, item: &Item, in_full_read: bool) {
        if item.key == LEASE_ERA_KEY {
            self.lease_era.send_replace(decode_era(&item.value));
            return;
        }
        if item.key == MODEL_SIZES_KEY {
            self.set_recorded_sizes(RecordedSizes::decode(item));
            return;
        }
        if item.key == KEPT_CONFIGURATION_KEY {
            self.kept_revision = Some(item.revision);
            if let Some(kept) = kept_configuration::decode(&item.value) {
                self.apply_written(&kept, in_full_read);
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
            self.peers.member_written(name, &item.value);
            return;
        }
        if item.key.starts_with(SOFTWARE_PREFIX) {
            let Some((version, lease)) = software_record::decode(&item.key, &item.value) else {
                tracing::warn!(event = "object_unreadable", key = item.key);
                return;
            };
            self.update_recorded_software(|recorded| {
                recorded.insert(version, lease);
            });
            return;
        }
        match self.context.dialect.read_object(&item.key, &item.value) {
            Ok(StoredObject::Configuration(configuration)) => {
                self.configuration_unreadable = false;
                self.configuration_keeper
                    .record_shown_version(configuration.version);
                if self.configure(*configuration) {
                    self.configuration_item = Some(item.clone());
                }
            }
            Ok(StoredObject::Runner(runner)) => {
                self.apply_runner(*runner, item.revision, in_full_read)
            }
            Ok(StoredObject::Evacuation(zone)) => {
                self.restore_tracker.zone_written(&zone);
                let deadline = self.evacuation_deadline();
                self.update_evacuated(|zones| {
                    zones.entry(zone).or_insert(deadline);
                });
            }
            Ok(StoredObject::Other) => {}
            Err(error) => {
                tracing::warn!(event = "object_unreadable", key = item.key, %error);
                let dialect = self.context.dialect.clone();
                match dialect.runner_name_in_key(&item.key) {
                    // The entry was written by another system, or describes no usable
                    // runner.
                    Some(name) => self.drop_runner(name),
                    None => self.configuration_unreadable = true,
                }
            }
        }
    }

    fn apply_removed(&mut self, key: &str) {
        let dialect = self.context.dialect.clone();
        if key == LEADER_KEY {
            self.leader.send_replace(None);
        } else if key == MODEL_SIZES_KEY {
            let era = self.recorded_sizes.borrow().era;
            self.set_recorded_sizes(RecordedSizes::missing(era));
        } else if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            self.peers.member_removed(name);
        } else if let Some(version) = software_record::decode_key(key) {
            self.update_recorded_software(|recorded| {
                recorded.remove(&version);
            });
        } else if let Some(zone) = dialect.evacuated_zone_in_key(key) {
            self.update_evacuated(|zones| {
                zones.remove(zone);
            });
        } else if let Some(name) = dialect.runner_name_in_key(key) {
            self.restore_tracker.entry_removed(name);
            self.drop_runner(name);
        }
    }

    /// Drops the runner `name` here, in the dispatcher and in the placement task; does
    /// nothing if it is unknown.
    fn drop_runner(&mut self, name: &str) {
        self.contradicting_entries.refute(name);
        let Some(known) = self.runners.remove(name) else {
            return;
        };
        tracing::info!(event = "runner_gone", runner = &*known.id);
        self.restore_tracker.record_gone(&known);
        self.context.crashes.report_runner_gone(known.id.clone());
        self.context.dispatch.remove_runner(known.id.clone());
        self.placement.remove_runner(known.id.clone());
    }

    fn set_recorded_sizes(&self, recorded: RecordedSizes) {
        self.placement.set_recorded_sizes(recorded.clone());
        self.recorded_sizes.send_replace(recorded);
    }

    fn update_recorded_software(&self, change: impl FnOnce(&mut RecordedVersions)) {
        self.recorded_software.send_modify(change);
        let versions = software_record::versions_by_service(&self.recorded_software.borrow());
        self.context.dispatch.set_shared_software_record(versions);
    }

    /// Changes the zones under evacuation, and notifies the dispatcher and the
    /// placement task if they differ.
    fn update_evacuated(&mut self, change: impl FnOnce(&mut BTreeMap<Arc<str>, Instant>)) {
        let before = self.evacuated_zones.clone();
        change(&mut self.evacuated_zones);
        if self.evacuated_zones == before {
            return;
        }
        let zones: BTreeSet<Arc<str>> = self.evacuated_zones.keys().cloned().collect();
        tracing::info!(event = "evacuation", before = ?before.keys(), now = ?zones);
        self.context
            .dispatch
            .set_evacuated_zones(self.evacuated_zones.clone());
        self.placement.set_evacuated(zones);
    }

    /// Returns the time until which runners of a zone, whose evacuation is read now,
    /// still serve models that are loaded nowhere else. The evacuation was requested
    /// after the last time at which this node had missed no change, so the site's
    /// `evacuation_time` began no earlier than that.
    fn evacuation_deadline(&self) -> Instant {
        let now = Instant::now();
        let bound = self.context.settings.bounds.evacuation_time;
        let complete_at = *self.confirmed_at.borrow();
        complete_at.zip(bound).map_or(now, |(complete_at, bound)| {
            complete_at + bound.mul_f64(EVACUATION_FRACTION)
        })
    }

    /// Writes the configuration in force to the store if the store shows an older one.
    fn keep_configuration(&self) {
        if let (Some(version), Some(item)) = (
            self.context.configuration_version(),
            &self.configuration_item,
        ) {
            self.configuration_keeper
                .keep(item.clone(), version, self.kept_revision);
        }
    }

    /// Puts a configuration in force unless the same or a newer version already is.
    /// Returns whether it did.
    fn configure(&self, configuration: barleyspar_catalog::Configuration) -> bool {
        if self.context.configuration_version() >= Some(configuration.version) {
            return false;
        }
        let version = configuration.version;
        let configuration = Arc::new(configuration);
        self.context
            .dispatch
            .set_configuration(configuration.clone());
        self.placement.configure(configuration.clone());
        self.context.metrics.set_configuration_version(version);
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
        let delay = self.context.view_staleness();
        if let Some(delay) = delay {
            self.context.metrics.configuration_delayed(delay);
        }
        let delay_at_most_ms = delay.map(milliseconds);
        tracing::info!(
            event = "configuration_in_force",
            version,
            routes,
            delay_at_most_ms
        );
        true
    }

    fn apply_runner(&mut self, mut runner: Runner, revision: Revision, in_full_read: bool) {
        if !self.restore_tracker.accepts(&runner, revision) {
            let runner = &*runner.id;
            tracing::info!(event = "runner_doubted", runner, era = revision.era);
            return;
        }
        if let Some(known) = self.later_known(&runner) {
            let (entry, now) = (runner.clone(), Instant::now());
            self.contradicting_entries
                .record(entry, revision, &known, now);
            if known.id != runner.id {
                return;
            }
        } else {
            self.contradicting_entries.refute(&runner.name);
        }
        self.names.intern_names(&mut runner);
        self.use_runner(runner, revision, in_full_read);
    }

    /// Uses the entry from now on, in place of any earlier incarnation.
    fn use_runner(&mut self, runner: Runner, revision: Revision, in_full_read: bool) {
        let known = self.runners.get(&runner.name);
        if known.is_some_and(|known| known.id != runner.id) {
            self.drop_runner(&runner.name);
        }
        let runner = Arc::new(runner);
        self.record_runner(&runner, revision, in_full_read);
        self.placement.update_runner(runner.clone());
        self.context.dispatch.update_runner(runner);
    }

    /// Returns what is known of the runner if that is of a later incarnation, which is logged, or
    /// of a later heartbeat of the same one.
    fn later_known(&self, runner: &Runner) -> Option<Arc<Runner>> {
        let known = self.runners.get(&runner.name)?;
        if known.id == runner.id {
            let latest = self.contradicting_entries.latest_heartbeat(known);
            return (runner.heartbeat < latest).then(|| known.clone());
        }
        if runner.born >= known.born {
            return None;
        }
        tracing::info!(
            event = "former_life",
            runner = &*runner.id,
            latest = &*known.id
        );
        Some(known.clone())
    }

    /// Uses the entries that contradict what was known and that the store has shown for so long
    /// that they are the present ones.
    fn use_confirmed_entries(&mut self, complete_at: Instant) {
        for (runner, revision) in self.contradicting_entries.take_confirmed(complete_at) {
            tracing::warn!(
                event = "runner_entry_corrected",
                runner = &*runner.id,
                heartbeat = runner.heartbeat,
                era = revision.era,
                revision = revision.number
            );
            self.drop_runner(&runner.name);
            self.use_runner(runner, revision, false);
        }
    }

    /// Stores the runner's entry, and logs that the runner was added or that its state
    /// changed. A change of its models alone is not logged: these are most changes of a
    /// large fleet, and the leader's orders and reports show them. New runners in a
    /// full read (`in_full_read`) that are available are not logged either: the log
    /// line `store_known` counts them.
    fn record_runner(&mut self, runner: &Arc<Runner>, revision: Revision, in_full_read: bool) {
        let known = self.runners.insert(runner.name.clone(), runner.clone());
        if runner.state == RunnerState::Draining {
            let id = runner.id.clone();
            self.context.crashes.report_runner_leaving(id);
        } else if known.is_none() {
            self.context.crashes.report_runner_added(runner.clone());
        }
        let known_state = known.map(|known| known.state);
        let expected = known_state.unwrap_or(RunnerState::Available);
        if expected == runner.state && (known_state.is_some() || in_full_read) {
            return;
        }
        if expected == runner.state && !self.arrivals.should_log(Instant::now()) {
            return;
        }
        tracing::info!(
            event = "runner_entry",
            runner = &*runner.id,
            service = &*runner.service,
            zone = &*runner.zone,
            software = runner.software.as_str(),
            state = ?runner.state,
            heartbeat = runner.heartbeat,
            models = runner.models.len(),
            era = revision.era,
            revision = revision.number
        );
    }
}
