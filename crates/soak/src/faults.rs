//! The faults of a soak, drawn by seed: several lanes, each with one fault after the other, so
//! that faults come in series and overlap.

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::SoakError;
use crate::machines::{Machines, Slot};
use crate::observations::Target;
use crate::operator::Operator;
use crate::proxy::{Harm, LinkState, Proxy};
use crate::roles::gateway::PartitionCommand;
use crate::roles::store::{BECOME_SLOW, FORGET_HISTORY, SLOW_TIME};
use crate::site::{GRACE_PERIOD, Neighbours, gateway_name, service_name};

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
/// Longest time for which a gateway loses all runners, in milliseconds: longer than the time
/// from which on it must serve as the others do.
const LONGEST_LOSS_OF_RUNNERS_MS: u64 = 9000;
/// Longest time for which runners of a service stand still together, in milliseconds: longer than
/// two retry windows.
const LONGEST_STANDSTILL_MS: u64 = 25_000;
/// Part of the standstills that strike only half of a service's runners.
const HALF_STANDSTILL_SHARE: f64 = 0.3;
/// Part of the faults at gateways that strike the leader.
const LEADER_SHARE: f64 = 0.4;
/// Largest number of bytes of bad input on one connection.
const MOST_BAD_BYTES: usize = 70_000;
/// Time for a connection that gets bad input.
const BAD_INPUT_TIMEOUT: Duration = Duration::from_secs(1);

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
    PeerLinks,
    LinksToRunners,
    Configuration,
    BadInput,
}

const KINDS: [Kind; 17] = [
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
    Kind::PeerLinks,
    Kind::LinksToRunners,
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

    /// Lets runners of one service stand still together until `end`, again and again.
    pub async fn run_standstills(mut self, end: Instant) -> Result<(), SoakError> {
        loop {
            sleep(self.draw_time(0, LONGEST_PAUSE_MS)).await;
            if Instant::now() >= end {
                return Ok(());
            }
            self.stand_still().await;
        }
    }

    /// Pauses all or half of the runners of one service for the same time.
    async fn stand_still(&mut self) {
        let drawn = self.draw_runner();
        let strikes_half = self.random.random_bool(HALF_STANDSTILL_SHARE);
        let count = self.machines.runners.len() as u8;
        let mut service: Vec<u8> = (1..=count)
            .filter(|number| service_name(*number) == service_name(drawn))
            .collect();
        if strikes_half {
            service.truncate(service.len().div_ceil(2));
        }
        let time = self.draw_time(LONGEST_FAULT_MS, LONGEST_STANDSTILL_MS);
        let mut pauses = JoinSet::new();
        for number in service {
            let machines = self.machines.clone();
            pauses.spawn(async move {
                let target = Target::Runner(number);
                if let Some(slot) = machines.slot(target) {
                    pause_for(&machines, &slot, ("runner_pause", target), time).await;
                }
            });
        }
        pauses.join_all().await;
    }

    fn draw_time(&mut self, shortest_ms: u64, longest_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(shortest_ms..=longest_ms))
    }

    fn draw_number(&mut self, count: usize) -> u8 {
        self.random.random_range(0..count) as u8 + 1
    }

    /// Draws a gateway: often the leader, of which there is only one.
    fn draw_gateway(&mut self) -> u8 {
        let drawn = self.draw_number(self.machines.gateways.len());
        if !self.random.random_bool(LEADER_SHARE) {
            return drawn;
        }
        self.leader().unwrap_or(drawn)
    }

    /// Number of the gateway that gave a runner the latest order.
    fn leader(&self) -> Option<u8> {
        let name = self.machines.recorder.latest_order_holder()?;
        (1..=self.machines.gateways.len() as u8).find(|number| gateway_name(*number) == name)
    }

    fn draw_runner(&mut self) -> u8 {
        self.draw_number(self.machines.runners.len())
    }

    async fn strike(&mut self, kind: Kind) -> Result<(), SoakError> {
        let machines = self.machines.clone();
        match kind {
            Kind::GatewayKill => {
                let target = Target::Gateway(self.draw_gateway());
                self.kill("gateway_kill", target).await?;
            }
            Kind::RunnerKill => {
                let target = Target::Runner(self.draw_runner());
                self.kill("runner_kill", target).await?;
            }
            Kind::GatewayPause => {
                let target = Target::Gateway(self.draw_gateway());
                self.pause("gateway_pause", target).await;
            }
            Kind::RunnerPause => {
                let target = Target::Runner(self.draw_runner());
                self.pause("runner_pause", target).await;
            }
            Kind::StorePause => self.pause("store_pause", Target::Store).await,
            Kind::StoreSlow => {
                let signal = (BECOME_SLOW, SLOW_TIME);
                self.signal_store("store_slow", Target::Store, signal).await;
            }
            Kind::StoreForgets => {
                let signal = (FORGET_HISTORY, Duration::ZERO);
                self.signal_store("store_forgets", Target::StoreHistory, signal)
                    .await;
            }
            Kind::GatewayStop => {
                let target = Target::Gateway(self.draw_gateway());
                self.stop("gateway_stop", target).await?;
            }
            Kind::RollingStop => {
                for number in 1..=machines.gateways.len() as u8 {
                    self.stop("rolling_stop", Target::Gateway(number)).await?;
                }
            }
            Kind::RunnerDrain => {
                let target = Target::Runner(self.draw_runner());
                self.stop("runner_drain", target).await?;
            }
            Kind::ClientLink => {
                let number = self.draw_gateway();
                let link = &machines.client_links[usize::from(number - 1)];
                self.harm_link(link, Target::ClientLink(number), &CLIENT_HARMS)
                    .await;
            }
            Kind::StoreLink => {
                let number = self.draw_gateway();
                let link = &machines.store_links[usize::from(number - 1)];
                self.harm_link(link, Target::StoreLink(number), &ALL_HARMS)
                    .await;
            }
            Kind::RunnerLink => {
                let number = self.draw_runner();
                let link = &machines.runner_links[usize::from(number - 1)];
                self.harm_link(link, Target::RunnerLink(number), &ALL_HARMS)
                    .await;
            }
            Kind::PeerLinks => self.partition(Neighbours::Gateways).await,
            Kind::LinksToRunners => self.partition(Neighbours::Runners).await,
            Kind::Configuration => {
                let changes = self.random.random_range(1..=MOST_CHANGES);
                let mut operator = self.operator.lock().await;
                for _ in 0..changes {
                    operator.change_route().await;
                }
            }
            Kind::BadInput => self.send_bad_input().await,
        }
        Ok(())
    }

    /// Sends the store's process a signal, whose effect lasts for the time beside it.
    async fn signal_store(
        &mut self,
        kind: &'static str,
        target: Target,
        (signal, lasts): (Signal, Duration),
    ) {
        let machines = self.machines.clone();
        let Some(slot) = machines.slot(Target::Store) else {
            return;
        };
        let fault = machines.recorder.begin_fault(kind, false, target);
        slot.signal(signal);
        sleep(lasts).await;
        machines.recorder.end_fault(fault);
    }

    async fn kill(&mut self, kind: &'static str, target: Target) -> Result<(), SoakError> {
        let machines = self.machines.clone();
        let Some(mut slot) = machines.slot(target) else {
            return Ok(());
        };
        let fault = machines.recorder.begin_fault(kind, false, target);
        slot.signal(Signal::SIGKILL);
        slot.wait().await;
        sleep(self.draw_time(0, LONGEST_RESTART_MS)).await;
        machines.start_again(&mut slot, target)?;
        machines.recorder.end_fault(fault);
        Ok(())
    }

    async fn pause(&mut self, kind: &'static str, target: Target) {
        let machines = self.machines.clone();
        let Some(slot) = machines.slot(target) else {
            return;
        };
        let time = self.draw_time(SHORTEST_FAULT_MS, LONGEST_FAULT_MS);
        pause_for(&machines, &slot, (kind, target), time).await;
    }

    /// Stops a process as planned, and starts it again once it has ended.
    async fn stop(&mut self, kind: &'static str, target: Target) -> Result<(), SoakError> {
        let machines = self.machines.clone();
        let Some(mut slot) = machines.slot(target) else {
            return Ok(());
        };
        let fault = machines.recorder.begin_fault(kind, true, target);
        slot.signal(Signal::SIGTERM);
        if timeout(GRACE_PERIOD, slot.wait()).await.is_err() {
            let overdue = machines.recorder.begin_fault("stop_overdue", false, target);
            slot.signal(Signal::SIGKILL);
            slot.wait().await;
            machines.recorder.end_fault(overdue);
        }
        machines.start_again(&mut slot, target)?;
        machines.recorder.end_fault(fault);
        Ok(())
    }

    /// Partitions a gateway from its neighbours for a while.
    async fn partition(&mut self, neighbours: Neighbours) {
        let machines = self.machines.clone();
        let number = self.draw_gateway();
        let (kind, target, longest_ms) = match neighbours {
            Neighbours::Gateways => ("peers_lost", Target::PeerLinks(number), LONGEST_FAULT_MS),
            Neighbours::Runners => (
                "runners_lost",
                Target::LinksToRunners(number),
                LONGEST_LOSS_OF_RUNNERS_MS,
            ),
        };
        let Some(mut slot) = machines.slot(Target::Gateway(number)) else {
            return;
        };
        let fault = machines.recorder.begin_fault(kind, false, target);
        let begin = PartitionCommand::new(neighbours, true);
        slot.tell(&begin.line()).await;
        let life = slot.life();
        drop(slot);
        sleep(self.draw_time(SHORTEST_FAULT_MS, longest_ms)).await;
        let mut slot = machines.gateways[usize::from(number - 1)].lock().await;
        // A process that was started meanwhile knows of no partition.
        if slot.life() == life {
            let end = PartitionCommand::new(neighbours, false);
            slot.tell(&end.line()).await;
        }
        drop(slot);
        machines.recorder.end_fault(fault);
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
        let number = self.draw_gateway();
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

/// Pauses the process of `slot` for `time`, and records it as a fault of this kind and target.
async fn pause_for(
    machines: &Machines,
    slot: &Slot,
    (kind, target): (&'static str, Target),
    time: Duration,
) {
    let fault = machines.recorder.begin_fault(kind, false, target);
    slot.signal(Signal::SIGSTOP);
    sleep(time).await;
    slot.signal(Signal::SIGCONT);
    machines.recorder.end_fault(fault);
}

/// Ways in which links from clients are harmed: those that tell the client, or pass.
const CLIENT_HARMS: [Harm; 3] = [
    Harm::Delay(Duration::from_millis(80)),
    Harm::Trickle,
    Harm::Reset,
];

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
