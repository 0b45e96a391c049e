//! Answers of the system's own.

use std::time::Duration;

use barleyspar_callers::Denial;
use barleyspar_domain::Verdict;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use crate::body::AnswerBody;
use crate::context::Context;
use crate::lifecycle::Stage;

/// When to come back to a node that is being stopped: to another one, at once.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// When to come back after runners rejected the request.
pub const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When to come back to a node whose knowledge of credentials is too old. It asks
/// the store and its peers twice a second; another node may know already.
const KNOWN_AGAIN_AFTER: Duration = Duration::from_millis(500);

/// An answer of the system's own.
#[derive(Debug, Clone, Copy)]
pub struct OwnAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: &'static str,
    /// When the client may come back.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// The request did not run; come back later.
    pub fn refused(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The caller's tenant is over its limit; it is within it after this time.
    pub fn limited(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            verdict: Verdict::NotRun,
            reason: "quota",
            retry_after: Some(retry_after),
        }
    }

    /// The caller's credential does not allow the request.
    pub fn denied(denial: Denial) -> Self {
        match denial {
            Denial::Unknown => Self::rejected(StatusCode::UNAUTHORIZED, "credential_unknown"),
            Denial::OldKnowledge => Self::refused("old_knowledge", KNOWN_AGAIN_AFTER),
        }
    }

    /// The request did not run and cannot.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// The request may have run.
    pub fn failed(status: StatusCode, verdict: Verdict, reason: &'static str) -> Self {
        Self {
            status,
            verdict,
            reason,
            retry_after: None,
        }
    }

    /// The answer as it goes to the client.
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
        *response.headers_mut() = context.dialect.own_headers(request_id);
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

/// Tells the client to use another connection if the process is being stopped.
pub fn close_if_draining(context: &Context, response: &mut Response<AnswerBody>) {
    if context.lifecycle.stage() >= Stage::Draining {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
