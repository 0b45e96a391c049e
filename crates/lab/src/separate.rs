//! `barleyspar-lab platform` and `barleyspar-lab load`: the parts of a demo as
//! processes of their own, by IP and port.
//!
//! `platform` runs the stand-ins of a site and writes everything else that is
//! needed into a directory: settings of each node, the site's manifests, the
//! operator's token and the callers' addresses. `load` sends a site's traffic
//! to those addresses and checks every answer.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use barleyspar_domain::ObjectSpec;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::arrivals::generate;
use crate::demo::{DemoOptions, OPERATOR_TOKEN, drive, free_address, node_settings};
use crate::errors::LabError;
use crate::outcome::{print_last_line, seconds_at};
use crate::platform::Platform;
use crate::site::Site;
use crate::standins::http::ANY_PORT;

const NODES_FILE: &str = "nodes.toml";
const MANIFEST_FILE: &str = "objects.toml";
const TOKEN_FILE: &str = "operator.token";
const REPORT_PAUSE: Duration = Duration::from_secs(5);

/// Where the nodes listen.
#[derive(Debug, Serialize, Deserialize)]
struct NodeAddresses {
    callers: Vec<String>,
    operators: Vec<String>,
}

/// Runs the stand-ins and writes the directory; ends only when it is killed.
pub async fn run_platform(site: &Site, directory: &Path, seed: u64) -> Result<bool, LabError> {
    std::fs::create_dir_all(directory)?;
    let platform = Platform::start(site, seed, ANY_PORT, ANY_PORT).await?;
    let count = site.zone.len() * site.site.nodes_per_zone;
    let peers: Vec<SocketAddr> = (0..count)
        .map(|_| free_address())
        .collect::<Result<_, _>>()?;
    let addresses = (platform.key_value_address, platform.machines_address);
    let mut nodes = NodeAddresses {
        callers: Vec::new(),
        operators: Vec::new(),
    };
    for number in 0..count {
        let settings = node_settings(site, number, addresses, &peers)?;
        let file = directory.join(format!("node-{number}.toml"));
        std::fs::write(&file, to_toml(&settings)?)?;
        println!("barleyspar node --config {}", file.display());
        nodes
            .callers
            .push(format!("http://{}", settings.node.caller_address));
        nodes
            .operators
            .push(format!("http://{}", settings.node.operator_address));
    }
    std::fs::write(directory.join(NODES_FILE), to_toml(&nodes)?)?;
    std::fs::write(directory.join(TOKEN_FILE), OPERATOR_TOKEN)?;
    std::fs::write(directory.join(MANIFEST_FILE), manifests(site)?)?;
    println!(
        "barleyspar apply {} --wait --server {} --token-file {}",
        directory.join(MANIFEST_FILE).display(),
        nodes.operators[0],
        directory.join(TOKEN_FILE).display()
    );
    loop {
        tokio::time::sleep(REPORT_PAUSE).await;
        let violations = platform.violations.all();
        println!(
            "{} loads, {} violations",
            platform.loads(),
            violations.len()
        );
        for violation in violations {
            println!("FAULT {violation}");
        }
    }
}

fn to_toml<T: Serialize>(value: &T) -> Result<String, LabError> {
    toml::to_string(value).map_err(|error| LabError::Failed(error.to_string()))
}

fn manifests(site: &Site) -> Result<String, LabError> {
    let mut text = String::new();
    for object in site.objects() {
        let body = match &object {
            ObjectSpec::Service(spec) => to_toml(spec)?,
            ObjectSpec::Policy(spec) => to_toml(spec)?,
            ObjectSpec::Model(spec) => to_toml(spec)?,
            ObjectSpec::Adapter(spec) => to_toml(spec)?,
            ObjectSpec::Customer(spec) => to_toml(spec)?,
        };
        text.push_str(&format!("[[{}]]\n{body}\n", object.key().kind));
    }
    Ok(text)
}

#[derive(Debug, Serialize)]
struct LoadSummary {
    requests: usize,
    answered: u64,
    refused: u64,
    refused_by_reason: std::collections::BTreeMap<String, u64>,
    dropped: u64,
    wrong: u64,
    warm_first_token_p50: f64,
    cold_start_p50: f64,
    cold_start_p99: f64,
}

/// Sends a site's traffic to the nodes of `directory`. Returns whether every
/// request was answered or refused, and every answer whole and right.
pub async fn run_load(
    site: &Site,
    directory: &Path,
    options: &DemoOptions,
) -> Result<bool, LabError> {
    let nodes: NodeAddresses = barleyspar_manifest::read_document(&directory.join(NODES_FILE))?;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let arrivals = generate(site, options.seconds, &mut random);
    let requests = arrivals.len();
    let tally = drive(site, &nodes.callers, arrivals).await?;
    for fault in &tally.faults {
        println!("FAULT {fault}");
    }
    print_last_line(&LoadSummary {
        requests,
        answered: tally.answered,
        refused: tally.all_refused(),
        refused_by_reason: tally.refused.clone(),
        dropped: tally.dropped,
        wrong: tally.wrong,
        warm_first_token_p50: seconds_at(&tally.warm, 0.5),
        cold_start_p50: seconds_at(&tally.cold, 0.5),
        cold_start_p99: seconds_at(&tally.cold, 0.99),
    });
    Ok(tally.dropped == 0 && tally.wrong == 0)
}
