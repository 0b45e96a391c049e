//! How a runner accepts, refuses and carries out orders.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{LoadedModel, Order, OrderAction};
use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::time::{Instant, sleep};

use crate::dialect::decode;
use crate::runner::RunnerStandIn;
use crate::runner_body::{ConnectionBroken, RunnerBody, status_response};

/// Time that a runner takes to load an adapter.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);

impl RunnerStandIn {
    /// Answers an order; an accepted one is carried out in the background.
    pub(super) async fn order(self, body: &[u8]) -> Result<Response<RunnerBody>, ConnectionBroken> {
        let order: Order = decode(body).expect("orders are well formed");
        // Carried out even if the caller has closed its connection meanwhile.
        let taken = tokio::spawn(self.clone().take_order(order));
        let code = taken.await.map_err(|_| ConnectionBroken)?;
        let answer_is_lost = {
            let mut state = self.lock();
            let is_lost = state.lose_order_answers > 0;
            state.lose_order_answers = state.lose_order_answers.saturating_sub(1);
            is_lost
        };
        if answer_is_lost {
            std::future::pending::<()>().await;
        }
        Ok(status_response(code, Bytes::new()))
    }

    async fn take_order(self, order: Order) -> StatusCode {
        self.wait_while_paused().await;
        let code = self.accept_order(&order);
        if code == StatusCode::ACCEPTED {
            tokio::spawn(self.carry_out(order.action));
        }
        code
    }

    /// Records an order. Returns the status code that says whether it is accepted; an accepted
    /// order changes the runner's sequence number.
    fn accept_order(&self, order: &Order) -> StatusCode {
        let mut state = self.lock();
        state.orders.push((Instant::now(), order.clone()));
        if order.fencing_token < state.highest_token {
            return StatusCode::PRECONDITION_FAILED;
        }
        state.highest_token = order.fencing_token;
        if state.busy || order.expected_sequence != state.sequence {
            return StatusCode::CONFLICT;
        }
        state.sequence += 1;
        match &order.action {
            OrderAction::LoadModel { model } => {
                state.busy = true;
                let engine = self.engine.as_ref().expect("only engines take orders");
                let weight =
                    |name: &Arc<str>| engine.models.get(name).map_or(0.0, |spec| spec.weights_mb);
                let loaded_weights: f64 = state
                    .record
                    .models
                    .iter()
                    .map(|loaded| weight(&loaded.model))
                    .sum();
                if loaded_weights + weight(model) > engine.memory_mb {
                    state.overcommitted = true;
                }
            }
            OrderAction::UnloadModel { .. } => state.busy = true,
            OrderAction::LoadAdapter { model, adapter } => {
                state
                    .pending_adapters
                    .push((model.clone(), adapter.clone()));
            }
            OrderAction::UnloadAdapter { model, adapter } => {
                for loaded in state
                    .record
                    .models
                    .iter_mut()
                    .filter(|loaded| loaded.model == *model)
                {
                    loaded.adapters.retain(|name| name != adapter);
                }
            }
        }
        StatusCode::ACCEPTED
    }

    /// Carries out an accepted order, a load after its load time, and writes the runner's entry.
    /// The unload of an adapter is already done when the order is accepted.
    async fn carry_out(self, action: OrderAction) {
        let load_time = self
            .engine
            .as_ref()
            .and_then(|engine| engine.models.get(action.model()))
            .map_or(Duration::ZERO, |spec| spec.remote_load);
        match &action {
            OrderAction::LoadModel { .. } => sleep(load_time).await,
            OrderAction::LoadAdapter { .. } => sleep(ADAPTER_LOAD_TIME).await,
            _ => {}
        }
        {
            let mut state = self.lock();
            match action {
                OrderAction::LoadModel { model } => {
                    state.busy = false;
                    state.record.models.push(LoadedModel {
                        model,
                        version: 1,
                        adapters: Vec::new(),
                    });
                }
                OrderAction::UnloadModel { model } => {
                    state.busy = false;
                    state.record.models.retain(|loaded| loaded.model != model);
                }
                OrderAction::LoadAdapter { model, adapter } => {
                    state
                        .pending_adapters
                        .retain(|key| *key != (model.clone(), adapter.clone()));
                    for loaded in state
                        .record
                        .models
                        .iter_mut()
                        .filter(|loaded| loaded.model == model)
                    {
                        loaded.adapters.push(adapter.clone());
                    }
                }
                OrderAction::UnloadAdapter { .. } => {}
            }
        }
        self.publish_entry();
    }
}
