//! Decides how long a request waits for a runner, and when the client of a refused
//! request should retry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{ModelReference, ModelSpec};

use crate::callers_time::{retry_after, spread_retry_after};
use crate::dispatcher::Dispatcher;
use crate::query::{Acquired, Query, Refusal, RefusalReason, Ticket};
use crate::queue::WaitingRequest;
use crate::runner::RunnerEntry;
use crate::turnover::Turn;

/// Time from the order of a load to the first event of a stream, beyond the load itself.
const LOAD_OVERHEAD: Duration = Duration::from_millis(600);
/// Time from the end of a load to the first event of a stream.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(200);
/// Time after its `Retry-After` within which a refused client has come back: it opens a new
/// connection, for which clients allow a second.
const RETURN_CONNECTION_TIME: Duration = Duration::from_secs(1);
/// Largest number of requests that wait at one node.
const MAX_QUEUE_LENGTH: usize = 2000;

/// When a request that no runner can take now gets its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// After this time, by what is known to come: the end of a load that was ordered, of a
    /// pause or of a rate limit.
    Planned(Duration),
    /// After this time if the model's load is ordered now, which nobody has done yet.
    IfOrderedNow(Duration),
    /// Once other requests leave their slots, by how long these are held.
    InTurn(Turn),
    /// Once another request leaves its slot; nothing is measured of when that is.
    Unknown,
    /// Nothing is known to come that could serve the request.
    Never,
}

impl Dispatcher {
    /// Queues `query`, or refuses it if the queue is full or waiting is of no use.
    pub(crate) fn wait_or_refuse(&mut self, query: &Query, now: Instant) -> Acquired {
        let (reason, refuse_at) = self.waiting_limit(query, 0, now);
        if let (Some(wanted), RefusalReason::NotLoaded) = (&query.wanted, reason) {
            self.cold_starts.record_begin(&query.service, wanted, now);
        }
        if self.queue.len() >= MAX_QUEUE_LENGTH {
            let ahead = self.queue.len();
            return Acquired::Refused(self.refuse(query, RefusalReason::QueueFull, ahead, now));
        }
        if refuse_at <= now || !query.may_wait {
            return Acquired::Refused(self.refuse(query, reason, 0, now));
        }
        self.last_id += 1;
        let ticket = self.last_id;
        self.queue.push(WaitingRequest {
            ticket,
            query: query.clone(),
            refuse_at,
            reason,
        });
        if reason == RefusalReason::Full {
            let ahead = self.queue.count_ahead(ticket);
            if self.waiting_limit(query, ahead, now).1 <= now {
                self.queue.remove(ticket);
                return Acquired::Refused(self.refuse(query, reason, ahead, now));
            }
        }
        if let Some(wanted) = &query.wanted {
            self.demand.add_waiting(&query.service, wanted);
        }
        Acquired::Waiting(ticket)
    }

    /// Removes a waiting request that does not need a runner any more.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.queue.remove(ticket) {
            self.stop_waiting(&waiting.query);
            self.return_retry(&waiting.query);
        }
    }

    pub(crate) fn stop_waiting(&mut self, query: &Query) {
        if let Some(wanted) = &query.wanted {
            self.demand.remove_waiting(&query.service, wanted);
        }
    }

    /// Returns the reason why a request cannot be served at `now`, and the time at which it is
    /// refused, or examined again, if no runner takes it before: as long as it can still be
    /// served before its client leaves, and `now` if it cannot. `ahead`: waiting requests that are
    /// served before it by the same runners.
    fn waiting_limit(&self, query: &Query, ahead: usize, now: Instant) -> (RefusalReason, Instant) {
        let reason = self.waiting_reason(query, now);
        let due_at = query.due_at.max(now);
        let latest_without = |work: Duration| due_at.checked_sub(work).unwrap_or(now).max(now);
        let until = match self.availability_for(query, reason, ahead, now) {
            Availability::Never => now,
            Availability::Unknown => due_at,
            Availability::Planned(ready_in)
            | Availability::InTurn(Turn {
                soonest: ready_in, ..
            }) => {
                if now + ready_in > due_at {
                    now
                } else {
                    due_at
                }
            }
            // If the load is ordered until then, it ends before the client leaves.
            Availability::IfOrderedNow(ready_in) => latest_without(ready_in),
        };
        (reason, until)
    }

    /// Returns what keeps the open runners from taking `query`.
    fn waiting_reason(&self, query: &Query, now: Instant) -> RefusalReason {
        if self.open_runners(query, now).next().is_none() {
            // A runner that comes later has a new version rather than an old one.
            let wants_version = query.software.is_some();
            return if wants_version {
                RefusalReason::NoRunnerOfVersion
            } else {
                RefusalReason::NoRunner
            };
        }
        let Some(wanted) = &query.wanted else {
            let end = self.first_end_if_all_pause(self.open_runners(query, now), now);
            return end.map_or(RefusalReason::Full, |_| RefusalReason::Paused);
        };
        let mut reason = RefusalReason::NotLoaded;
        for holder in self.open_holders(query, wanted, now) {
            if self.pause_end(holder, now).is_some() {
                reason = RefusalReason::Paused;
            } else if !holder.is_rate_limited() {
                return RefusalReason::Full;
            } else if reason == RefusalReason::NotLoaded {
                reason = RefusalReason::Limited;
            }
        }
        reason
    }

    /// Returns when `query`, which waits for `reason`, gets its first event.
    fn availability_for(
        &self,
        query: &Query,
        reason: RefusalReason,
        ahead: usize,
        now: Instant,
    ) -> Availability {
        match (reason, &query.wanted) {
            (RefusalReason::NoRunner | RefusalReason::NoRunnerOfVersion, _) => Availability::Never,
            (RefusalReason::NotLoaded, Some(wanted)) => self.load_availability(query, wanted, now),
            (RefusalReason::Limited | RefusalReason::Paused, Some(wanted)) => {
                self.holder_availability(query, wanted, now)
            }
            (RefusalReason::Paused, None) => self.pause_availability(query, now),
            (_, Some(wanted)) => self.slot_availability(query, wanted, ahead, now),
            (_, None) => {
                let runners = self.untried(self.open_runners(query, now), query);
                self.next_turn(query, runners, ahead)
                    .unwrap_or(Availability::Never)
            }
        }
    }

    /// When one of `runners`, all of which are full, takes the request after `ahead` others of
    /// this node; `None` if there are none.
    fn next_turn<'a>(
        &'a self,
        query: &Query,
        runners: impl Iterator<Item = &'a RunnerEntry>,
        ahead: usize,
    ) -> Option<Availability> {
        let runners: Vec<&RunnerEntry> = runners.collect();
        if runners.is_empty() {
            return None;
        }
        let in_flight: u32 = runners.iter().map(|entry| entry.total_in_flight()).sum();
        let share = f64::from(in_flight) / self.node_count() as f64;
        let responses = runners
            .iter()
            .filter_map(|entry| entry.health().response_seconds());
        let response = Duration::from_secs_f64(responses.reduce(f64::min).unwrap_or_default());
        let turn = self.turnover.turn(&query.slot_group(), share, ahead);
        Some(turn.map_or(Availability::Unknown, |turn| {
            Availability::InTurn(Turn {
                expected: turn.expected.saturating_add(response),
                soonest: turn.soonest.saturating_add(response),
            })
        }))
    }

    /// When a full runner that holds `wanted` takes the request, unless all of them refused it:
    /// then only a load on another runner helps.
    fn slot_availability(
        &self,
        query: &Query,
        wanted: &ModelReference,
        ahead: usize,
        now: Instant,
    ) -> Availability {
        let holders = self.open_holders(query, wanted, now);
        if let Some(turn) = self.next_turn(query, self.untried(holders, query), ahead) {
            return turn;
        }
        self.ordered_load(query, wanted, now)
            .unwrap_or(Availability::Never)
    }

    /// When the first load of `wanted` that was ordered ends; `None` if none was.
    fn ordered_load(
        &self,
        query: &Query,
        wanted: &ModelReference,
        now: Instant,
    ) -> Option<Availability> {
        let runners = self.untried(self.open_runners(query, now), query);
        let load_ends = runners.filter_map(|entry| entry.load_ready_at(&wanted.model));
        let time_left = load_ends.min()?.saturating_duration_since(now);
        Some(Availability::Planned(time_left + FIRST_EVENT_TIME))
    }

    /// Leaves out the runners that refused the request or at which it failed, which do not get
    /// it again.
    fn untried<'a>(
        &'a self,
        runners: impl Iterator<Item = &'a RunnerEntry> + 'a,
        query: &'a Query,
    ) -> impl Iterator<Item = &'a RunnerEntry> + 'a {
        runners.filter(|entry| !query.excluded_runners.contains(&entry.runner.id))
    }

    /// When the first of the runners of a plain service, all of which pause, ends its pause.
    fn pause_availability(&self, query: &Query, now: Instant) -> Availability {
        let end = self.first_end_if_all_pause(self.open_runners(query, now), now);
        end.map_or(Availability::Unknown, |end| {
            Availability::Planned(end.saturating_duration_since(now))
        })
    }

    /// Returns the runners of the service that accept new work, may serve `query` and hold
    /// `wanted`, without those at which the request failed.
    fn open_holders<'a>(
        &'a self,
        query: &'a Query,
        wanted: &'a ModelReference,
        now: Instant,
    ) -> impl Iterator<Item = &'a RunnerEntry> + 'a {
        self.possible_holders(&wanted.model).filter(move |entry| {
            entry.runner.service == query.service
                && entry.is_open(now)
                && self.is_allowed(entry, query)
                && entry.holds(wanted, now)
                && !is_lost(entry, query, wanted, now)
        })
    }

    /// Returns the refusal of a waiting request that cannot be served in time any more; `None`
    /// if it waits on. A request whose time is up waits on if a load of its model was ordered
    /// meanwhile. One that waits for a slot, a permit or the end of a pause is refused as soon as
    /// it is known that this comes too late.
    pub(crate) fn refusal_due(
        &mut self,
        waiting: &mut WaitingRequest,
        ahead: usize,
        now: Instant,
    ) -> Option<Refusal> {
        let rechecked_reasons = [
            RefusalReason::Full,
            RefusalReason::Limited,
            RefusalReason::Paused,
        ];
        if waiting.refuse_at > now && !rechecked_reasons.contains(&waiting.reason) {
            return None;
        }
        let (reason, until) = self.waiting_limit(&waiting.query, ahead, now);
        (waiting.reason, waiting.refuse_at) = (reason, until);
        (until <= now).then(|| self.refuse(&waiting.query, reason, ahead, now))
    }

    /// When a rate-limited or pausing runner that holds `wanted` can take the request, or
    /// an ordered load on another runner ends.
    fn holder_availability(
        &self,
        query: &Query,
        wanted: &ModelReference,
        now: Instant,
    ) -> Availability {
        let ahead = self.queue.count_waiting_for(&query.service, wanted);
        let callable_times = self
            .open_holders(query, wanted, now)
            .filter_map(|entry| self.callable_at(entry, ahead, now));
        let load_ends = self
            .open_runners(query, now)
            .filter_map(|entry| entry.load_ready_at(&wanted.model));
        let earliest = callable_times.chain(load_ends).min();
        earliest.map_or(Availability::Never, |at| {
            Availability::Planned(at.saturating_duration_since(now) + FIRST_EVENT_TIME)
        })
    }

    /// When this node may call the runner for a request with `ahead` others before it,
    /// with respect to the runner's rate limit and requested pause. `None` if the wait
    /// for a permit is too long to be represented.
    fn callable_at(&self, entry: &RunnerEntry, ahead: usize, now: Instant) -> Option<Instant> {
        let permitted = if entry.is_rate_limited() {
            entry.rate_permit_at(ahead, now)?
        } else {
            now
        };
        let pause_end = self.pause_end(entry, now);
        Some(pause_end.map_or(permitted, |end| end.max(permitted)))
    }

    /// Returns the runners of the service that accept new work and may serve `query`.
    fn open_runners<'a>(
        &'a self,
        query: &'a Query,
        now: Instant,
    ) -> impl Iterator<Item = &'a RunnerEntry> + 'a {
        self.runners
            .values()
            .filter(move |entry| entry.runner.service == query.service && entry.is_open(now))
            .filter(move |entry| self.is_allowed(entry, query))
    }

    /// Estimates when the model `wanted`, which no runner holds, will be loaded.
    fn load_availability(
        &self,
        query: &Query,
        wanted: &ModelReference,
        now: Instant,
    ) -> Availability {
        if let Some(ordered) = self.ordered_load(query, wanted, now) {
            return ordered;
        }
        let spec = self.model_spec(query, wanted);
        let remote_load = spec.map_or(Duration::ZERO, |spec| spec.remote_load);
        let shortest_load = self
            .untried(self.open_runners(query, now), query)
            .filter_map(|entry| load_time_from_copy(entry, &wanted.model, spec))
            .min();
        let load = shortest_load.map_or(remote_load, |load| load.min(remote_load)) + LOAD_OVERHEAD;
        let expected = self
            .cold_starts
            .remaining(&query.service, wanted, load, now);
        // Nothing of a load that is not ordered is done, however long the request has waited.
        Availability::IfOrderedNow(expected.max(load))
    }

    fn model_spec(&self, query: &Query, wanted: &ModelReference) -> Option<&ModelSpec> {
        let service = self.configuration.services.get(&query.service)?;
        service.engine.as_ref()?.models.get(&wanted.model)
    }

    /// Returns when the client of `query` should come back if nothing is known of when a runner
    /// can take the request.
    pub(crate) fn spread_retry_after(&mut self, query: &Query, now: Instant) -> Duration {
        self.last_id += 1;
        let time_left = query.deadline.saturating_duration_since(now);
        spread_retry_after(time_left, &(&self.name, self.last_id))
    }

    /// Creates the refusal of `query`, and notes in the demand that its client is expected
    /// to retry.
    fn refuse(
        &mut self,
        query: &Query,
        reason: RefusalReason,
        ahead: usize,
        now: Instant,
    ) -> Refusal {
        let time_left = query.deadline.saturating_duration_since(now);
        let retry_after = match self.availability_for(query, reason, ahead, now) {
            Availability::Planned(ready_in)
            | Availability::InTurn(Turn {
                expected: ready_in, ..
            })
            | Availability::IfOrderedNow(ready_in) => retry_after(ready_in, time_left),
            Availability::Unknown | Availability::Never => self.spread_retry_after(query, now),
        };
        if let Some(wanted) = &query.wanted {
            let until = now + retry_after + RETURN_CONNECTION_TIME;
            self.demand.expect_retry(&query.service, wanted, until);
        }
        Refusal {
            reason,
            retry_after,
            retry_budget: None,
        }
    }
}

/// Whether the request failed at a runner that holds `wanted`, so that the model has to be
/// loaded elsewhere. A runner that refused it for lack of room holds the model still.
fn is_lost(entry: &RunnerEntry, query: &Query, wanted: &ModelReference, now: Instant) -> bool {
    let has_refused = entry.health().is_busy(now) || !entry.accepts(wanted, now);
    query.excluded_runners.contains(&entry.runner.id) && !has_refused
}

/// Returns the time that a runner takes to load `model` from its local weight copy: zero
/// if it holds the model already, `None` if it has no copy.
fn load_time_from_copy(
    entry: &RunnerEntry,
    model: &Arc<str>,
    spec: Option<&ModelSpec>,
) -> Option<Duration> {
    let runner = &entry.runner;
    let load_time = |load: fn(&ModelSpec) -> Duration| Some(spec.map_or(Duration::ZERO, load));
    if runner.models.iter().any(|held| held.model == *model) {
        Some(Duration::ZERO)
    } else if runner.copies.memory.contains(model) {
        load_time(|spec| spec.memory_load)
    } else if runner.copies.disk.contains(model) {
        load_time(|spec| spec.disk_load)
    } else {
        None
    }
}
