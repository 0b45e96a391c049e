//! Takes and keeps the lease without which no runner is ordered.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{StoreAnswer, StoreCall, StoreError, Transaction, Write};
use barleyspar_loading::{Lease, LeaseSettings};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::lifecycle::Stage;
use crate::placement::{LEADER_KEY, LeaderRecord};
use crate::store::Store;

/// The lease's time to live, as a part of the time within which only one node
/// may order a runner.
const TIME_TO_LIVE_PART: f64 = 0.67;
/// Renewals in a time to live.
const RENEWALS: u32 = 4;
/// Time taken off the lease.
const MARGIN: Duration = Duration::from_millis(200);
/// Pause for each better placed candidate before the lease is tried for.
const RANK_PAUSE: Duration = Duration::from_millis(120);
/// Best places that are told apart.
const MOST_RANKS: usize = 12;
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed try.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The task that takes and keeps the lease.
pub struct LeaseKeeper {
    /// What all parts share.
    pub context: Context,
    /// The store.
    pub store: Store,
    /// Who leads, as the store shows it.
    pub leader: watch::Receiver<Option<LeaderRecord>>,
    /// The lease while this node holds it.
    pub held: watch::Sender<Option<Lease>>,
}

impl LeaseKeeper {
    /// Runs until the process is told to stop; then gives the lease up.
    pub async fn run(mut self) {
        let lifecycle = self.context.lifecycle.clone();
        let held = self.held.clone();
        let store = self.store.clone();
        tokio::select! {
            () = lifecycle.reached(Stage::Draining) => {}
            () = self.compete() => {}
        }
        if let Some(lease) = held.send_replace(None) {
            let call = StoreCall::EndLease { lease: lease.id };
            let _ = store.call(&call, CALL_TIMEOUT).await;
        }
    }

    async fn compete(&mut self) {
        loop {
            if self.leader.wait_for(Option::is_none).await.is_err() {
                return;
            }
            sleep(self.rank_pause()).await;
            if self.leader.borrow().is_some() || self.context.routes.borrow().is_none() {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.take().await {
                Some(lease) => self.keep(lease).await,
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Nodes try one after the other, in an order that differs each time.
    fn rank_pause(&self) -> Duration {
        let name = &self.context.settings.name;
        let places = (self.context.dispatch.nodes() as usize).clamp(1, MOST_RANKS);
        let place = barleyspar_domain::rank("placement", name) as usize % places;
        RANK_PAUSE * place as u32
    }

    fn time_to_live(&self) -> Duration {
        let settings = &self.context.settings;
        settings
            .bounds
            .lease_duration
            .mul_f64(TIME_TO_LIVE_PART)
            .max(settings.minimum_lease)
    }

    async fn take(&self) -> Option<Lease> {
        let granted_call = Instant::now().into_std();
        let call = StoreCall::GrantLease {
            time_to_live: self.time_to_live(),
        };
        let answer = self.store.call(&call, CALL_TIMEOUT).await.ok()?;
        let StoreAnswer::Lease {
            lease,
            time_to_live,
        } = answer
        else {
            return None;
        };
        let settings = &self.context.settings;
        let call = StoreCall::Commit(Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), 0)],
            writes: vec![Write {
                key: LEADER_KEY.to_owned(),
                value: LeaderRecord::encode(&settings.name, settings.peer_address).into(),
                lease,
            }],
            removes: Vec::new(),
        });
        match self.store.call(&call, CALL_TIMEOUT).await {
            Ok(StoreAnswer::Committed { revision }) => Some(Lease::new(
                lease,
                revision,
                granted_call,
                time_to_live,
                Instant::now().into_std(),
                LeaseSettings {
                    margin: MARGIN,
                    quiet: settings.bounds.lease_duration,
                },
            )),
            _ => {
                // The key may be written yet, or later; without its lease it cannot stay.
                let end = StoreCall::EndLease { lease };
                let _ = self.store.call(&end, CALL_TIMEOUT).await;
                None
            }
        }
    }

    /// Renews until the store says that the lease is over. A lease that lapsed
    /// by this node's clock stays unused until a renewal shows that it lasted.
    async fn keep(&self, mut lease: Lease) {
        tracing::info!(event = "lease_taken", token = lease.token);
        self.held.send_replace(Some(lease));
        let pause = self.time_to_live() / RENEWALS;
        loop {
            sleep(pause).await;
            let sent = Instant::now().into_std();
            let call = StoreCall::RenewLease { lease: lease.id };
            match self.store.call(&call, CALL_TIMEOUT).await {
                Ok(StoreAnswer::Renewed { time_to_live }) => {
                    lease.renewed(sent, time_to_live);
                    self.held.send_replace(Some(lease));
                }
                Err(StoreError::LeaseGone) => break,
                _ => {}
            }
        }
        tracing::info!(event = "lease_lost", token = lease.token);
        self.held.send_replace(None);
    }
}

/// Name of the node for orders.
pub fn holder(context: &Context) -> Arc<str> {
    context.settings.name.clone()
}
