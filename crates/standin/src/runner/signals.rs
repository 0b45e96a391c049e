//! Signals in a runner's answers: limit, draining, requested pause.

use std::net::IpAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use tokio::time::Instant;

use crate::dialect::names;
use crate::runner::RunnerStandIn;

/// A pause that the runner requested of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestedPause {
    /// When the runner requested the pause.
    pub at: Instant,
    /// Host of the node to which the runner sent the request for a pause.
    pub node: IpAddr,
    /// Time from `at` for which the node must send no call to the runner.
    pub duration: Duration,
}

/// Signals that a runner sends, and the pauses that it has requested.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// Advertised limit, in requests per second; `None` for no limit.
    limit: Option<f64>,
    /// Whether answers to calls other than requests leave the limit out.
    hides_limit_from_leader: bool,
    draining: bool,
    /// Pause that rejected requests carry; `None` if no request is rejected.
    pause: Option<Duration>,
    /// One in this number of requests is rejected with a pause.
    pause_one_in: u64,
    /// Number of requests received while pauses are requested.
    requests: u64,
    requested_pauses: Vec<RequestedPause>,
}

impl Signals {
    /// Counts a request of `node`. Returns the pause to request if the request is rejected.
    pub(super) fn pause_for_request(&mut self, node: IpAddr) -> Option<Duration> {
        let duration = self.pause?;
        self.requests += 1;
        if !self.requests.is_multiple_of(self.pause_one_in) {
            return None;
        }
        let at = Instant::now();
        self.requested_pauses
            .push(RequestedPause { at, node, duration });
        Some(duration)
    }

    /// Adds the limit and the draining signal to the headers of an answer. `is_request` says
    /// whether it answers a request or a call of the leader.
    pub(super) fn add_to_headers(&self, headers: &mut HeaderMap, is_request: bool) {
        let limit = self
            .limit
            .filter(|_| is_request || !self.hides_limit_from_leader);
        if let Some(limit) = limit {
            headers.insert(names::LIMIT, header_value(&limit.to_string()));
        }
        if self.draining {
            headers.insert(names::LEAVING, header_value("1"));
        }
    }
}

pub(super) fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("header values are plain text")
}

impl RunnerStandIn {
    /// Advertises a limit in all further answers, in requests per second; `None` ends that.
    pub fn advertise_limit(&self, per_second: Option<f64>) {
        self.lock().signals.limit = per_second;
    }

    /// Sets whether answers to the leader's calls advertise the limit, too.
    pub fn advertise_limit_to_leader(&self, advertised: bool) {
        self.lock().signals.hides_limit_from_leader = !advertised;
    }

    /// Signals in all further answers that the runner is draining. Its entry in the store does
    /// not change; [`Self::drain`] changes it.
    pub fn signal_draining(&self) {
        self.lock().signals.draining = true;
    }

    /// Rejects one in `one_in` further requests, each with a requested pause of `duration`.
    pub fn request_pauses(&self, duration: Duration, one_in: u64) {
        let signals = &mut self.lock().signals;
        (signals.pause, signals.pause_one_in) = (Some(duration), one_in);
    }

    /// Rejects no more requests with a requested pause.
    pub fn stop_requesting_pauses(&self) {
        self.lock().signals.pause = None;
    }

    /// Pauses that the runner has requested so far, in order.
    pub fn requested_pauses(&self) -> Vec<RequestedPause> {
        self.lock().signals.requested_pauses.clone()
    }
}
