//! The faults of a soak, drawn by seed: several lanes, each with one fault after the other, so
//! that faults come in series and overlap.

use std::path::PathBuf;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Instant, sleep, timeout};

use crate::SoakError;
use crate::observations::{Recorder, RunnerObservation, StoreObservation, Target};
use crate::operator::{Lives, Operator};
use crate::processes::Process;
use crate::proxy::{Harm, LinkState, Proxy};
use crate::roles::store::{BECOME_SLOW, FORGET_HISTORY, SLOW_TIME};
use crate::site::{GRACE_PERIOD, Ports};

/// Longest pause of a lane between two faults, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1500;
/// Longest time for which a process is paused, or a link harmed, in milliseconds.
const LONGEST_FAULT_MS: u64 = 4000;
/// Shortest such time.
const SHORTEST_FAULT_MS: u64 = 200;
/// Longest time from a process's end to its next start, in milliseconds.
const LONGEST_RESTART_MS: u64 = 1500;
/// Largest number of changes of the configuration in a row.
const MOST_CHANGES: u32 = 5;
/// Largest number of bytes of bad input on one connection.
const MOST_BAD_BYTES: usize = 70_000;
/// Time for a connection that gets bad input.
const BAD_INPUT_TIMEOUT: Duration = Duration::from_secs(1);

/// A process of the site, with what is needed to start it again.
#[derive(Debug)]
pub struct Slot {
    process: Process,
    arguments: Vec<String>,
    log: PathBuf,
    life: u32,
}

/// The processes and links of a soak.
#[derive(Debug)]
pub struct Machines {
    /// Ports of the soak.
    pub ports: Ports,
    /// The store's process.
    pub store: Mutex<Slot>,
    /// Processes of the gateways, by number less one.
    pub gateways: Vec<Mutex<Slot>>,
    /// Processes of the runners, by number less one.
    pub runners: Vec<Mutex<Slot>>,
    /// Links from clients to the gateways, by the gateway's number less one.
    pub client_links: Vec<Proxy>,
    /// Links from the gateways to the store, by the gateway's number less one.
    pub store_links: Vec<Proxy>,
    /// Links from all gateways to the runners, by the runner's number less one.
    pub runner_links: Vec<Proxy>,
    /// Numbers of the gateways' processes.
    pub lives: Lives,
    /// Where faults are recorded.
    pub recorder: Recorder,
}

/// A process that tells what it does, as JSON lines on its standard output.
#[derive(Debug, Clone, Copy)]
pub enum EventSource {
    /// The store.
    Store,
    /// The runner with this number.
    Runner(u8),
}

impl Slot {
    /// Starts a process with `arguments`, whose output goes to `log`. If it tells what it does,
    /// `events` says how and where this is recorded.
    pub fn start(
        arguments: Vec<String>,
        log: PathBuf,
        life: u32,
        events: Option<(EventSource, &Recorder)>,
    ) -> Result<Self, SoakError> {
        let mut all = arguments.clone();
        all.extend(["--life".to_owned(), life.to_string()]);
        let (process, output) = Process::start(&all, &log, events.is_some())?;
        if let (Some(output), Some((source, recorder))) = (output, events) {
            tokio::spawn(read_events(output, source, life, recorder.clone()));
        }
        Ok(Self {
            process,
            arguments,
            log,
            life,
        })
    }

    fn restart(&mut self, events: Option<(EventSource, &Recorder)>) -> Result<(), SoakError> {
        let (arguments, log) = (self.arguments.clone(), self.log.clone());
        *self = Self::start(arguments, log, self.life + 1, events)?;
        Ok(())
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.has_ended()
    }
}

/// Records what a process tells.
async fn read_events(
    output: tokio::process::ChildStdout,
    source: EventSource,
    life: u32,
    recorder: Recorder,
) {
    use tokio::io::AsyncBufReadExt;
    let mut lines = tokio::io::BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let at = recorder.now();
        // A line that a killed process left unfinished tells nothing.
        match source {
            EventSource::Store => {
                if let Ok(change) = serde_json::from_str(&line) {
                    let observation = StoreObservation { at, change };
                    recorder.lock().store_changes.push(observation);
                }
            }
            EventSource::Runner(runner) => {
                if let Ok(event) = serde_json::from_str(&line) {
                    let observation = RunnerObservation {
                        runner,
                        life,
                        at,
                        event,
                    };
                    recorder.lock().runners.push(observation);
                }
            }
        }
    }
}

/// Kinds of faults and planned work.
#[derive(Debug, Clone, Copy)]
enum Kind {
    GatewayKill,
    GatewayPause,
    GatewayStop,
    RollingStop,
    RunnerKill,
    RunnerPause,
    RunnerDrain,
    StorePause,
    StoreSlow,
    StoreForgets,
    ClientLink,
    StoreLink,
    RunnerLink,
    Configuration,
    BadInput,
}

const KINDS: [Kind; 15] = [
    Kind::GatewayKill,
    Kind::GatewayPause,
    Kind::GatewayStop,
    Kind::RollingStop,
    Kind::RunnerKill,
    Kind::RunnerPause,
    Kind::RunnerDrain,
    Kind::StorePause,
    Kind::StoreSlow,
    Kind::StoreForgets,
    Kind::ClientLink,
    Kind::StoreLink,
    Kind::RunnerLink,
    Kind::Configuration,
    Kind::BadInput,
];

/// One lane of faults.
pub struct Lane {
    /// The processes and links that it strikes.
    pub machines: Arc<Machines>,
    /// The operator, whose changes come one after the other.
    pub operator: Arc<Mutex<Operator>>,
    random: ChaCha8Rng,
}

impl Lane {
    /// Creates lane `number` of a soak with this seed.
    pub fn new(
        machines: Arc<Machines>,
        operator: Arc<Mutex<Operator>>,
        seed: u64,
        number: usize,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(number as u64));
        Self {
            machines,
            operator,
            random,
        }
    }

    /// Strikes until `end`; returns when the last fault is undone.
    pub async fn run(mut self, end: Instant) -> Result<(), SoakError> {
        loop {
            sleep(self.draw_time(0, LONGEST_PAUSE_MS)).await;
            if Instant::now() >= end {
                return Ok(());
            }
            let kind = *KINDS.choose(&mut self.random).expect("there are kinds");
            self.strike(kind).await?;
        }
    }

    fn draw_time(&mut self, shortest_ms: u64, longest_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(shortest_ms..=longest_ms))
    }

    fn draw_index(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    async fn strike(&mut self, kind: Kind) -> Result<(), SoakError> {
        let machines = self.machines.clone();
        let (gateways, runners) = (machines.gateways.len(), machines.runners.len());
        match kind {
            Kind::GatewayKill => {
                let index = self.draw_index(gateways);
                self.kill("gateway_kill", Target::Gateway(index as u8 + 1))
                    .await
            }
            Kind::RunnerKill => {
                let index = self.draw_index(runners);
                self.kill("runner_kill", Target::Runner(index as u8 + 1))
                    .await
            }
            Kind::GatewayPause => {
                let index = self.draw_index(gateways);
                self.pause("gateway_pause", Target::Gateway(index as u8 + 1))
                    .await;
                Ok(())
            }
            Kind::RunnerPause => {
                let index = self.draw_index(runners);
                self.pause("runner_pause", Target::Runner(index as u8 + 1))
                    .await;
                Ok(())
            }
            Kind::StorePause => {
                self.pause("store_pause", Target::Store).await;
                Ok(())
            }
            Kind::StoreSlow => {
                let Some(slot) = Self::slot(&machines, Target::Store) else {
                    return Ok(());
                };
                let fault = machines
                    .recorder
                    .begin_fault("store_slow", false, Target::Store);
                slot.process.signal(BECOME_SLOW);
                sleep(SLOW_TIME).await;
                machines.recorder.end_fault(fault);
                Ok(())
            }
            Kind::StoreForgets => {
                if let Some(slot) = Self::slot(&machines, Target::Store) {
                    let fault =
                        machines
                            .recorder
                            .begin_fault("store_forgets", false, Target::StoreHistory);
                    slot.process.signal(FORGET_HISTORY);
                    machines.recorder.end_fault(fault);
                }
                Ok(())
            }
            Kind::GatewayStop => {
                let index = self.draw_index(gateways);
                self.stop("gateway_stop", Target::Gateway(index as u8 + 1))
                    .await
            }
            Kind::RollingStop => {
                for number in 1..=gateways as u8 {
                    self.stop("rolling_stop", Target::Gateway(number)).await?;
                }
                Ok(())
            }
            Kind::RunnerDrain => {
                let index = self.draw_index(runners);
                self.stop("runner_drain", Target::Runner(index as u8 + 1))
                    .await
            }
            Kind::ClientLink => {
                let harms = [
                    Harm::Delay(Duration::from_millis(80)),
                    Harm::Trickle,
                    Harm::Reset,
                ];
                let index = self.draw_index(gateways);
                let target = Target::ClientLink(index as u8 + 1);
                self.harm_link(&machines.client_links[index], target, &harms)
                    .await;
                Ok(())
            }
            Kind::StoreLink => {
                let index = self.draw_index(gateways);
                let target = Target::StoreLink(index as u8 + 1);
                self.harm_link(&machines.store_links[index], target, &ALL_HARMS)
                    .await;
                Ok(())
            }
            Kind::RunnerLink => {
                let index = self.draw_index(runners);
                let target = Target::RunnerLink(index as u8 + 1);
                self.harm_link(&machines.runner_links[index], target, &ALL_HARMS)
                    .await;
                Ok(())
            }
            Kind::Configuration => {
                let changes = self.random.random_range(1..=MOST_CHANGES);
                let mut operator = self.operator.lock().await;
                for _ in 0..changes {
                    operator.change_route().await;
                }
                Ok(())
            }
            Kind::BadInput => {
                self.send_bad_input().await;
                Ok(())
            }
        }
    }

    /// Returns the slot of a target's process, unless another lane strikes it.
    fn slot<'a>(machines: &'a Machines, target: Target) -> Option<MutexGuard<'a, Slot>> {
        let slot = match target {
            Target::Gateway(number) => &machines.gateways[usize::from(number - 1)],
            Target::Runner(number) => &machines.runners[usize::from(number - 1)],
            _ => &machines.store,
        };
        slot.try_lock().ok()
    }

    async fn kill(&mut self, kind: &'static str, target: Target) -> Result<(), SoakError> {
        let machines = self.machines.clone();
        let Some(mut slot) = Self::slot(&machines, target) else {
            return Ok(());
        };
        let fault = machines.recorder.begin_fault(kind, false, target);
        slot.process.signal(Signal::SIGKILL);
        slot.process.wait().await;
        sleep(self.draw_time(0, LONGEST_RESTART_MS)).await;
        machines.start_again(&mut slot, target)?;
        machines.recorder.end_fault(fault);
        Ok(())
    }

    async fn pause(&mut self, kind: &'static str, target: Target) {
        let machines = self.machines.clone();
        let Some(slot) = Self::slot(&machines, target) else {
            return;
        };
        let fault = machines.recorder.begin_fault(kind, false, target);
        slot.process.signal(Signal::SIGSTOP);
        sleep(self.draw_time(SHORTEST_FAULT_MS, LONGEST_FAULT_MS)).await;
        slot.process.signal(Signal::SIGCONT);
        machines.recorder.end_fault(fault);
    }

    /// Stops a process as planned, and starts it again once it has ended.
    async fn stop(&mut self, kind: &'static str, target: Target) -> Result<(), SoakError> {
        let machines = self.machines.clone();
        let Some(mut slot) = Self::slot(&machines, target) else {
            return Ok(());
        };
        let fault = machines.recorder.begin_fault(kind, true, target);
        slot.process.signal(Signal::SIGTERM);
        if timeout(GRACE_PERIOD, slot.process.wait()).await.is_err() {
            let overdue = machines.recorder.begin_fault("stop_overdue", false, target);
            slot.process.signal(Signal::SIGKILL);
            slot.process.wait().await;
            machines.recorder.end_fault(overdue);
        }
        machines.start_again(&mut slot, target)?;
        machines.recorder.end_fault(fault);
        Ok(())
    }

    async fn harm_link(&mut self, link: &Proxy, target: Target, harms: &[Harm]) {
        let harm = *harms.choose(&mut self.random).expect("there are harms");
        let share = *[0.3, 0.7, 1.0]
            .choose(&mut self.random)
            .expect("there are shares");
        let time = self.draw_time(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
        let fault = self
            .machines
            .recorder
            .begin_fault(name_of(harm), false, target);
        link.set(LinkState { harm, share });
        sleep(time).await;
        link.set(LinkState::SOUND);
        self.machines.recorder.end_fault(fault);
    }

    /// Sends bytes that mean nothing to one of a gateway's ports.
    async fn send_bad_input(&mut self) {
        let ports = self.machines.ports;
        let number = self.draw_index(self.machines.gateways.len()) as u8 + 1;
        let addresses = [
            ports.gateway(number),
            ports.readiness(number),
            ports.peers(number),
            ports.tunnels(number),
        ];
        let length = self.random.random_range(0..MOST_BAD_BYTES);
        let mut bytes = vec![0; length];
        self.random.fill_bytes(&mut bytes);
        let starts: [&[u8]; 4] = [
            b"POST /write/x HTTP/1.1\r\nhost: host\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n",
            b"GET / HTTP/1.1\r\n",
            b"\x00\x00\x00\x05",
            b"",
        ];
        let start = *starts.choose(&mut self.random).expect("there are starts");
        let datagram = [start, &bytes[..length.min(1200)]].concat();
        for address in addresses {
            let sending = async {
                let mut stream = TcpStream::connect(address).await?;
                stream.write_all(start).await?;
                stream.write_all(&bytes).await
            };
            // A gateway that is down, or closes the connection, takes no input.
            let _ = timeout(BAD_INPUT_TIMEOUT, sending).await;
        }
        if let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await {
            // A datagram may be lost.
            let _ = socket.send_to(&datagram, ports.peers(number)).await;
        }
    }
}

/// All ways in which a link is harmed.
const ALL_HARMS: [Harm; 7] = [
    Harm::Delay(Duration::from_millis(80)),
    Harm::Trickle,
    Harm::Silence,
    Harm::SilentAnswers,
    Harm::Reset,
    Harm::ResetAnswers,
    Harm::RefuseNew,
];

fn name_of(harm: Harm) -> &'static str {
    match harm {
        Harm::None => "none",
        Harm::Delay(_) => "delay",
        Harm::Trickle => "trickle",
        Harm::Silence => "silence",
        Harm::SilentAnswers => "silent_answers",
        Harm::Reset => "reset",
        Harm::ResetAnswers => "reset_answers",
        Harm::RefuseNew => "refuse_new",
    }
}

impl Machines {
    /// Starts a process again that has ended.
    fn start_again(&self, slot: &mut Slot, target: Target) -> Result<(), SoakError> {
        match target {
            Target::Runner(number) => {
                slot.restart(Some((EventSource::Runner(number), &self.recorder)))?;
            }
            _ => slot.restart(None)?,
        }
        if let Target::Gateway(number) = target {
            let mut lives = self.lives.lock().unwrap_or_else(PoisonError::into_inner);
            lives[usize::from(number - 1)] = slot.life;
        }
        Ok(())
    }
}
