//! Idle connections and the number of open connections, by runner.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::upstream::Connection;

/// Numbers of connections that this node may have open to one runner. All nodes share the
/// runner's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Number up to which connections may be open, in use or idle: this node's equal share.
    pub kept: u32,
    /// Number up to which connections may be in use while this node has more requests than
    /// others; those beyond `kept` are closed after their request.
    pub in_use: u32,
}

/// Counts one open connection to a runner against this node's share. Dropping it frees the
/// share.
#[derive(Debug)]
pub struct OpenSlot(Arc<AtomicU32>);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of a request to the pool for a connection.
#[derive(Debug)]
pub enum Checkout {
    /// An idle connection that can be reused.
    Idle(Box<Connection>),
    /// The slot for a new connection, which the caller is to open.
    Open(OpenSlot),
    /// All connections that this node may have to the runner are in use.
    Full,
}

#[derive(Debug, Default)]
struct RunnerConnections {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
}

impl RunnerConnections {
    fn open_count(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Reserves a slot for one more connection; `None` if as many are open as `share` allows.
    /// Beyond the kept ones, idle connections are closed to make room.
    fn reserve(&mut self, share: ConnectionShare) -> Option<OpenSlot> {
        let excess = (self.open_count() + 1).saturating_sub(share.kept) as usize;
        self.idle.drain(..excess.min(self.idle.len()));
        if self.open_count() >= share.in_use.max(share.kept) {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(OpenSlot(self.open.clone()))
    }
}

/// The connections to all runners, by runner id. The lock is never held across an await.
#[derive(Debug, Default)]
pub struct Pool {
    entries: Mutex<HashMap<Arc<str>, RunnerConnections>>,
}

impl Pool {
    fn with_entries<T>(
        &self,
        act: impl FnOnce(&mut HashMap<Arc<str>, RunnerConnections>) -> T,
    ) -> T {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut entries)
    }

    /// Returns an idle connection to the runner with the id `runner`, or the slot for a new
    /// one if `share` allows one more.
    pub fn checkout(&self, runner: &Arc<str>, share: ConnectionShare) -> Checkout {
        self.with_entries(|entries| {
            let entry = entries.entry(runner.clone()).or_default();
            entry.idle.retain(Connection::is_alive);
            if let Some(index) = entry.idle.iter().rposition(Connection::is_ready) {
                return Checkout::Idle(Box::new(entry.idle.remove(index)));
            }
            entry.reserve(share).map_or(Checkout::Full, Checkout::Open)
        })
    }

    /// Reserves the slot for a new connection to `runner`, even if there are idle ones;
    /// `None` if `share` allows no more.
    pub fn reserve(&self, runner: &Arc<str>, share: ConnectionShare) -> Option<OpenSlot> {
        self.with_entries(|entries| entries.entry(runner.clone()).or_default().reserve(share))
    }

    /// Returns a connection to the pool after an answer was read completely from it. One that
    /// goes through a peer is closed instead: the peer decides anew for each request whether it
    /// may call the runner. So is one beyond the `kept` ones of this node's share.
    /// `keep_alive_seconds`: the keep-alive time that the runner announced, if any.
    pub fn put_back(
        &self,
        runner: &Arc<str>,
        mut connection: Connection,
        keep_alive_seconds: Option<u64>,
        kept: u32,
    ) {
        connection.mark_idle(keep_alive_seconds);
        if connection.is_closed() || connection.peer().is_some() {
            return;
        }
        self.with_entries(|entries| {
            if let Some(entry) = entries.get_mut(runner)
                && entry.open_count() <= kept
            {
                entry.idle.push(connection);
            }
        });
    }

    /// Closes the idle connections to `runner`.
    pub fn close_idle(&self, runner: &str) {
        self.with_entries(|entries| {
            if let Some(entry) = entries.get_mut(runner) {
                entry.idle.clear();
            }
        });
    }

    /// Closes the idle connections to all runners.
    pub fn close_all_idle(&self) {
        self.with_entries(|entries| {
            entries.values_mut().for_each(|entry| entry.idle.clear());
        });
    }

    /// Closes connections that exceed their idle limit, and removes the entries of runners
    /// without an open connection.
    pub fn close_expired(&self) {
        self.with_entries(|entries| {
            entries.retain(|_, entry| {
                entry.idle.retain(Connection::is_alive);
                entry.open.load(Ordering::Relaxed) > 0
            });
        });
    }
}
