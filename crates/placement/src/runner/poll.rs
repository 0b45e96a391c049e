//! Reading the inventories of one runner while its keeper is in office.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_domain::Epoch;
use barleyspar_kernel::{Address, StopSignal};
use barleyspar_platform::engine::{HoldState, Inventory};
use tokio::sync::Notify;

use super::RunnerMessage;
use crate::start::Shared;

/// Reads inventories as they change and brings them to the runner's task.
pub(super) struct Poll {
    pub(super) shared: Arc<Shared>,
    pub(super) runner: SocketAddr,
    pub(super) epoch: Epoch,
    pub(super) to: Address<RunnerMessage>,
    pub(super) stop: StopSignal,
    /// Told of each order that was taken.
    pub(super) ordered: Arc<Notify>,
}

/// Whether nothing is on its way into or out of the accelerator's memory.
fn is_settled(inventory: &Inventory) -> bool {
    let loaded = |state: HoldState| state == HoldState::Loaded;
    inventory
        .models
        .iter()
        .all(|held| loaded(held.state) && held.adapters.iter().all(|adapter| loaded(adapter.state)))
}

impl Poll {
    /// Waits, but not once an order was given: its effects are awaited.
    async fn pause(&self, time: Duration) {
        let _ = tokio::time::timeout(time, self.ordered.notified()).await;
    }

    pub(super) async fn run(self) {
        let stop = self.stop.clone();
        tokio::select! {
            biased;
            () = stop.raised() => {}
            () = self.read_forever() => {}
        }
    }

    async fn read_forever(&self) {
        let config = &self.shared.config;
        let mut known = None;
        loop {
            let engine = self.shared.engine.as_ref();
            let read = engine.inventory(self.runner, known, config.inventory_wait);
            let result = read.await;
            let pause = match &result {
                Ok(inventory) if is_settled(inventory) => config.inventory_pace,
                Ok(_) => Duration::ZERO,
                Err(_) => config.shortest_takeover_pause,
            };
            if let Ok(inventory) = &result {
                known = Some((inventory.incarnation, inventory.version));
            }
            let message = RunnerMessage::Polled(self.epoch, result);
            if self.to.send(message).await.is_err() {
                return;
            }
            self.pause(pause).await;
        }
    }
}
