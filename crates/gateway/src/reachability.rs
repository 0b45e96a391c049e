//! Which runners this node reaches itself, which only through a peer, and which peers help. A
//! state machine without I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Time between two direct connection attempts to a runner that is reached through peers.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two such attempts once another runner has been reached directly, which shows
/// that a partition has ended.
const PROBE_INTERVAL_AFTER_CONTACT: Duration = Duration::from_millis(100);
/// Number of runners that only peers reach from which on this node counts as partitioned from
/// all runners, unless it reaches another one itself. One runner alone may have a broken link of
/// its own.
const PARTITION_RUNNERS: usize = 2;
/// Time for which peers are not asked again for a runner that they did not reach either.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Time for which a peer that opened no tunnel is asked only after all others.
const PEER_AVOIDED_TIME: Duration = Duration::from_secs(2);
/// Time without a connection attempt to a runner after which what is known of it is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// How to open a connection to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Directly; through a peer if that fails or takes long.
    Direct,
    /// Directly only: peers did not reach the runner either, a moment ago.
    DirectOnly,
    /// Through a peer.
    Tunnel {
        /// Whether a direct attempt is due at the same time, to notice the end of a partition.
        probe: bool,
    },
}

/// A runner to which the last direct connection attempt failed.
#[derive(Debug, Clone, Copy)]
struct Unreachable {
    since: Instant,
    last_attempt_at: Instant,
}

/// A runner that is reached through peers.
#[derive(Debug, Clone, Copy)]
struct Tunnelled {
    /// When a peer last reached the runner; `None` while that is only presumed.
    last_tunnel_at: Option<Instant>,
    last_probe_at: Instant,
    last_used_at: Instant,
}

/// What this node's connection attempts, and its peers' answers, have shown.
#[derive(Debug, Default)]
pub struct Reachability {
    unreachable: HashMap<Arc<str>, Unreachable>,
    tunnelled: HashMap<Arc<str>, Tunnelled>,
    /// Runners that peers did not reach either, and until when they are not asked again.
    down_until: HashMap<Arc<str>, Instant>,
    last_direct_at: Option<Instant>,
    avoided_peers: HashMap<Arc<str>, Instant>,
}

impl Reachability {
    /// Returns how to connect to `runner` now, and notes the attempt.
    pub fn path(&mut self, runner: &Arc<str>, now: Instant) -> Path {
        if !self.tunnelled.contains_key(runner) && self.is_partitioned(now) {
            self.add_tunnelled(runner, now);
            return Path::Tunnel { probe: true };
        }
        let last_direct_at = self.last_direct_at;
        if let Some(tunnelled) = self.tunnelled.get_mut(runner) {
            let probe = tunnelled.start_probe_if_due(last_direct_at, now);
            return Path::Tunnel { probe };
        }
        let is_down = self
            .down_until
            .get(runner)
            .is_some_and(|until| now < *until);
        if is_down {
            Path::DirectOnly
        } else {
            Path::Direct
        }
    }

    /// Whether this node reaches `runner` only through peers.
    pub fn is_tunnelled(&self, runner: &str) -> bool {
        self.tunnelled.contains_key(runner)
    }

    /// Whether this node seems to be partitioned from all runners: since it last reached any of
    /// them itself, it has reached several through peers.
    pub fn is_partitioned(&self, now: Instant) -> bool {
        let since = self.last_direct_at.max(now.checked_sub(FORGOTTEN_AFTER));
        let tunnelled = self.tunnelled.values();
        let reached = tunnelled.filter(|runner| runner.last_tunnel_at > since);
        reached.count() >= PARTITION_RUNNERS
    }

    /// Records a direct connection to `runner`. Returns for how long it was unreachable before;
    /// `None` if it was not.
    pub fn record_connected(&mut self, runner: &str, now: Instant) -> Option<Duration> {
        self.tunnelled.remove(runner);
        self.down_until.remove(runner);
        self.last_direct_at = Some(now);
        let unreachable = self.unreachable.remove(runner)?;
        Some(now.saturating_duration_since(unreachable.since))
    }

    /// Records that `runner` could not be connected to directly. Returns whether that is news.
    pub fn record_failed(&mut self, runner: &Arc<str>, now: Instant) -> bool {
        if let Some(known) = self.unreachable.get_mut(runner) {
            known.last_attempt_at = now;
            return false;
        }
        self.forget_unused(now);
        let unreachable = Unreachable {
            since: now,
            last_attempt_at: now,
        };
        self.unreachable.insert(runner.clone(), unreachable);
        true
    }

    /// Records that a peer reached `runner` and this node did not. Returns whether that is
    /// news.
    pub fn record_tunnel(&mut self, runner: &Arc<str>, now: Instant) -> bool {
        self.down_until.remove(runner);
        let is_news = !self.tunnelled.contains_key(runner);
        if is_news {
            self.add_tunnelled(runner, now);
        }
        if let Some(tunnelled) = self.tunnelled.get_mut(runner) {
            tunnelled.last_tunnel_at = Some(now);
        }
        is_news
    }

    fn add_tunnelled(&mut self, runner: &Arc<str>, now: Instant) {
        self.forget_unused(now);
        let tunnelled = Tunnelled {
            last_tunnel_at: None,
            last_probe_at: now,
            last_used_at: now,
        };
        self.tunnelled.insert(runner.clone(), tunnelled);
    }

    /// Records that the peers that were asked did not reach `runner` either.
    pub fn record_down(&mut self, runner: &Arc<str>, now: Instant) {
        self.forget_unused(now);
        self.tunnelled.remove(runner);
        self.down_until.insert(runner.clone(), now + DOWN_TIME);
    }

    fn forget_unused(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FORGOTTEN_AFTER;
        self.unreachable
            .retain(|_, runner| is_recent(runner.last_attempt_at));
        self.tunnelled
            .retain(|_, runner| is_recent(runner.last_used_at));
        self.down_until.retain(|_, until| now < *until);
    }

    /// Records whether `peer` opened a tunnel that it was asked for.
    pub fn record_peer(&mut self, peer: &Arc<str>, opened: bool, now: Instant) {
        self.avoided_peers.retain(|_, until| now < *until);
        if opened {
            self.avoided_peers.remove(peer);
        } else {
            let until = now + PEER_AVOIDED_TIME;
            self.avoided_peers.insert(peer.clone(), until);
        }
    }

    /// Whether `peer` did not open a tunnel that it was asked for a moment ago.
    pub fn is_avoided(&self, peer: &str, now: Instant) -> bool {
        let until = self.avoided_peers.get(peer);
        until.is_some_and(|until| now < *until)
    }

    /// Number of runners to which the last direct connection attempt failed.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }
}

impl Tunnelled {
    /// Returns whether a direct attempt is due now, and notes it if so.
    fn start_probe_if_due(&mut self, last_direct_at: Option<Instant>, now: Instant) -> bool {
        self.last_used_at = now;
        let interval = if last_direct_at > Some(self.last_probe_at) {
            PROBE_INTERVAL_AFTER_CONTACT
        } else {
            PROBE_INTERVAL
        };
        let is_due = now.saturating_duration_since(self.last_probe_at) >= interval;
        if is_due {
            self.last_probe_at = now;
        }
        is_due
    }
}

#[cfg(test)]
#[path = "reachability_tests.rs"]
mod tests;
