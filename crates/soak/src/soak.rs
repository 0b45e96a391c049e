//! Runs a soak from the start of its processes to its verdict.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::SoakError;
use crate::arguments::SoakOptions;
use crate::checks::check;
use crate::clients::{ANSWER_SLACK, Clients, STREAM_DEADLINE, balance};
use crate::copies::record_copies;
use crate::deadly_parts::{restart_ended_runners, send_deadly_requests};
use crate::faults::Lane;
use crate::followers::follow_streams;
use crate::machines::{EventSource, Machines, Slot};
use crate::observations::{Recorder, RequestKind, Target};
use crate::operator::{Lives, Operator, change_steadily};
use crate::proxy::Proxy;
use crate::site::Ports;
use crate::summary::Summary;

/// Number of clients for each one more that follows streams over its tries.
const CLIENTS_PER_FOLLOWER: u32 = 4;
/// Longest time from the start until requests of each kind are served.
const START_BOUND: Duration = Duration::from_secs(30);
/// Time with traffic and without faults, before the first one.
const QUIET_START: Duration = Duration::from_secs(3);
/// Time with traffic after the last fault: the bound of a recovery, and some traffic behind it.
const QUIET_END: Duration = Duration::from_secs(17);
/// Time between two looks whether a process has ended by itself.
const LIFE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a soak and prints its summary as the last line. Returns whether no promise was broken.
pub fn run_soak(options: &SoakOptions) -> Result<bool, SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SoakError::io("runtime"))?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(SoakError::io("signals"))?;
        // The processes of the soak end with it: they are killed when it is dropped.
        tokio::select! {
            result = soak(options) => result,
            _ = terminate.recv() => Err(SoakError::Terminated),
        }
    })
}

async fn soak(options: &SoakOptions) -> Result<bool, SoakError> {
    let directory = log_directory(options)?;
    let recorder = Recorder::default();
    recorder.lock().gateways = options.gateways;
    let ports = Ports::from_first(free_port()?);
    let lives: Lives = Arc::new(std::sync::Mutex::new(vec![
        0;
        usize::from(options.gateways)
    ]));
    let machines = start_machines(options, &directory, ports, &lives, &recorder).await?;
    let machines = Arc::new(machines);
    tokio::spawn(record_copies(ports, options.gateways, recorder.clone()));
    let operator = Operator::new(ports, options.gateways, lives, recorder.clone());
    operator.publish().await;
    let operator = Arc::new(Mutex::new(operator));

    let (ready_sender, ready) = watch::channel((1..=options.gateways).collect());
    tokio::spawn(balance(ports, options.gateways, ready_sender));
    let (stop_sender, stop) = watch::channel(false);
    let clients = Clients {
        ports,
        ready,
        recorder: recorder.clone(),
        stop,
    };
    let mut client_tasks = JoinSet::new();
    for number in 0..options.clients {
        client_tasks.spawn(clients.clone().run(number, options.seed));
    }
    for number in 0..options.clients.div_ceil(CLIENTS_PER_FOLLOWER) {
        client_tasks.spawn(follow_streams(clients.clone(), number, options.seed));
    }
    wait_until_served(&recorder).await?;
    sleep(QUIET_START).await;
    if options.deadly_parts {
        tokio::spawn(restart_ended_runners(machines.clone(), options.seed));
        client_tasks.spawn(send_deadly_requests(clients.clone(), options.seed));
    }
    tokio::spawn(watch_lives(machines.clone()));
    strike(options, &machines, &operator).await?;
    sleep(QUIET_END).await;
    let traffic_end = recorder.now();
    stop_sender.send_replace(true);
    let last_answers = STREAM_DEADLINE + ANSWER_SLACK;
    let ended = async { while client_tasks.join_next().await.is_some() {} };
    // Clients that wait on for an answer after this are recorded as having got none.
    let _ = tokio::time::timeout(last_answers, ended).await;

    let observations = recorder.lock();
    let violations = check(&observations, traffic_end);
    write_observations(&directory, &observations)?;
    let summary = Summary::new(options.seed, &observations, &violations);
    eprintln!("logs: {}", directory.display());
    println!(
        "{}",
        serde_json::to_string(&summary).expect("the summary is serializable")
    );
    Ok(violations.is_empty())
}

/// Runs all lanes of faults to their end.
async fn strike(
    options: &SoakOptions,
    machines: &Arc<Machines>,
    operator: &Arc<Mutex<Operator>>,
) -> Result<(), SoakError> {
    let end = Instant::now() + options.time;
    let steady_changes = tokio::spawn(change_steadily(operator.clone(), end));
    let mut lanes = JoinSet::new();
    for number in 0..options.faults {
        let lane = Lane::new(machines.clone(), operator.clone(), options.seed, number);
        lanes.spawn(lane.run(end));
    }
    if options.standstills {
        let lane = Lane::new(
            machines.clone(),
            operator.clone(),
            options.seed,
            options.faults,
        );
        lanes.spawn(lane.run_standstills(end));
    }
    while let Some(lane) = lanes.join_next().await {
        lane.expect("lanes do not panic")?;
    }
    steady_changes.await.expect("the operator does not panic");
    Ok(())
}

fn log_directory(options: &SoakOptions) -> Result<PathBuf, SoakError> {
    let name = format!("barleyspar-soak-{}-{}", options.seed, std::process::id());
    let directory = options.directory.clone();
    let directory = directory.unwrap_or_else(|| std::env::temp_dir().join(name));
    std::fs::create_dir_all(&directory).map_err(SoakError::io("directory for logs"))?;
    Ok(directory)
}

/// Returns a port of which the system says that it is free, and its neighbours likely too.
fn free_port() -> Result<u16, SoakError> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).map_err(SoakError::io("free port"))?;
    let port = listener
        .local_addr()
        .map_err(SoakError::io("free port"))?
        .port();
    Ok(port.min(u16::MAX - 8))
}

async fn start_machines(
    options: &SoakOptions,
    directory: &Path,
    ports: Ports,
    lives: &Lives,
    recorder: &Recorder,
) -> Result<Machines, SoakError> {
    let arguments = |role: &str, number: u8, store: SocketAddr| {
        let (number, port) = (number.to_string(), ports.first().to_string());
        let store = store.to_string();
        [
            "--role", role, "--number", &number, "--port", &port, "--store", &store,
        ]
        .map(str::to_owned)
        .to_vec()
    };
    let log = |name: &str, number: u8| directory.join(format!("{name}-{number}.log"));
    let store = Slot::start(
        arguments("store", 1, ports.store()),
        log("store", 1),
        0,
        Some((EventSource::Store, recorder)),
    )?;
    let mut runners = Vec::new();
    let mut runner_links = Vec::new();
    for number in 1..=options.runners {
        runner_links.push(Proxy::open(ports.runner_proxy(number), ports.runner(number)).await?);
        let arguments = arguments("runner", number, ports.store());
        let events = Some((EventSource::Runner(number), recorder));
        let runner = Slot::start(arguments, log("runner", number), 0, events)?;
        runners.push(Mutex::new(runner));
    }
    let mut gateways = Vec::new();
    let (mut client_links, mut store_links) = (Vec::new(), Vec::new());
    for number in 1..=options.gateways {
        client_links.push(Proxy::open(ports.gateway_proxy(number), ports.gateway(number)).await?);
        store_links.push(Proxy::open(ports.store_proxy(number), ports.store()).await?);
        let arguments = arguments("gateway", number, ports.store_proxy(number));
        let gateway = Slot::start(arguments, log("gateway", number), 0, None)?;
        gateways.push(Mutex::new(gateway));
    }
    Ok(Machines {
        ports,
        store: Mutex::new(store),
        gateways,
        runners,
        client_links,
        store_links,
        runner_links,
        lives: lives.clone(),
        recorder: recorder.clone(),
    })
}

/// Waits until a request of each kind has been served.
async fn wait_until_served(recorder: &Recorder) -> Result<(), SoakError> {
    let start = Instant::now();
    let kinds = [RequestKind::Write, RequestKind::Read, RequestKind::Stream];
    while start.elapsed() < START_BOUND {
        sleep(LIFE_CHECK_INTERVAL).await;
        let observations = recorder.lock();
        let is_served = |kind: &RequestKind| {
            let mut attempts = observations.attempts.iter();
            attempts.any(|attempt| attempt.kind == *kind && attempt.is_served())
        };
        if kinds.iter().all(is_served) {
            return Ok(());
        }
    }
    Err(SoakError::NotReady(START_BOUND))
}

/// Records gateways that end without being told to.
async fn watch_lives(machines: Arc<Machines>) {
    let mut reported = vec![false; machines.gateways.len()];
    loop {
        sleep(LIFE_CHECK_INTERVAL).await;
        for (index, gateway) in machines.gateways.iter().enumerate() {
            // A gateway that a lane has locked is being ended or started by it.
            let has_ended = gateway.try_lock().is_ok_and(|mut slot| slot.has_ended());
            if has_ended && !reported[index] {
                reported[index] = true;
                let target = Target::Gateway(index as u8 + 1);
                machines
                    .recorder
                    .begin_fault("ended_by_itself", false, target);
            }
        }
    }
}

/// Writes the attempts and faults beside the processes' logs, to trace a violation.
fn write_observations(
    directory: &Path,
    observations: &crate::observations::Observations,
) -> Result<(), SoakError> {
    let mut text = String::new();
    for fault in &observations.faults {
        text += &serde_json::to_string(fault).expect("faults are serializable");
        text += "\n";
    }
    for probe in &observations.probes {
        text += &serde_json::to_string(probe).expect("probes are serializable");
        text += "\n";
    }
    for attempt in &observations.attempts {
        text += &serde_json::to_string(attempt).expect("attempts are serializable");
        text += "\n";
    }
    std::fs::write(directory.join("observations.jsonl"), text)
        .map_err(SoakError::io("observations"))
}
