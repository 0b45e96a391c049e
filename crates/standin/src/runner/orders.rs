//! What a runner makes of orders.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{LoadedModel, Order, OrderAction};
use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::time::{Instant, sleep};

use crate::dialect::decode;
use crate::runner::RunnerStandIn;
use crate::runner_body::{Broken, RunnerBody, status};

/// Time to load an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(20);

impl RunnerStandIn {
    pub(super) async fn order(self, body: &[u8]) -> Result<Response<RunnerBody>, Broken> {
        let order: Order = decode(body).expect("orders are well formed");
        let code = self.take_order(&order);
        if code == StatusCode::ACCEPTED {
            tokio::spawn(self.clone().carry_out(order.action));
        }
        let lost = {
            let mut state = self.lock();
            let lost = state.lose_order_answers > 0;
            state.lose_order_answers = state.lose_order_answers.saturating_sub(1);
            lost
        };
        if lost {
            std::future::pending::<()>().await;
        }
        Ok(status(code, Bytes::new()))
    }

    fn take_order(&self, order: &Order) -> StatusCode {
        let mut state = self.lock();
        state.orders.push((Instant::now(), order.clone()));
        if order.fencing_token < state.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        state.fence = order.fencing_token;
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
                let held: f64 = state
                    .record
                    .models
                    .iter()
                    .map(|held| weight(&held.model))
                    .sum();
                if held + weight(model) > engine.memory_mb {
                    state.overcommitted = true;
                }
            }
            OrderAction::UnloadModel { .. } => state.busy = true,
            OrderAction::LoadAdapter { model, adapter } => {
                state.pending.push((model.clone(), adapter.clone()));
            }
            OrderAction::UnloadAdapter { model, adapter } => {
                for held in state
                    .record
                    .models
                    .iter_mut()
                    .filter(|held| held.model == *model)
                {
                    held.adapters.retain(|name| name != adapter);
                }
            }
        }
        StatusCode::ACCEPTED
    }

    async fn carry_out(self, action: OrderAction) {
        let load_time = self
            .engine
            .as_ref()
            .and_then(|engine| engine.models.get(action.model()))
            .map_or(Duration::ZERO, |spec| spec.remote_load);
        match &action {
            OrderAction::LoadModel { .. } => sleep(load_time).await,
            OrderAction::LoadAdapter { .. } => sleep(ADAPTER_LOAD).await,
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
                    state.record.models.retain(|held| held.model != model);
                }
                OrderAction::LoadAdapter { model, adapter } => {
                    state
                        .pending
                        .retain(|key| *key != (model.clone(), adapter.clone()));
                    for held in state
                        .record
                        .models
                        .iter_mut()
                        .filter(|held| held.model == model)
                    {
                        held.adapters.push(adapter.clone());
                    }
                }
                OrderAction::UnloadAdapter { .. } => {}
            }
        }
        self.publish();
    }
}
