//! Takes a request in: finds its route and tenant, reserves memory, reads its body.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, cost};
use barleyspar_catalog::{RequestFacts, RequestKind, Route, Tenant};
use bytes::Bytes;
use http::header::HOST;
use http::{StatusCode, request};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout};

use crate::answers::{OwnAnswer, REJECTED_RETRY_AFTER, STOPPING_RETRY_AFTER};
use crate::attempt::Outgoing;
use crate::context::{BODY_UNIT, Context};
use crate::exchange::{Admitted, Exchange};
use crate::journal;
use crate::lifecycle::Stage;
use crate::quota::{Charge, QuotaDecision};
use crate::trust;

/// Time a request is held where neither client nor route says.
const USUAL_DEADLINE: Duration = Duration::from_secs(60);
/// Time for a client to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back to a node that knows no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Age of a process at which it knows one, unless the store does not serve.
const USUALLY_CONFIGURED_AFTER: Duration = Duration::from_millis(150);
/// When to come back to a node that the store does not serve.
const STORELESS_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Time that a request without a stream usually takes at most.
const LONGEST_PLAIN_REQUEST: Duration = Duration::from_millis(1500);

/// Part of its target latency for which a request waits to hear whether its
/// tenant is within its limit: half is left to serve it in time.
const QUOTA_PATIENCE_PART: u32 = 2;

/// Finds the request's route and reads its body.
pub async fn admit(
    context: &Context,
    head: request::Parts,
    body: Incoming,
    facts: RequestFacts,
    received: Instant,
) -> Result<Exchange, OwnAnswer> {
    let table = context.routes.borrow().clone();
    let Some(table) = table else {
        return Err(OwnAnswer::refused(
            "no_configuration",
            configured_after(context.started.elapsed()),
        ));
    };
    let route = table
        .find(host(&head), head.uri.path())
        .cloned()
        .ok_or(OwnAnswer::rejected(StatusCode::NOT_FOUND, "no_route"))?;
    let configuration = table.configuration();
    if !ends_in_time(context, &route) {
        return Err(OwnAnswer::refused("stopping", STOPPING_RETRY_AFTER));
    }
    let credential = facts.credential.as_ref();
    let tenant = context.authorize(&route, credential).map_err(|denial| {
        journal::denied(context, &facts, &route, denial);
        OwnAnswer::denied(denial)
    })?;
    let charge = charge(context, &facts, &route, tenant.as_ref()).await?;
    let memory = reserve_memory(context, &body, configuration.limits.body_bytes)?;
    let body = read_body(body, configuration.limits.body_bytes).await?;
    let service = context.dispatch.split(&route).await;
    let deadline = received + time_allowed(&facts, &route);
    let version = configuration.version;
    let outgoing = outgoing(context, head, body, &facts, memory);
    let exchange = Exchange::new(
        context.clone(),
        Admitted {
            route,
            service,
            tenant,
            charge,
        },
        facts,
        outgoing,
        received,
        deadline,
    );
    exchange.tell_accepted(version);
    Ok(exchange)
}

/// Asks for a permit to take the request from its tenant, if that has a limit.
async fn charge(
    context: &Context,
    facts: &RequestFacts,
    route: &Route,
    tenant: Option<&Arc<Tenant>>,
) -> Result<Option<Charge>, OwnAnswer> {
    let limited = tenant.and_then(|tenant| Some((tenant, tenant.quota?)));
    let Some((tenant, quota)) = limited else {
        return Ok(None);
    };
    let cost = cost(quota.unit, facts);
    let name = tenant.name.clone();
    let patience = route.target_latency.unwrap_or_default() / QUOTA_PATIENCE_PART;
    let decision = context.quota.admit(name.clone(), cost, patience).await;
    match decision {
        QuotaDecision::Granted => Ok(Some(Charge::new(context.quota.clone(), name, cost))),
        QuotaDecision::Denied(wait) => {
            journal::limited(facts, tenant, cost, wait);
            Err(OwnAnswer::limited(wait))
        }
        QuotaDecision::Unknown => Err(OwnAnswer::refused("quota_unknown", REJECTED_RETRY_AFTER)),
    }
}

/// When a process of this age is expected to know a configuration.
fn configured_after(age: Duration) -> Duration {
    if age < USUALLY_CONFIGURED_AFTER {
        STARTING_RETRY_AFTER
    } else {
        STORELESS_RETRY_AFTER
    }
}

/// Whether a request that comes now ends before the process does.
fn ends_in_time(context: &Context, route: &Route) -> bool {
    if context.lifecycle.stage() < Stage::Closing {
        return true;
    }
    let left = context.lifecycle.time_left();
    route.kind != RequestKind::Streaming
        && left
            > route
                .timeout
                .unwrap_or(USUAL_DEADLINE)
                .min(LONGEST_PLAIN_REQUEST)
}

fn time_allowed(facts: &RequestFacts, route: &Route) -> Duration {
    let by_client = facts.deadline.unwrap_or(USUAL_DEADLINE);
    by_client.min(route.timeout.unwrap_or(USUAL_DEADLINE))
}

/// The host that a request names.
fn host(head: &request::Parts) -> &str {
    head.headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default()
}

fn outgoing(
    context: &Context,
    head: request::Parts,
    body: Bytes,
    facts: &RequestFacts,
    memory: OwnedSemaphorePermit,
) -> Outgoing {
    let asked = head.uri.path_and_query().map_or("", |asked| asked.as_str());
    let fingerprint = Fingerprint::of(host(&head), asked, facts.credential.as_ref(), &body);
    let target = head
        .uri
        .path_and_query()
        .and_then(|target| target.as_str().parse().ok())
        .unwrap_or(head.uri);
    Outgoing {
        method: head.method,
        target,
        headers: trust::to_runner(|name| context.dialect.header_owner(name), &head.headers),
        body,
        request_id: facts.request_id.clone(),
        fingerprint,
        _memory: memory,
    }
}

/// Sets memory aside for a body: what it says it needs, or what it may need.
fn reserve_memory(
    context: &Context,
    body: &Incoming,
    limit: usize,
) -> Result<OwnedSemaphorePermit, OwnAnswer> {
    let bytes = body.size_hint().upper().unwrap_or(limit as u64);
    if bytes > limit as u64 {
        return Err(OwnAnswer::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        ));
    }
    let units = (bytes as usize).div_ceil(BODY_UNIT) as u32;
    context
        .body_memory
        .clone()
        .try_acquire_many_owned(units)
        .map_err(|_| OwnAnswer::refused("body_memory", REJECTED_RETRY_AFTER))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, OwnAnswer> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(OwnAnswer::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        )),
        Ok(Err(_)) => Err(OwnAnswer::rejected(StatusCode::BAD_REQUEST, "body_broken")),
        Err(_) => Err(OwnAnswer::rejected(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
        )),
    }
}
