//! What callers saw, summed up.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest time a histogram holds, in milliseconds.
const LONGEST_MILLISECONDS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How one request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A whole and right answer.
    Answered,
    /// A refusal, with its reason.
    Refused(String),
    /// No answer at all.
    Dropped,
    /// An answer that is not the one to its request, or is not whole.
    Wrong(String),
}

/// Times and counts over all requests of a run.
#[derive(Debug)]
pub struct Tally {
    /// Whole and right answers.
    pub answered: u64,
    /// Refusals by reason.
    pub refused: std::collections::BTreeMap<String, u64>,
    /// Requests without any answer.
    pub dropped: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Descriptions of the first few wrong and dropped ones.
    pub faults: Vec<String>,
    /// First token times of requests that found a warm replica, milliseconds.
    pub warm: Histogram<u64>,
    /// First token times of requests that had to wait for a load, milliseconds.
    pub cold: Histogram<u64>,
}

/// Faults that are described.
const DESCRIBED_FAULTS: usize = 10;
/// A first token that took longer than this waited for a load.
pub const COLD_MILLISECONDS: u64 = 700;

/// An empty histogram of milliseconds, up to an hour.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are good"))
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: std::collections::BTreeMap::new(),
            dropped: 0,
            wrong: 0,
            faults: Vec::new(),
            warm: histogram(),
            cold: histogram(),
        }
    }
}

impl Tally {
    /// Counts one request; `first_token` in milliseconds for model answers.
    pub fn count(&mut self, what: &str, ending: Ending, first_token: Option<u64>) {
        match ending {
            Ending::Answered => self.answered += 1,
            Ending::Refused(reason) => *self.refused.entry(reason).or_default() += 1,
            Ending::Dropped => {
                self.dropped += 1;
                self.describe(format!("{what}: dropped"));
            }
            Ending::Wrong(cause) => {
                self.wrong += 1;
                self.describe(format!("{what}: {cause}"));
            }
        }
        if let Some(milliseconds) = first_token {
            let times = match milliseconds > COLD_MILLISECONDS {
                true => &mut self.cold,
                false => &mut self.warm,
            };
            times.saturating_record(milliseconds);
        }
    }

    fn describe(&mut self, fault: String) {
        if self.faults.len() < DESCRIBED_FAULTS {
            self.faults.push(fault);
        }
    }

    /// All refusals.
    pub fn all_refused(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// The value at `quantile`, in seconds; 0 if there is none.
pub fn seconds_at(times: &Histogram<u64>, quantile: f64) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.value_at_quantile(quantile) as f64 / 1000.0
}

/// Prints `value` as the one-line JSON object that ends a command's output.
pub fn print_last_line<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
