//! Accepts connections and serves HTTP/1.1 on them, for callers, readiness checks and
//! metrics.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_io_timeout::TimeoutStream;

use crate::body::AnswerBody;
use crate::inflight::InFlight;
use crate::lifecycle::{Lifecycle, Stage};
use crate::network::{ByteStream, Listener};

/// Pause after an error of `accept`, such as a lack of descriptors.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Time for the first request on a connection that is accepted from the stage `Closing` on.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Smallest buffer for a request's head that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Number of connections that are open at the same time. Read once, at the start.
    pub connections: usize,
    /// Longest head of a request, in bytes; a value below [`MIN_HEAD_BYTES`], such as 0,
    /// counts as [`MIN_HEAD_BYTES`].
    pub header_bytes: usize,
    /// Longest time until the head of the next request is complete, and longest time for
    /// which a caller may read nothing of an answer.
    pub idle_timeout: Duration,
}

/// Accepts connections on `listener` and answers their requests with `handle`, until the
/// process ends. `limits` is called for each connection. From the stage `Closing` on, a
/// connection is closed when it is idle. `open_connections` counts the connections.
pub async fn serve<Limits, Handle, Answer>(
    listener: Box<dyn Listener>,
    limits: Limits,
    lifecycle: Lifecycle,
    open_connections: Arc<InFlight>,
    handle: Handle,
) where
    Limits: Fn() -> ListenerLimits,
    Handle: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let connection_permits = Arc::new(Semaphore::new(limits().connections));
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok(stream) => {
                let limits = limits();
                let (lifecycle, handle) = (lifecycle.clone(), handle.clone());
                let open = open_connections.start_one();
                crate::tasks::spawn(async move {
                    serve_connection(stream, limits, lifecycle, handle).await;
                    drop((open, permit));
                });
            }
            Err(error) => {
                tracing::warn!(%error, event = "accept_failed");
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection<Handle, Answer>(
    stream: Box<dyn ByteStream>,
    limits: ListenerLimits,
    lifecycle: Lifecycle,
    handle: Handle,
) where
    Handle: Fn(Request<Incoming>) -> Answer,
    Answer: Future<Output = Response<AnswerBody>>,
{
    let service = service_fn(|request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(
            TokioIo::new(with_write_timeout(stream, limits.idle_timeout)),
            service,
        );
    tokio::pin!(connection);
    tokio::select! {
        // A request that has arrived is read and answered before its connection is closed.
        biased;
        result = connection.as_mut() => return log_end(result),
        () = wait_until_idle_is_closed(&lifecycle) => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

/// Waits until a connection that is accepted now is to be closed once it is idle. A caller that
/// has just connected to a stopping process gets the time to send a request.
async fn wait_until_idle_is_closed(lifecycle: &Lifecycle) {
    let is_late = lifecycle.stage() >= Stage::Closing;
    lifecycle.wait_for_stage(Stage::Closing).await;
    if is_late {
        sleep(FIRST_REQUEST_TIME).await;
    }
}

/// Makes writes to `stream` fail after `write_timeout` without progress, so that a caller that
/// reads nothing cannot keep an answer in memory for as long as it stays connected.
fn with_write_timeout(
    stream: Box<dyn ByteStream>,
    write_timeout: Duration,
) -> Pin<Box<TimeoutStream<Box<dyn ByteStream>>>> {
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(write_timeout));
    Box::pin(stream)
}

fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        tracing::debug!(%error, "caller's connection ended");
    }
}
