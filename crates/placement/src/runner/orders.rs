//! Giving orders: one at a time, each under a higher fence than the one before.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_domain::{Fence, ModelName};
use barleyspar_platform::engine::{Action, CacheTier, ControlError, Order};
use tokio::time::Instant;

use super::{LoadWatch, RunnerTask};

/// Orders given in a row before other messages are looked at.
const ORDERS_IN_A_ROW: usize = 32;
/// Pause after the engine refused an order.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

impl RunnerTask {
    /// Whether this keeper knows every decision that its runner already obeys.
    pub(super) fn is_current(&self) -> bool {
        let log = self.shared.log.view();
        let floor = self.office.as_ref().map_or(0, |o| o.epoch.log_floor);
        log.current && log.state.position() >= floor
    }

    pub(super) async fn advance(&mut self) {
        for _ in 0..ORDERS_IN_A_ROW {
            if self.office.as_ref().is_some_and(|office| office.unsure)
                && !self.raise_fence(0).await
            {
                return;
            }
            if !self.is_current() || Instant::now() < self.quiet_until {
                return;
            }
            let Some(action) = self.next_action() else {
                return;
            };
            if !self.give(action).await {
                return;
            }
        }
    }

    fn next_action(&mut self) -> Option<Action> {
        let now = Instant::now();
        self.wants.retain(|_, deadline| *deadline > now);
        let state = self.shared.log.state();
        self.granted.follow(&state, &self.record.name);
        self.with_situation(&state, |situation| situation.next_action())
            .flatten()
    }

    /// Gives one order. Returns whether it was taken.
    async fn give(&mut self, action: Action) -> bool {
        let Some(order) = self.next_order(action) else {
            return false;
        };
        self.watch_load(&order.action);
        let engine = Arc::clone(&self.shared.engine);
        let given = engine.order(self.record.address, order).await;
        match given {
            Ok(inventory) => {
                self.see(inventory);
                self.ordered.notify_one();
                self.office.is_some()
            }
            Err(ControlError::Refused(cause)) => {
                tracing::warn!(runner = %self.record.name, cause, "the engine refused an order");
                self.quiet_until = Instant::now() + REFUSED_PAUSE;
                false
            }
            Err(ControlError::Unreachable(cause)) => {
                self.trouble = Some(cause);
                if let Some(office) = &mut self.office {
                    office.unsure = true;
                }
                false
            }
            Err(superseded) => {
                self.leave_office(&superseded.to_string());
                false
            }
        }
    }

    fn next_order(&mut self, action: Action) -> Option<Order> {
        let incarnation = self.seen.as_ref()?.inventory.incarnation;
        let office = self.office.as_mut()?;
        office.sequence += 1;
        Some(Order {
            incarnation,
            fence: Fence {
                epoch: office.epoch,
                sequence: office.sequence,
            },
            action,
        })
    }

    fn watch_load(&mut self, action: &Action) {
        let Action::LoadModel {
            model,
            memory_bytes,
            ..
        } = action
        else {
            return;
        };
        let watch = LoadWatch {
            started: Instant::now(),
            tier: self.tier_of(model),
            bytes: *memory_bytes,
        };
        self.loads.insert(model.clone(), watch);
    }

    pub(super) fn tier_of(&self, model: &ModelName) -> CacheTier {
        let seen = self.seen.as_ref();
        let mut cached = seen.iter().flat_map(|seen| &seen.inventory.cached);
        let entry = cached.find(|cached| &cached.model == model);
        entry.map_or(CacheTier::Remote, |cached| cached.tier)
    }

    /// Raises the fence, with a log floor of at least `log_floor`, and reads
    /// the inventory under it. Returns whether that succeeded.
    async fn raise_fence(&mut self, log_floor: u64) -> bool {
        if let Some(office) = &mut self.office {
            office.epoch = office.epoch.with_log_floor(log_floor);
        }
        if !self.give(Action::InstallFence).await {
            return false;
        }
        if let Some(office) = &mut self.office {
            office.unsure = false;
        }
        true
    }

    /// Confirms that the runner does not hold `model` and, because the fence
    /// now carries `position`, that no keeper with an older log will load it.
    pub(super) async fn confirm_released(&mut self, model: &ModelName, position: u64) -> bool {
        let known = self.shared.log.view();
        if self.office.is_none() || known.state.position() < position {
            return false;
        }
        self.advance().await;
        if !self.raise_fence(position).await {
            return false;
        }
        let seen = self.seen.as_ref();
        seen.is_some_and(|seen| seen.inventory.held(model).is_none())
    }
}
