//! How many crashes of runners a request may be part of, over all nodes, before it is held
//! to cause them.
//!
//! All requests at a runner break with it, and one of them may be the cause. A request
//! counts once for each runner that crashed with it there, by how far it had come; what it
//! may collect comes back slowly ([`QuotaLimit::of_crashes`]).
//!
//! [`QuotaLimit::of_crashes`]: crate::QuotaLimit::of_crashes

/// What a request may collect. Less than two crashes as it began to run, or four in which it
/// only waited or had long been running.
pub(crate) const TOLERATED_WEIGHT: f64 = 3.0;
/// Seconds in which one unit of it comes back: a request that was held too long is tried
/// again, one that still crashes its runner is held for as long once more.
pub(crate) const FORGIVEN_IN_SECONDS: f64 = 600.0;

/// How far a request had come at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// A stream of which no head had come: it waited in the runner's queue, as a rule.
    Queued,
    /// The runner had begun to run it, as far as is known, and nothing of its answer's
    /// body had come.
    Started,
    /// Some of its answer's body had come.
    Answering,
}

impl Progress {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Started => "started",
            Self::Answering => "answering",
        }
    }

    /// What a crash at this point counts. A request that crashes runners does so as a rule
    /// when they begin to run it; what waited beside it, or had run for a while, goes
    /// through several crashes with it and is to be served in the end.
    pub fn weight(self) -> u64 {
        match self {
            Self::Started => 2,
            Self::Queued | Self::Answering => 1,
        }
    }
}
