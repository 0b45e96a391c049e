//! The serving side of tunnels: connects to runners for peers and copies bytes.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{copy, split};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};

use crate::context::Context;
use crate::framing::{read, write};
use crate::journal;
use crate::lifecycle::Stage;
use crate::network::{ByteStream, Listener};
use crate::tunnel::framed::copy_in_frames;
use crate::tunnel::protocol::{TunnelAnswer, TunnelRequest};
use crate::upstream::ConnectError;

/// Largest number of tunnels at a time. Each takes two descriptors and two buffers of 8 KiB.
const MAX_TUNNELS: usize = 200;
/// Time limit for a peer to send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connecting to the runner. It is shorter than that of the peer that waits, so
/// that the answer still arrives.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of peers and serves their requests until the process ends.
pub async fn serve(context: Context, listener: Box<dyn Listener>) {
    let slots = Arc::new(Semaphore::new(MAX_TUNNELS));
    loop {
        let Ok(stream) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let slot = slots.clone().try_acquire_owned().ok();
        let context = context.clone();
        crate::tasks::spawn(async move {
            if let Err(error) = serve_peer(&context, stream, slot.is_some()).await {
                tracing::debug!(%error, "tunnel ended");
            }
            drop(slot);
        });
    }
}

/// Serves one request of a peer. `has_room`: whether one more tunnel may be opened.
async fn serve_peer(
    context: &Context,
    mut stream: Box<dyn ByteStream>,
    has_room: bool,
) -> io::Result<()> {
    let runner = match timeout(REQUEST_TIMEOUT, read(&mut stream)).await?? {
        TunnelRequest::Open { runner } => runner,
        TunnelRequest::Pause { runner, pause_ms } => {
            let pause = Duration::from_millis(pause_ms);
            journal::runner_requested_pause(&runner, "tunnel", pause);
            context.dispatch.set_requested_pause(runner, pause);
            return Ok(());
        }
    };
    let connected = if has_room {
        connect_for_peer(context, &runner).await
    } else {
        Err(TunnelAnswer::Unavailable)
    };
    let answer = connected.as_ref().err().copied();
    let answer = answer.unwrap_or(TunnelAnswer::Opened);
    context.metrics.tunnel_served(answer.name());
    write(&mut stream, &answer).await?;
    let Ok(runner_stream) = connected else {
        return Ok(());
    };
    let _in_flight = context.requests_in_flight.start_one();
    copy_until_end(stream, runner_stream).await
}

/// Connects to `runner` for a peer, if this node may call it now and reaches it itself.
async fn connect_for_peer(
    context: &Context,
    runner: &Arc<str>,
) -> Result<Box<dyn ByteStream>, TunnelAnswer> {
    let is_stopping = context.lifecycle.stage() >= Stage::Draining;
    let has_lost_links = context.with_reachability(|reachability| {
        reachability.is_tunnelled(runner) || reachability.is_partitioned(Instant::now())
    });
    if is_stopping || has_lost_links {
        return Err(TunnelAnswer::Unavailable);
    }
    let runner = context.dispatch.find_callable_runner(runner.clone()).await;
    let runner = runner.ok_or(TunnelAnswer::Unavailable)?;
    let connected = context.open_stream(&runner, CONNECT_TIMEOUT).await;
    connected.map_err(|error| match error {
        ConnectError::Refused(_) => TunnelAnswer::Refused,
        ConnectError::TimedOut => TunnelAnswer::Unreachable,
        ConnectError::ConnectionLimitReached => TunnelAnswer::Unavailable,
    })
}

/// Copies bytes in both directions until one side ends: plain ones to the runner, frames to the
/// peer. When the peer closes its connection, that to the runner is closed at once, so that
/// the runner notices it as it would without the tunnel.
async fn copy_until_end(peer: Box<dyn ByteStream>, runner: Box<dyn ByteStream>) -> io::Result<()> {
    let (mut from_peer, mut to_peer) = split(peer);
    let (mut from_runner, mut to_runner) = split(runner);
    tokio::select! {
        copied = copy(&mut from_peer, &mut to_runner) => copied.map(drop),
        copied = copy_in_frames(&mut from_runner, &mut to_peer) => copied,
    }
}
