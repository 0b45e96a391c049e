//! Bodies of a runner's answers, whole or broken.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::dialect::names;
use crate::runner::{Fault, RunGuard};

/// Time until a stream's first event.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Time between a stream's events.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Events of a stream.
pub const STREAM_EVENTS: u64 = 40;

/// Ends a connection without an answer.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the runner broke off")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A runner's body.
pub struct RunnerBody(mpsc::Receiver<Result<Bytes, Broken>>);

impl Body for RunnerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.0
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

pub fn status(code: StatusCode, body: Bytes) -> Response<RunnerBody> {
    let (sender, receiver) = mpsc::channel(1);
    sender.try_send(Ok(body)).expect("the channel is empty");
    let mut response = Response::new(RunnerBody(receiver));
    *response.status_mut() = code;
    response
}

pub fn sign(response: &mut Response<RunnerBody>, request_id: &str) {
    let value = HeaderValue::from_str(request_id).expect("ids are plain text");
    let headers = response.headers_mut();
    headers.insert(names::REQUEST_ID, value);
    headers.insert(names::SIGNATURE, HeaderValue::from_static("signed"));
}

pub fn not_run(code: StatusCode, request_id: &str) -> Response<RunnerBody> {
    let mut response = status(code, Bytes::new());
    sign(&mut response, request_id);
    response
        .headers_mut()
        .insert(names::NOT_RUN, HeaderValue::from_static("1"));
    response
}

/// The runner did not run it, and wants nothing of the node for `pause`.
pub fn not_now(request_id: &str, pause: Duration) -> Response<RunnerBody> {
    let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE, request_id);
    let value = HeaderValue::from(pause.as_millis() as u64);
    response.headers_mut().insert(names::PAUSE, value);
    response
}

pub fn stream(
    run: RunGuard,
    request_id: &str,
    after: u64,
    fault: Option<Fault>,
) -> Response<RunnerBody> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        sleep(FIRST_EVENT).await;
        for (sent, id) in (after + 1..=STREAM_EVENTS).enumerate() {
            let sent = sent as u64;
            if matches!(fault, Some(Fault::BreakStream(limit)) if sent >= limit) {
                let _ = sender.send(Err(Broken)).await;
                return;
            }
            if matches!(fault, Some(Fault::StallStream(limit)) if sent >= limit) {
                sender.closed().await;
                return;
            }
            let more = match fault {
                Some(Fault::LongEvents(bytes)) => "x".repeat(bytes),
                _ => String::new(),
            };
            let event = format!("id: {id}\ndata: token {id}{more}\n\n");
            if sender.send(Ok(event.into())).await.is_err() {
                return;
            }
            tokio::select! {
                () = sender.closed() => return,
                () = sleep(EVENT_GAP) => {}
            }
        }
        run.end();
    });
    let mut response = Response::new(RunnerBody(receiver));
    sign(&mut response, request_id);
    response.headers_mut().insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    response
}
