//! A runner's answers: plain ones, rejections and event streams, which may break off.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use barleyspar_catalog::SoftwareVersion;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::dialect::names;
use crate::runner::{Fault, RunGuard};

/// Time from the start of a stream to its first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Number of events of a complete stream.
pub const STREAM_EVENTS: u64 = 40;

/// Error of a handler or body that makes the server break off the connection.
#[derive(Debug)]
pub struct ConnectionBroken;

impl std::fmt::Display for ConnectionBroken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the runner broke the connection off")
    }
}

impl std::error::Error for ConnectionBroken {}

impl From<Infallible> for ConnectionBroken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of a runner's answer; its chunks come from a channel. An error breaks the connection
/// off.
pub struct RunnerBody(mpsc::Receiver<Result<Bytes, ConnectionBroken>>);

impl Body for RunnerBody {
    type Data = Bytes;
    type Error = ConnectionBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionBroken>>> {
        self.0
            .poll_recv(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Returns an unsigned answer with this status code and body; [`sign`] signs it.
pub fn status_response(code: StatusCode, body: Bytes) -> Response<RunnerBody> {
    let (sender, receiver) = mpsc::channel(1);
    sender.try_send(Ok(body)).expect("the channel is empty");
    let mut response = Response::new(RunnerBody(receiver));
    *response.status_mut() = code;
    response
}

/// Returns an unsigned answer whose body never begins.
pub fn stalled_response() -> Response<RunnerBody> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move { sender.closed().await });
    Response::new(RunnerBody(receiver))
}

/// Adds the request id and a signature to an answer.
pub fn sign(response: &mut Response<RunnerBody>, request_id: &str) {
    let value = HeaderValue::from_str(request_id).expect("ids are plain text");
    let headers = response.headers_mut();
    headers.insert(names::REQUEST_ID, value);
    headers.insert(names::SIGNATURE, HeaderValue::from_static("signed"));
}

/// Returns a signed answer which says that the runner did not run the request.
pub fn not_run_response(code: StatusCode, request_id: &str) -> Response<RunnerBody> {
    let mut response = status_response(code, Bytes::new());
    sign(&mut response, request_id);
    response
        .headers_mut()
        .insert(names::NOT_RUN, HeaderValue::from_static("1"));
    response
}

/// Returns a signed answer which says that the runner did not run the request, and requests a
/// pause of the node.
pub fn pause_response(request_id: &str, pause: Duration) -> Response<RunnerBody> {
    let mut response = not_run_response(StatusCode::SERVICE_UNAVAILABLE, request_id);
    let value = HeaderValue::from(pause.as_millis() as u64);
    response.headers_mut().insert(names::PAUSE, value);
    response
}

/// Returns a signed answer that streams the events after event number `after`, with the given
/// fault. Each event names the version of the software that wrote it. After the last event,
/// `run` is recorded as complete.
pub fn stream_response(
    run: RunGuard,
    request_id: &str,
    (after, software): (u64, SoftwareVersion),
    fault: Option<Fault>,
) -> Response<RunnerBody> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        sleep(FIRST_EVENT_DELAY).await;
        for (sent, id) in (after + 1..=STREAM_EVENTS).enumerate() {
            let sent = sent as u64;
            if matches!(fault, Some(Fault::BreakStream(limit)) if sent >= limit) {
                let _ = sender.send(Err(ConnectionBroken)).await;
                return;
            }
            if matches!(fault, Some(Fault::StallStream(limit)) if sent >= limit) {
                sender.closed().await;
                return;
            }
            let padding = match fault {
                Some(Fault::LongEvents(bytes)) => "x".repeat(bytes),
                _ => String::new(),
            };
            let software = software.as_str();
            let event = format!("id: {id}\ndata: token {id}{padding}\ndata: by {software}\n\n");
            if sender.send(Ok(event.into())).await.is_err() {
                return;
            }
            tokio::select! {
                () = sender.closed() => return,
                () = sleep(EVENT_GAP) => {}
            }
        }
        run.complete();
    });
    let mut response = Response::new(RunnerBody(receiver));
    sign(&mut response, request_id);
    response.headers_mut().insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    response
}
