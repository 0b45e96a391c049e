//! How soon a slot becomes free for a waiting request: by the time for which requests hold one,
//! as this node measured it, and by the slots that its requests may count on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::ModelReference;

/// Weight of the newest time in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Number of standard deviations by which the slots that become free until a request's turn may be
/// more than expected: of forty requests that need more of them, about one would still be served.
const DEVIATIONS: f64 = 2.0;

/// When a request that waits for a slot has its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Time until it, as expected.
    pub expected: Duration,
    /// Time until it if slots become free as fast as may still happen by chance.
    pub soonest: Duration,
}

/// Requests that hold, and wait for, the same slots: those of one model, or of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SlotGroup {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the model, with or without an adapter; `None` for plain services.
    pub model: Option<Arc<str>>,
}

impl SlotGroup {
    /// Returns the group of requests of `service` that need `wanted`.
    pub fn of(service: &Arc<str>, wanted: Option<&ModelReference>) -> Self {
        Self {
            service: service.clone(),
            model: wanted.map(|wanted| wanted.model.clone()),
        }
    }
}

/// What this node's requests of each group hold, and for how long.
#[derive(Debug, Default)]
pub struct Turnover {
    /// Number of requests at runners.
    in_flight: HashMap<SlotGroup, u32>,
    /// Average time for which a request held its slot, in seconds.
    held_seconds: HashMap<SlotGroup, f64>,
}

impl Turnover {
    /// Counts a request that is sent to a runner.
    pub fn begin(&mut self, group: SlotGroup) {
        *self.in_flight.entry(group).or_default() += 1;
    }

    /// Counts a request that has left its runner. `held`: the time for which it held a slot;
    /// `None` if the runner did not accept it.
    pub fn end(&mut self, group: SlotGroup, held: Option<Duration>) {
        if let Some(in_flight) = self.in_flight.get_mut(&group) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(&group);
            }
        }
        if let Some(sample) = held.map(|held| held.as_secs_f64()) {
            self.held_seconds
                .entry(group)
                .and_modify(|known| *known += NEWEST_WEIGHT * (sample - *known))
                .or_insert(sample);
        }
    }

    /// Returns when a request gets a slot, after `ahead` others of its group; `None` if nothing is
    /// measured. `share`: slots in use at the runners, over the nodes that use them, on which the
    /// group may count even if it holds fewer now.
    pub fn turn(&self, group: &SlotGroup, share: f64, ahead: usize) -> Option<Turn> {
        let held_seconds = self.held_seconds.get(group)?;
        let own = self.in_flight.get(group).copied().unwrap_or_default();
        let turns_per_second = f64::from(own).max(share) / held_seconds;
        let turns = ahead as f64 + 1.0;
        let fewest_turns = (turns - DEVIATIONS * turns.sqrt()).max(0.0);
        let time = |turns: f64| Duration::try_from_secs_f64(turns / turns_per_second).ok();
        Some(Turn {
            expected: time(turns)?,
            soonest: time(fewest_turns)?,
        })
    }

    /// Forgets the times of services that `is_known` does not confirm.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.held_seconds
            .retain(|group, _| is_known(&group.service));
    }
}

/// Counts the waiting requests of each group, in the order in which they are served.
#[derive(Debug, Default)]
pub struct WaitingTurns {
    counts: HashMap<SlotGroup, usize>,
}

impl WaitingTurns {
    /// Returns the number of requests of `group` that were counted.
    pub fn count(&self, group: &SlotGroup) -> usize {
        self.counts.get(group).copied().unwrap_or_default()
    }

    /// Counts a request that waits on.
    pub fn add(&mut self, group: SlotGroup) {
        *self.counts.entry(group).or_default() += 1;
    }
}
