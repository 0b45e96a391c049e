//! Takes and keeps the lease without which no runner is ordered.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Revision, StoreAnswer, StoreCall, StoreError, Transaction, Write};
use barleyspar_loading::{Lease, LeaseSettings};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::context::Context;
use crate::lifecycle::Stage;
use crate::peers::{Heard, longest_silence};
use crate::placement::{LEADER_KEY, LeaderRecord, SETTLED_ERA_KEY};
use crate::store::Store;
use crate::turns::pause_until_turn;

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
/// Pause at the start, to learn from the members' entries of larger machines.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Part of the time within which only one node may order a runner that a vacancy
/// may be old: nobody else can have taken the lease in it and ordered.
const VACANCY_PART: f64 = 0.5;
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
    /// The store's era in which a lease was taken last, as the store shows it.
    pub settled_era: watch::Receiver<u32>,
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
            let turn = pause_until_turn(&self.context, &self.heard.borrow());
            sleep(turn).await;
            let leader = self.leader.borrow().as_ref().map(|leader| leader.revision);
            if leader != predecessor || self.context.routes.borrow().is_none() {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.take(predecessor, vacant_since).await {
                Some(lease) => self.keep(lease).await,
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Waits until nobody leads, or the leader is silent where runners check
    /// fences; the revision of the silent leader's entry.
    async fn vacancy(&mut self) -> Option<Revision> {
        loop {
            let leader = self.leader.borrow_and_update().clone()?;
            if self.is_silent(&leader) {
                tracing::info!(
                    event = "leader_silent",
                    leader = &*leader.node,
                    token = leader.token
                );
                return Some(leader.revision);
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

    /// Takes the lease in place of the leader whose entry has the revision `predecessor`;
    /// `None` for none. Nobody has led since `vacant_since`.
    async fn take(&self, predecessor: Option<Revision>, vacant_since: Instant) -> Option<Lease> {
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
        let era = self.store.era().borrow().number;
        let quiet_from = self.quiet_from(vacant_since);
        let call = self.entry(predecessor, lease, era);
        match self.store.call(&call, CALL_TIMEOUT).await {
            Ok(StoreAnswer::Committed { revision }) if revision.era == era => Some(Lease::new(
                lease,
                revision.token(),
                granted_call,
                time_to_live,
                quiet_from.into_std(),
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

    /// Writes this node's entry as the leader, in place of `predecessor`'s.
    fn entry(&self, predecessor: Option<Revision>, lease: u64, era: u32) -> StoreCall {
        let settings = &self.context.settings;
        let leader = Write {
            key: LEADER_KEY.to_owned(),
            value: LeaderRecord::encode(&settings.name, settings.peer_address, era).into(),
            lease,
        };
        let settled_era = Write {
            key: SETTLED_ERA_KEY.to_owned(),
            value: encode_era(era).into(),
            lease: 0,
        };
        let settled = (era > 0).then_some(settled_era);
        // The entry last: its revision is that of the whole commit.
        StoreCall::Commit(Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), predecessor)],
            writes: settled.into_iter().chain([leader]).collect(),
            removes: Vec::new(),
        })
    }

    /// When the time without orders begins for a lease that is taken now.
    fn quiet_from(&self, vacant_since: Instant) -> Instant {
        let bounds = &self.context.settings.bounds;
        if bounds.fencing_enforced {
            return Instant::now();
        }
        let oldest = Instant::now() - bounds.lease_duration.mul_f64(VACANCY_PART);
        let vacant_since = vacant_since.max(oldest);
        let era = *self.store.era().borrow();
        if *self.settled_era.borrow() == era.number {
            return vacant_since;
        }
        // A holder whose lease the store has lost had renewed it before it came back.
        vacant_since.max(era.since + self.time_to_live())
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

    /// Renews until the store says that the lease is over, or shows no longer that this
    /// node leads. A lease that lapsed by this node's clock, or was taken in an earlier era
    /// of the store, stays unused until a renewal shows that it lasts.
    async fn keep(&self, mut lease: Lease) {
        tracing::info!(event = "lease_taken", token = lease.token);
        self.held.send_replace(Some(lease));
        let mut era = self.store.era();
        let taken_in = era.borrow_and_update().number;
        let mut shown = Shown::new(self.leader.clone(), lease.token);
        loop {
            tokio::select! {
                () = shown.replaced() => break,
                Ok(()) = era.changed() => {
                    self.held.send_replace(None);
                }
                () = sleep(self.renewal_pause()) => {}
            }
            let sent = Instant::now().into_std();
            let call = StoreCall::RenewLease { lease: lease.id };
            match self.store.call(&call, CALL_TIMEOUT).await {
                Ok(StoreAnswer::Renewed { time_to_live }) => {
                    lease.renewed(sent, time_to_live);
                    let now = era.borrow().number;
                    let holds = now == taken_in || self.is_shown_in(now, lease.token);
                    self.held.send_replace(holds.then_some(lease));
                }
                Err(StoreError::LeaseGone) => break,
                _ => {}
            }
        }
        tracing::info!(event = "lease_lost", token = lease.token);
        self.held.send_replace(None);
    }

    /// Time until the next renewal: short while it is not known whether the lease lasts.
    fn renewal_pause(&self) -> Duration {
        let pause = self.time_to_live() / RENEWALS;
        if self.held.borrow().is_some() {
            pause
        } else {
            pause.min(SILENCE_STEP)
        }
    }

    /// Whether the store shows in `era` that the leader with `token` leads: it may have
    /// given out the number of a lease that it lost to another one.
    fn is_shown_in(&self, era: u32, token: u64) -> bool {
        let leader = self.leader.borrow();
        leader
            .as_ref()
            .is_some_and(|leader| leader.token == token && leader.revision.era >= era)
    }
}

/// Follows whether the store shows that the leader with `token` leads.
struct Shown {
    leader: watch::Receiver<Option<LeaderRecord>>,
    token: u64,
    /// Whether it has shown that once.
    once: bool,
}

impl Shown {
    fn new(leader: watch::Receiver<Option<LeaderRecord>>, token: u64) -> Self {
        Self {
            leader,
            token,
            once: false,
        }
    }

    /// Waits until the store shows a later leader, or another one or none after this one.
    async fn replaced(&mut self) {
        loop {
            let token = self
                .leader
                .borrow_and_update()
                .as_ref()
                .map(|leader| leader.token);
            if token == Some(self.token) {
                self.once = true;
            } else if self.once || token > Some(self.token) {
                return;
            }
            if self.leader.changed().await.is_err() {
                // Discovery ends only with the process.
                std::future::pending::<()>().await;
            }
        }
    }
}

fn encode_era(era: u32) -> Vec<u8> {
    rmp_serde::to_vec(&era).expect("a number is plain data")
}

/// The era that stands under [`SETTLED_ERA_KEY`]; the first of all if it cannot be read.
pub fn decode_era(value: &[u8]) -> u32 {
    rmp_serde::from_slice(value).unwrap_or(0)
}

/// Name of the node for orders.
pub fn holder(context: &Context) -> Arc<str> {
    context.settings.name.clone()
}
