//! `barleyspar-lab bench`: what a node adds to a request on a warm model, over
//! real sockets, against calling the engine stand-in directly in the same run;
//! and what a call between nodes costs.
//!
//! Client, engine and node share the process, so processor time is compared,
//! not attributed: what a request through the node takes beyond a direct one is
//! the node's share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use barleyspar_peer::{
    PeerDispatch, PeerError, PeerHandler, PeerListener, PeerTransport, SharedSecret, TcpTransport,
    Traffic,
};
use barleyspar_platform::Engine;
use barleyspar_platform::engine::GenerateRequest;
use barleyspar_platform::http::HttpEngine;
use bytes::Bytes;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::demo::{free_address, http_client, start_nodes, submit};
use crate::errors::LabError;
use crate::outcome::print_last_line;
use crate::platform::Platform;
use crate::site::Site;
use crate::standins::decode::EngineSpeeds;
use crate::standins::http::ANY_PORT;

/// Requests made one after the other for the latencies.
const SEQUENTIAL: usize = 1_000;
/// Requests made at once for the processor time.
const CONCURRENT: usize = 32;
/// Requests made for the processor time.
const THROUGHPUT: usize = 4_800;
/// Calls between nodes.
const CALLS: usize = 20_000;
/// Rounds, each direct and through the node; the middle one counts.
const ROUNDS: usize = 5;
const CALL_BODY_BYTES: usize = 200;
const TICKS_PER_SECOND: f64 = 100.0;
const LONGEST_NANOSECONDS: u64 = 60_000_000_000;

#[derive(Debug, Clone, Copy, Serialize)]
struct Side {
    p50_microseconds: f64,
    p99_microseconds: f64,
    cpu_microseconds_per_request: f64,
}

#[derive(Debug, Serialize)]
struct BenchSummary {
    direct: Side,
    through_node: Side,
    added_p50_milliseconds: f64,
    added_p99_milliseconds: f64,
    latency_ratio_p50: f64,
    added_cpu_microseconds: f64,
    requests_per_second_per_core: f64,
    added_cpu_microseconds_per_token: f64,
    peer_call_cpu_microseconds: f64,
    rounds: usize,
}

/// Processor time of this process so far, in seconds.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

/// An engine that answers at once, so that only overhead is measured.
fn instant_engine() -> EngineSpeeds {
    EngineSpeeds {
        prefill_tokens_per_second: 1e12,
        tokens_per_second: 1e12,
        half_speed_batch: 1e12,
        maximum_batch: 100_000,
        maximum_waiting: 100_000,
        ..EngineSpeeds::default()
    }
}

/// One way of making requests.
#[derive(Clone)]
enum Way {
    Direct {
        engine: HttpEngine,
        address: SocketAddr,
        model: barleyspar_domain::ModelName,
    },
    Node {
        client: reqwest::Client,
        url: String,
        token: String,
        model: String,
    },
}

impl Way {
    async fn ask(&self, tokens: u32) -> Result<(), LabError> {
        let failed = |what: String| LabError::Failed(what);
        match self {
            Self::Direct {
                engine,
                address,
                model,
            } => {
                let request = GenerateRequest {
                    request_id: format!("direct-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
                    attempt: 1,
                    model: model.clone(),
                    adapter: None,
                    prompt: PROMPT.to_owned(),
                    maximum_tokens: tokens,
                    priority: 0,
                    resume_from: 0,
                    deadline_milliseconds: 30_000,
                };
                let stream = engine.generate(*address, request).await;
                let mut stream = stream.map_err(|error| failed(error.to_string()))?;
                while let Some(chunk) = stream.next().await {
                    chunk.map_err(|error| failed(error.to_string()))?;
                }
                Ok(())
            }
            Self::Node {
                client,
                url,
                token,
                model,
            } => {
                let body = json!({"model": model, "prompt": PROMPT, "max_tokens": tokens,
                                  "stream": true});
                let sent = client.post(url).bearer_auth(token).json(&body).send().await;
                let response = sent.map_err(|error| failed(error.to_string()))?;
                if !response.status().is_success() {
                    return Err(failed(response.text().await.unwrap_or_default()));
                }
                let text = response.text().await;
                let text = text.map_err(|error| failed(error.to_string()))?;
                match text.ends_with("data: [DONE]\n\n") {
                    true => Ok(()),
                    false => Err(failed("answer without its end".to_owned())),
                }
            }
        }
    }

    async fn measure(&self, tokens: u32) -> Result<Side, LabError> {
        let times = Histogram::<u64>::new_with_bounds(1, LONGEST_NANOSECONDS, 3);
        let mut times = times.map_err(|error| LabError::Failed(error.to_string()))?;
        for _ in 0..SEQUENTIAL {
            let started = Instant::now();
            self.ask(tokens).await?;
            times.saturating_record(started.elapsed().as_nanos() as u64);
        }
        let before = cpu_seconds();
        let mut workers = tokio::task::JoinSet::new();
        for _ in 0..CONCURRENT {
            let way = self.clone();
            workers.spawn(async move {
                for _ in 0..THROUGHPUT / CONCURRENT {
                    way.ask(tokens).await?;
                }
                Ok::<(), LabError>(())
            });
        }
        while let Some(ended) = workers.join_next().await {
            ended.map_err(|error| LabError::Failed(error.to_string()))??;
        }
        let spent = cpu_seconds() - before;
        Ok(Side {
            p50_microseconds: times.value_at_quantile(0.5) as f64 / 1e3,
            p99_microseconds: times.value_at_quantile(0.99) as f64 / 1e3,
            cpu_microseconds_per_request: spent * 1e6 / THROUGHPUT as f64,
        })
    }
}

/// An engine remembers an id for a while, so that no id may come twice.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

const PROMPT: &str = "Draft a reminder for a donor whose last visit was in March.";
/// Tokens of the short answers; their cost is that of a request.
const SHORT: u32 = 1;
/// Tokens of the long answers; what they cost more is that of their tokens.
const LONG: u32 = 60;

fn middle(mut sides: Vec<Side>) -> Side {
    sides.sort_by(|a, b| a.p50_microseconds.total_cmp(&b.p50_microseconds));
    sides[sides.len() / 2]
}

/// Runs the bench.
pub async fn run(site: &Site, seed: u64) -> Result<bool, LabError> {
    let platform = Platform::start_with(site, seed, ANY_PORT, ANY_PORT, instant_engine()).await?;
    let nodes = start_nodes(site, &platform).await?;
    submit(site, &nodes[0].operators).await?;
    let model = site.model_name(0);
    let through = Way::Node {
        client: http_client()?,
        url: format!("{}/v1/completions", nodes[0].callers),
        token: site.token(0),
        model: model.to_string(),
    };
    through.ask(SHORT).await?;
    let holder = platform
        .engines
        .iter()
        .find(|(_, engine)| engine.held().contains(&model));
    let (name, _) = holder.ok_or_else(|| LabError::Failed("nobody holds it".to_owned()))?;
    let direct = Way::Direct {
        engine: HttpEngine::new().map_err(|error| LabError::Failed(error.to_string()))?,
        address: platform.listeners[name].address,
        model,
    };
    let (mut directs, mut throughs) = (Vec::new(), Vec::new());
    for round in 1..=ROUNDS {
        directs.push(direct.measure(SHORT).await?);
        throughs.push(through.measure(SHORT).await?);
        eprintln!("round {round} of {ROUNDS}");
    }
    let (direct_long, through_long) = (direct.measure(LONG).await?, through.measure(LONG).await?);
    let call = peer_call_microseconds().await?;
    for node in nodes {
        node.stop().await;
    }
    let (direct, through_node) = (middle(directs), middle(throughs));
    let added = |a: f64, b: f64| (a - b).max(0.0);
    let added_cpu = added(
        through_node.cpu_microseconds_per_request,
        direct.cpu_microseconds_per_request,
    );
    let added_long = added(
        through_long.cpu_microseconds_per_request,
        direct_long.cpu_microseconds_per_request,
    );
    print_last_line(&BenchSummary {
        direct,
        through_node,
        added_p50_milliseconds: (through_node.p50_microseconds - direct.p50_microseconds) / 1e3,
        added_p99_milliseconds: (through_node.p99_microseconds - direct.p99_microseconds) / 1e3,
        latency_ratio_p50: through_node.p50_microseconds / direct.p50_microseconds,
        added_cpu_microseconds: added_cpu,
        requests_per_second_per_core: 1e6 / added_cpu.max(1.0),
        added_cpu_microseconds_per_token: added(added_long, added_cpu) / f64::from(LONG - SHORT),
        peer_call_cpu_microseconds: call,
        rounds: ROUNDS,
    });
    Ok(true)
}

struct Echo;

#[async_trait]
impl PeerHandler for Echo {
    async fn handle(&self, body: Bytes) -> Result<Bytes, PeerError> {
        Ok(body)
    }
}

/// Processor time of one call between two nodes, both ends together.
async fn peer_call_microseconds() -> Result<f64, LabError> {
    let secret = SharedSecret::new("bench secret of both ends");
    let dispatch = PeerDispatch::default();
    dispatch.register("echo", Arc::new(Echo));
    let address = free_address()?;
    let traffic = Traffic::default();
    let listener = PeerListener::bind(address, secret.clone(), traffic.clone(), dispatch).await?;
    let listening = tokio::spawn(listener.run());
    let transport = TcpTransport::new(secret, traffic);
    let body = Bytes::from(vec![7; CALL_BODY_BYTES]);
    let before = cpu_seconds();
    for _ in 0..CALLS {
        let called = transport.call(address, "echo", body.clone(), Duration::from_secs(5));
        called
            .await
            .map_err(|error| LabError::Failed(error.to_string()))?;
    }
    let spent = cpu_seconds() - before;
    listening.abort();
    Ok(spent * 1e6 / CALLS as f64)
}
