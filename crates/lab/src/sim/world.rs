//! A whole system in virtual time: platform, back ends and nodes.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_domain::{Incarnation, NodeName, RunnerName, RunnerRecord, ZoneName};
use barleyspar_membership::MembershipConfig;
use barleyspar_node::{Node, NodeIdentity, NodeTuning, Ports};
use barleyspar_peer::{PeerDispatch, Traffic};
use tokio::time::Instant;

use super::engine_port::{BackEnd, BackEndPort, BackEnds};
use super::network::{LinkQuality, Network, Place};
use super::platform_ports::{KeyValuePort, MachineListPort, Way};
use super::transport::{Endpoint, Endpoints, SimTransport};
use crate::history::History;
use crate::standins::engine::EngineStandIn;
use crate::standins::key_value::KeyValueStandIn;
use crate::standins::machines::MachineListStandIn;
use crate::standins::plain::PlainRecord;
use crate::standins::violations::Violations;

/// Virtual runs begin at this time of the wall clock: 2026-01-01, in milliseconds.
const EPOCH_MILLISECONDS: u64 = 1_767_225_600_000;
const NODE_PORT: u16 = 7000;
const BACK_END_PORT: u16 = 9000;
/// Nodes that a starting node knows.
const SEEDS: usize = 3;

/// One node of the world; `running` is empty while its process is dead.
pub struct SimNode {
    /// Name.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Bytes of its control messages, over all its lives.
    pub traffic: Traffic,
    /// The node.
    pub running: Option<Node>,
    /// Whether it accepts connections of callers.
    pub accepts: bool,
    starts: u64,
}

/// The world.
pub struct World {
    /// Network.
    pub network: Network,
    /// Violations that stand-ins saw.
    pub violations: Violations,
    /// What was seen.
    pub history: History,
    /// Key-value service.
    pub key_value: KeyValueStandIn,
    /// Machine list.
    pub machines: MachineListStandIn,
    /// What plain services ran.
    pub plain: PlainRecord,
    /// Engines by name.
    pub engines: BTreeMap<RunnerName, EngineStandIn>,
    /// Nodes, by number.
    pub nodes: Vec<SimNode>,
    tuning: NodeTuning,
    seed: u64,
    started: Instant,
    endpoints: Endpoints,
    back_ends: BackEnds,
}

/// The address of back end number `number`.
pub fn back_end_address(number: usize) -> SocketAddr {
    address(1, number, BACK_END_PORT)
}

fn address(net: u8, number: usize, port: u16) -> SocketAddr {
    let [.., high, low] = (number as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, net, high, low)), port)
}

impl World {
    /// A world without nodes and back ends.
    pub fn new(
        quality: LinkQuality,
        tuning: NodeTuning,
        key_value_operations_per_second: f64,
        machine_list_lag: Duration,
        seed: u64,
    ) -> Self {
        let violations = Violations::default();
        let history = History::default();
        Self {
            network: Network::new(quality, seed),
            plain: PlainRecord::new(violations.clone(), history.clone()),
            violations,
            history,
            key_value: KeyValueStandIn::new(key_value_operations_per_second, seed ^ 1),
            machines: MachineListStandIn::new(Vec::new(), machine_list_lag),
            engines: BTreeMap::new(),
            nodes: Vec::new(),
            tuning,
            seed,
            started: Instant::now(),
            endpoints: Endpoints::default(),
            back_ends: BackEnds::default(),
        }
    }

    /// Adds back ends that are already listed: engines, or for records without
    /// an engine instances of the plain service.
    pub fn set_back_ends(
        &mut self,
        records: Vec<RunnerRecord>,
        engines: BTreeMap<RunnerName, EngineStandIn>,
        machine_list_lag: Duration,
    ) {
        for record in &records {
            let place = Place::Zone(record.zone.clone());
            let back_end = match engines.get(&record.name) {
                Some(engine) => BackEnd::Engine(engine.clone()),
                None => BackEnd::Plain(record.name.clone(), self.plain.clone()),
            };
            self.back_ends.put(record.address, place, back_end);
        }
        self.machines = MachineListStandIn::new(records, machine_list_lag);
        self.engines = engines;
    }

    /// Kills or revives an instance of the plain service.
    pub fn set_plain_alive(&self, record: &RunnerRecord, alive: bool) {
        let place = Place::Zone(record.zone.clone());
        let back_end = match alive {
            true => BackEnd::Plain(record.name.clone(), self.plain.clone()),
            false => BackEnd::Dead,
        };
        self.back_ends.put(record.address, place, back_end);
    }

    /// Adds a node that is not running yet.
    pub fn add_node(&mut self, name: NodeName, zone: ZoneName) {
        let address = address(0, self.nodes.len(), NODE_PORT);
        self.nodes.push(SimNode {
            name,
            zone,
            address,
            traffic: Traffic::default(),
            running: None,
            accepts: false,
            starts: 0,
        });
    }

    /// Starts node `number`, as a new process.
    pub fn start_node(&mut self, number: usize) {
        let seeds = self.seeds(number);
        let wall_clock = self.wall_clock();
        let node = &mut self.nodes[number];
        node.starts += 1;
        let place = Place::Zone(node.zone.clone());
        let dispatch = PeerDispatch::default();
        let way = Way {
            network: self.network.clone(),
            place: place.clone(),
            traffic: node.traffic.clone(),
        };
        let back_ends = Arc::new(BackEndPort {
            network: self.network.clone(),
            back_ends: self.back_ends.clone(),
            place: place.clone(),
            traffic: node.traffic.clone(),
        });
        let ports = Ports {
            key_value: Arc::new(KeyValuePort {
                way: way.clone(),
                service: self.key_value.clone(),
            }),
            machines: Arc::new(MachineListPort {
                way,
                list: self.machines.clone(),
            }),
            engine: back_ends.clone(),
            plain: back_ends,
            transport: Arc::new(SimTransport {
                network: self.network.clone(),
                endpoints: self.endpoints.clone(),
                place: place.clone(),
                traffic: node.traffic.clone(),
            }),
            dispatch: dispatch.clone(),
            wall_clock: wall_clock.clone(),
            seed: self.seed ^ ((number as u64 + 1) << 20) ^ node.starts,
        };
        let identity = NodeIdentity {
            name: node.name.clone(),
            zone: node.zone.clone(),
            peer_address: node.address,
            incarnation: wall_clock() * 8 + node.starts,
        };
        let tuning = NodeTuning {
            membership: MembershipConfig {
                seeds,
                ..self.tuning.membership.clone()
            },
            ..self.tuning.clone()
        };
        let running = Node::start(identity, ports, tuning);
        let endpoint = Endpoint {
            kernel: running.kernel.clone(),
            dispatch,
            place,
            traffic: node.traffic.clone(),
        };
        self.endpoints.put(node.address, endpoint);
        node.running = Some(running);
        node.accepts = true;
    }

    /// Ends node `number` at once.
    pub fn kill_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        self.endpoints.remove(node.address);
        node.accepts = false;
        if let Some(running) = node.running.take() {
            running.kill();
        }
    }

    /// The running nodes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(number, node)| Some((number, node.running.as_ref()?)))
    }

    /// The wall clock of the world.
    pub fn wall_clock(&self) -> Arc<dyn Fn() -> u64 + Send + Sync> {
        let started = self.started;
        Arc::new(move || EPOCH_MILLISECONDS + started.elapsed().as_millis() as u64)
    }

    /// A new incarnation for a back end, larger than all before.
    pub fn next_incarnation(&self) -> Incarnation {
        Incarnation(self.wall_clock()())
    }

    /// Addresses of a few other nodes, the same ones for all.
    fn seeds(&self, number: usize) -> Vec<SocketAddr> {
        let step = (self.nodes.len() / SEEDS).max(1);
        let nodes = self.nodes.iter().enumerate().step_by(step);
        nodes
            .filter(|(other, _)| *other != number)
            .map(|(_, node)| node.address)
            .collect()
    }
}
