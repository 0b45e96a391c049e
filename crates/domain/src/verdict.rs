//! Verdicts: whether a request without a complete answer ran at a runner.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request that got no complete answer may have run at a runner. Ordered from
/// the least to the most that may have happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request certainly did not run. Only after this verdict, a request that must not
    /// run twice may be sent again.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The request certainly ran, at least in part.
    Ran,
}

impl Verdict {
    /// Returns the text of the verdict in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }

    /// Returns the verdict on a request that was sent twice, from the verdicts on the two
    /// attempts: the one after which more may have happened.
    pub fn combined_with(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
