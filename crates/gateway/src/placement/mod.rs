//! The placement of models: who leads it, and the leader's orders.

mod entry;
mod inventories;
mod lease;
mod order;
mod runners;
mod summary;
mod task;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_catalog::{Configuration, Revision, Runner};
use barleyspar_dispatch::{DemandItem, RunnerKey};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

pub use lease::{LeaseKeeper, decode_era};
pub use task::PlacementTask;

use order::{OrderResult, ReportResult};

/// Key under which the leader stands in the store.
pub const LEADER_KEY: &str = "barleyspar/placement/leader";
/// Key of the store's era in which a lease was taken last: no lease of an earlier era that
/// the store has lost can last any more.
pub const SETTLED_ERA_KEY: &str = "barleyspar/placement/era";

/// Who leads the placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The node.
    pub node: Arc<str>,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: u64,
    /// The revision of its entry as the store shows it in its present era.
    pub revision: Revision,
    /// Since when this node knows of it.
    pub known_since: Instant,
}

#[derive(Serialize, Deserialize)]
struct LeaderValue {
    node: Arc<str>,
    address: SocketAddr,
    /// The store's era in which it took the lease.
    era: u32,
}

impl LeaderRecord {
    /// Reads the leader's value, which the store shows with `revision`. A copy shows what
    /// was written in an earlier era.
    pub fn decode(value: &[u8], revision: Revision) -> Option<Self> {
        let value: LeaderValue = rmp_serde::from_slice(value).ok()?;
        Some(Self {
            node: value.node,
            address: value.address,
            token: Revision::new(value.era, revision.number).token(),
            revision,
            known_since: Instant::now(),
        })
    }

    /// The value of a leader that takes the lease in `era`.
    pub fn encode(node: &Arc<str>, address: SocketAddr, era: u32) -> Vec<u8> {
        let value = LeaderValue {
            node: node.clone(),
            address,
            era,
        };
        rmp_serde::to_vec(&value).expect("a leader is plain data")
    }
}

/// Messages to the placement task.
enum Command {
    Configure(Arc<Configuration>),
    UpdateRunner(Arc<Runner>),
    RemoveRunner(Arc<str>),
    RetainRunners(Vec<Arc<str>>),
    SetEvacuated(BTreeSet<Arc<str>>),
    Demand(Arc<str>, Vec<DemandItem>, Vec<RunnerKey>),
    Ordered(OrderResult),
    Reported(ReportResult),
}

/// A handle to the placement task.
#[derive(Debug, Clone)]
pub struct PlacementHandle {
    // Bounded by runners and nodes: each has few messages on their way.
    commands: mpsc::UnboundedSender<Command>,
}

/// The receiving end of a [`PlacementHandle`].
pub struct PlacementInbox(mpsc::UnboundedReceiver<Command>);

/// Creates the handle; [`PlacementTask::new`] takes the other end.
pub fn channel() -> (PlacementHandle, PlacementInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    (PlacementHandle { commands }, PlacementInbox(inbox))
}

impl PlacementHandle {
    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }

    /// Puts a configuration in force.
    pub fn configure(&self, configuration: Arc<Configuration>) {
        self.send(Command::Configure(configuration));
    }

    /// Takes in a runner's entry.
    pub fn update_runner(&self, runner: Arc<Runner>) {
        self.send(Command::UpdateRunner(runner));
    }

    /// Forgets a runner.
    pub fn remove_runner(&self, id: Arc<str>) {
        self.send(Command::RemoveRunner(id));
    }

    /// Forgets all runners but those in `kept`.
    pub fn retain_runners(&self, kept: Vec<Arc<str>>) {
        self.send(Command::RetainRunners(kept));
    }

    /// Takes in which zones the operators want to be evacuated.
    pub fn set_evacuated(&self, zones: BTreeSet<Arc<str>>) {
        self.send(Command::SetEvacuated(zones));
    }

    /// Takes in a node's demand, and the runners that it cannot reach.
    pub fn demand(&self, node: Arc<str>, items: Vec<DemandItem>, unreachable: Vec<RunnerKey>) {
        self.send(Command::Demand(node, items, unreachable));
    }
}
