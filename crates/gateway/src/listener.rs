//! Takes callers' connections and serves HTTP/1.1 on them.

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
use tokio_io_timeout::TimeoutStream;

use crate::body::AnswerBody;
use crate::lifecycle::{Lifecycle, Stage};
use crate::network::{ByteStream, Listener};

/// Pause after an error of the listening socket.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer that hyper takes for a head.
const SMALLEST_HEAD: usize = 8 * 1024;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Time for a head to come, rest before it included, and for a caller to read on.
    pub idle_timeout: Duration,
}

/// Serves connections on `listener` with `handle` until the process ends.
pub async fn serve<Limits, Handle, Answer>(
    listener: Box<dyn Listener>,
    limits: Limits,
    lifecycle: Lifecycle,
    handle: Handle,
) where
    Limits: Fn() -> ListenerLimits,
    Handle: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(limits().connections));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok(stream) => {
                let limits = limits();
                let (lifecycle, handle) = (lifecycle.clone(), handle.clone());
                crate::tasks::spawn(async move {
                    serve_connection(stream, limits, lifecycle, handle).await;
                    drop(place);
                });
            }
            Err(error) => {
                tracing::warn!(%error, event = "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

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
        .max_buf_size(limits.header_bytes.max(SMALLEST_HEAD))
        .serve_connection(TokioIo::new(read_on(stream, limits.idle_timeout)), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return log_end(result),
        () = lifecycle.reached(Stage::Closing) => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

/// A connection that ends when its caller reads nothing of what is written to it for
/// `longest_pause`: an answer would be kept for as long as the caller stays.
fn read_on(
    stream: Box<dyn ByteStream>,
    longest_pause: Duration,
) -> Pin<Box<TimeoutStream<Box<dyn ByteStream>>>> {
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(longest_pause));
    Box::pin(stream)
}

fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        tracing::debug!(%error, "caller's connection ended");
    }
}
