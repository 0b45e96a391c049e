//! What a runner says of itself in its answers, and whom it told to pause.

use std::net::IpAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use tokio::time::Instant;

use crate::dialect::names;
use crate::runner::RunnerStandIn;

/// A pause that the runner asked a node for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AskedPause {
    /// When it asked.
    pub at: Instant,
    /// The node that it answered.
    pub node: IpAddr,
    /// For how long.
    pub time: Duration,
}

/// What a runner says of itself.
#[derive(Debug, Default)]
pub(super) struct Notices {
    limit: Option<f64>,
    hides_limit_from_leader: bool,
    leaves: bool,
    pause: Option<Duration>,
    one_in: u64,
    requests: u64,
    pauses: Vec<AskedPause>,
}

impl Notices {
    /// A request of `node` has come: the pause that it is asked for, if it is turned away.
    pub(super) fn turn_away(&mut self, node: IpAddr) -> Option<Duration> {
        let time = self.pause?;
        self.requests += 1;
        if !self.requests.is_multiple_of(self.one_in) {
            return None;
        }
        let at = Instant::now();
        self.pauses.push(AskedPause { at, node, time });
        Some(time)
    }

    /// Says in an answer what all answers say.
    pub(super) fn add_to(&self, headers: &mut HeaderMap, is_request: bool) {
        let limit = self
            .limit
            .filter(|_| is_request || !self.hides_limit_from_leader);
        if let Some(limit) = limit {
            headers.insert(names::LIMIT, text(&limit.to_string()));
        }
        if self.leaves {
            headers.insert(names::LEAVING, text("1"));
        }
    }
}

pub(super) fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("it is plain text")
}

impl RunnerStandIn {
    /// Names a limit in all its answers from now on, in requests a second.
    pub fn name_limit(&self, per_second: Option<f64>) {
        self.lock().notices.limit = per_second;
    }

    /// Whether its answers to the leader's calls name its limit, too.
    pub fn name_limit_to_leader(&self, names: bool) {
        self.lock().notices.hides_limit_from_leader = !names;
    }

    /// Says in all its answers from now on that it leaves. Its entry says so only once
    /// the store has taken it ([`Self::drain`]).
    pub fn say_it_leaves(&self) {
        self.lock().notices.leaves = true;
    }

    /// Turns one in so many requests away from now on, and asks for a pause of `time`.
    pub fn ask_for_pauses(&self, time: Duration, one_in: u64) {
        let notices = &mut self.lock().notices;
        (notices.pause, notices.one_in) = (Some(time), one_in);
    }

    /// Turns no more requests away.
    pub fn ask_for_no_pauses(&self) {
        self.lock().notices.pause = None;
    }

    /// The pauses that it asked for.
    pub fn asked_pauses(&self) -> Vec<AskedPause> {
        self.lock().notices.pauses.clone()
    }
}
