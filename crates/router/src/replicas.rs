//! What a router knows of the replicas of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_domain::{Grant, HolderState, RunnerName};
use barleyspar_placement::{DemandAnswer, RefusalReason};
use tokio::time::Instant;

/// Pause before a keeper that gave no answer is asked again.
const KEEPER_PAUSE: Duration = Duration::from_millis(250);

/// What is known of the target at one runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Nothing yet.
    Unknown,
    /// It is not held there.
    Idle,
    /// It is being loaded there and expected at this time.
    Loading(Instant),
    /// It is ready there.
    Ready,
    /// The keeper refused, or could not be asked; it may be asked again then.
    Refused(RefusalReason, Instant),
}

/// One possible replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// What is known.
    pub standing: Standing,
    /// A demand is on its way or waits at the keeper.
    pub asked: bool,
    /// Whether that demand wakes the model.
    pub woken: bool,
    /// Requests of this node it is working on.
    pub in_flight: u32,
    /// It said it was busy; not before then.
    pub busy_until: Option<Instant>,
    /// Its keeper gave no answer; it is not asked again before then.
    pub ask_after: Option<Instant>,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            standing: Standing::Unknown,
            asked: false,
            woken: false,
            in_flight: 0,
            busy_until: None,
            ask_after: None,
        }
    }
}

/// The possible replicas of one target, in the grant's order.
#[derive(Debug, Default)]
pub struct Replicas {
    order: Vec<RunnerName>,
    known: BTreeMap<RunnerName, Replica>,
    /// Replicas wanted for all that waits, as the keepers think.
    pub wanted: u32,
}

impl Replicas {
    /// Follows the grant; replicas that left it are forgotten once idle.
    pub fn follow(&mut self, grant: Option<&Grant>) {
        let holders = grant.map_or(&[][..], |grant| &grant.holders);
        self.order = holders
            .iter()
            .filter(|holder| holder.state == HolderState::Granted)
            .map(|holder| holder.runner.clone())
            .collect();
        self.known
            .retain(|runner, replica| self.order.contains(runner) || replica.in_flight > 0);
        for runner in &self.order {
            self.known.entry(runner.clone()).or_default();
        }
    }

    /// The replica at `runner`.
    pub fn get_mut(&mut self, runner: &RunnerName) -> Option<&mut Replica> {
        self.known.get_mut(runner)
    }

    /// Granted replicas in the grant's order.
    pub fn granted(&self) -> impl Iterator<Item = (&RunnerName, &Replica)> {
        let order = self.order.iter();
        order.filter_map(|runner| self.known.get_key_value(runner))
    }

    /// Whether any replica, granted or no longer so, has a request of this node,
    /// or a demand is on its way.
    pub fn are_in_use(&self) -> bool {
        let mut known = self.known.values();
        known.any(|replica| replica.in_flight > 0 || replica.asked)
    }

    /// Whether there is any granted replica.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Takes in a keeper's answer.
    pub fn take_answer(&mut self, runner: &RunnerName, answer: &DemandAnswer, now: Instant) {
        let Some(replica) = self.known.get_mut(runner) else {
            return;
        };
        replica.asked = false;
        replica.woken = false;
        replica.standing = match answer {
            DemandAnswer::Ready { .. } => Standing::Ready,
            DemandAnswer::Idle => Standing::Idle,
            DemandAnswer::Loading {
                expected_milliseconds,
                ..
            } => {
                let expected = Duration::from_millis(*expected_milliseconds);
                Standing::Loading(now + expected)
            }
            DemandAnswer::Refused {
                reason,
                retry_after_milliseconds,
            } => {
                let wait = Duration::from_millis(*retry_after_milliseconds);
                Standing::Refused(*reason, now + wait)
            }
            DemandAnswer::NotKeeper => return self.note_silence(runner, now),
        };
        if let DemandAnswer::Ready { replicas_wanted }
        | DemandAnswer::Loading {
            replicas_wanted, ..
        } = answer
        {
            self.wanted = *replicas_wanted;
        }
    }

    /// Notes that the keeper of `runner` gave no answer. A replica that was
    /// ready stays so: the engine itself refuses what it does not hold, and a
    /// lost keeper is no reason to stop using what is loaded.
    pub fn note_silence(&mut self, runner: &RunnerName, now: Instant) {
        let Some(replica) = self.known.get_mut(runner) else {
            return;
        };
        replica.asked = false;
        replica.woken = false;
        let until = now + KEEPER_PAUSE;
        replica.ask_after = Some(until);
        if replica.standing != Standing::Ready {
            replica.standing = Standing::Refused(RefusalReason::EngineUnavailable, until);
        }
    }

    /// Runners to ask now, with whether to wake the model there.
    ///
    /// While some granted runner's standing is unknown, it is only asked, so
    /// that a replica that is warm elsewhere is found before one is loaded.
    /// Then as many as are wanted are woken, in the grant's order, which is the
    /// same at every router: a burst at many of them wakes the same replicas.
    pub fn to_ask(&self, something_waits: bool, now: Instant) -> Vec<(RunnerName, bool)> {
        let askable = |replica: &Replica| match replica.standing {
            Standing::Refused(_, until) => now >= until,
            _ => replica.ask_after.is_none_or(|after| now >= after),
        };
        let unknown = self
            .granted()
            .any(|(_, replica)| replica.standing == Standing::Unknown);
        let mut to_wake = match something_waits && !unknown {
            true => self.wanted.max(1),
            false => 0,
        };
        let mut asks = Vec::new();
        let ready_first = |(_, replica): &(&RunnerName, &Replica)| match replica.standing {
            Standing::Ready => 0,
            Standing::Loading(_) => 1,
            _ => 2,
        };
        let mut candidates: Vec<_> = self.granted().filter(|(_, r)| askable(r)).collect();
        candidates.sort_by_key(ready_first);
        for (runner, replica) in candidates {
            let wake = to_wake > 0;
            to_wake = to_wake.saturating_sub(1);
            let news = wake && !replica.woken && replica.standing != Standing::Ready;
            let first = replica.standing == Standing::Unknown;
            let watched = matches!(replica.standing, Standing::Ready | Standing::Loading(_));
            if (!replica.asked && (wake || first || watched)) || (replica.asked && news) {
                asks.push((runner.clone(), wake));
            }
        }
        asks
    }

    /// When the next refused replica may be asked again or busy one tried again.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        self.granted()
            .flat_map(|(_, replica)| {
                let refused = match replica.standing {
                    Standing::Refused(_, until) => Some(until),
                    _ => None,
                };
                [refused, replica.busy_until, replica.ask_after]
            })
            .flatten()
            .filter(|time| *time > now)
            .min()
    }

    /// The earliest time at which some replica is expected; `None` if unknown.
    pub fn expected(&self, now: Instant) -> Option<Instant> {
        self.granted()
            .filter_map(|(_, replica)| match replica.standing {
                Standing::Ready => Some(now),
                Standing::Loading(at) => Some(at),
                _ => None,
            })
            .min()
    }

    /// Whether every granted runner refuses because it is not granted the model.
    pub fn all_not_granted(&self) -> bool {
        !self.is_empty()
            && self.granted().all(|(_, replica)| {
                matches!(
                    replica.standing,
                    Standing::Refused(RefusalReason::NotGranted, _)
                )
            })
    }
}
