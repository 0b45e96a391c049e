//! The load of a simulated site, and what came of it.

use std::time::Duration;

use super::common::SECOND;

/// The site, and the load that it gets.
#[derive(Debug, Clone)]
pub struct Load {
    /// Decides the arrivals.
    pub seed: u64,
    /// Number of nodes, each of which gets the same share of the requests.
    pub nodes: usize,
    /// Speed of each runner.
    pub speeds: Vec<f64>,
    /// Number of models.
    pub models: usize,
    /// Number of runners that hold each model.
    pub replicas: usize,
    /// Requests a second at all nodes together.
    pub requests_per_second: f64,
    /// Exponent of the models' popularity: the number `n` gets a share of `n^-skew`.
    pub skew: f64,
    /// Range of the lengths of prompts.
    pub prompt_tokens: std::ops::Range<u64>,
    /// Time for which requests arrive.
    pub time: Duration,
    /// Whether nodes hear what prefill owners tell.
    pub has_estimates: bool,
    /// Changes of speed: the runner, the time from the start, and the new speed.
    pub speed_changes: Vec<(usize, Duration, f64)>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 88,
            speeds: (0..60).map(|number| [0.6, 1.0, 1.6][number % 3]).collect(),
            models: 60,
            replicas: 3,
            requests_per_second: 400.0,
            skew: 0.5,
            prompt_tokens: 400..2600,
            time: 20 * SECOND,
            has_estimates: true,
            speed_changes: Vec::new(),
        }
    }
}

/// One prompt that was sent.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Index of the runner.
    pub runner: usize,
    /// Time of the arrival, from the start.
    pub arrived: Duration,
    /// Time from the arrival to the first event; `None` if the prompt was never read.
    pub first_event: Option<Duration>,
    /// Time that the runner took to read the prompt.
    pub reading: Duration,
}

/// What came of a load.
#[derive(Debug, Default)]
pub struct Played {
    /// The prompts that were granted a runner.
    pub sent: Vec<Sent>,
    /// Number of requests that no runner could take.
    pub refused: usize,
    /// Number of runners.
    pub runners: usize,
}

impl Played {
    /// Part of all requests whose first event took longer than `wait` or did not come.
    pub fn share_beyond(&self, wait: Duration) -> f64 {
        let is_beyond = |sent: &&Sent| sent.first_event.is_none_or(|at| at > wait);
        let beyond = self.sent.iter().filter(is_beyond).count() + self.refused;
        beyond as f64 / (self.sent.len() + self.refused) as f64
    }

    fn reading_seconds(&self) -> Vec<f64> {
        let mut seconds = vec![0.0; self.runners];
        for sent in &self.sent {
            seconds[sent.runner] += sent.reading.as_secs_f64();
        }
        seconds
    }

    /// Reading time of the busiest runner, in seconds.
    pub fn busiest_seconds(&self) -> f64 {
        self.reading_seconds().into_iter().fold(0.0, f64::max)
    }

    /// Reading time of the busiest runner over the mean.
    pub fn busiest_over_mean(&self) -> f64 {
        let mean = self.reading_seconds().iter().sum::<f64>() / self.runners as f64;
        self.busiest_seconds() / mean
    }

    /// Number of prompts sent to `runner` that arrived within `times`.
    pub fn sent_to(&self, runner: usize, times: std::ops::Range<Duration>) -> usize {
        let matches = |sent: &&Sent| sent.runner == runner && times.contains(&sent.arrived);
        self.sent.iter().filter(matches).count()
    }
}
