//! The callers' HTTP interface.

use std::sync::Arc;

use barleyspar_domain::Verdict;
use barleyspar_router::{AnswerEvent, AnswerStream, ModelRequest, Reason, Refusal};
use futures_util::stream;
use poem::endpoint::make;
use poem::http::StatusCode;
use poem::{Body, EndpointExt, Request, Response, Route};
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::Node;
use crate::caller_auth::customer;
use crate::http::{
    BadRequest, REQUEST_ID_HEADER, RequestIds, VERDICT_HEADER, bad_request, deadline, header,
    read_body, refusal,
};
use crate::metrics;
use crate::openai::{AnswerFrame, Endpoint, parse};
use crate::pass_through;
use crate::settings::Limits;

/// What the callers' interface works with.
pub struct CallerApi {
    pub node: Node,
    pub limits: Limits,
    pub ids: RequestIds,
    pub slots: Semaphore,
    pub traffic: barleyspar_peer::Traffic,
}

impl CallerApi {
    /// The interface of `node`.
    pub fn new(node: Node, limits: Limits, traffic: barleyspar_peer::Traffic) -> Arc<Self> {
        let me = node.membership.view().me.clone();
        Arc::new(Self {
            ids: RequestIds::new(me.name.as_str(), me.incarnation),
            slots: Semaphore::new(limits.maximum_requests),
            node,
            limits,
            traffic,
        })
    }

    /// The routes of the interface.
    pub fn routes(self: &Arc<Self>) -> impl poem::Endpoint<Output = Response> + use<> {
        let completions = self.completion_endpoint(Endpoint::Completions);
        let chat = self.completion_endpoint(Endpoint::Chat);
        let (models, plain) = (Arc::clone(self), Arc::clone(self));
        let (ready, figures) = (Arc::clone(self), Arc::clone(self));
        Route::new()
            .at("/v1/completions", completions)
            .at("/v1/chat/completions", chat)
            .at(
                "/v1/models",
                make(move |request| {
                    let api = Arc::clone(&models);
                    async move { api.list_models(&request) }
                }),
            )
            .at(
                "/services/:service/*path",
                make(move |request| {
                    let api = Arc::clone(&plain);
                    async move { api.limited(request, pass_through::handle).await }
                }),
            )
            .at(
                "/healthz",
                make(|_| async { text(StatusCode::OK, "alive\n") }),
            )
            .at(
                "/readyz",
                make(move |_| {
                    let api = Arc::clone(&ready);
                    async move {
                        match api.node.is_ready() {
                            true => text(StatusCode::OK, "ready\n"),
                            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                        }
                    }
                }),
            )
            .at(
                "/metrics",
                make(move |_| {
                    let api = Arc::clone(&figures);
                    async move { text(StatusCode::OK, metrics::render(&api.node, &api.traffic)) }
                }),
            )
            .map_to_response()
            .catch_all_error(|error: poem::Error| async move {
                let status = error.status();
                bad_request(&BadRequest::new(status, error.to_string()))
            })
            .map_to_response()
    }

    fn completion_endpoint(
        self: &Arc<Self>,
        endpoint: Endpoint,
    ) -> impl poem::Endpoint<Output = Response> + use<> {
        let api = Arc::clone(self);
        make(move |request| {
            let api = Arc::clone(&api);
            async move {
                api.limited(request, move |api, request| {
                    complete(api, endpoint, request)
                })
                .await
            }
        })
        .map_to_response()
    }

    /// Runs `handle` unless too many requests are being handled already.
    async fn limited<F, Handled>(self: &Arc<Self>, request: Request, handle: F) -> Response
    where
        F: FnOnce(Arc<Self>, Request) -> Handled,
        Handled: Future<Output = Result<Response, BadRequest>>,
    {
        let Ok(_slot) = self.slots.try_acquire() else {
            let full = Refusal::not_run(Reason::QueueFull, "too many requests are being handled");
            return refusal(&full.retry_after(std::time::Duration::from_secs(1)));
        };
        let id = header(&request, REQUEST_ID_HEADER)
            .ok()
            .flatten()
            .map_or_else(|| self.ids.next(), str::to_owned);
        let handled = handle(Arc::clone(self), request).await;
        let mut response = handled.unwrap_or_else(|bad| bad_request(&bad));
        if let Ok(value) = id.parse() {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    fn list_models(&self, request: &Request) -> Response {
        let state = self.node.log.state();
        if let Err(bad) = customer(&state, request) {
            return bad_request(&bad);
        }
        let names = state.objects().keys().filter(|key| {
            matches!(
                key.kind,
                barleyspar_domain::ObjectKind::Model | barleyspar_domain::ObjectKind::Adapter
            )
        });
        let data: Vec<_> = names
            .map(|key| json!({"id": key.name, "object": "model", "owned_by": "barleyspar"}))
            .collect();
        json_response(&json!({"object": "list", "data": data}))
    }
}

/// A text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response {
    Response::builder()
        .status(status)
        .content_type("text/plain; charset=utf-8")
        .body(Body::from_string(body.into()))
}

fn json_response(body: &serde_json::Value) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(Body::from_string(body.to_string()))
}

async fn complete(
    api: Arc<CallerApi>,
    endpoint: Endpoint,
    mut request: Request,
) -> Result<Response, BadRequest> {
    if request.method() != poem::http::Method::POST {
        return Err(BadRequest::new(StatusCode::METHOD_NOT_ALLOWED, "use POST"));
    }
    let limits = &api.limits;
    let (default, longest) = (
        limits.default_deadline_milliseconds,
        limits.longest_deadline_milliseconds,
    );
    let deadline = Instant::now() + deadline(&request, default, longest)?;
    let state = api.node.log.state();
    let customer = customer(&state, &request)?.clone();
    let body = request.take_body();
    let bytes = read_body(body, limits.maximum_body_bytes, limits.body_time_limit()).await?;
    let completion = parse(endpoint, &bytes, limits.maximum_tokens)?;
    let frame = AnswerFrame {
        endpoint,
        id: api.ids.next(),
        model: completion.model.clone(),
        created: (api.node.wall_clock)() / 1000,
    };
    let routed = ModelRequest {
        request_id: frame.id.clone(),
        customer: customer.name,
        priority: customer.priority,
        maximum_waiting: customer.maximum_waiting,
        target: completion.model,
        prompt: completion.prompt,
        maximum_tokens: completion.maximum_tokens,
        deadline,
        repeatable: true,
    };
    let answer = match api.node.router.generate(routed).await {
        Ok(answer) => answer,
        Err(refused) => return Ok(refusal(&refused)),
    };
    match completion.stream {
        true => Ok(stream_answer(frame, answer)),
        false => Ok(collect_answer(&frame, answer).await),
    }
}

fn stream_answer(frame: AnswerFrame, answer: AnswerStream) -> Response {
    let lines = stream::unfold((frame, answer), |(frame, mut answer)| async move {
        let event = answer.events.recv().await?;
        let line = frame.event(&event);
        Some((
            Ok::<_, std::io::Error>(bytes::Bytes::from(line)),
            (frame, answer),
        ))
    });
    Response::builder()
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .body(Body::from_bytes_stream(lines))
}

async fn collect_answer(frame: &AnswerFrame, mut answer: AnswerStream) -> Response {
    let mut whole = String::new();
    let mut tokens = 0;
    while let Some(event) = answer.events.recv().await {
        match event {
            AnswerEvent::Text(piece) => {
                whole.push_str(&piece);
                tokens += 1;
            }
            AnswerEvent::Finish(reason) => {
                return json_response(&frame.whole(&whole, tokens, reason));
            }
            AnswerEvent::Failed { verdict, cause } => return broken(verdict, cause),
        }
    }
    broken(
        Verdict::Ran,
        "the answer ended without its end mark".to_owned(),
    )
}

fn broken(verdict: Verdict, detail: String) -> Response {
    let mut response = refusal(&Refusal {
        verdict,
        reason: Reason::BackEndFailed,
        detail,
        retry_after: None,
    });
    if let Ok(value) = verdict.as_str().parse() {
        response.headers_mut().insert(VERDICT_HEADER, value);
    }
    response
}
