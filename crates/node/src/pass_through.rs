//! Plain HTTP pass-through to the instances of plain services.

use std::sync::Arc;

use barleyspar_domain::ServiceName;
use barleyspar_platform::plain::{Header, PlainResponse};
use barleyspar_router::PlainCall;
use bytes::Bytes;
use poem::http::{HeaderMap, StatusCode};
use poem::{Body, Request, Response};
use tokio::time::Instant;

use crate::caller::CallerApi;
use crate::caller_auth::customer;
use crate::http::{
    BadRequest, DEADLINE_HEADER, IDEMPOTENCY_HEADER, deadline, header, read_body, refusal,
};

/// Headers that concern one connection only, or the caller's token.
const NOT_PASSED_ON: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    DEADLINE_HEADER,
];

/// Passes one request on.
pub async fn handle(api: Arc<CallerApi>, mut request: Request) -> Result<Response, BadRequest> {
    let limits = &api.limits;
    let (default, longest) = (
        limits.default_deadline_milliseconds,
        limits.longest_deadline_milliseconds,
    );
    let deadline = Instant::now() + deadline(&request, default, longest)?;
    let state = api.node.log.state();
    let customer = customer(&state, &request)?.name.clone();
    let key = header(&request, IDEMPOTENCY_HEADER)?.map(str::to_owned);
    let (service, path) = split_path(&request)?;
    let headers = end_to_end(request.headers());
    let method = request.method().to_string();
    let body = request.take_body();
    let body = read_body(body, limits.maximum_body_bytes, limits.body_time_limit()).await?;
    let call = PlainCall {
        request_id: api.ids.next(),
        customer,
        service,
        method,
        path,
        headers,
        body,
        key,
        deadline,
    };
    Ok(match api.node.router.call_plain(call).await {
        Ok(response) => pass_back(response),
        Err(refused) => refusal(&refused),
    })
}

/// Service, and path and query at the service, of `/services/SERVICE/PATH`.
fn split_path(request: &Request) -> Result<(ServiceName, String), BadRequest> {
    let bad = |message: String| BadRequest::new(StatusCode::BAD_REQUEST, message);
    let name = request.raw_path_param("service").unwrap_or_default();
    let service = ServiceName::try_from(name).map_err(|error| bad(error.to_string()))?;
    let rest = request.raw_path_param("path").unwrap_or_default();
    let path = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok((service, path))
}

fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_PASSED_ON.contains(&name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

fn pass_back(answer: PlainResponse) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    for (name, value) in answer.headers {
        if !NOT_PASSED_ON.contains(&name.as_str()) {
            response = response.header(name.as_str(), value.as_ref());
        }
    }
    response.body(Body::from_bytes(answer.body))
}
