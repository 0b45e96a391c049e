//! How a runner accepts, refuses and carries out orders.

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
        let load_time = self.load_time(&order.action);
        let code = self.accept_order(&order);
        if code == StatusCode::ACCEPTED {
            tokio::spawn(self.carry_out(order.action, load_time));
        }
        code
    }

    /// Returns the time that the load of a model takes if it begins now; zero for other orders.
    fn load_time(&self, action: &OrderAction) -> Duration {
        let state = self.lock();
        let engine = state.engine.as_ref().expect("only engines take orders");
        match action {
            OrderAction::LoadModel { model } => engine
                .spec(model)
                .map_or(Duration::ZERO, |spec| spec.remote_load),
            _ => Duration::ZERO,
        }
    }

    /// Records an order. Returns the status code that says whether it is accepted; an accepted
    /// order changes the runner's sequence number.
    fn accept_order(&self, order: &Order) -> StatusCode {
        let mut guard = self.lock();
        let state = &mut *guard;
        state.orders.push((Instant::now(), order.clone()));
        let engine = state.engine.as_mut().expect("only engines take orders");
        if order.fencing_token < state.highest_token {
            return StatusCode::PRECONDITION_FAILED;
        }
        state.highest_token = order.fencing_token;
        if state.busy || order.expected_sequence != state.sequence {
            return StatusCode::CONFLICT;
        }
        let is_load = matches!(
            order.action,
            OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. }
        );
        if is_load && engine.spec(order.action.model()).is_none() {
            return StatusCode::BAD_REQUEST;
        }
        state.sequence += 1;
        match &order.action {
            OrderAction::LoadModel { model } => {
                state.busy = true;
                state.overcommitted |= !engine.load(model, None);
            }
            OrderAction::UnloadModel { .. } => state.busy = true,
            OrderAction::LoadAdapter { model, adapter } => {
                state.overcommitted |= !engine.load(model, Some(adapter));
                state
                    .pending_adapters
                    .push((model.clone(), adapter.clone()));
            }
            OrderAction::UnloadAdapter { model, adapter } => {
                engine.unload_adapter(model, adapter);
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
    async fn carry_out(self, action: OrderAction, load_time: Duration) {
        match &action {
            OrderAction::LoadModel { .. } => sleep(load_time).await,
            OrderAction::LoadAdapter { .. } => sleep(ADAPTER_LOAD_TIME).await,
            _ => {}
        }
        {
            let mut guard = self.lock();
            let state = &mut *guard;
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
                    if let Some(engine) = &mut state.engine {
                        engine.unload_model(&model);
                    }
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
