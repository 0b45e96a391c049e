//! What the HTTP interfaces share: error bodies, headers, request ids.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use barleyspar_domain::Verdict;
use barleyspar_router::{Reason, Refusal};
use poem::http::StatusCode;
use poem::{Body, Request, Response};
use serde_json::json;

/// Header with the verdict of a refusal.
pub const VERDICT_HEADER: &str = "x-barleyspar-verdict";
/// Header with a request's id, taken from the caller or made here.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with a request's deadline in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the key of a request that must not run twice.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest id or key that is taken from a caller, in bytes.
const LONGEST_TOKEN: usize = 200;

/// Makes ids that are unique in the whole system.
#[derive(Debug)]
pub struct RequestIds {
    prefix: String,
    next: AtomicU64,
}

impl RequestIds {
    /// Ids that begin with the node's name and incarnation.
    pub fn new(node: &str, incarnation: u64) -> Self {
        Self {
            prefix: format!("{node}-{incarnation:x}"),
            next: AtomicU64::new(1),
        }
    }

    /// The next id.
    pub fn next(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix)
    }
}

/// A request that is refused before it reaches the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong.
    pub message: String,
}

impl BadRequest {
    /// A refusal with `status`.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

/// The text of a header, if present and not longer than an id may be.
pub fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        BadRequest::new(
            StatusCode::BAD_REQUEST,
            format!("header {name} is not ASCII text"),
        )
    })?;
    if text.is_empty() || text.len() > LONGEST_TOKEN {
        let message = format!("header {name} must have 1 to {LONGEST_TOKEN} characters");
        return Err(BadRequest::new(StatusCode::BAD_REQUEST, message));
    }
    Ok(Some(text))
}

/// The time a caller gives, or the default.
pub fn deadline(
    request: &Request,
    default_milliseconds: u64,
    longest_milliseconds: u64,
) -> Result<Duration, BadRequest> {
    let Some(text) = header(request, DEADLINE_HEADER)? else {
        return Ok(Duration::from_millis(default_milliseconds));
    };
    let bad = || {
        let message = format!(
            "header {DEADLINE_HEADER} must be a whole number from 1 to {longest_milliseconds}"
        );
        BadRequest::new(StatusCode::BAD_REQUEST, message)
    };
    let milliseconds: u64 = text.parse().map_err(|_| bad())?;
    if milliseconds == 0 || milliseconds > longest_milliseconds {
        return Err(bad());
    }
    Ok(Duration::from_millis(milliseconds))
}

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownTarget => StatusCode::NOT_FOUND,
        Reason::NotAllowed => StatusCode::FORBIDDEN,
        Reason::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::Rejected => StatusCode::BAD_REQUEST,
        Reason::BackEndFailed => StatusCode::BAD_GATEWAY,
        Reason::KeyUsed => StatusCode::CONFLICT,
        Reason::QueueFull
        | Reason::NoRunner
        | Reason::ClaimsUnavailable
        | Reason::NotCurrent
        | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn error_response(
    status: StatusCode,
    kind: &str,
    message: &str,
    verdict: Verdict,
    retry_after: Option<Duration>,
) -> Response {
    let body = json!({
        "error": {
            "type": kind,
            "message": message,
            "verdict": verdict.as_str(),
            "retry_after_ms": retry_after.map(|wait| wait.as_millis() as u64),
        }
    });
    let mut response = Response::builder()
        .status(status)
        .content_type("application/json")
        .header(VERDICT_HEADER, verdict.as_str());
    if let Some(wait) = retry_after {
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        response = response.header("retry-after", seconds.to_string());
    }
    response.body(Body::from_string(body.to_string()))
}

/// The response to a refusal.
pub fn refusal(refusal: &Refusal) -> Response {
    error_response(
        status_of(refusal.reason),
        refusal.reason.as_str(),
        &refusal.detail,
        refusal.verdict,
        refusal.retry_after,
    )
}

/// The response to a request that never reached the router.
pub fn bad_request(bad: &BadRequest) -> Response {
    error_response(
        bad.status,
        "invalid_request",
        &bad.message,
        Verdict::NotRun,
        None,
    )
}

/// Reads a whole body within bounds of size and time.
pub async fn read_body(
    body: Body,
    maximum_bytes: usize,
    time_limit: Duration,
) -> Result<bytes::Bytes, BadRequest> {
    let reading = tokio::time::timeout(time_limit, body.into_bytes_limit(maximum_bytes)).await;
    match reading {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => Err(BadRequest::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is larger than {maximum_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(BadRequest::new(StatusCode::BAD_REQUEST, error.to_string())),
        Err(_) => Err(BadRequest::new(
            StatusCode::REQUEST_TIMEOUT,
            format!("the body did not come within {time_limit:?}"),
        )),
    }
}
