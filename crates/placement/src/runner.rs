//! The keeper of one runner.
//!
//! One task owns everything about the runner: its epoch, the newest inventory
//! and the demands that wait. Orders are given one at a time, each under a
//! higher fence than the one before. After an order whose answer was lost the
//! task first installs a yet higher fence and reads the inventory under it:
//! then the lost order has taken effect or never will.

mod answers;
mod orders;
mod poll;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_control_log::ControlState;
use barleyspar_domain::{Epoch, Fence, ModelName, RunnerName, RunnerRecord, rendezvous_weight};
use barleyspar_kernel::{Address, Inbox, Stage, StopHandle, StopSignal};
use barleyspar_platform::engine::{Action, CacheTier, ControlError, HoldState, Inventory, Order};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::Instant;

use crate::estimate::LoadEstimate;
use crate::keeper::RunnerReport;
use crate::messages::{Demand, DemandAnswer};
use crate::plan::Target;
use crate::start::Shared;
use poll::Poll;

/// Messages of the task.
pub(crate) enum RunnerMessage {
    Demand(Demand, oneshot::Sender<DemandAnswer>),
    ConfirmReleased {
        model: ModelName,
        position: u64,
        reply: oneshot::Sender<bool>,
    },
    Report(oneshot::Sender<RunnerReport>),
    Polled(Epoch, Result<Inventory, ControlError>),
}

struct WaitingDemand {
    target: Target,
    demand: Demand,
    until: Instant,
    reply: oneshot::Sender<DemandAnswer>,
}

struct Seen {
    inventory: Inventory,
    at: Instant,
}

struct LoadWatch {
    started: Instant,
    tier: CacheTier,
    bytes: u64,
}

/// The models granted to this runner at a log position.
#[derive(Default)]
struct GrantedHere {
    position: u64,
    models: Vec<ModelName>,
}

impl GrantedHere {
    fn follow(&mut self, state: &ControlState, runner: &RunnerName) {
        if self.position == state.position() {
            return;
        }
        self.position = state.position();
        let grants = state.grants().iter();
        let here = grants.filter(|(_, grant)| grant.may_load(runner));
        self.models = here.map(|(model, _)| model.clone()).collect();
    }
}

/// A keeper's hold on its runner.
struct Office {
    epoch: Epoch,
    sequence: u64,
    /// An order's answer was lost; the fence must be raised before the next.
    unsure: bool,
    poll: StopHandle,
}

impl Drop for Office {
    fn drop(&mut self) {
        self.poll.stop();
    }
}

pub(crate) struct RunnerTask {
    shared: Arc<Shared>,
    record: Arc<RunnerRecord>,
    address: Address<RunnerMessage>,
    stop: StopSignal,
    takeovers: Arc<Semaphore>,
    random: ChaCha8Rng,
    office: Option<Office>,
    seen: Option<Seen>,
    trouble: Option<String>,
    waiting: Vec<WaitingDemand>,
    wants: BTreeMap<Target, Instant>,
    loads: BTreeMap<ModelName, LoadWatch>,
    granted: GrantedHere,
    estimate: LoadEstimate,
    takeover_pause: Duration,
    quiet_until: Instant,
    ordered: Arc<Notify>,
}

/// A number unique to the node's peer address.
fn holder_number(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => (u64::from(u32::from(ip)) << 16) | u64::from(address.port()),
        IpAddr::V6(_) => rendezvous_weight("holder", &address),
    }
}

impl RunnerTask {
    pub(crate) fn new(
        shared: Arc<Shared>,
        record: Arc<RunnerRecord>,
        address: Address<RunnerMessage>,
        stop: StopSignal,
        takeovers: Arc<Semaphore>,
        random: ChaCha8Rng,
    ) -> Self {
        let takeover_pause = shared.config.shortest_takeover_pause;
        Self {
            shared,
            record,
            address,
            stop,
            takeovers,
            random,
            office: None,
            seen: None,
            trouble: None,
            waiting: Vec::new(),
            wants: BTreeMap::new(),
            loads: BTreeMap::new(),
            granted: GrantedHere::default(),
            estimate: LoadEstimate::default(),
            takeover_pause,
            quiet_until: Instant::now(),
            ordered: Arc::default(),
        }
    }

    pub(crate) async fn run(mut self, inbox: Inbox<RunnerMessage>) {
        let node_stop = self.shared.kernel.stop_signal(Stage::Control);
        let mut log = self.shared.log.subscribe();
        let jitter = self.random.random_range(0.0..1.0);
        tokio::time::sleep(self.shared.config.takeover_jitter.mul_f64(jitter)).await;
        loop {
            if self.office.is_none() && Instant::now() >= self.quiet_until {
                self.take_over().await;
            }
            if self.office.is_some() {
                self.advance().await;
            }
            self.resolve();
            let stop = self.stop.clone();
            tokio::select! {
                biased;
                () = node_stop.raised() => return,
                () = stop.raised() => return,
                message = inbox.receive() => {
                    let Some(message) = message else { return };
                    self.handle(message).await;
                }
                changed = log.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(self.shared.config.keeper_interval) => {}
            }
        }
    }

    // --- taking office -----------------------------------------------------

    async fn take_over(&mut self) {
        let takeovers = Arc::clone(&self.takeovers);
        let Ok(_permit) = takeovers.acquire().await else {
            return;
        };
        if self.stop.is_raised() {
            return;
        }
        match self.install_first_fence().await {
            Ok((office, inventory)) => {
                tracing::debug!(runner = %self.record.name, epoch = ?office.epoch, "runner taken over");
                self.takeover_pause = self.shared.config.shortest_takeover_pause;
                self.start_poll(&office);
                self.office = Some(office);
                self.trouble = None;
                self.seen = None;
                self.see(inventory);
            }
            Err(error) => self.leave_office(&error.to_string()),
        }
    }

    /// The fence comes first, the inventory under it second: what the former
    /// keeper ordered is either in that inventory or will be refused.
    async fn install_first_fence(&self) -> Result<(Office, Inventory), ControlError> {
        let engine = self.shared.engine.as_ref();
        let address = self.record.address;
        let before = engine.inventory(address, None, Duration::ZERO).await?;
        let me = self.shared.membership.view().me.address;
        let office = Office {
            epoch: before.fence.epoch.successor(holder_number(me)),
            sequence: 0,
            unsure: false,
            poll: StopHandle::default(),
        };
        let order = Order {
            incarnation: before.incarnation,
            fence: Fence {
                epoch: office.epoch,
                sequence: office.sequence,
            },
            action: Action::InstallFence,
        };
        let inventory = engine.order(address, order).await?;
        Ok((office, inventory))
    }

    fn leave_office(&mut self, cause: &str) {
        tracing::debug!(runner = %self.record.name, cause, "runner not kept for now");
        self.office = None;
        self.trouble = Some(cause.to_owned());
        let jitter = self.random.random_range(0.5..1.0);
        self.quiet_until = Instant::now() + self.takeover_pause.mul_f64(jitter);
        self.takeover_pause =
            (self.takeover_pause * 2).min(self.shared.config.longest_takeover_pause);
    }

    fn start_poll(&self, office: &Office) {
        let poll = Poll {
            shared: Arc::clone(&self.shared),
            runner: self.record.address,
            epoch: office.epoch,
            to: self.address.clone(),
            stop: office.poll.signal(),
            ordered: Arc::clone(&self.ordered),
        };
        self.shared.kernel.spawn(Stage::Control, poll.run());
    }

    // --- messages ----------------------------------------------------------

    async fn handle(&mut self, message: RunnerMessage) {
        match message {
            RunnerMessage::Demand(demand, reply) => self.take_demand(demand, reply),
            RunnerMessage::ConfirmReleased {
                model,
                position,
                reply,
            } => {
                let released = self.confirm_released(&model, position).await;
                let _ = reply.send(released);
            }
            RunnerMessage::Report(reply) => {
                let _ = reply.send(self.report());
            }
            RunnerMessage::Polled(epoch, result) => self.take_poll(epoch, result),
        }
    }

    fn take_demand(&mut self, demand: Demand, reply: oneshot::Sender<DemandAnswer>) {
        let target = Target {
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
        };
        let now = Instant::now();
        if demand.waiting > 0 {
            let deadline = now + Duration::from_millis(demand.deadline_milliseconds);
            let known = self.wants.entry(target.clone()).or_insert(deadline);
            *known = (*known).min(deadline);
        }
        let until = now + Duration::from_millis(demand.wait_milliseconds);
        self.waiting.push(WaitingDemand {
            target,
            demand,
            until,
            reply,
        });
    }

    fn take_poll(&mut self, epoch: Epoch, result: Result<Inventory, ControlError>) {
        let in_office = self.office.as_ref();
        if in_office.is_none_or(|office| office.epoch.term != epoch.term) {
            return;
        }
        match result {
            Ok(inventory) => {
                self.trouble = None;
                self.see(inventory);
            }
            Err(error) => self.trouble = Some(error.to_string()),
        }
    }

    fn report(&self) -> RunnerReport {
        RunnerReport {
            runner: self.record.name.clone(),
            epoch: self.office.as_ref().map(|office| office.epoch),
            inventory: self.seen.as_ref().map(|seen| seen.inventory.clone()),
            trouble: self.trouble.clone(),
        }
    }

    // --- inventories ---------------------------------------------------------

    /// Takes in an inventory unless a newer one is known.
    fn see(&mut self, inventory: Inventory) {
        if let Some(seen) = &self.seen {
            if seen.inventory.incarnation != inventory.incarnation {
                self.leave_office("the engine has a new incarnation");
                self.quiet_until = Instant::now();
                self.seen = None;
                return;
            }
            if inventory.version < seen.inventory.version {
                return;
            }
        }
        self.learn_load_times(&inventory);
        if inventory.leaving {
            let life = crate::notices::RunnerLife {
                runner: self.record.name.clone(),
                incarnation: inventory.incarnation,
            };
            if self.shared.notices.add([life]) {
                crate::machines::tell_zone(&self.shared);
            }
        }
        self.seen = Some(Seen {
            inventory,
            at: Instant::now(),
        });
    }

    fn learn_load_times(&mut self, inventory: &Inventory) {
        let mut finished = Vec::new();
        for (model, watch) in &self.loads {
            match inventory.held(model).map(|held| held.state) {
                Some(HoldState::Loading) => {}
                Some(HoldState::Loaded) => finished.push((model.clone(), true, watch.started)),
                Some(HoldState::Unloading) | None => {
                    finished.push((model.clone(), false, watch.started));
                }
            }
        }
        for (model, loaded, started) in finished {
            let Some(watch) = self.loads.remove(&model) else {
                continue;
            };
            if loaded {
                self.estimate
                    .observe(watch.tier, watch.bytes, started.elapsed());
            }
        }
    }
}
