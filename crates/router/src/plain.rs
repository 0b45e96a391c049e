//! Requests to plain services.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use barleyspar_control_log::ControlState;
use barleyspar_domain::{
    CustomerName, RunnerKind, RunnerName, RunnerRecord, RunnerState, ServiceKind, ServiceName,
    Verdict,
};
use barleyspar_platform::plain::{Header, PlainError, PlainRequest, PlainResponse};
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use crate::breaker::Breaker;
use crate::budget::RetryBudget;
use crate::claims::{Claim, ClaimOutcome, Claims};
use crate::service::not_current;
use crate::start::Shared;
use crate::{Reason, Refusal};

/// Methods that may always run more than once.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A caller's request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Id, unique in the whole system.
    pub request_id: String,
    /// The customer on whose behalf it is made.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// The whole answer is due by then.
    pub deadline: Instant,
}

#[derive(Default)]
struct Instances {
    in_flight: BTreeMap<RunnerName, u32>,
    breakers: BTreeMap<RunnerName, Breaker>,
}

/// Sends requests to live instances of plain services.
pub(crate) struct PlainRouter {
    shared: Arc<Shared>,
    claims: Claims,
    instances: Mutex<Instances>,
    budget: Mutex<RetryBudget>,
}

/// Counts a request at an instance for as long as it lives.
struct InFlight<'a> {
    router: &'a PlainRouter,
    runner: RunnerName,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut instances = self.router.lock();
        if let Some(count) = instances.in_flight.get_mut(&self.runner) {
            *count -= 1;
        }
    }
}

impl PlainRouter {
    pub(crate) fn new(shared: Arc<Shared>, claims: Claims) -> Self {
        let budget = RetryBudget::new(shared.config.retry_percentage);
        Self {
            shared,
            claims,
            instances: Mutex::default(),
            budget: Mutex::new(budget),
        }
    }

    /// Answers or refuses `call` by its deadline.
    pub(crate) async fn call(&self, call: PlainCall) -> Result<PlainResponse, Refusal> {
        self.shared.counters.count(|figures| figures.requests += 1);
        let result = self.route(call).await;
        match &result {
            Ok(_) => self.shared.counters.count(|figures| figures.answered += 1),
            Err(refusal) => self.shared.counters.refused(refusal.reason),
        }
        result
    }

    async fn route(&self, call: PlainCall) -> Result<PlainResponse, Refusal> {
        let log = self.shared.log.view();
        if !log.current {
            return Err(not_current());
        }
        let state = log.state;
        let repeatable = is_repeatable(&state, &call)?;
        let claim = match (&call.key, repeatable) {
            (Some(key), false) => Some(self.claim(&call, key).await?),
            _ => None,
        };
        let result = self.attempts(&call, repeatable).await;
        if let (Some(claim), Err(refusal)) = (&claim, &result)
            && refusal.verdict == Verdict::NotRun
        {
            self.claims.give_back(claim).await;
        }
        result
    }

    async fn claim(&self, call: &PlainCall, key: &str) -> Result<Claim, Refusal> {
        let (customer, service) = (call.customer.as_str(), call.service.as_str());
        let claim = Claim::new(customer, service, key, &call.request_id);
        match self.claims.take(&claim, call.deadline).await {
            ClaimOutcome::Claimed => Ok(claim),
            ClaimOutcome::Taken => Err(Refusal {
                verdict: Verdict::MayHaveRun,
                reason: Reason::KeyUsed,
                detail: "a request with this idempotency key was taken before".to_owned(),
                retry_after: None,
            }),
            ClaimOutcome::Unavailable(cause) => {
                let refusal = Refusal::not_run(Reason::ClaimsUnavailable, cause);
                Err(refusal.retry_after(self.shared.config.retry_after))
            }
        }
    }

    async fn attempts(&self, call: &PlainCall, repeatable: bool) -> Result<PlainResponse, Refusal> {
        let mut tried: Vec<RunnerName> = Vec::new();
        let mut verdict = Verdict::NotRun;
        self.lock_budget().deposit();
        loop {
            let state = self.shared.log.state();
            let Some(record) = self.choose(&state, &call.service, &tried) else {
                return Err(self.no_instance(verdict, &tried));
            };
            let error = match self.attempt(call, &record, repeatable).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            verdict = verdict.combined_with(error.verdict);
            tried.push(record.name.clone());
            let may_repeat = verdict == Verdict::NotRun || repeatable;
            let in_time = Instant::now() < call.deadline;
            if !may_repeat || !in_time || !self.lock_budget().withdraw() {
                let reason = match in_time {
                    true => Reason::BackEndFailed,
                    false => Reason::Deadline,
                };
                return Err(Refusal {
                    verdict,
                    reason,
                    detail: error.cause,
                    retry_after: may_repeat.then_some(self.shared.config.retry_after),
                });
            }
        }
    }

    async fn attempt(
        &self,
        call: &PlainCall,
        record: &RunnerRecord,
        repeatable: bool,
    ) -> Result<PlainResponse, PlainError> {
        let _in_flight = self.begin(&record.name);
        self.shared.counters.count(|figures| figures.attempts += 1);
        let request = PlainRequest {
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            repeatable,
            time_left: call.deadline.saturating_duration_since(Instant::now()),
        };
        let sent = self.shared.plain.call(record.address, request);
        let late = |_| PlainError {
            verdict: Verdict::MayHaveRun,
            cause: "no answer by the deadline".to_owned(),
        };
        let result = timeout_at(call.deadline, sent).await.map_err(late)?;
        self.note(&record.name, result.is_ok());
        result
    }

    fn no_instance(&self, verdict: Verdict, tried: &[RunnerName]) -> Refusal {
        let detail = match tried.is_empty() {
            true => "no instance of the service is live",
            false => "no other instance of the service is live",
        };
        Refusal {
            verdict,
            reason: Reason::NoRunner,
            detail: detail.to_owned(),
            retry_after: Some(self.shared.config.retry_after),
        }
    }

    /// The live instance with the fewest requests of this node, in this zone if
    /// they are equally busy.
    fn choose(
        &self,
        state: &ControlState,
        service: &ServiceName,
        tried: &[RunnerName],
    ) -> Option<Arc<RunnerRecord>> {
        let now = Instant::now();
        let notices = &self.shared.notices;
        let instances = self.lock();
        let in_flight = |name| instances.in_flight.get(name).copied().unwrap_or(0);
        state
            .runners_of(service)
            .filter(|runner| runner.kind == RunnerKind::Plain)
            .filter(|runner| runner.state == RunnerState::Live)
            .filter(|runner| !notices.is_leaving(&runner.name, runner.incarnation))
            .filter(|runner| !tried.contains(&runner.name))
            .min_by_key(|runner| {
                let breaker = instances.breakers.get(&runner.name);
                let open = breaker.is_some_and(|breaker| !breaker.allows(now));
                let remote = runner.zone != self.shared.zone;
                (open, in_flight(&runner.name), remote)
            })
            .cloned()
    }

    fn begin(&self, runner: &RunnerName) -> InFlight<'_> {
        *self.lock().in_flight.entry(runner.clone()).or_default() += 1;
        InFlight {
            router: self,
            runner: runner.clone(),
        }
    }

    fn note(&self, runner: &RunnerName, succeeded: bool) {
        let config = &self.shared.config;
        let mut instances = self.lock();
        let breaker = instances.breakers.entry(runner.clone()).or_default();
        match succeeded {
            true => breaker.succeed(),
            false => breaker.fail(
                config.breaker_failures,
                config.breaker_pause,
                Instant::now(),
            ),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Instances> {
        self.instances.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn is_repeatable(state: &ControlState, call: &PlainCall) -> Result<bool, Refusal> {
    let service = state
        .service(&call.service)
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or_else(|| {
            let detail = format!("there is no plain service {}", call.service);
            Refusal::not_run(Reason::UnknownTarget, detail)
        })?;
    let mut prefixes = service.repeatable_paths.iter();
    let listed = prefixes.any(|prefix| call.path.starts_with(prefix.as_str()));
    Ok(listed || SAFE_METHODS.contains(&call.method.as_str()))
}
