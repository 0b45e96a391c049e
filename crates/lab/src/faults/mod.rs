//! `barleyspar-lab faults`: the nodes' own code under faults, in virtual time,
//! by seed.

mod callers;
mod inject;
mod observer;
mod operators;
mod plan;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use barleyspar_node::NodeTuning;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;

use crate::arrivals::generate;
use crate::checkers::{Bounds, Violation, check};
use crate::errors::LabError;
use crate::history::{Event, RequestEnd, Stamped, digest};
use crate::outcome::print_last_line;
use crate::sim::log_recorder::LogRecorder;
use crate::sim::site_world::{self, SiteWorld};
use crate::site::Site;

use callers::Callers;
use inject::Injector;
use plan::Plan;

/// Quiet time at the end of a run, in which the system must recover.
const QUIET: Duration = Duration::from_secs(60);
/// Time for the last requests to end.
const TAIL: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);
/// Requests that arrive this late in the quiet time count for recovery.
const RECOVERED_AFTER: Duration = Duration::from_secs(30);

/// Settings of fault runs.
#[derive(Debug, Clone)]
pub struct FaultOptions {
    /// First seed.
    pub seed: u64,
    /// Runs, with successive seeds.
    pub runs: u64,
    /// Virtual seconds of one run.
    pub seconds: u64,
    /// Whether the histories of failed runs are printed around the violation.
    pub verbose: bool,
}

/// What came of one run.
#[derive(Debug)]
pub struct RunResult {
    /// The history.
    pub history: Vec<Stamped>,
    /// Violations that the checkers found.
    pub violations: Vec<Violation>,
    /// Violations that stand-ins saw.
    pub seen: Vec<String>,
    /// Faults by kind.
    pub injected: BTreeMap<&'static str, u64>,
    /// Share of requests answered in the last part of the quiet time.
    pub answered_after: f64,
}

#[derive(Debug, Default, Serialize)]
struct FaultSummary {
    site: String,
    seed: u64,
    runs: u64,
    requests: u64,
    answered: u64,
    refused: u64,
    refused_by_reason: BTreeMap<String, u64>,
    broke_off: u64,
    node_lost: u64,
    dropped: u64,
    violations: usize,
    faults_injected: BTreeMap<&'static str, u64>,
    answered_share: f64,
    answered_share_after_recovery: f64,
    digest: String,
}

/// Runs all seeds. Returns whether every promise was kept.
pub fn run(site_path: &str, site: &Site, options: &FaultOptions) -> Result<bool, LabError> {
    let mut summary = FaultSummary {
        site: site.site.name.clone(),
        seed: options.seed,
        runs: options.runs,
        ..FaultSummary::default()
    };
    let mut digests = Vec::new();
    let mut after = 0.0;
    for seed in options.seed..options.seed + options.runs {
        let runtime = crate::virtual_time_runtime(seed)?;
        let result = runtime.block_on(run_once(site, seed, options.seconds))?;
        summary.add(&result);
        after += result.answered_after;
        digests.push(digest(&result.history));
        if !result.violations.is_empty() || !result.seen.is_empty() {
            describe(site_path, seed, options, &result);
        }
    }
    summary.answered_share = summary.answered as f64 / summary.requests.max(1) as f64;
    summary.answered_share_after_recovery = after / options.runs.max(1) as f64;
    summary.digest = match digests.as_slice() {
        [one] => one.clone(),
        many => {
            use sha2::{Digest, Sha256};
            format!("{:x}", Sha256::digest(many.join("\n")))
        }
    };
    print_last_line(&summary);
    Ok(summary.violations == 0)
}

impl FaultSummary {
    fn add(&mut self, result: &RunResult) {
        for Stamped { event, .. } in &result.history {
            match event {
                Event::RequestBegins { .. } => self.requests += 1,
                Event::RequestEnds { end, .. } => match end {
                    RequestEnd::Answered { .. } => self.answered += 1,
                    RequestEnd::Refused { reason, verdict } => {
                        self.refused += 1;
                        let reason = format!("{reason}/{verdict}");
                        *self.refused_by_reason.entry(reason).or_default() += 1;
                    }
                    RequestEnd::BrokeOff => self.broke_off += 1,
                    RequestEnd::NodeLost => self.node_lost += 1,
                },
                _ => {}
            }
        }
        let dropped = result.violations.iter();
        self.dropped += dropped.filter(|v| v.promise == "never dropped").count() as u64;
        self.violations += result.violations.len() + result.seen.len();
        for (kind, count) in &result.injected {
            *self.faults_injected.entry(kind).or_default() += count;
        }
    }
}

/// Prints the first violation, what led to it, and how to see it again.
fn describe(site_path: &str, seed: u64, options: &FaultOptions, result: &RunResult) {
    for seen in result.seen.iter().take(3) {
        println!("seed {seed}: SEEN {seen}");
    }
    for violation in result.violations.iter().take(3) {
        println!(
            "seed {seed}: VIOLATION at {} ms: {}: {}",
            violation.at_ms, violation.promise, violation.what
        );
    }
    println!(
        "replay: barleyspar-lab faults --site {site_path} --seed {seed} --runs 1 \
         --virtual-seconds {} --verbose",
        options.seconds
    );
    let Some(first) = result.violations.first().filter(|_| options.verbose) else {
        return;
    };
    let from = first.at_ms.saturating_sub(60_000);
    for Stamped { at_ms, event } in &result.history {
        let wanted = !matches!(event, Event::Obeys { .. });
        if *at_ms >= from && *at_ms <= first.at_ms && wanted {
            println!("{at_ms:8} {event:?}");
        }
    }
}

/// Runs one seed.
pub async fn run_once(site: &Site, seed: u64, seconds: u64) -> Result<RunResult, LabError> {
    let SiteWorld {
        mut world,
        store,
        records,
    } = site_world::build(site, NodeTuning::default(), seed);
    let objects = site.objects();
    let recorder = LogRecorder::new(world.history.clone(), world.engines.len() as u32);
    world
        .key_value
        .observe(move |key, value| recorder.saw(key, value));
    site_world::come_up(&mut world, objects, site.models.count).await?;

    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x6661_756c_7473);
    let arrivals = generate(site, seconds as f64, &mut random);
    let disturbed = Duration::from_secs(seconds).saturating_sub(QUIET);
    let plan = Plan::generate(site, disturbed, &mut random);
    let world = Arc::new(Mutex::new(world));
    let mut injector = Injector::new(Arc::clone(&world), store, records, site);
    let callers = Callers::new(Arc::clone(&world), site);
    let mut operators = operators::Operators::new(Arc::clone(&world), site, seed);
    let start = Instant::now();
    let mut arrivals = arrivals.into_iter().peekable();
    let mut faults = plan.faults.into_iter().peekable();
    let end = start + Duration::from_secs(seconds);
    while Instant::now() < end {
        let now = start.elapsed();
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= now.as_secs_f64()) {
            callers.ask(arrival);
        }
        while let Some(fault) = faults.next_if(|fault| fault.at <= now) {
            injector.begin(&fault);
        }
        injector.end_due();
        if now < disturbed {
            operators.act();
        }
        observer::observe(&world);
        tokio::time::sleep(STEP).await;
    }
    injector.end_all();
    tokio::time::sleep(TAIL).await;
    let (history, seen) = {
        let world = lock(&world);
        (world.history.all(), world.violations.all())
    };
    let violations = check(&history, &Bounds::default());
    let recovered_from = (Duration::from_secs(seconds) - QUIET + RECOVERED_AFTER).as_millis();
    let began = start_milliseconds(&history);
    Ok(RunResult {
        answered_after: answered_share(&history, began + recovered_from as u64),
        injected: injector.counts(),
        history,
        violations,
        seen,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn start_milliseconds(history: &[Stamped]) -> u64 {
    let first = history
        .iter()
        .find(|stamped| matches!(stamped.event, Event::RequestBegins { .. }));
    first.map_or(0, |stamped| stamped.at_ms)
}

/// Share of the requests that began at `from_ms` or later and were answered.
fn answered_share(history: &[Stamped], from_ms: u64) -> f64 {
    let mut begun = std::collections::BTreeSet::new();
    let mut answered = 0;
    for Stamped { at_ms, event } in history {
        match event {
            Event::RequestBegins { request, .. } if *at_ms >= from_ms => {
                begun.insert(request);
            }
            Event::RequestEnds {
                request,
                end: RequestEnd::Answered { .. },
            } if begun.contains(request) => answered += 1,
            _ => {}
        }
    }
    match begun.len() {
        0 => 1.0,
        count => f64::from(answered) / count as f64,
    }
}
