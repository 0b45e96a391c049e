//! Tells whether the node wants clients.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::body::AnswerBody;
use crate::context::Context;
use crate::lifecycle::Stage;

/// Answers a question on the readiness address.
pub fn answer(context: &Context, request: &Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    let mut response = Response::new(AnswerBody::whole(""));
    *response.status_mut() = if path != context.dialect.readiness_path() {
        StatusCode::NOT_FOUND
    } else if is_ready(context) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

/// Ready is who may serve callers and is not being stopped. One that cannot show
/// that its knowledge of credentials is young sends callers to other nodes.
fn is_ready(context: &Context) -> bool {
    context.may_serve() && context.lifecycle.stage() == Stage::Running
}
