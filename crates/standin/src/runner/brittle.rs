//! Brittle runners: they take few requests beyond their slots, and crash if they have to reject
//! too many within a second.

use std::time::Duration;

use tokio::time::Instant;

use crate::network::MemoryNetwork;
use crate::runner::{CrashCourse, RunnerStandIn};

/// Span within which rejections are counted.
const COUNTED_WITHIN: Duration = Duration::from_secs(1);

/// How a runner is brittle.
pub(super) struct Brittle {
    network: MemoryNetwork,
    /// Number of rejections within a second that the runner survives.
    tolerated: u32,
    /// Number of requests that the runner takes beyond its slots.
    queue: u32,
    /// Whether the runner says that it is brittle.
    is_said: bool,
    rejections: Vec<Instant>,
}

impl RunnerStandIn {
    /// Makes the runner brittle: it takes `queue` requests beyond its slots, rejects further
    /// ones, and crashes if it rejects more than `tolerated` within a second. It says so in its
    /// answers if `is_said`, and restarts with its models some seconds after a crash.
    pub fn make_brittle(&self, network: &MemoryNetwork, tolerated: u32, queue: u32, is_said: bool) {
        self.lock().brittle = Some(Brittle {
            network: network.clone(),
            tolerated,
            queue,
            is_said,
            rejections: Vec::new(),
        });
    }

    /// Ends the brittle state.
    pub fn end_brittle(&self) {
        self.lock().brittle = None;
    }

    /// Number of rejections within a second that the runner says to survive; `None` if it says
    /// nothing of it.
    pub(super) fn said_brittle(&self) -> Option<u32> {
        let state = self.lock();
        let brittle = state.brittle.as_ref().filter(|brittle| brittle.is_said);
        brittle.map(|brittle| brittle.tolerated)
    }

    /// Returns whether the runner rejects one more request for lack of room. Crashes if these are
    /// too many.
    pub(super) fn rejects_for_lack_of_room(&self) -> bool {
        let network = {
            let mut state = self.lock();
            let (running, slots) = (state.running_requests, state.record.slots.get());
            let Some(brittle) = &mut state.brittle else {
                return false;
            };
            if running < (slots + brittle.queue) as usize {
                return false;
            }
            let now = Instant::now();
            brittle.rejections.retain(|at| now - *at < COUNTED_WITHIN);
            brittle.rejections.push(now);
            let is_crash = brittle.rejections.len() > brittle.tolerated as usize;
            is_crash.then(|| brittle.network.clone())
        };
        if let Some(network) = network {
            let course = CrashCourse {
                crash_after: Duration::ZERO,
                ..CrashCourse::default()
            };
            self.crash_and_restart(network, course, None);
        }
        true
    }
}
