//! `barleyspar-lab demo`: stand-ins and nodes of a site on loopback, real HTTP
//! traffic, and a summary.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use barleyspar_domain::OperatorName;
use barleyspar_node::{ApplyAnswer, ApplyRequest, NodeSettings, NodeTuning, OperatorSettings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::arrivals::{Arrival, generate};
use crate::client::Caller;
use crate::errors::LabError;
use crate::outcome::{Tally, print_last_line, seconds_at};
use crate::platform::Platform;
use crate::site::Site;
use crate::standins::http::ANY_PORT;

/// Token of the demo's operator.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
const SHARED_SECRET: &str = "demo-shared-secret-of-all-nodes";
/// Time for all nodes to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Nodes a caller tries, one after the other, when its node is lost.
const TRIED_NODES: usize = 3;
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Seconds of traffic.
    pub seconds: f64,
    /// Seed.
    pub seed: u64,
}

#[derive(Debug, Serialize)]
struct Summary {
    site: String,
    requests: usize,
    answered: u64,
    refused: u64,
    refused_by_reason: std::collections::BTreeMap<String, u64>,
    dropped: u64,
    wrong: u64,
    violations: usize,
    loads: u64,
    warm_first_token_p50: f64,
    warm_first_token_p99: f64,
    cold_start_p50: f64,
    cold_start_p99: f64,
    idle_accelerator_hours: f64,
    key_value_operations: u64,
}

/// One node of the demo.
pub struct DemoNode {
    /// URL for callers.
    pub callers: String,
    /// URL for operators.
    pub operators: String,
    stop: oneshot::Sender<()>,
    task: JoinHandle<Result<usize, barleyspar_node::NodeError>>,
}

impl DemoNode {
    /// Plans the node's stop and waits for it. Returns the tasks it had to cut.
    pub async fn stop(self) -> usize {
        let _ = self.stop.send(());
        match self.task.await {
            Ok(Ok(cut)) => cut,
            Ok(Err(_)) | Err(_) => 0,
        }
    }
}

/// A free address on loopback.
pub fn free_address() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind(ANY_PORT)?.local_addr()
}

/// The settings of node number `number` of a site.
pub fn node_settings(
    site: &Site,
    number: usize,
    platform: (SocketAddr, SocketAddr),
    peers: &[SocketAddr],
) -> Result<NodeSettings, LabError> {
    let zone = site.zone_name(number);
    let text = format!(
        "[node]\nname = \"{zone}-{number}\"\nzone = \"{zone}\"\npeer_address = \"{}\"\n\
         caller_address = \"{}\"\noperator_address = \"{}\"\nseeds = {:?}\n\
         shared_secret = \"{SHARED_SECRET}\"\n[platform]\nkey_value = \"http://{}\"\n\
         machine_list = \"http://{}\"\n",
        peers[number],
        free_address()?,
        free_address()?,
        peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        platform.0,
        platform.1,
    );
    let document = barleyspar_manifest::Document {
        file: "demo settings".to_owned(),
        text,
    };
    let mut settings: NodeSettings = document.parse()?;
    let name = OperatorName::try_from("demo").map_err(|e| LabError::Failed(e.to_string()))?;
    settings.operator.push(OperatorSettings {
        name,
        token_sha256: format!("{:x}", Sha256::digest(OPERATOR_TOKEN)),
    });
    Ok(settings)
}

/// Starts all nodes of a site.
pub async fn start_nodes(site: &Site, platform: &Platform) -> Result<Vec<DemoNode>, LabError> {
    let count = site.zone.len() * site.site.nodes_per_zone;
    let peers: Vec<SocketAddr> = (0..count)
        .map(|_| free_address())
        .collect::<Result<_, _>>()?;
    let addresses = (platform.key_value_address, platform.machines_address);
    let mut nodes = Vec::new();
    for number in 0..count {
        let settings = node_settings(site, number, addresses, &peers)?;
        let (stop, stopped) = oneshot::channel();
        let callers = format!("http://{}", settings.node.caller_address);
        let operators = format!("http://{}", settings.node.operator_address);
        let task = tokio::spawn(barleyspar_node::run(
            settings,
            NodeTuning::default(),
            async {
                let _ = stopped.await;
            },
        ));
        nodes.push(DemoNode {
            callers,
            operators,
            stop,
            task,
        });
    }
    let client = http_client()?;
    for node in &nodes {
        wait_until_ready(&client, &node.callers).await?;
    }
    Ok(nodes)
}

/// A client without retries, redirects or proxies.
pub fn http_client() -> Result<reqwest::Client, LabError> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .build()
        .map_err(|error| LabError::Failed(error.to_string()))
}

async fn wait_until_ready(client: &reqwest::Client, node: &str) -> Result<(), LabError> {
    let until = Instant::now() + START_LIMIT;
    while Instant::now() < until {
        let ready = client.get(format!("{node}/readyz")).send().await;
        if ready.is_ok_and(|response| response.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Err(LabError::Failed(format!(
        "{node} is not ready after {START_LIMIT:?}"
    )))
}

/// Submits everything of `site` through one node and waits until it is in force.
pub async fn submit(site: &Site, operators: &str) -> Result<ApplyAnswer, LabError> {
    let request = ApplyRequest {
        put: site.objects(),
        delete: Vec::new(),
        read_at: None,
        wait: true,
    };
    let failed = |error: reqwest::Error| LabError::Failed(error.to_string());
    let sent = http_client()?
        .post(format!("{operators}/operator/v1/apply"))
        .bearer_auth(OPERATOR_TOKEN)
        .json(&request)
        .send();
    let response = sent.await.map_err(failed)?;
    if !response.status().is_success() {
        let text = response.text().await.unwrap_or_default();
        return Err(LabError::Failed(format!("apply was refused: {text}")));
    }
    response.json().await.map_err(failed)
}

async fn wait_for_grants(site: &Site, node: &DemoNode) -> Result<(), LabError> {
    let client = http_client()?;
    let until = Instant::now() + START_LIMIT;
    while Instant::now() < until {
        let sent = client
            .get(format!("{}/operator/v1/status", node.operators))
            .bearer_auth(OPERATOR_TOKEN)
            .send();
        if let Ok(response) = sent.await
            && let Ok(status) = response.json::<barleyspar_node::StatusAnswer>().await
            && status.granted_replicas >= site.models.count
        {
            return Ok(());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Err(LabError::Failed("no grants were made in time".to_owned()))
}

/// Runs the demo. Returns whether every promise was kept.
pub async fn run(site: &Site, options: &DemoOptions) -> Result<bool, LabError> {
    let platform = Platform::start(site, options.seed, ANY_PORT, ANY_PORT).await?;
    println!(
        "{}: {} engines, key-value service at {}, machine list at {}",
        site.site.name,
        platform.engines.len(),
        platform.key_value_address,
        platform.machines_address
    );
    let nodes = start_nodes(site, &platform).await?;
    println!(
        "{} nodes in {} zones are ready",
        nodes.len(),
        site.zone.len()
    );
    let applied = submit(site, &nodes[0].operators).await?;
    println!(
        "configuration in force at position {}: {:?}",
        applied.position, applied.standing
    );
    wait_for_grants(site, &nodes[0]).await?;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let arrivals = generate(site, options.seconds, &mut random);
    let requests = arrivals.len();
    println!("{requests} requests in {} s of traffic", options.seconds);
    let callers: Vec<String> = nodes.iter().map(|node| node.callers.clone()).collect();
    let tally = drive(site, &callers, arrivals).await?;
    let mut cut = 0;
    for node in nodes {
        cut += node.stop().await;
    }
    if cut > 0 {
        platform
            .violations
            .record(format!("{cut} tasks were cut by a planned stop"));
    }
    Ok(report(site, &platform, requests, &tally))
}

/// Makes all requests at their times and waits for their ends.
pub async fn drive(
    site: &Site,
    nodes: &[String],
    arrivals: Vec<Arrival>,
) -> Result<Tally, LabError> {
    let client = http_client()?;
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut tasks = tokio::task::JoinSet::new();
    let start = tokio::time::Instant::now();
    let mut reported = 0;
    for arrival in arrivals {
        tokio::time::sleep_until(start + Duration::from_secs_f64(arrival.at)).await;
        let second = arrival.at as u64;
        if second >= reported + 5 {
            reported = second;
            progress(second, &tally);
        }
        let caller = caller(site, nodes, &client, &arrival);
        let tally = Arc::clone(&tally);
        tasks.spawn(async move {
            let seen = caller.ask(&arrival).await;
            let what = format!("request {} {:?}", arrival.number, arrival.ask);
            lock(&tally).count(&what, seen.ending, seen.first_token);
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut tally = lock(&tally);
    Ok(std::mem::take(&mut *tally))
}

fn lock(tally: &Mutex<Tally>) -> std::sync::MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(|e| e.into_inner())
}

fn progress(second: u64, tally: &Mutex<Tally>) {
    let tally = lock(tally);
    println!(
        "{second:4} s: {} answered, {} refused, {} dropped, {} wrong",
        tally.answered,
        tally.all_refused(),
        tally.dropped,
        tally.wrong
    );
}

/// The caller of one arrival, at a node of its zone.
fn caller(site: &Site, nodes: &[String], client: &reqwest::Client, arrival: &Arrival) -> Caller {
    let zones = site.zone.len();
    let number = arrival.zone + zones * (arrival.number % site.site.nodes_per_zone);
    Caller {
        client: client.clone(),
        nodes: (0..TRIED_NODES.min(nodes.len()))
            .map(|step| nodes[(number + step) % nodes.len()].clone())
            .collect(),
        token: site.token(arrival.customer),
        deadline: Duration::from_secs_f64(site.traffic.deadline_seconds),
        plain_service: site
            .plain_service()
            .map_or_else(String::new, |service| service.name.to_string()),
    }
}

fn report(site: &Site, platform: &Platform, requests: usize, tally: &Tally) -> bool {
    for fault in tally.faults.iter().chain(&platform.violations.all()) {
        println!("FAULT {fault}");
    }
    let summary = Summary {
        site: site.site.name.clone(),
        requests,
        answered: tally.answered,
        refused: tally.all_refused(),
        refused_by_reason: tally.refused.clone(),
        dropped: tally.dropped,
        wrong: tally.wrong,
        violations: platform.violations.all().len(),
        loads: platform.loads(),
        warm_first_token_p50: seconds_at(&tally.warm, 0.5),
        warm_first_token_p99: seconds_at(&tally.warm, 0.99),
        cold_start_p50: seconds_at(&tally.cold, 0.5),
        cold_start_p99: seconds_at(&tally.cold, 0.99),
        idle_accelerator_hours: platform.idle_accelerator_hours(),
        key_value_operations: platform.key_value.operations().0,
    };
    print_last_line(&summary);
    summary.violations == 0 && summary.dropped == 0 && summary.wrong == 0
}
