//! The number of runner crashes, seen by all nodes, after which a request is considered to
//! be their cause.
//!
//! When a runner crashes, all requests that it was processing fail, and one of them may be
//! the cause. Each request accumulates a weight once per crashed runner, depending on its
//! progress. The accumulated weight decays slowly ([`QuotaLimit::of_crashes`]).
//!
//! [`QuotaLimit::of_crashes`]: crate::QuotaLimit::of_crashes

/// Weight that a request may accumulate without being considered a cause of crashes. It
/// is less than that of two crashes when the request had just started, or of four crashes
/// when it was queued or had been running for long.
pub(crate) const TOLERATED_WEIGHT: f64 = 3.0;
/// Time in which the accumulated weight decreases by one, in seconds. A request that was
/// wrongly quarantined is then sent again; one that crashes a runner again is quarantined
/// for as long once more.
pub(crate) const SECONDS_PER_FORGIVEN_UNIT: f64 = 600.0;

/// Progress of a request at a runner at the time of the runner's crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The request asks for a stream whose head had not arrived; usually, it was waiting in
    /// the runner's queue.
    Queued,
    /// Nothing of the answer's body had arrived, but the runner had probably started the
    /// request: a stream's head had arrived, or the request does not ask for a stream.
    Started,
    /// Part of the answer's body had arrived, the first of it a moment before.
    Answering,
    /// The answer had been arriving for so long that the request is unlikely to be the cause.
    Established,
}

impl Progress {
    /// Returns the name of the progress in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Started => "started",
            Self::Answering => "answering",
            Self::Established => "established",
        }
    }

    /// Returns the weight of a crash at this progress. A request that crashes runners
    /// usually does so as soon as they start it. Requests that were queued or had been
    /// running for a while may be present at several crashes caused by another request and
    /// should still be served.
    pub fn weight(self) -> u64 {
        match self {
            Self::Started => 2,
            Self::Queued | Self::Answering | Self::Established => 1,
        }
    }
}
