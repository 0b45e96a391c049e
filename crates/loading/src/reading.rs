//! How many runners the reading of prompts keeps busy, from the prompt tokens asked of
//! each model and the speeds at which runners read.

use std::ops::RangeInclusive;

use barleyspar_catalog::OrderAction;

use crate::demand::ModelDemand;
use crate::models::ModelPlan;
use crate::replica_counts::ReplicaCounts;
use crate::view::RunnerView;

/// Fraction of a runner's time in which it may read prompts. Prompts that arrive while
/// another one is read hold up each other and the runner's streams, which is rare up to
/// half of the time.
const USABLE_READING_FRACTION: f64 = 0.5;
/// Range of tokens a second at which a runner may plausibly read; others are ignored.
const PLAUSIBLE_SPEEDS: RangeInclusive<f64> = 100.0..=10_000_000.0;

/// Speeds at which the runners of one service read prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReadingSpeeds {
    /// Mean of the known speeds, in tokens a second; `None` if none is known.
    mean: Option<f64>,
    known: usize,
    ignored: usize,
}

impl ReadingSpeeds {
    /// Collects the speeds of the runners of `service` that accept requests.
    pub fn new(service: &str, runners: &[RunnerView]) -> Self {
        let speeds: Vec<f64> = runners
            .iter()
            .filter(|runner| *runner.service == *service && runner.accepts_requests())
            .filter_map(|runner| runner.tokens_per_second)
            .collect();
        let plausible = || speeds.iter().filter(|speed| is_plausible(**speed));
        let known = plausible().count();
        let sum: f64 = plausible().sum();
        Self {
            mean: (known > 0).then(|| sum / known as f64),
            known,
            ignored: speeds.len() - known,
        }
    }

    /// Number of runners whose speed is known.
    pub fn known(&self) -> usize {
        self.known
    }

    /// Number of runners whose speed is ignored because it cannot be right.
    pub fn ignored(&self) -> usize {
        self.ignored
    }

    /// Returns the number of runners of mean speed that reading the prompts of a model
    /// keeps busy; 0 if no speed is known.
    pub fn runners_kept_busy(&self, demand: &ModelDemand) -> f64 {
        self.mean
            .map_or(0.0, |mean| demand.prompt_tokens_per_second / mean)
    }

    /// Returns the speed of `runner` or, if that is unknown, the mean; `None` if none is
    /// known.
    fn speed(&self, runner: &RunnerView) -> Option<f64> {
        let own = runner
            .tokens_per_second
            .filter(|speed| is_plausible(*speed));
        own.or(self.mean)
    }

    /// Returns what a replica at `runner` is worth, relative to one at a runner of mean
    /// speed without other models: the ratio of the fractions of its prompts that are
    /// read without meeting others. `own_tokens` are the prompt tokens a second expected
    /// for the replica, `other_tokens` those for the other models at the runner. 1 if no
    /// speed is known.
    pub fn relative_worth(&self, runner: &RunnerView, own_tokens: f64, other_tokens: f64) -> f64 {
        let (Some(speed), Some(mean)) = (self.speed(runner), self.mean) else {
            return 1.0;
        };
        let read_there = read_fraction(speed, own_tokens + other_tokens);
        read_there / read_fraction(mean, own_tokens)
    }
}

/// Returns the fraction of a model's prompts that one replica can read, if they keep
/// `reading` runners busy; more than 1 if it could read more.
pub fn reading_coverage(reading: f64) -> f64 {
    USABLE_READING_FRACTION / reading
}

fn is_plausible(speed: f64) -> bool {
    PLAUSIBLE_SPEEDS.contains(&speed)
}

/// Returns the fraction, up to 1, of `tokens` a second that a runner of this speed reads
/// in the usable part of its time.
fn read_fraction(speed: f64, tokens: f64) -> f64 {
    (USABLE_READING_FRACTION * speed / tokens).min(1.0)
}

impl ModelPlan<'_> {
    /// Returns the prompt tokens a second that are expected for each of `replicas`
    /// replicas of `model`.
    pub fn prompt_tokens_per_replica(&self, model: &str, replicas: usize) -> f64 {
        self.demand_for(model).prompt_tokens_per_second / replicas.max(1) as f64
    }

    /// Returns the prompt tokens a second that are expected at `runner` for the models that
    /// it holds or loads.
    pub fn prompt_tokens_at(&self, counts: &ReplicaCounts, runner: &RunnerView) -> f64 {
        let loading = match &runner.order_in_progress {
            Some(OrderAction::LoadModel { model }) if runner.loaded_model(model).is_none() => {
                Some(model)
            }
            _ => None,
        };
        let held = runner.models.iter().map(|loaded| &loaded.model);
        held.chain(loading)
            .map(|model| self.prompt_tokens_per_replica(model, counts.for_model(model).reachable))
            .sum()
    }
}
