//! Takes and keeps the lease without which no runner is ordered.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{StoreAnswer, StoreCall, StoreError, Transaction, Write};
use barleyspar_loading::{Lease, LeaseSettings};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::context::Context;
use crate::feed::{Myself, position};
use crate::lifecycle::Stage;
use crate::peers::{Heard, longest_silence};
use crate::placement::{LEADER_KEY, LeaderRecord};
use crate::store::Store;

/// The lease's time to live without fences at the runners, as a part of the
/// time within which only one node may order a runner. A successor waits for
/// its end, and for that time besides.
const UNFENCED_TIME_TO_LIVE: f64 = 0.5;
/// The same with fences: a leader goes on through most outages of the store,
/// since a silent one is replaced before its lease is over.
const FENCED_TIME_TO_LIVE: f64 = 2.0;
/// Renewals in a time to live.
const RENEWALS: u32 = 5;
/// Time between two looks at a silent leader.
const SILENCE_STEP: Duration = Duration::from_millis(200);
/// Time after taking the lease before the first order, with fences.
const FENCED_QUIET: Duration = Duration::from_millis(300);
/// Time taken off the lease.
const MARGIN: Duration = Duration::from_millis(200);
/// Pause for each better placed candidate before the lease is tried for.
const RANK_PAUSE: Duration = Duration::from_millis(120);
/// Pause at the start, to learn from the members' entries of larger machines.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Part of the time within which only one node may order a runner that a vacancy
/// may be old: nobody else can have taken the lease in it and ordered.
const VACANCY_PART: f64 = 0.5;
/// Best places that wait for each other in full: one of these leads unless all are
/// gone at once.
const FIRST_RANKS: usize = 12;
/// Pause for each further place. Among hundreds of nodes a new leader is known to all
/// a second later; of those that may try within it each makes three calls in vain.
/// With one pause for all of them 89 of 100 did, in virtual time.
const LATER_RANK_PAUSE: Duration = Duration::from_millis(40);
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
    /// When each peer was last heard.
    pub heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
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
        sleep(FIRST_PAUSE).await;
        loop {
            let predecessor = self.vacancy().await;
            let vacant_since = Instant::now();
            sleep(self.rank_pause()).await;
            let changed = self.leader.borrow().as_ref().map(|leader| leader.token);
            if changed != predecessor || self.context.routes.borrow().is_none() {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.take(predecessor.unwrap_or(0), vacant_since).await {
                Some(lease) => self.keep(lease).await,
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Waits until nobody leads, or the leader is silent where runners check
    /// fences; the silent leader's token.
    async fn vacancy(&mut self) -> Option<u64> {
        loop {
            let leader = self.leader.borrow_and_update().clone()?;
            if self.is_silent(&leader) {
                tracing::info!(
                    event = "leader_silent",
                    leader = &*leader.node,
                    token = leader.token
                );
                return Some(leader.token);
            }
            let _ = timeout(SILENCE_STEP, self.leader.changed()).await;
        }
    }

    fn is_silent(&self, leader: &LeaderRecord) -> bool {
        if !self.context.settings.bounds.fencing_enforced {
            return false;
        }
        // Its own predecessor on this machine is gone for sure.
        if leader.node == self.context.settings.name {
            return true;
        }
        let longest = longest_silence(self.context.dispatch.nodes());
        let heard = self.heard.borrow().get(&leader.node).map(|peer| peer.at);
        let since = heard.unwrap_or(leader.known_since).max(leader.known_since);
        since.elapsed() > longest
    }

    /// Nodes try one after the other, those on larger machines first.
    fn rank_pause(&self) -> Duration {
        let silence = longest_silence(self.context.dispatch.nodes());
        let myself = Myself::of(&self.context.settings);
        let place = position(&myself, &self.heard.borrow(), silence);
        let later = place.saturating_sub(FIRST_RANKS) as u32;
        RANK_PAUSE * place.min(FIRST_RANKS) as u32 + LATER_RANK_PAUSE * later
    }

    fn time_to_live(&self) -> Duration {
        let settings = &self.context.settings;
        let part = if settings.bounds.fencing_enforced {
            FENCED_TIME_TO_LIVE
        } else {
            UNFENCED_TIME_TO_LIVE
        };
        settings
            .bounds
            .lease_duration
            .mul_f64(part)
            .max(settings.minimum_lease)
    }

    /// Takes the lease in place of the leader with token `predecessor`; 0 for none.
    /// Nobody has led since `vacant_since`.
    async fn take(&self, predecessor: u64, vacant_since: Instant) -> Option<Lease> {
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
            conditions: vec![(LEADER_KEY.to_owned(), predecessor)],
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
                self.quiet_from(vacant_since).into_std(),
                LeaseSettings {
                    margin: MARGIN,
                    quiet: self.quiet(),
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

    /// When the time without orders begins for a lease that is taken now.
    fn quiet_from(&self, vacant_since: Instant) -> Instant {
        let bounds = &self.context.settings.bounds;
        if bounds.fencing_enforced {
            return Instant::now();
        }
        let oldest = Instant::now() - bounds.lease_duration.mul_f64(VACANCY_PART);
        vacant_since.max(oldest)
    }

    /// Time without orders after the lease fell vacant or, with fences, was
    /// taken. Without fences, nobody else
    /// may have ordered within the lease duration.
    fn quiet(&self) -> Duration {
        let bounds = &self.context.settings.bounds;
        if bounds.fencing_enforced {
            FENCED_QUIET
        } else {
            bounds.lease_duration
        }
    }

    /// Renews until the store says that the lease is over. A lease that lapsed
    /// by this node's clock stays unused until a renewal shows that it lasted.
    async fn keep(&self, mut lease: Lease) {
        tracing::info!(event = "lease_taken", token = lease.token);
        self.held.send_replace(Some(lease));
        let pause = self.time_to_live() / RENEWALS;
        let mut leader = self.leader.clone();
        loop {
            let replaced = leader.wait_for(|leader| is_later(leader, lease.token));
            if timeout(pause, replaced).await.is_ok() {
                break;
            }
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

/// Whether `leader` came after the one with `token`.
fn is_later(leader: &Option<LeaderRecord>, token: u64) -> bool {
    leader.as_ref().is_some_and(|leader| leader.token > token)
}

/// Name of the node for orders.
pub fn holder(context: &Context) -> Arc<str> {
    context.settings.name.clone()
}
