//! What the tests of the retry budget share: sites whose runners fail, and the rule itself,
//! measured by what the runners have received.

use std::collections::BTreeSet;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Fault, World, default_bounds, engine_service, plain_service, route};
use tokio::time::Instant;

pub const SECOND: Duration = Duration::from_secs(1);
pub const GATEWAYS: u8 = 6;
pub const RUNNERS: usize = 8;

/// What runners do with the requests that they read.
#[derive(Debug, Clone, Copy)]
pub struct Failing {
    pub fault: Fault,
    pub streams: bool,
}

impl Failing {
    /// Returns the path of a request, and the model that it names.
    pub fn target(self) -> (&'static str, Option<&'static str>) {
        match self.streams {
            true => ("/stream/x", Some("a")),
            false => ("/read/x", None),
        }
    }

    /// Makes all runners of `world` fail in this way, or work.
    pub fn set(self, world: &World, fails: bool) {
        let runners = world.runners.values();
        runners.for_each(|runner| runner.set_fault(fails.then_some(self.fault)));
    }
}

/// Ways of failing that make gateways repeat requests.
pub const WAYS_OF_FAILING: [Failing; 4] = [
    Failing {
        fault: Fault::Reject,
        streams: false,
    },
    Failing {
        fault: Fault::NeverAnswer,
        streams: false,
    },
    Failing {
        fault: Fault::ResetAfterRun,
        streams: false,
    },
    Failing {
        fault: Fault::BreakStream(2),
        streams: true,
    },
];

/// Returns a site whose gateways have run for 20 s, longer than a window. Its runners work.
pub async fn world(failing: Failing) -> World {
    let mut reads = route("/read/", "plain", RequestKind::Idempotent);
    reads.maximum_attempts = 3;
    let mut streams = route("/stream/", "engine", RequestKind::Streaming);
    streams.maximum_attempts = 3;
    let services = vec![plain_service("plain"), engine_service("engine", &["a"])];
    let mut world = World::new(services, vec![reads, streams]);
    for number in 1..=RUNNERS {
        if failing.streams {
            world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
        } else {
            world.start_runner(&format!("plain-{number}"), "plain", &[]);
        }
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(20 * SECOND).await;
    world
}

/// Times of the arrivals past the first of each request, in order.
pub fn repeated_arrivals(world: &World) -> Vec<Instant> {
    let calls = world.runners.values().flat_map(|runner| runner.calls());
    let mut arrivals: Vec<(Instant, u64)> = calls
        .filter(|call| call.is_request)
        .map(|call| (call.at, call.id))
        .collect();
    arrivals.sort();
    let mut seen = BTreeSet::new();
    let repeated = arrivals.into_iter().filter(|(_, id)| !seen.insert(*id));
    repeated.map(|(at, _)| at).collect()
}

/// Largest number of repeated arrivals within a window, in parts of what the budget allows then;
/// `sent`: when clients sent their requests.
pub fn largest_share_of(repeats: &[Instant], sent: &[Instant]) -> f64 {
    let bounds = default_bounds();
    let window = bounds.retry_window;
    let within = |times: &[Instant], start: Instant| {
        let from = times.partition_point(|at| *at < start);
        let to = times.partition_point(|at| *at < start + window);
        (to - from) as f64
    };
    let share_from = |start: &Instant| {
        let shifts = [Duration::ZERO, window / 2, window];
        let requests = shifts.map(|shift| within(sent, *start - shift));
        let most_requests = requests.into_iter().fold(0.0, f64::max);
        let allowed = bounds.retry_ratio * most_requests + bounds.retry_extra;
        within(repeats, *start) / allowed
    };
    repeats.iter().map(share_from).fold(0.0, f64::max)
}
