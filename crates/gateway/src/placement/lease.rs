//! Acquires and renews the placement lease; only the node that holds it may give orders
//! to runners.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Revision, StoreAnswer, StoreCall, StoreError, Transaction, Write};
use barleyspar_loading::{Lease, LeaseSettings};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::context::Context;
use crate::lifecycle::Stage;
use crate::peers::{SeenPeer, peer_timeout};
use crate::placement::{LEADER_KEY, LEASE_ERA_KEY, LeaderRecord};
use crate::stagger::staggered_delay;
use crate::store::Store;

/// The lease's time to live where runners don't check fencing tokens, as a fraction of
/// the site's `lease_duration`. Before its first order, a new leader waits for the end
/// of the previous leader's lease and then for a whole `lease_duration`.
const UNFENCED_TIME_TO_LIVE: f64 = 0.5;
/// The lease's time to live where runners check fencing tokens, as a multiple of the
/// site's `lease_duration`. A lease this long lets the leader continue through most
/// outages of the store, and delays no successor: an unresponsive leader is replaced
/// before its lease expires.
const FENCED_TIME_TO_LIVE: f64 = 2.0;
/// Number of times that the lease is renewed within its time to live.
const RENEWALS: u32 = 5;
/// Time between two checks whether the leader is unresponsive, and between two renewals
/// while it is unknown whether the lease is still held.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time without orders after the lease was acquired, where runners check fencing
/// tokens.
const FENCED_QUIET: Duration = Duration::from_millis(300);
/// Time before the lease's end in which its holder gives no more orders, to cover clock
/// drift and network delay.
const MARGIN: Duration = Duration::from_millis(200);
/// Delay before a started node competes for the lease: it first learns from the
/// members' entries which machines are larger.
const START_DELAY: Duration = Duration::from_millis(300);
/// Maximum time for which nobody held the lease that counts towards a new leader's time
/// without orders, as a fraction of the site's `lease_duration`. It is too short for
/// another node to have acquired the lease and given orders.
const VACANCY_FRACTION: f64 = 0.5;
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which the leader must seem partitioned from all runners before it hands the lease
/// over: a link that is lost for a moment is not worth a change of leader.
const PARTITION_TOLERATED: Duration = Duration::from_millis(500);
/// Pause after a failed attempt to acquire the lease.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The task that acquires and renews the lease.
pub struct LeaseKeeper {
    /// The node's settings, dispatcher, routes and other shared state.
    pub context: Context,
    /// The client of the store that holds the lease.
    pub store: Store,
    /// The leader according to this node's copy of the store; `None` while there is
    /// none.
    pub leader: watch::Receiver<Option<LeaderRecord>>,
    /// The store's era in which the lease was last acquired, according to this node's
    /// copy of the store.
    pub lease_era: watch::Receiver<u32>,
    /// When each peer was last seen.
    pub seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
    /// Set to the lease while this node holds it and may use it; `None` otherwise.
    pub lease: watch::Sender<Option<Lease>>,
}

impl LeaseKeeper {
    /// Runs until the process is asked to stop, then releases the lease.
    pub async fn run(mut self) {
        let lifecycle = self.context.lifecycle.clone();
        let lease_sender = self.lease.clone();
        let store = self.store.clone();
        tokio::select! {
            () = lifecycle.wait_for_stage(Stage::Draining) => {}
            () = self.compete_for_lease() => {}
        }
        if let Some(lease) = lease_sender.send_replace(None) {
            let call = StoreCall::EndLease { lease: lease.id };
            let _ = store.call(&call, CALL_TIMEOUT).await;
        }
    }

    async fn compete_for_lease(&mut self) {
        sleep(START_DELAY).await;
        loop {
            let predecessor = self.wait_for_vacancy().await;
            let vacant_since = Instant::now();
            let delay = staggered_delay(&self.context, &self.seen_peers.borrow());
            sleep(delay).await;
            if self.is_partitioned() {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            let leader = self.leader.borrow().as_ref().map(|leader| leader.revision);
            if leader != predecessor || self.context.routes.borrow().is_none() {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.acquire(predecessor, vacant_since).await {
                Some(lease) => self.hold(lease).await,
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Waits until there is no leader or, where runners check fencing tokens, the
    /// leader is unresponsive. Returns the revision of the unresponsive leader's entry,
    /// `None` if there is no entry.
    async fn wait_for_vacancy(&mut self) -> Option<Revision> {
        loop {
            let leader = self.leader.borrow_and_update().clone()?;
            if self.is_unresponsive(&leader) {
                tracing::info!(
                    event = "leader_silent",
                    leader = &*leader.node,
                    token = leader.token
                );
                return Some(leader.revision);
            }
            let _ = timeout(CHECK_PERIOD, self.leader.changed()).await;
        }
    }

    fn is_unresponsive(&self, leader: &LeaderRecord) -> bool {
        if !self.context.settings.bounds.fencing_enforced {
            return false;
        }
        // An entry of this node itself is from a former process on the same machine,
        // which has certainly ended.
        if leader.node == self.context.settings.name {
            return true;
        }
        let max_silence = peer_timeout(self.context.dispatch.member_count());
        let last_seen = self
            .seen_peers
            .borrow()
            .get(&leader.node)
            .map(|peer| peer.last_seen);
        let since = last_seen
            .unwrap_or(leader.known_since)
            .max(leader.known_since);
        since.elapsed() > max_silence
    }

    fn time_to_live(&self) -> Duration {
        let settings = &self.context.settings;
        let fraction = if settings.bounds.fencing_enforced {
            FENCED_TIME_TO_LIVE
        } else {
            UNFENCED_TIME_TO_LIVE
        };
        settings
            .bounds
            .lease_duration
            .mul_f64(fraction)
            .max(settings.minimum_lease)
    }

    /// Acquires the lease in place of the leader whose entry has the revision
    /// `predecessor` (`None`: there is no entry). `vacant_since` is the time since
    /// which nobody leads. Returns `None` if the call failed or another node was
    /// faster.
    async fn acquire(&self, predecessor: Option<Revision>, vacant_since: Instant) -> Option<Lease> {
        let grant_sent_at = Instant::now().into_std();
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
        let era = self.store.watch_era().borrow().number;
        let quiet_from = self.quiet_from(vacant_since);
        let call = self.write_leader(predecessor, lease, era);
        match self.store.call(&call, CALL_TIMEOUT).await {
            Ok(StoreAnswer::Committed { revision }) if revision.era == era => Some(Lease::new(
                lease,
                revision.fencing_token(),
                grant_sent_at,
                time_to_live,
                quiet_from.into_std(),
                LeaseSettings {
                    margin: MARGIN,
                    quiet_period: self.quiet_period(),
                },
            )),
            _ => {
                // The entry may have been written, or may be written later; the store
                // drops it once its lease has ended.
                let end = StoreCall::EndLease { lease };
                let _ = self.store.call(&end, CALL_TIMEOUT).await;
                None
            }
        }
    }

    /// Returns the call that writes this node's entry as the leader, in place of
    /// `predecessor`'s.
    fn write_leader(&self, predecessor: Option<Revision>, lease: u64, era: u32) -> StoreCall {
        let settings = &self.context.settings;
        let leader = Write {
            key: LEADER_KEY.to_owned(),
            value: LeaderRecord::encode(&settings.name, settings.peer_address, era).into(),
            lease,
        };
        let era_write = Write {
            key: LEASE_ERA_KEY.to_owned(),
            value: encode_era(era).into(),
            lease: 0,
        };
        let era_write = (era > 0).then_some(era_write);
        // The leader's entry is last, so that its revision is that of the whole commit.
        StoreCall::Commit(Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), predecessor)],
            writes: era_write.into_iter().chain([leader]).collect(),
            removes: Vec::new(),
        })
    }

    /// Returns the time from which on the quiet period of a lease that is acquired now
    /// is counted.
    fn quiet_from(&self, vacant_since: Instant) -> Instant {
        let bounds = &self.context.settings.bounds;
        if bounds.fencing_enforced {
            return Instant::now();
        }
        let earliest = Instant::now() - bounds.lease_duration.mul_f64(VACANCY_FRACTION);
        let vacant_since = vacant_since.max(earliest);
        let era = *self.store.watch_era().borrow();
        if *self.lease_era.borrow() == era.number {
            return vacant_since;
        }
        // A store restored from a backup may have lost a lease. Its holder renewed it
        // before the restore, so it ends at most one time to live after the restore.
        vacant_since.max(era.since + self.time_to_live())
    }

    /// Returns for how long a new leader gives no orders. Where runners check fencing
    /// tokens, the time counts from when it acquired the lease. Elsewhere it counts
    /// from when the lease became vacant: before the new leader's first order, no other
    /// node may have given one within the site's `lease_duration`.
    fn quiet_period(&self) -> Duration {
        let bounds = &self.context.settings.bounds;
        if bounds.fencing_enforced {
            FENCED_QUIET
        } else {
            bounds.lease_duration
        }
    }

    /// Renews the lease until the store reports its end, or shows that another node
    /// leads. A lease that expired by this node's clock, or was acquired in an earlier
    /// era of the store, stays unused until a renewal confirms it.
    async fn hold(&self, mut lease: Lease) {
        tracing::info!(event = "lease_taken", token = lease.fencing_token);
        self.lease.send_replace(Some(lease));
        let mut era_watch = self.store.watch_era();
        let acquired_era = era_watch.borrow_and_update().number;
        let mut leader_watch = LeaderWatch::new(self.leader.clone(), lease.fencing_token);
        let partition = self.wait_for_partition();
        tokio::pin!(partition);
        loop {
            tokio::select! {
                () = leader_watch.until_replaced() => break,
                () = &mut partition => return self.hand_over(lease).await,
                Ok(()) = era_watch.changed() => {
                    self.lease.send_replace(None);
                }
                () = sleep(self.renewal_pause()) => {}
            }
            let sent_at = Instant::now().into_std();
            let call = StoreCall::RenewLease { lease: lease.id };
            match self.store.call(&call, CALL_TIMEOUT).await {
                Ok(StoreAnswer::Renewed { time_to_live }) => {
                    lease.extend(sent_at, time_to_live);
                    let current_era = era_watch.borrow().number;
                    let is_held = current_era == acquired_era
                        || self.is_shown_as_leader(current_era, lease.fencing_token);
                    self.lease.send_replace(is_held.then_some(lease));
                }
                Err(StoreError::LeaseGone) => break,
                _ => {}
            }
        }
        tracing::info!(event = "lease_lost", token = lease.fencing_token);
        self.lease.send_replace(None);
    }

    /// Whether this node seems to be partitioned from all runners, so that it can order none.
    fn is_partitioned(&self) -> bool {
        let now = Instant::now();
        self.context
            .with_reachability(|reachability| reachability.is_partitioned(now))
    }

    /// Waits until this node has seemed partitioned from all runners for
    /// [`PARTITION_TOLERATED`].
    async fn wait_for_partition(&self) {
        let mut since = None;
        loop {
            since = since.filter(|_| self.is_partitioned());
            if self.is_partitioned() {
                let since: Instant = *since.get_or_insert_with(Instant::now);
                if since.elapsed() >= PARTITION_TOLERATED {
                    return;
                }
            }
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Gives no more orders, and ends the lease once the last one is a lease duration old, so
    /// that a peer that reaches the runners leads on.
    async fn hand_over(&self, lease: Lease) {
        tracing::warn!(event = "lease_handed_over", token = lease.fencing_token);
        self.lease.send_replace(None);
        sleep(self.context.settings.bounds.lease_duration).await;
        let call = StoreCall::EndLease { lease: lease.id };
        // If the call fails, the lease ends by itself, as it is not renewed any more.
        let _ = self.store.call(&call, CALL_TIMEOUT).await;
    }

    /// Returns the time until the next renewal; short while it is unknown whether the
    /// lease is still held.
    fn renewal_pause(&self) -> Duration {
        let pause = self.time_to_live() / RENEWALS;
        if self.lease.borrow().is_some() {
            pause
        } else {
            pause.min(CHECK_PERIOD)
        }
    }

    /// Whether the store shows in `era` that the leader with `token` leads. A renewal
    /// alone does not prove this after a restore: the store may have lost the lease and
    /// given its number to another one.
    fn is_shown_as_leader(&self, era: u32, token: u64) -> bool {
        let leader = self.leader.borrow();
        leader
            .as_ref()
            .is_some_and(|leader| leader.token == token && leader.revision.era >= era)
    }
}

/// Watches whether the store shows the leader with `token`.
struct LeaderWatch {
    leader: watch::Receiver<Option<LeaderRecord>>,
    token: u64,
    /// Whether the store has shown the leader with `token` at least once.
    was_shown: bool,
}

impl LeaderWatch {
    fn new(leader: watch::Receiver<Option<LeaderRecord>>, token: u64) -> Self {
        Self {
            leader,
            token,
            was_shown: false,
        }
    }

    /// Waits until the leader with `token` is replaced: the store shows a leader with a
    /// higher token or, once it has shown the leader with `token`, any other leader or
    /// none.
    async fn until_replaced(&mut self) {
        loop {
            let token = self
                .leader
                .borrow_and_update()
                .as_ref()
                .map(|leader| leader.token);
            if token == Some(self.token) {
                self.was_shown = true;
            } else if self.was_shown || token > Some(self.token) {
                return;
            }
            if self.leader.changed().await.is_err() {
                // The task that sends the leader has ended, which happens only when the
                // process ends: nothing is left to wait for.
                std::future::pending::<()>().await;
            }
        }
    }
}

fn encode_era(era: u32) -> Vec<u8> {
    rmp_serde::to_vec(&era).expect("a number is serializable")
}

/// Decodes the era stored under [`LEASE_ERA_KEY`]; 0, the first era, if the value is
/// malformed.
pub fn decode_era(value: &[u8]) -> u32 {
    rmp_serde::from_slice(value).unwrap_or(0)
}

/// Returns the name that orders of this node state as the holder of the lease.
pub fn order_holder(context: &Context) -> Arc<str> {
    context.settings.name.clone()
}
