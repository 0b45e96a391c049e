//! Which attempts may yet arrive at their runners, and which of them are repeats.
//!
//! A runner that stands still, or is slow to read, gets a request long after it was sent, even
//! if its connection has been closed meanwhile. Of the attempts of one request all but the first
//! that arrives are repeated arrivals. So the first attempt may turn out to be the repeat: the
//! request ran at another runner before.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::Runner;

use crate::budget::BudgetUse;
use crate::dispatcher::{Dispatcher, Permit};
use crate::query::{AttemptKind, PermitId, Query};

/// Time after which an attempt that was given up is assumed to arrive no more at a runner that has
/// left discovery. While its entry stands, the runner may stand still and go on at any time.
const LONGEST_ABSENCE: Duration = Duration::from_secs(120);

/// Time after which an attempt that was given up is forgotten if its request was not retried.
const LONGEST_RECORD: Duration = Duration::from_secs(120);

/// Time between two searches for such attempts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of a client's request, unique within one dispatcher.
pub type RequestNumber = u64;

/// What is known of the arrival of an attempt at its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// No byte of the request was sent: it never arrives.
    Never,
    /// The runner has answered: it has read the request.
    Over,
    /// The request was sent, and nothing shows that the runner has read it. A closed connection
    /// does not: something between may have reset it while the runner stood still.
    Pending,
}

impl Arrival {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::Over => "over",
            Self::Pending => "pending",
        }
    }
}

/// The attempts of one request of which some may yet arrive.
#[derive(Debug)]
struct RequestAttempts {
    service: Arc<str>,
    /// Number of granted attempts that may yet arrive.
    pending: u32,
    /// Number of the request's retries that count as pending in the budget.
    retries: u32,
    /// Whether the first arrival is over, which is no repeat.
    has_arrived: bool,
}

/// An attempt that was given up before its runner showed that it had read the request.
#[derive(Debug)]
struct GivenUp {
    request: RequestNumber,
    at: Instant,
}

impl GivenUp {
    /// Whether the request was retried, by the record of all `requests`.
    fn is_retried(&self, requests: &HashMap<RequestNumber, RequestAttempts>) -> bool {
        let attempts = requests.get(&self.request);
        attempts.is_some_and(|attempts| attempts.retries > 0)
    }
}

/// What was given up at one runner.
#[derive(Debug, Default)]
struct GivenUpAtRunner {
    attempts: Vec<GivenUp>,
    /// Address of the runner, if it was known.
    address: Option<SocketAddr>,
    /// When the runner left discovery; `None` while its entry stands.
    absent_since: Option<Instant>,
}

/// The attempts of one node that may yet arrive.
#[derive(Debug, Default)]
pub struct PendingArrivals {
    requests: HashMap<RequestNumber, RequestAttempts>,
    /// Attempts that were given up, by the ids of their runners.
    given_up: HashMap<Arc<str>, GivenUpAtRunner>,
    /// When overdue attempts were looked for last.
    swept_at: Option<Instant>,
}

impl PendingArrivals {
    /// Returns the record of a request. `has_arrived`: what it says if the request has none yet.
    fn attempts(&mut self, query: &Query, has_arrived: bool) -> &mut RequestAttempts {
        let entry = self.requests.entry(query.request);
        entry.or_insert_with(|| RequestAttempts {
            service: query.service.clone(),
            pending: 0,
            retries: 0,
            has_arrived,
        })
    }

    /// Records a retry that the budget has allowed. It follows an attempt that was sent; if none
    /// is pending, that one has arrived.
    fn add_retry(&mut self, query: &Query) {
        self.attempts(query, true).retries += 1;
    }

    /// Records that an attempt is granted, which may arrive from now on.
    fn add_attempt(&mut self, query: &Query) {
        self.attempts(query, false).pending += 1;
    }

    /// Records that an attempt of `request` was not granted, or never arrives. Returns the service
    /// whose budget gets a retry back; `None` if the attempt has cost none.
    fn remove_retry(&mut self, request: RequestNumber) -> Option<Arc<str>> {
        let attempts = self.requests.get_mut(&request)?;
        let service = (attempts.retries > 0).then(|| attempts.service.clone());
        attempts.retries = attempts.retries.saturating_sub(1);
        self.forget_if_over(request);
        service
    }

    /// Records that a granted attempt of `request` never arrives; otherwise as
    /// [`Self::remove_retry`].
    fn remove_attempt(&mut self, request: RequestNumber) -> Option<Arc<str>> {
        let attempts = self.requests.get_mut(&request)?;
        attempts.pending = attempts.pending.saturating_sub(1);
        self.remove_retry(request)
    }

    /// Records that the arrival of an attempt of `request` is over. Returns the service that has
    /// got a repeat by it; `None` if it was the first arrival of the request.
    fn end_arrival(&mut self, request: RequestNumber) -> Option<Arc<str>> {
        let attempts = self.requests.get_mut(&request)?;
        attempts.pending = attempts.pending.saturating_sub(1);
        let is_repeat = std::mem::replace(&mut attempts.has_arrived, true) && attempts.retries > 0;
        let service = is_repeat.then(|| attempts.service.clone());
        attempts.retries -= u32::from(is_repeat);
        self.forget_if_over(request);
        service
    }

    fn forget_if_over(&mut self, request: RequestNumber) {
        let attempts = self.requests.get(&request);
        if attempts.is_some_and(|attempts| attempts.pending == 0 && attempts.retries == 0) {
            self.requests.remove(&request);
        }
    }

    /// Keeps an attempt of `request` that was given up, until its runner shows that it reads.
    /// `known`: the runner, if discovery has it.
    fn give_up(
        &mut self,
        id: &Arc<str>,
        known: Option<&Runner>,
        request: RequestNumber,
        now: Instant,
    ) {
        let given_up = self.given_up.entry(id.clone()).or_default();
        match known {
            Some(runner) => given_up.address = Some(runner.address),
            None => _ = given_up.absent_since.get_or_insert(now),
        }
        given_up.attempts.push(GivenUp { request, at: now });
    }

    /// Records that the runner `id` has left discovery.
    pub(crate) fn record_absence(&mut self, id: &str, now: Instant) {
        if let Some(given_up) = self.given_up.get_mut(id) {
            given_up.absent_since = Some(now);
        }
    }

    /// Records that the runner `id` has an entry in discovery (again).
    pub(crate) fn record_presence(&mut self, id: &str) {
        if let Some(given_up) = self.given_up.get_mut(id) {
            given_up.absent_since = None;
        }
    }

    /// Takes the requests out of the record whose attempts at `runner` were given up until
    /// `until`.
    fn take_given_up(&mut self, runner: &str, until: Instant) -> Vec<RequestNumber> {
        take_attempts(&mut self.given_up, runner, |attempt| attempt.at <= until)
    }

    /// Takes the requests out of the record whose attempts at `runner` were given up too long ago.
    fn take_overdue(&mut self, runner: &str, now: Instant) -> Vec<RequestNumber> {
        let is_past = |at, limit| now.saturating_duration_since(at) > limit;
        let given_up = self.given_up.get(runner);
        let absent_since = given_up.and_then(|given_up| given_up.absent_since);
        let is_gone = absent_since.is_some_and(|at| is_past(at, LONGEST_ABSENCE));
        let requests = &self.requests;
        take_attempts(&mut self.given_up, runner, |attempt| {
            is_gone || (is_past(attempt.at, LONGEST_RECORD) && !attempt.is_retried(requests))
        })
    }

    /// Returns the runners at which attempts were given up whose requests were retried.
    fn runners_of_retried_requests(&self) -> impl Iterator<Item = &Arc<str>> {
        let is_retried = |attempt: &GivenUp| attempt.is_retried(&self.requests);
        let given_up = self.given_up.iter();
        let retried =
            given_up.filter(move |(_, given_up)| given_up.attempts.iter().any(is_retried));
        retried.map(|(runner, _)| runner)
    }

    /// Returns the runners at `address` other than `id` at which attempts were given up.
    fn former_runners(&self, address: SocketAddr, id: &str) -> Vec<Arc<str>> {
        let at_address = self
            .given_up
            .iter()
            .filter(|(former, given_up)| given_up.address == Some(address) && &***former != id);
        at_address.map(|(former, _)| former.clone()).collect()
    }

    /// Returns the runners at which attempts were given up, once in [`SWEEP_INTERVAL`]; in between
    /// none.
    fn due_runners(&mut self, now: Instant) -> Vec<Arc<str>> {
        let since_sweep = |at| now.saturating_duration_since(at);
        if self
            .swept_at
            .is_some_and(|at| since_sweep(at) < SWEEP_INTERVAL)
        {
            return Vec::new();
        }
        self.swept_at = Some(now);
        self.given_up.keys().cloned().collect()
    }
}

/// Takes the attempts at `runner` for which `is_over` holds out of the record, and returns their
/// requests.
fn take_attempts(
    given_up: &mut HashMap<Arc<str>, GivenUpAtRunner>,
    runner: &str,
    is_over: impl Fn(&GivenUp) -> bool,
) -> Vec<RequestNumber> {
    let Some(at_runner) = given_up.get_mut(runner) else {
        return Vec::new();
    };
    let attempts = &mut at_runner.attempts;
    let taken = attempts.extract_if(.., |attempt| is_over(attempt));
    let requests = taken.map(|attempt| attempt.request).collect();
    if attempts.is_empty() {
        given_up.remove(runner);
    }
    requests
}

impl Dispatcher {
    /// Takes a retry from the budget for the request of `query`. Returns whether it allows one.
    pub(crate) fn take_retry(&mut self, query: &Query, now: Instant) -> bool {
        self.end_overdue_arrivals(now);
        self.settle_budget(&query.service, now);
        let share = self.budget_share(&query.service, now);
        let is_allowed = self.budget(&query.service).try_take(now, share);
        if is_allowed {
            self.arrivals.add_retry(query);
        }
        is_allowed
    }

    /// Returns what a decision on the retry of `query` rests on; `None` for another kind of
    /// attempt.
    pub(crate) fn retry_budget_use(&mut self, query: &Query, now: Instant) -> Option<BudgetUse> {
        if query.attempt != AttemptKind::Retry {
            return None;
        }
        let share = self.budget_share(&query.service, now);
        Some(self.budget(&query.service).budget_use(now, share))
    }

    /// Returns the retry of `query`, which was not granted, to the budget. Does nothing for
    /// another kind of attempt.
    pub(crate) fn return_retry(&mut self, query: &Query) {
        if query.attempt == AttemptKind::Retry
            && let Some(service) = self.arrivals.remove_retry(query.request)
        {
            self.budget(&service).return_pending();
        }
    }

    /// Records a granted attempt of the request of `query`, which may arrive from now on.
    pub(crate) fn begin_arrival(&mut self, query: &Query) {
        self.arrivals.add_attempt(query);
    }

    /// Records that the runner has answered the attempt of a permit, which goes on.
    pub fn record_answer(&mut self, id: PermitId, now: Instant) {
        let Some(permit) = self.permits.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut permit.has_arrived, true) {
            let (runner, request) = (permit.runner.clone(), permit.request);
            let granted_at = permit.granted_at;
            self.end_arrival(request, now);
            self.record_reading(&runner, granted_at, now);
        }
    }

    /// Records what is known of the arrival of an attempt that has ended.
    pub(crate) fn record_arrival(&mut self, permit: &Permit, arrival: Arrival, now: Instant) {
        if permit.has_arrived {
            return;
        }
        match arrival {
            Arrival::Never => {
                if let Some(service) = self.arrivals.remove_attempt(permit.request) {
                    self.budget(&service).return_pending();
                }
            }
            Arrival::Pending => {
                self.end_overdue_arrivals(now);
                let known = self.runners.get(&permit.runner);
                let known = known.map(|entry| &*entry.runner);
                self.arrivals
                    .give_up(&permit.runner, known, permit.request, now);
            }
            Arrival::Over => {
                self.end_arrival(permit.request, now);
                self.record_reading(&permit.runner, permit.granted_at, now);
            }
        }
    }

    /// Records that `runner` has answered what was sent at `sent_at`, so it has read all that was
    /// given up until then.
    pub fn record_reading(&mut self, runner: &str, sent_at: Instant, now: Instant) {
        if let Some(entry) = self.runners.get_mut(runner) {
            entry.has_answered = true;
            let service = entry.runner.service.clone();
            self.settle_budget(&service, now);
        }
        self.end_given_up(runner, sent_at, now);
    }

    /// Ends the wait for what was given up at `runner` until `until`: the runner has answered
    /// what was sent later, so it reads, or its process has ended.
    pub(crate) fn end_given_up(&mut self, runner: &str, until: Instant, now: Instant) {
        let requests = self.arrivals.take_given_up(runner, until);
        self.end_arrivals(&requests, now);
    }

    /// Ends the wait for what was given up at the former runners at the address of `runner`: their
    /// processes have ended.
    pub(crate) fn end_former_runners(&mut self, runner: &Runner, now: Instant) {
        for former in self.arrivals.former_runners(runner.address, &runner.id) {
            self.end_given_up(&former, now, now);
        }
    }

    /// Returns the runners whose answer would show that something has arrived: attempts at them
    /// were given up whose requests were retried, or they have yet to answer a process that has
    /// just started. Some may be named twice.
    pub fn runners_to_probe(&self) -> Vec<Arc<Runner>> {
        let retried = self.arrivals.runners_of_retried_requests();
        let retried = retried.filter_map(|id| self.runners.get(id));
        let retried = retried.map(|entry| entry.runner.clone());
        retried.chain(self.runners_that_delay_settling()).collect()
    }

    /// Ends the wait for what was given up too long ago.
    fn end_overdue_arrivals(&mut self, now: Instant) {
        for runner in self.arrivals.due_runners(now) {
            let requests = self.arrivals.take_overdue(&runner, now);
            self.end_arrivals(&requests, now);
        }
    }

    fn end_arrivals(&mut self, requests: &[RequestNumber], now: Instant) {
        for request in requests {
            self.end_arrival(*request, now);
        }
    }

    fn end_arrival(&mut self, request: RequestNumber, now: Instant) {
        if let Some(service) = self.arrivals.end_arrival(request) {
            self.budget(&service).record_arrival(now);
        }
    }
}
