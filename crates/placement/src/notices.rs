//! Notices of leaving runners, spread apart from the control log.
//!
//! The log needs the key-value service; a back end that leaves while that
//! service is down must get no new work all the same. So a few members of each
//! zone read the machine list and tell their zone who is leaving.

use std::collections::BTreeSet;
use std::sync::Arc;

use async_trait::async_trait;
use barleyspar_domain::{Incarnation, RunnerName};
use barleyspar_peer::{PeerError, PeerHandler, decode, encode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// One life of one runner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunnerLife {
    /// The runner.
    pub runner: RunnerName,
    /// Its life.
    pub incarnation: Incarnation,
}

type LeavingSet = BTreeSet<RunnerLife>;

/// Runners known to be leaving. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LeavingNotices {
    sender: Arc<watch::Sender<Arc<LeavingSet>>>,
}

impl Default for LeavingNotices {
    fn default() -> Self {
        Self {
            sender: Arc::new(watch::channel(Arc::default()).0),
        }
    }
}

impl LeavingNotices {
    /// Whether this life of `runner` is known to be leaving.
    pub fn is_leaving(&self, runner: &RunnerName, incarnation: Incarnation) -> bool {
        let life = RunnerLife {
            runner: runner.clone(),
            incarnation,
        };
        self.sender.borrow().contains(&life)
    }

    /// Adds notices. Returns whether any was new. A life that began to leave
    /// never stops leaving, so notices are only added.
    pub fn add(&self, lives: impl IntoIterator<Item = RunnerLife>) -> bool {
        let mut set = self.sender.borrow().as_ref().clone();
        let before = set.len();
        set.extend(lives);
        let grown = set.len() > before;
        if grown {
            self.sender.send_replace(Arc::new(set));
        }
        grown
    }

    /// Forgets notices about runners that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&RunnerLife) -> bool) {
        let mut set = self.sender.borrow().as_ref().clone();
        set.retain(|life| keep(life));
        if set.len() < self.sender.borrow().len() {
            self.sender.send_replace(Arc::new(set));
        }
    }

    /// All notices.
    pub fn all(&self) -> Vec<RunnerLife> {
        self.sender.borrow().iter().cloned().collect()
    }
}

/// Takes notices from other nodes.
pub(crate) struct NoticeHandler {
    pub notices: LeavingNotices,
}

#[async_trait]
impl PeerHandler for NoticeHandler {
    async fn handle(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let lives: Vec<RunnerLife> = decode(&body)?;
        encode(&self.notices.add(lives))
    }
}
