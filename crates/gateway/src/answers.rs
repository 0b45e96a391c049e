//! Answers that the gateway generates itself instead of relaying a runner's.

use std::time::Duration;

use barleyspar_callers::Denial;
use barleyspar_domain::Verdict;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use crate::body::AnswerBody;
use crate::context::Context;
use crate::lifecycle::Stage;

/// Retry-After of a node that is being stopped. It is short because another node can serve
/// the request at once.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry-After of a request that runners rejected, or for which this node had too little
/// memory, no quota decision or no reachable runner.
pub const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After of a node whose view of the credentials is too stale. It asks the store and
/// its peers twice a second, and another node may have a current view.
const STALE_VIEW_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An answer that the gateway generates itself instead of relaying a runner's.
#[derive(Debug, Clone, Copy)]
pub struct OwnAnswer {
    /// HTTP status that the client gets: 503 for a refusal that may be retried, 429 over a
    /// quota, another 4xx if a retry would fail too, and 502 or 504 if the request ran or may
    /// have run.
    pub status: StatusCode,
    /// Whether the request may have run; sent to the client in the body.
    pub verdict: Verdict,
    /// Name of the reason, for the body, the log and the metrics.
    pub reason: &'static str,
    /// Time after which the client should retry; `None` sends no Retry-After.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// The request did not run and may be retried after `retry_after`: status 503.
    pub fn refused(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The tenant's quota does not cover the request until `retry_after` has passed: status
    /// 429.
    pub fn over_quota(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            verdict: Verdict::NotRun,
            reason: "quota",
            retry_after: Some(retry_after),
        }
    }

    /// The credential does not allow the request (status 401), or this node's view is too
    /// stale to decide (status 503).
    pub fn denied(denial: Denial) -> Self {
        match denial {
            Denial::Unknown => Self::rejected(StatusCode::UNAUTHORIZED, "credential_unknown"),
            Denial::OldKnowledge => Self::refused("old_knowledge", STALE_VIEW_RETRY_AFTER),
        }
    }

    /// The request did not run and would fail in the same way if it were retried.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// The request ran or may have run, as `verdict` says, but there is no usable answer.
    pub fn failed(status: StatusCode, verdict: Verdict, reason: &'static str) -> Self {
        Self {
            status,
            verdict,
            reason,
            retry_after: None,
        }
    }

    /// Builds the HTTP response for the client. `request_id`: the id of the client's
    /// attempt, which is sent back.
    pub fn into_response(
        self,
        context: &Context,
        request_id: Option<&str>,
    ) -> Response<AnswerBody> {
        let text = format!(
            "{{\"error\":{{\"reason\":\"{}\",\"verdict\":\"{}\"}}}}",
            self.reason, self.verdict
        );
        let mut response = Response::new(AnswerBody::whole(text));
        *response.status_mut() = self.status;
        *response.headers_mut() = context.dialect.own_answer_headers(request_id);
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        close_if_draining(context, &mut response);
        response
    }
}

/// Asks the client to close its connection after `response` if the process is being
/// stopped.
pub fn close_if_draining(context: &Context, response: &mut Response<AnswerBody>) {
    if context.lifecycle.stage() >= Stage::Draining {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
