//! Starts gateways of the project with the command of the deploy file, each with a settings file
//! as DEPLOY.md shows it.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::get_status;

/// Longest time until all gateways have to be ready.
const START_TIME: Duration = Duration::from_secs(15);

/// Addresses on the loopback network that nothing else uses.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    network: u8,
    first_port: u16,
}

impl Addresses {
    /// Finds a network and a range of ports that are free.
    pub fn find() -> io::Result<Self> {
        let process = std::process::id();
        for attempt in 0..50_u32 {
            let addresses = Self {
                network: 64 + ((process + 7 * attempt) % 128) as u8,
                first_port: 20_000 + ((process * 131 + attempt * 977) % 10_000) as u16,
            };
            let probes = (1..=4).flat_map(|host| {
                let ports = [addresses.first_port, addresses.first_port + 40, 9464];
                ports.map(|port| SocketAddr::from(SocketAddrV4::new(addresses.host(0, host), port)))
            });
            if probes.map(TcpListener::bind).all(|bound| bound.is_ok()) {
                return Ok(addresses);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn host(self, kind: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, kind, host)
    }

    pub fn store(self) -> SocketAddr {
        SocketAddr::from((self.host(9, 1), self.first_port))
    }

    pub fn runner(self, number: u8) -> SocketAddr {
        SocketAddr::from((self.host(5, number + 1), self.first_port + 1))
    }

    fn gateway(self, number: u8) -> Ipv4Addr {
        self.host(0, number + 1)
    }
}

/// All processes that were started.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn lock_processes() -> MutexGuard<'static, Vec<Child>> {
    PROCESSES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills all processes that were started.
pub fn end_all() {
    for process in lock_processes().iter_mut() {
        // The process may have ended already.
        let _ = process.kill();
        let _ = process.wait();
    }
}

/// Returns whether all processes that were started still run.
pub fn are_all_running() -> bool {
    let mut processes = lock_processes();
    processes.iter_mut().all(|process| matches!(process.try_wait(), Ok(None)))
}

/// A gateway process.
pub struct Gateway {
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

/// Returns the words of the command that the deploy file gives for the gateway.
fn deploy_command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let mut lines = text.lines().filter_map(|line| line.split_once('='));
    let run = lines.find(|(name, _)| name.trim() == "run");
    let (_, run) = run.ok_or(io::ErrorKind::NotFound)?;
    let words = run.trim().trim_matches('"').split(' ');
    Ok(words.map(str::to_owned).collect())
}

/// Starts `count` gateways and waits until all are ready. `directory` gets their settings and
/// what they write.
pub fn start(
    count: u8,
    zones: &[&str],
    addresses: Addresses,
    directory: &Path,
) -> io::Result<Vec<Gateway>> {
    let command = deploy_command()?;
    let mut gateways = Vec::new();
    for number in 0..count {
        let zone = zones[usize::from(number) % zones.len()];
        gateways.push(start_one(number, zone, zones, addresses, directory, &command)?);
    }
    let started = Instant::now();
    while started.elapsed() < START_TIME {
        let mut readiness = gateways.iter().map(|gateway| gateway.readiness);
        if readiness.all(|address| get_status(address, "/readiness") == 200) {
            return Ok(gateways);
        }
        sleep(Duration::from_millis(100));
    }
    Err(io::ErrorKind::TimedOut.into())
}

fn start_one(
    number: u8,
    zone: &str,
    zones: &[&str],
    addresses: Addresses,
    directory: &Path,
    command: &[String],
) -> io::Result<Gateway> {
    let name = format!("edge-{zone}-{}", number + 1);
    let ip = addresses.gateway(number);
    let port = addresses.first_port;
    let file: PathBuf = directory.join(format!("{name}.toml"));
    fs::write(&file, settings(&name, zone, zones, ip, addresses))?;
    let log = fs::File::create(directory.join(format!("{name}.log")))?;
    let process = Command::new(&command[0])
        .args(&command[1..])
        .env("BARLEYSPAR_NODE_FILE", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    lock_processes().push(process);
    Ok(Gateway {
        callers: SocketAddr::from((ip, port + 30)),
        readiness: SocketAddr::from((ip, port + 31)),
    })
}

/// The settings file of a gateway, with the bounds of the site amg-donorbook.
fn settings(name: &str, zone: &str, zones: &[&str], ip: Ipv4Addr, addresses: Addresses) -> String {
    let port = addresses.first_port;
    let zones: String = zones.iter().map(|zone| format!("{zone} = \"accra\"\n")).collect();
    let (callers, readiness, control) = (port + 30, port + 31, port + 32);
    let (first, last) = (port, port + 15);
    let seed = addresses.gateway(0);
    let store = addresses.store();
    format!(
        r#"nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge", "control_plane"]
ipAddress = "{ip}"
zone = "{zone}"
region = "accra"
internalPortRange = [{first}, {last}]
seedNodes = ["{seed}:{control}"]
isBootstrap = true
isFaultCounted = false
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
[zones]
{zones}[listenAddresses]
frontend = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
controlPlane = "{ip}:{control}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
contactTimeoutMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerBoundMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 52
recoveryS = 12
passMs = 120
retryAfterS = 0
fencingEnforced = true
leaseDurationMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
originRateOverage = 1.1
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"#
    )
}
