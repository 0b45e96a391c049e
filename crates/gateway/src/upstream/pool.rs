//! Idle connections by runner, and how many are open.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::upstream::Connection;

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub struct OpenSlot(Arc<AtomicU32>);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the pool has for a request.
#[derive(Debug)]
pub enum Checkout {
    /// A connection that rested.
    Idle(Box<Connection>),
    /// Leave to open one.
    Open(OpenSlot),
    /// This node's share of the runner's connections is used up.
    Full,
}

#[derive(Debug, Default)]
struct Entry {
    idle: Vec<Connection>,
    open: Arc<AtomicU32>,
}

impl Entry {
    /// Leave to open one more connection, if fewer than `share` are open.
    fn reserve(&self, share: u32) -> Option<OpenSlot> {
        if self.open.load(Ordering::Relaxed) >= share {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(OpenSlot(self.open.clone()))
    }
}

/// Connections by runner. The lock is never held across an await.
#[derive(Debug, Default)]
pub struct Pool {
    entries: Mutex<HashMap<Arc<str>, Entry>>,
}

impl Pool {
    fn with<T>(&self, act: impl FnOnce(&mut HashMap<Arc<str>, Entry>) -> T) -> T {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut entries)
    }

    /// A connection to `runner`, of which `share` may be open.
    pub fn checkout(&self, runner: &Arc<str>, share: u32) -> Checkout {
        self.with(|entries| {
            let entry = entries.entry(runner.clone()).or_default();
            entry.idle.retain(Connection::is_alive);
            if let Some(index) = entry.idle.iter().rposition(Connection::is_ready) {
                return Checkout::Idle(Box::new(entry.idle.remove(index)));
            }
            entry.reserve(share).map_or(Checkout::Full, Checkout::Open)
        })
    }

    /// Leave to open a connection to `runner`, of which `share` may be open.
    pub fn reserve(&self, runner: &Arc<str>, share: u32) -> Option<OpenSlot> {
        self.with(|entries| entries.entry(runner.clone()).or_default().reserve(share))
    }

    /// Puts back a connection after a whole answer.
    pub fn put_back(
        &self,
        runner: &Arc<str>,
        mut connection: Connection,
        keep_alive_seconds: Option<u64>,
    ) {
        connection.rest(keep_alive_seconds);
        if connection.is_closed() {
            return;
        }
        self.with(|entries| {
            if let Some(entry) = entries.get_mut(runner) {
                entry.idle.push(connection);
            }
        });
    }

    /// Closes what rests too long, and forgets runners without a connection.
    pub fn sweep(&self) {
        self.with(|entries| {
            entries.retain(|_, entry| {
                entry.idle.retain(Connection::is_alive);
                entry.open.load(Ordering::Relaxed) > 0
            });
        });
    }
}
