//! Placement of models: election of the leader, and the leader's orders to runners.

mod inventories;
mod lease;
mod order;
mod reading_speeds;
mod runners;
mod size_record;
mod summary;
mod task;
mod tracked_runner;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_catalog::{Configuration, Revision, Runner};
use barleyspar_dispatch::{DemandItem, Inventory, PromptDemandItem, RunnerKey, StreamDemandItem};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

pub use lease::{LeaseKeeper, decode_era};
pub use size_record::{MODEL_SIZES_KEY, RecordedSizes, SizeRecorder};
pub use task::PlacementTask;

use order::{OrderResult, ReportResult};

/// Key of the leader's entry in the store.
pub const LEADER_KEY: &str = "barleyspar/placement/leader";
/// Key of the store's era in which the lease was last acquired. If this is the store's
/// present era, a lease of an earlier era that the store lost in a restore has
/// certainly expired.
pub const LEASE_ERA_KEY: &str = "barleyspar/placement/era";

/// The node that leads the placement, as this node's copy of the store shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRecord {
    /// Name of the leading node, as in the lists of members and peers.
    pub node: Arc<str>,
    /// The address on which the leader receives messages.
    pub address: SocketAddr,
    /// The leader's fencing token, which rises with each new leader.
    pub token: u64,
    /// The revision of the leader's entry in the store's present era.
    pub revision: Revision,
    /// When this node first read the entry.
    pub known_since: Instant,
}

#[derive(Serialize, Deserialize)]
struct LeaderValue {
    node: Arc<str>,
    address: SocketAddr,
    /// The store's era in which the leader acquired the lease.
    era: u32,
}

impl LeaderRecord {
    /// Decodes the leader's entry, which the store shows at `revision`; `None` if it is
    /// malformed. The token is computed from the era in the value: a store restored
    /// from a backup shows entries of earlier eras under its present one.
    pub fn decode(value: &[u8], revision: Revision) -> Option<Self> {
        let value: LeaderValue = rmp_serde::from_slice(value).ok()?;
        Some(Self {
            node: value.node,
            address: value.address,
            token: Revision::new(value.era, revision.number).fencing_token(),
            revision,
            known_since: Instant::now(),
        })
    }

    /// Encodes the entry of a leader that acquires the lease in `era`.
    pub fn encode(node: &Arc<str>, address: SocketAddr, era: u32) -> Vec<u8> {
        let value = LeaderValue {
            node: node.clone(),
            address,
            era,
        };
        rmp_serde::to_vec(&value).expect("a leader is serializable")
    }
}

/// Messages to the placement task.
enum Command {
    Configure(Arc<Configuration>),
    RecordedSizes(RecordedSizes),
    UpdateRunner(Arc<Runner>),
    RemoveRunner(Arc<str>),
    RetainRunners(Vec<Arc<str>>),
    SetEvacuated(BTreeSet<Arc<str>>),
    Demand(Arc<str>, Vec<DemandItem>, Vec<RunnerKey>),
    Prompts(Arc<str>, Vec<PromptDemandItem>),
    Streams(Arc<str>, Vec<StreamDemandItem>),
    Inventories(Vec<Inventory>),
    ReadingSpeeds(Vec<(RunnerKey, f64)>),
    Ordered(OrderResult),
    Reported(ReportResult),
}

/// A handle to the placement task.
#[derive(Debug, Clone)]
pub struct PlacementHandle {
    // Unbounded, but limited in effect by the number of runners and nodes: each has few
    // messages pending.
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
        // Sending fails only once the placement task has ended, which happens only when
        // the process ends.
        let _ = self.commands.send(command);
    }

    /// Makes the planner use this configuration, and tracks the engines that it adds.
    pub fn configure(&self, configuration: Arc<Configuration>) {
        self.send(Command::Configure(configuration));
    }

    /// Passes the record of models' sizes that the store shows.
    pub fn set_recorded_sizes(&self, recorded: RecordedSizes) {
        self.send(Command::RecordedSizes(recorded));
    }

    /// Adds or updates a runner after its entry in the store changed.
    pub fn update_runner(&self, runner: Arc<Runner>) {
        self.send(Command::UpdateRunner(runner));
    }

    /// Drops a runner whose entry in the store was removed.
    pub fn remove_runner(&self, id: Arc<str>) {
        self.send(Command::RemoveRunner(id));
    }

    /// Drops all runners whose ids are not in `kept`.
    pub fn retain_runners(&self, kept: Vec<Arc<str>>) {
        self.send(Command::RetainRunners(kept));
    }

    /// Sets the zones under evacuation, in which no models are loaded for callers.
    pub fn set_evacuated(&self, zones: BTreeSet<Arc<str>>) {
        self.send(Command::SetEvacuated(zones));
    }

    /// Passes the demand of `node` to the planner, and requests the reports of the
    /// runners that it cannot reach (`unreachable`).
    pub fn report_demand(
        &self,
        node: Arc<str>,
        items: Vec<DemandItem>,
        unreachable: Vec<RunnerKey>,
    ) {
        self.send(Command::Demand(node, items, unreachable));
    }

    /// Passes the prompt tokens asked at `node` to the planner.
    pub fn report_prompts(&self, node: Arc<str>, items: Vec<PromptDemandItem>) {
        self.send(Command::Prompts(node, items));
    }

    /// Passes the inventories that the leader published. Should this node lead next, it knows
    /// from them which loads were ordered.
    pub fn note_inventories(&self, inventories: Vec<Inventory>) {
        self.send(Command::Inventories(inventories));
    }

    /// Passes the streams that wait at `node` for a model at one software version to the
    /// planner.
    pub fn report_streams(&self, node: Arc<str>, items: Vec<StreamDemandItem>) {
        self.send(Command::Streams(node, items));
    }
}
