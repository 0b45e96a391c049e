//! The opening side of tunnels: finds peers and asks them, a few at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_domain::rendezvous_weight;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, timeout};

use crate::context::Context;
use crate::framing::{read, write};
use crate::journal;
use crate::network::ByteStream;
use crate::peers::{SeenPeer, peer_timeout};
use crate::tunnel::TunnelPeer;
use crate::tunnel::framed::TunnelStream;
use crate::tunnel::protocol::{TunnelAnswer, TunnelRequest};

/// Largest number of peers that are asked for one connection. With half of the nodes
/// partitioned, one of three reaches the runner seven times in eight, and those that failed are
/// not asked first again.
const MAX_PEERS: usize = 3;
/// Time without an answer after which the next peer is asked, too.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(60);
/// Timeout for passing on a requested pause to a peer.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no peer opened a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTunnel {
    /// Nothing listens at the runner's address, according to each peer that could tell.
    Refused,
    /// At least one peer tried in vain to connect to the runner.
    Unreachable,
    /// No peer could tell.
    Unknown,
}

/// A tunnel to a runner.
pub struct OpenTunnel {
    /// The connection to the runner.
    pub stream: Box<dyn ByteStream>,
    /// Address on which the peer accepts tunnels.
    pub peer: SocketAddr,
}

/// Opens a tunnel to `runner` through one of a few peers. Does not end before each of them has
/// answered or failed, so callers set a timeout.
pub async fn open(context: &Context, runner: &Arc<str>) -> Result<OpenTunnel, NoTunnel> {
    let mut peers = choose_peers(context, runner).into_iter();
    let mut attempts = FuturesUnordered::new();
    let mut failure = NoTunnel::Unknown;
    let mut failed = Vec::new();
    attempts.extend(peers.next().map(|peer| ask_peer(context, peer, runner)));
    while !attempts.is_empty() {
        tokio::select! {
            Some((peer, asked)) = attempts.next() => match asked {
                Ok(tunnel) => {
                    record_peers(context, &peer, &failed);
                    return Ok(tunnel);
                }
                Err(answer) => {
                    failure = combine(failure, answer);
                    failed.push(peer);
                    attempts.extend(peers.next().map(|peer| ask_peer(context, peer, runner)));
                }
            },
            () = sleep(NEXT_PEER_DELAY), if peers.len() > 0 => {
                attempts.extend(peers.next().map(|peer| ask_peer(context, peer, runner)));
            }
        }
    }
    Err(failure)
}

/// Records that `helpful` opened a tunnel to a runner that the peers in `failed` did not reach.
fn record_peers(context: &Context, helpful: &TunnelPeer, failed: &[TunnelPeer]) {
    let now = Instant::now();
    context.with_reachability(|reachability| {
        reachability.record_peer(&helpful.name, true, now);
        for peer in failed {
            reachability.record_peer(&peer.name, false, now);
        }
    });
}

/// Adds a peer's answer to what the peers asked before have told.
fn combine(known: NoTunnel, answer: TunnelAnswer) -> NoTunnel {
    match (known, answer) {
        (_, TunnelAnswer::Unreachable) | (NoTunnel::Unreachable, _) => NoTunnel::Unreachable,
        (_, TunnelAnswer::Refused) | (NoTunnel::Refused, _) => NoTunnel::Refused,
        _ => NoTunnel::Unknown,
    }
}

/// Returns the peers to ask for a tunnel, in order: those that opened none a moment ago come
/// last, and those in this node's zone, whose links may be lost for the same reason, after
/// others. Otherwise the order differs with each call, so that the load is spread.
fn choose_peers(context: &Context, runner: &Arc<str>) -> Vec<TunnelPeer> {
    let now = Instant::now();
    let peers = &context.tunnel_peers;
    let silent_after = peer_timeout(context.dispatch.member_count());
    let seed = (
        runner,
        now.duration_since(context.started_at).as_nanos() as u64,
    );
    let seen_peers = peers.seen_peers.borrow();
    let is_responsive =
        |peer: &SeenPeer| now.saturating_duration_since(peer.last_seen) < silent_after;
    let responsive = seen_peers.iter().filter(|(_, peer)| is_responsive(peer));
    let mut ranked: Vec<_> = context.with_reachability(|reachability| {
        let rank = |(name, peer): (&Arc<str>, &SeenPeer)| {
            let is_same_zone = peer.zone == context.settings.zone;
            let rank = (
                reachability.is_avoided(name, now),
                is_same_zone,
                rendezvous_weight(&seed, &**name),
            );
            let address = SocketAddr::new(peer.address.ip(), peers.port);
            (
                rank,
                TunnelPeer {
                    name: name.clone(),
                    address,
                },
            )
        };
        responsive.map(rank).collect()
    });
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked
        .into_iter()
        .take(MAX_PEERS)
        .map(|(_, peer)| peer)
        .collect()
}

/// Asks one peer for a tunnel. Returns the peer with the tunnel, or with its answer if it
/// opened none.
async fn ask_peer(
    context: &Context,
    peer: TunnelPeer,
    runner: &Arc<str>,
) -> (TunnelPeer, Result<OpenTunnel, TunnelAnswer>) {
    let asked = request_tunnel(context, &peer, runner).await;
    let (answer, stream) = asked.unwrap_or_else(|error| {
        journal::tunnel_not_answered(runner, &peer.name, &error);
        (TunnelAnswer::Unavailable, None)
    });
    context.metrics.tunnel_asked(answer.name());
    let tunnel = stream.map(|stream| OpenTunnel {
        stream: Box::new(TunnelStream::new(stream)),
        peer: peer.address,
    });
    (peer, tunnel.ok_or(answer))
}

/// Connects to a peer and asks it for a tunnel. Returns its answer, and the stream to the runner
/// if the peer opened it.
async fn request_tunnel(
    context: &Context,
    peer: &TunnelPeer,
    runner: &Arc<str>,
) -> io::Result<(TunnelAnswer, Option<Box<dyn ByteStream>>)> {
    let mut stream = context.network.connect(peer.address).await?;
    let runner = runner.clone();
    write(&mut stream, &TunnelRequest::Open { runner }).await?;
    let answer: TunnelAnswer = read(&mut stream).await?;
    let is_open = answer == TunnelAnswer::Opened;
    Ok((answer, is_open.then_some(stream)))
}

/// Passes on a pause that `runner` requested in an answer that came through the peer at
/// `peer`: the runner asks that peer for it.
pub async fn report_pause(context: &Context, peer: SocketAddr, runner: Arc<str>, pause: Duration) {
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let request = TunnelRequest::Pause { runner, pause_ms };
    let report = async {
        let mut stream = context.network.connect(peer).await?;
        write(&mut stream, &request).await
    };
    let reported = timeout(PAUSE_TIMEOUT, report).await;
    if let Err(error) = reported.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        tracing::warn!(event = "pause_not_passed_on", %peer, %error);
    }
}
