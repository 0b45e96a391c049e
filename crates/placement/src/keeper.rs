//! The keepers of one node: one task for each runner it should keep.
//!
//! Which runners those are follows from membership and the runner directory.
//! Nothing is handed over: a new keeper installs a higher fence at the engine,
//! and from then on the former one is refused.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_control_log::ControlState;
use barleyspar_domain::{Epoch, RunnerKind, RunnerName, RunnerRecord, ZoneName};
use barleyspar_kernel::{Address, Inbox, Stage, StopHandle, mailbox};
use barleyspar_membership::View;
use barleyspar_peer::{PeerDispatch, PeerError, PeerHandler, decode, encode};
use barleyspar_platform::engine::Inventory;
use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, oneshot};
use tokio::time::Instant;

use crate::messages::{DemandAnswer, KeeperAnswer, KeeperRequest};
use crate::runner::{RunnerMessage, RunnerTask};
use crate::start::Shared;
use crate::{Demand, KEEPER_SERVICE};

const MAILBOX_CAPACITY: usize = 4096;
/// Pause between two looks at the assignment if nothing changes.
const ASSIGNMENT_PAUSE: Duration = Duration::from_secs(2);
const RUNNER_MAILBOX_CAPACITY: usize = 1024;

/// What a keeper knows of its runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// The runner.
    pub runner: RunnerName,
    /// The keeper's epoch; `None` while it has not taken over yet.
    pub epoch: Option<Epoch>,
    /// The newest inventory; `None` before the first.
    pub inventory: Option<Inventory>,
    /// Why the keeper can not work, if it can not.
    pub trouble: Option<String>,
}

enum Message {
    Demand(Demand, oneshot::Sender<DemandAnswer>),
    ConfirmReleased {
        runner: RunnerName,
        model: barleyspar_domain::ModelName,
        position: u64,
        reply: oneshot::Sender<bool>,
    },
    Report(oneshot::Sender<Vec<oneshot::Receiver<RunnerReport>>>),
}

/// Handle to the keepers of this node. Cheap to clone.
#[derive(Clone)]
pub struct KeeperHandle {
    address: Address<Message>,
}

impl KeeperHandle {
    /// Brings a demand to the keeper of its runner.
    pub async fn demand(&self, demand: Demand) -> DemandAnswer {
        let answer = self.address.ask(|reply| Message::Demand(demand, reply));
        answer.await.unwrap_or(DemandAnswer::NotKeeper)
    }

    /// What the keepers of this node know.
    pub async fn report(&self) -> Vec<RunnerReport> {
        let pending = self.address.ask(Message::Report).await.unwrap_or_default();
        let mut reports = Vec::new();
        for report in pending {
            reports.extend(report.await.ok());
        }
        reports
    }
}

#[async_trait]
impl PeerHandler for KeeperHandle {
    async fn handle(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let answer = match decode::<KeeperRequest>(&body)? {
            KeeperRequest::Demand(demand) => KeeperAnswer::Demand(self.demand(demand).await),
            KeeperRequest::ConfirmReleased {
                runner,
                model,
                position,
            } => {
                let confirm = |reply| Message::ConfirmReleased {
                    runner,
                    model,
                    position,
                    reply,
                };
                KeeperAnswer::Released(self.address.ask(confirm).await.unwrap_or(false))
            }
            KeeperRequest::Report => KeeperAnswer::Report(self.report().await),
        };
        encode(&answer)
    }
}

/// Starts the keepers of a node.
pub(crate) fn start(
    shared: &Arc<Shared>,
    dispatch: &PeerDispatch,
    random: ChaCha8Rng,
) -> KeeperHandle {
    let (address, inbox) = mailbox(MAILBOX_CAPACITY);
    let handle = KeeperHandle { address };
    dispatch.register(KEEPER_SERVICE, Arc::new(handle.clone()));
    let running = Arc::clone(shared);
    shared
        .kernel
        .supervise(Stage::Control, KEEPER_SERVICE, move || {
            let keepers = Keepers {
                orphans: OrphanZones::default(),
                shared: Arc::clone(&running),
                takeovers: Arc::new(Semaphore::new(running.config.takeovers_at_once)),
                random: random.clone(),
                runners: BTreeMap::new(),
            };
            keepers.run(inbox.clone())
        });
    handle
}

struct Kept {
    record: Arc<RunnerRecord>,
    address: Address<RunnerMessage>,
    stop: StopHandle,
}

/// What the current assignment was made of.
#[derive(Default)]
struct Assigned {
    directory_changed_at: Option<u64>,
    view: Option<Arc<View>>,
}

impl Assigned {
    /// Whether the runners or the members that take work have changed since.
    fn is_outdated(&mut self, state: &ControlState, view: &Arc<View>) -> bool {
        let directory = Some(state.directory_changed_at());
        let same_workers = self
            .view
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, view) || known.has_same_workers(view));
        let outdated = !same_workers || self.directory_changed_at != directory;
        self.directory_changed_at = directory;
        self.view = Some(Arc::clone(view));
        outdated
    }
}

/// Zones with runners but without members that take work.
///
/// Their runners are kept by members of other zones, but only after a while: a
/// node that just started knows few members yet, and would take all runners from
/// their keepers.
#[derive(Default)]
struct OrphanZones {
    /// When each zone was first seen without workers, and whether it is served.
    since: BTreeMap<ZoneName, (Instant, bool)>,
    delay: Duration,
}

impl OrphanZones {
    /// Whether a zone has become due since the last assignment.
    fn any_due(&self) -> bool {
        let mut zones = self.since.values();
        zones.any(|(since, served)| !served && since.elapsed() >= self.delay)
    }

    /// The zones whose runners are to be kept from elsewhere.
    fn follow(&mut self, state: &ControlState, view: &View, delay: Duration) -> Vec<ZoneName> {
        self.delay = delay;
        let now = Instant::now();
        let runners = state.runners().values();
        let mut orphans: Vec<&ZoneName> = runners.map(|runner| &runner.zone).collect();
        orphans.sort();
        orphans.dedup();
        orphans.retain(|zone| !view.has_workers(zone));
        self.since.retain(|zone, _| orphans.contains(&zone));
        for zone in orphans {
            self.since.entry(zone.clone()).or_insert((now, false));
        }
        let mut due = Vec::new();
        for (zone, (since, served)) in &mut self.since {
            *served = now.duration_since(*since) >= delay;
            if *served {
                due.push(zone.clone());
            }
        }
        due
    }
}

struct Keepers {
    orphans: OrphanZones,
    shared: Arc<Shared>,
    takeovers: Arc<Semaphore>,
    random: ChaCha8Rng,
    runners: BTreeMap<RunnerName, Kept>,
}

impl Drop for Keepers {
    fn drop(&mut self) {
        self.runners.values().for_each(|kept| kept.stop.stop());
    }
}

impl Keepers {
    async fn run(mut self, inbox: Inbox<Message>) {
        let stop = self.shared.kernel.stop_signal(Stage::Control);
        let mut log = self.shared.log.subscribe();
        let mut view = self.shared.membership.subscribe();
        let mut assigned = Assigned::default();
        loop {
            self.assign(&mut assigned);
            tokio::select! {
                biased;
                () = stop.raised() => return,
                message = inbox.receive() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                changed = log.changed() => if changed.is_err() { return },
                changed = view.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(ASSIGNMENT_PAUSE) => {}
            }
        }
    }

    /// Starts and ends runner tasks as membership and directory say.
    fn assign(&mut self, assigned: &mut Assigned) {
        let state = self.shared.log.state();
        let view = self.shared.membership.view();
        if !assigned.is_outdated(&state, &view) && !self.orphans.any_due() {
            return;
        }
        let orphaned = self
            .orphans
            .follow(&state, &view, self.shared.config.orphan_zone_delay);
        let mine: BTreeMap<RunnerName, Arc<RunnerRecord>> = state
            .runners()
            .values()
            .filter(|runner| runner.kind == RunnerKind::Engine)
            .filter(|runner| runner.zone == view.me.zone || orphaned.contains(&runner.zone))
            .filter(|runner| {
                let keeper = view.keeper(&runner.zone, runner.name.as_str());
                keeper.is_some_and(|keeper| keeper.name == view.me.name)
            })
            .map(|runner| (runner.name.clone(), Arc::clone(runner)))
            .collect();
        self.runners.retain(|name, kept| {
            let same = mine
                .get(name)
                .is_some_and(|record| record.address == kept.record.address);
            if !same {
                kept.stop.stop();
            }
            same
        });
        for (name, record) in mine {
            if !self.runners.contains_key(&name) {
                let kept = self.keep(record);
                self.runners.insert(name, kept);
            }
        }
    }

    fn keep(&mut self, record: Arc<RunnerRecord>) -> Kept {
        let (address, inbox) = mailbox(RUNNER_MAILBOX_CAPACITY);
        let stop = StopHandle::default();
        let task = RunnerTask::new(
            Arc::clone(&self.shared),
            Arc::clone(&record),
            address.clone(),
            stop.signal(),
            Arc::clone(&self.takeovers),
            ChaCha8Rng::from_rng(&mut self.random),
        );
        self.shared.kernel.spawn(Stage::Control, task.run(inbox));
        Kept {
            record,
            address,
            stop,
        }
    }

    fn handle(&self, message: Message) {
        match message {
            Message::Demand(demand, reply) => match self.runners.get(&demand.runner) {
                Some(kept) => {
                    let _ = kept.address.try_send(RunnerMessage::Demand(demand, reply));
                }
                None => {
                    let _ = reply.send(DemandAnswer::NotKeeper);
                }
            },
            Message::ConfirmReleased {
                runner,
                model,
                position,
                reply,
            } => {
                if let Some(kept) = self.runners.get(&runner) {
                    let confirm = RunnerMessage::ConfirmReleased {
                        model,
                        position,
                        reply,
                    };
                    let _ = kept.address.try_send(confirm);
                }
            }
            Message::Report(reply) => {
                let mut pending = Vec::new();
                for kept in self.runners.values() {
                    let (answer, report) = oneshot::channel();
                    if kept.address.try_send(RunnerMessage::Report(answer)).is_ok() {
                        pending.push(report);
                    }
                }
                let _ = reply.send(pending);
            }
        }
    }
}
