//! Admits a request: finds its route and tenant, charges the tenant's quota, reserves
//! memory and reads the body.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, request_cost};
use barleyspar_catalog::{RequestFacts, Route, Tenant};
use barleyspar_dispatch::unread_patience;
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
use crate::quota::{Charge, QuotaDecision};
use crate::trust;

/// Timeout that replaces the client's or the route's where it is missing. As the shorter of
/// the two applies, a request with only one of them gets at most this time.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time allowed to a client to send the body of its request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry-After of a node that has no configuration because it has just started.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Age at which a process usually has a configuration, unless the store is unreachable.
const USUALLY_CONFIGURED_AFTER: Duration = Duration::from_millis(150);
/// Retry-After of a node that has no configuration because the store is unreachable.
const STORE_UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Retry-After of a request without a route at a node that may not know of a new one. It is
/// short because another node can serve the request at once.
const UNKNOWN_ROUTE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Admits a request and reads its body. Returns the answer for the client if the request
/// cannot be admitted.
pub async fn admit(
    context: &Context,
    head: request::Parts,
    body: Incoming,
    facts: RequestFacts,
    received: Instant,
) -> Result<Exchange, OwnAnswer> {
    let (table, is_certain) = context.current_routes().await;
    let Some(table) = table else {
        return Err(OwnAnswer::refused(
            "no_configuration",
            retry_after_unconfigured(context.started_at.elapsed()),
        ));
    };
    let route = table
        .find(host(&head), head.uri.path())
        .cloned()
        .ok_or_else(|| without_route(is_certain))?;
    let configuration = table.configuration();
    let deadline = received + allowed_time(&facts, &route);
    if !context.lifecycle.may_begin(deadline) {
        return Err(OwnAnswer::refused("stopping", STOPPING_RETRY_AFTER));
    }
    let credential = facts.credential.as_ref();
    let tenant = context.authorize(&route, credential).map_err(|denial| {
        journal::denied(context, &facts, &route, denial);
        OwnAnswer::denied(denial)
    })?;
    let charge = charge_quota(context, &facts, &route, tenant.as_ref()).await?;
    let memory = reserve_memory(context, &body, configuration.limits.body_bytes)?;
    let body = read_body(body, configuration.limits.body_bytes).await?;
    let service = context.dispatch.choose_service(&route).await;
    let version = configuration.version;
    let outgoing = build_outgoing(context, head, body, &facts, memory);
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
    exchange.log_accepted(version);
    Ok(exchange)
}

/// Returns the answer to a request without a route. If the routes are not certain, one may have
/// been added that this node does not know of.
fn without_route(is_certain: bool) -> OwnAnswer {
    if is_certain {
        OwnAnswer::rejected(StatusCode::NOT_FOUND, "no_route")
    } else {
        OwnAnswer::refused("route_unknown", UNKNOWN_ROUTE_RETRY_AFTER)
    }
}

/// Charges the request's cost to its tenant's quota. Returns `None` if there is no tenant
/// or the tenant has no quota.
async fn charge_quota(
    context: &Context,
    facts: &RequestFacts,
    route: &Route,
    tenant: Option<&Arc<Tenant>>,
) -> Result<Option<Charge>, OwnAnswer> {
    let tenant_quota = tenant.and_then(|tenant| Some((tenant, tenant.quota?)));
    let Some((tenant, quota)) = tenant_quota else {
        return Ok(None);
    };
    let cost = request_cost(quota.unit, facts);
    let name = tenant.name.clone();
    let patience = unread_patience(allowed_time(facts, route));
    let decision = context.quota.admit(name.clone(), cost, patience).await;
    match decision {
        QuotaDecision::Granted => Ok(Some(Charge::new(context.quota.clone(), name, cost))),
        QuotaDecision::Denied(wait) => {
            journal::over_quota(facts, tenant, cost, wait);
            Err(OwnAnswer::over_quota(wait))
        }
        QuotaDecision::Unknown => Err(OwnAnswer::refused("quota_unknown", REJECTED_RETRY_AFTER)),
    }
}

/// Returns the Retry-After of a process without a configuration that has run for `age`.
fn retry_after_unconfigured(age: Duration) -> Duration {
    if age < USUALLY_CONFIGURED_AFTER {
        STARTING_RETRY_AFTER
    } else {
        STORE_UNREACHABLE_RETRY_AFTER
    }
}

/// Returns the time from a request's arrival to its deadline: the shorter one of the
/// client's and the route's.
fn allowed_time(facts: &RequestFacts, route: &Route) -> Duration {
    let client_timeout = facts.deadline.unwrap_or(DEFAULT_TIMEOUT);
    client_timeout.min(route.timeout.unwrap_or(DEFAULT_TIMEOUT))
}

/// Returns the host that the request is for, from its Host header or else its target;
/// empty if it names none.
fn host(head: &request::Parts) -> &str {
    head.headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default()
}

/// Builds the request as it is sent to runners: with only those of its headers that callers
/// may set, and with the permit that reserves `memory` for its body.
fn build_outgoing(
    context: &Context,
    head: request::Parts,
    body: Bytes,
    facts: &RequestFacts,
    memory: OwnedSemaphorePermit,
) -> Outgoing {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let fingerprint = Fingerprint::of(host(&head), path, facts.credential.as_ref(), &body);
    let target = head
        .uri
        .path_and_query()
        .and_then(|target| target.as_str().parse().ok())
        .unwrap_or(head.uri);
    Outgoing {
        method: head.method,
        target,
        headers: trust::headers_to_runner(|name| context.dialect.header_owner(name), &head.headers),
        body,
        request_id: facts.request_id.clone(),
        fingerprint,
        _memory: memory,
    }
}

/// Reserves memory for a body of at most `limit` bytes: its declared length, or `limit`
/// if it declares none. The reservation ends when the returned permit is dropped.
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

/// Reads the complete body, of at most `limit` bytes.
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
