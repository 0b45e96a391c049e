//! Turns the store's changes into what the parts of a gateway need.

use std::collections::HashMap;
use std::sync::Arc;

use barleyspar_catalog::{Event, Item, RouteTable, Runner, RunnerState, StoredObject};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::feed::Change;
use crate::peers::PeerHandle;
use crate::placement::{LEADER_KEY, LeaderRecord, PlacementHandle};
use crate::register::MEMBER_PREFIX;

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
    /// When the routes in force were known to be the operators' latest.
    pub confirmed: watch::Sender<Option<Instant>>,
    /// Whether the latest configuration could not be read.
    pub unreadable: bool,
    /// Runners whose entries the log has told of, and in which state.
    pub told: HashMap<Arc<str>, RunnerState>,
}

impl Discovery {
    /// Passes changes on until they end.
    pub async fn run(mut self, mut changes: mpsc::Receiver<Change>) {
        while let Some(change) = changes.recv().await {
            match change {
                Change::Everything(items) => self.everything(items),
                Change::Event(Event::Written(item)) => self.written(&item, false),
                Change::Event(Event::Removed { key, .. }) => self.removed(&key),
                Change::CompleteAt(at) => self.complete_at(at),
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

    fn everything(&mut self, items: Vec<Item>) {
        let keys: Vec<Arc<str>> = items
            .iter()
            .filter_map(|item| self.context.dialect.runner_of_key(&item.key))
            .map(Arc::from)
            .collect();
        let members: Vec<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(MEMBER_PREFIX))
            .collect();
        self.peers.retain(&members);
        if !items.iter().any(|item| item.key == LEADER_KEY) {
            self.leader.send_replace(None);
        }
        for item in &items {
            self.written(item, true);
        }
        self.told.retain(|id, _| keys.contains(id));
        tracing::info!(
            event = "store_known",
            runners = keys.len(),
            members = members.len(),
            objects = items.len()
        );
        self.context.dispatch.retain_runners(keys.clone());
        self.placement.retain_runners(keys);
    }

    fn written(&mut self, item: &Item, whole_reading: bool) {
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
                self.configure(*configuration);
            }
            Ok(StoredObject::Runner(runner)) => self.runner(*runner, item.revision, whole_reading),
            Ok(StoredObject::Other) => {}
            Err(error) => {
                tracing::warn!(event = "object_unreadable", key = item.key, %error);
                let is_runner = self.context.dialect.runner_of_key(&item.key).is_some();
                self.unreadable |= !is_runner;
            }
        }
    }

    fn removed(&mut self, key: &str) {
        if key == LEADER_KEY {
            self.leader.send_replace(None);
        } else if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            self.peers.left(name);
        } else if let Some(id) = self.context.dialect.runner_of_key(key) {
            tracing::info!(event = "runner_gone", runner = id);
            self.told.remove(id);
            self.context.dispatch.remove_runner(id.into());
            self.placement.remove_runner(id.into());
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    fn configure(&self, configuration: barleyspar_catalog::Configuration) {
        let known = self
            .context
            .routes
            .borrow()
            .as_ref()
            .map(|table| table.configuration().version);
        if known.is_some_and(|version| version >= configuration.version) {
            return;
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
    }

    fn runner(&mut self, runner: Runner, revision: u64, whole_reading: bool) {
        self.tell(&runner, revision, whole_reading);
        self.placement.update_runner(runner.clone());
        self.context.dispatch.update_runner(runner);
    }
    /// Says in the log that a runner is there, or takes no new work any more.
    /// An entry that only names other models is no line: at size these are most
    /// of all changes, and the leader tells of them by its orders and reports.
    /// Nor is one of a `whole_reading` that shows what is usual: `store_known`
    /// counts these.
    fn tell(&mut self, runner: &Runner, revision: u64, whole_reading: bool) {
        let told = self.told.insert(runner.id.clone(), runner.state);
        let expected = told.unwrap_or(RunnerState::Available);
        if expected == runner.state && (told.is_some() || whole_reading) {
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
            revision
        );
    }
}
