//! Chooses between a direct connection and a tunnel, and tries both where that is quicker.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::Runner;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::journal;
use crate::network::ByteStream;
use crate::reachability::Path;
use crate::tunnel::open::{NoTunnel, OpenTunnel, open};
use crate::upstream::{ConnectError, Connection, OpenSlot};

/// Time after which a direct attempt that is neither accepted nor refused is doubted: many times
/// that of a usual connection.
const DIRECT_DOUBTED_AFTER: Duration = Duration::from_millis(60);

/// Opens a new connection to `runner` within `limit`: directly, or through a peer if that is
/// quicker or the only way. `slot` counts it against this node's share of the runner's
/// connections.
pub async fn connect(
    context: &Context,
    runner: &Runner,
    limit: Duration,
    slot: OpenSlot,
) -> Result<Connection, ConnectError> {
    let path = context.with_reachability(|state| state.path(&runner.id, Instant::now()));
    let race = Race::new(path, Instant::now() + limit);
    match race.run(context, runner).await? {
        Winner::Direct(stream) => Connection::over(stream, Some(slot), None).await,
        Winner::Tunnel(tunnel) => {
            record_tunnel(context, &runner.id);
            Connection::over(tunnel.stream, Some(slot), Some(tunnel.peer)).await
        }
    }
}

/// Finds out whether peers reach `runner`, to which this node could not connect itself, and
/// records it.
pub async fn verify_reach(context: Context, runner: Arc<str>) {
    match timeout(CONNECT_TIMEOUT, open(&context, &runner)).await {
        Ok(Ok(_)) => record_tunnel(&context, &runner),
        Ok(Err(failure)) => record_no_tunnel(&context, &runner, failure),
        // No peer has answered, which tells nothing about the runner.
        Err(_) => {}
    }
}

/// Records that a peer reaches `runner`. Idle connections to runners that only peers reach are
/// closed, since requests that are sent on them may hang.
fn record_tunnel(context: &Context, runner: &Arc<str>) {
    let now = Instant::now();
    let (is_news, is_partitioned) = context.with_reachability(|state| {
        let was_partitioned = state.is_partitioned(now);
        state.record_failed(runner, now);
        let is_news = state.record_tunnel(runner, now);
        (is_news, !was_partitioned && state.is_partitioned(now))
    });
    if is_news {
        journal::runner_tunnelled(runner);
        context.pool.close_idle(runner);
    }
    if is_partitioned {
        journal::partitioned();
        context.pool.close_all_idle();
    }
}

fn record_no_tunnel(context: &Context, runner: &Arc<str>, failure: NoTunnel) {
    if failure != NoTunnel::Unknown {
        context.with_reachability(|state| state.record_down(runner, Instant::now()));
    }
}

/// What was connected first.
enum Winner {
    Direct(Box<dyn ByteStream>),
    Tunnel(OpenTunnel),
}

/// A direct attempt and one through peers. Each begins at its own time, or at once when the
/// other has failed.
struct Race {
    /// Delay of the direct attempt; `None` if it only follows a failure of the other.
    direct_after: Option<Duration>,
    /// Delay of the attempt through peers; `None` if it only follows a failure of the other.
    tunnel_after: Option<Duration>,
    may_tunnel: bool,
    /// When both attempts are given up.
    deadline: Instant,
    direct_failed: Notify,
    tunnel_failed: Notify,
}

impl Race {
    fn new(path: Path, deadline: Instant) -> Self {
        let (direct_after, tunnel_after) = match path {
            Path::Direct | Path::DirectOnly => (Some(Duration::ZERO), Some(DIRECT_DOUBTED_AFTER)),
            Path::Tunnel { probe: true } => (Some(Duration::ZERO), Some(Duration::ZERO)),
            Path::Tunnel { probe: false } => (None, Some(Duration::ZERO)),
        };
        Self {
            direct_after,
            tunnel_after,
            may_tunnel: path != Path::DirectOnly,
            deadline,
            direct_failed: Notify::new(),
            tunnel_failed: Notify::new(),
        }
    }

    /// Returns the first connection, or the error once both ways have failed.
    async fn run(&self, context: &Context, runner: &Runner) -> Result<Winner, ConnectError> {
        let direct = self.connect_directly(context, runner);
        if !self.may_tunnel {
            return direct.await.map(Winner::Direct);
        }
        let tunnel = self.connect_through_peers(context, runner);
        tokio::pin!(direct, tunnel);
        tokio::select! {
            connected = &mut direct => match connected {
                Ok(stream) => Ok(Winner::Direct(stream)),
                Err(error) => match tunnel.await {
                    Ok(opened) => Ok(Winner::Tunnel(opened)),
                    Err(failure) => Err(error_of_both(error, failure)),
                },
            },
            opened = &mut tunnel => match opened {
                Ok(opened) => Ok(Winner::Tunnel(opened)),
                Err(failure) => match direct.await {
                    Ok(stream) => Ok(Winner::Direct(stream)),
                    Err(error) => Err(error_of_both(error, failure)),
                },
            },
        }
    }

    async fn connect_directly(
        &self,
        context: &Context,
        runner: &Runner,
    ) -> Result<Box<dyn ByteStream>, ConnectError> {
        wait_for_start(self.direct_after, &self.tunnel_failed).await;
        let limit = self.deadline.saturating_duration_since(Instant::now());
        let connected = context.open_stream(runner, limit).await;
        if connected.is_err() {
            self.direct_failed.notify_one();
        }
        connected
    }

    async fn connect_through_peers(
        &self,
        context: &Context,
        runner: &Runner,
    ) -> Result<OpenTunnel, NoTunnel> {
        wait_for_start(self.tunnel_after, &self.direct_failed).await;
        let opened = timeout_at(self.deadline, open(context, &runner.id)).await;
        let opened = opened.unwrap_or(Err(NoTunnel::Unknown));
        if let Err(failure) = &opened {
            record_no_tunnel(context, &runner.id, *failure);
            self.tunnel_failed.notify_one();
        }
        opened
    }
}

/// Waits for `delay`, or for `other_failed` if that is earlier.
async fn wait_for_start(delay: Option<Duration>, other_failed: &Notify) {
    match delay {
        Some(delay) if delay.is_zero() => {}
        Some(delay) => tokio::select! {
            () = sleep(delay) => {}
            () = other_failed.notified() => {}
        },
        None => other_failed.notified().await,
    }
}

/// Returns the error of an attempt that failed both ways. A refusal by this node's own links
/// shows that the runner's port is closed only if no peer got another answer.
fn error_of_both(direct: ConnectError, tunnel: NoTunnel) -> ConnectError {
    match tunnel {
        NoTunnel::Unreachable => ConnectError::TimedOut,
        NoTunnel::Refused | NoTunnel::Unknown => direct,
    }
}
