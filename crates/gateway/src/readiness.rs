//! Answers load balancers that ask whether this node accepts clients.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::body::AnswerBody;
use crate::context::Context;
use crate::lifecycle::Stage;

/// Answers a request to the readiness address: 200 if this node accepts clients, 503 if
/// not, 404 on an unknown path.
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

/// Whether the node may serve callers and is not being stopped. A node that cannot show
/// that its copy of the credentials is recent is not ready, so that clients go to other
/// nodes.
fn is_ready(context: &Context) -> bool {
    context.may_serve() && context.lifecycle.stage() == Stage::Running
}
