//! Injects faults into a world and ends them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use barleyspar_domain::{RunnerKind, RunnerRecord, RunnerState, ZoneName};
use tokio::time::Instant;

use super::lock;
use super::plan::{Fault, FaultKind};
use crate::history::Event;
use crate::sim::network::{LinkQuality, Place};
use crate::sim::world::World;
use crate::site::Site;
use crate::standins::weight_store::WeightStore;

/// A planned stop gives requests in flight this long.
const DRAIN_LIMIT: Duration = Duration::from_secs(120);
/// A reclaimed machine goes this long after its notice.
const NOTICE: Duration = Duration::from_secs(25);
const SLOW_STORE: f64 = 8.0;
const SLOW_KEY_VALUE: Duration = Duration::from_secs(3);
const LOST_ANSWERS: f64 = 0.4;
const BAD_LOSS: f64 = 0.1;
const BAD_DUPLICATES: f64 = 0.2;
const BAD_JITTER: Duration = Duration::from_millis(80);

struct Running {
    fault: Fault,
    ends: Instant,
}

/// What a fault occupies, so that no other one meets it at the same time.
type BusyKey = (&'static str, usize);

/// Injects faults.
pub struct Injector {
    world: Arc<Mutex<World>>,
    store: WeightStore,
    records: Vec<RunnerRecord>,
    zones: Vec<ZoneName>,
    good: LinkQuality,
    running: Vec<Running>,
    busy: Arc<Mutex<BTreeSet<BusyKey>>>,
    counts: BTreeMap<&'static str, u64>,
}

impl Injector {
    /// An injector for `world`.
    pub fn new(
        world: Arc<Mutex<World>>,
        store: WeightStore,
        records: Vec<RunnerRecord>,
        site: &Site,
    ) -> Self {
        let good = lock(&world).network.quality();
        Self {
            world,
            store,
            records,
            zones: site.zone.iter().map(|zone| zone.name.clone()).collect(),
            good,
            running: Vec::new(),
            busy: Arc::default(),
            counts: BTreeMap::new(),
        }
    }

    /// Faults injected so far, by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.clone()
    }

    /// Begins `fault` unless its target has one already.
    pub fn begin(&mut self, fault: &Fault) {
        let mut fault = fault.clone();
        fault.target %= self.targets(fault.kind).max(1);
        if !lock(&self.busy).insert(busy_key(&fault)) {
            return;
        }
        *self.counts.entry(fault.kind.as_str()).or_default() += 1;
        self.note(&fault, "begins");
        self.start(&fault);
        let ends = Instant::now() + fault.lasts;
        self.running.push(Running { fault, ends });
    }

    /// Ends the faults whose time is over.
    pub fn end_due(&mut self) {
        let now = Instant::now();
        let (due, running): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.ends <= now);
        self.running = running;
        for over in due {
            self.end(&over.fault);
        }
    }

    /// Ends all faults.
    pub fn end_all(&mut self) {
        for over in std::mem::take(&mut self.running) {
            self.end(&over.fault);
        }
    }

    fn note(&self, fault: &Fault, what: &str) {
        let what = format!("{} {} {what}", fault.kind.as_str(), fault.target);
        lock(&self.world).history.record(Event::Fault { what });
    }

    fn targets(&self, kind: FaultKind) -> usize {
        match kind {
            FaultKind::NodeKilled | FaultKind::NodeFrozen | FaultKind::NodeStopped => {
                lock(&self.world).nodes.len()
            }
            FaultKind::EngineKilled | FaultKind::EngineReclaimed => {
                self.of_kind(RunnerKind::Engine).len()
            }
            FaultKind::PlainKilled => self.of_kind(RunnerKind::Plain).len(),
            FaultKind::ZoneCutOff | FaultKind::OneWayCut => self.zones.len(),
            FaultKind::StoreSlow
            | FaultKind::KeyValueDown
            | FaultKind::KeyValueSlow
            | FaultKind::KeyValueLosesAnswers
            | FaultKind::ListDown
            | FaultKind::NetworkBad => 1,
        }
    }

    fn of_kind(&self, kind: RunnerKind) -> Vec<&RunnerRecord> {
        let records = self.records.iter();
        records.filter(|record| record.kind == kind).collect()
    }

    fn start(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::NodeKilled => self.kill_node(fault.target),
            FaultKind::NodeFrozen => self.freeze_node(fault.target),
            FaultKind::NodeStopped => self.stop_node(fault.target),
            FaultKind::EngineKilled => self.kill_engine(fault.target),
            FaultKind::EngineReclaimed => self.reclaim_engine(fault.target),
            FaultKind::PlainKilled => self.set_plain(fault.target, false),
            FaultKind::StoreSlow => self.store.slow_down(SLOW_STORE),
            FaultKind::KeyValueDown => lock(&self.world).key_value.set_down(true),
            FaultKind::KeyValueSlow => lock(&self.world).key_value.set_delay(SLOW_KEY_VALUE),
            FaultKind::KeyValueLosesAnswers => {
                lock(&self.world).key_value.set_lost_answers(LOST_ANSWERS);
            }
            FaultKind::ListDown => lock(&self.world).machines.set_down(true),
            FaultKind::ZoneCutOff => self.cut_zone(fault.target),
            FaultKind::OneWayCut => self.cut_one_way(fault.target, fault.other),
            FaultKind::NetworkBad => {
                lock(&self.world).network.set_quality(LinkQuality {
                    loss: BAD_LOSS,
                    duplicates: BAD_DUPLICATES,
                    jitter: BAD_JITTER,
                    ..self.good
                });
            }
        }
    }

    fn end(&mut self, fault: &Fault) {
        if fault.kind != FaultKind::NodeStopped {
            lock(&self.busy).remove(&busy_key(fault));
        }
        self.note(fault, "ends");
        match fault.kind {
            FaultKind::NodeKilled => self.restart_node(fault.target),
            FaultKind::NodeFrozen => self.thaw_node(fault.target),
            FaultKind::NodeStopped => {}
            FaultKind::EngineKilled | FaultKind::EngineReclaimed => {
                self.revive_engine(fault.target);
            }
            FaultKind::PlainKilled => self.set_plain(fault.target, true),
            FaultKind::StoreSlow => self.store.slow_down(1.0),
            FaultKind::KeyValueDown => lock(&self.world).key_value.set_down(false),
            FaultKind::KeyValueSlow => lock(&self.world).key_value.set_delay(Duration::ZERO),
            FaultKind::KeyValueLosesAnswers => lock(&self.world).key_value.set_lost_answers(0.0),
            FaultKind::ListDown => lock(&self.world).machines.set_down(false),
            FaultKind::ZoneCutOff => self.mend_zone(fault.target),
            FaultKind::OneWayCut => self.mend_one_way(fault.target, fault.other),
            FaultKind::NetworkBad => lock(&self.world).network.set_quality(self.good),
        }
    }

    // --- nodes -----------------------------------------------------------------

    fn impaired(&self, number: usize) {
        let world = lock(&self.world);
        let node = world.nodes[number].name.to_string();
        world.history.record(Event::NodeImpaired { node });
    }

    fn restored(&self, number: usize) {
        let world = lock(&self.world);
        let node = world.nodes[number].name.to_string();
        world.history.record(Event::NodeRestored { node });
    }

    fn kill_node(&self, number: usize) {
        self.impaired(number);
        lock(&self.world).kill_node(number);
    }

    fn restart_node(&self, number: usize) {
        lock(&self.world).start_node(number);
        self.restored(number);
    }

    fn freeze_node(&self, number: usize) {
        self.impaired(number);
        if let Some(node) = &lock(&self.world).nodes[number].running {
            node.kernel.gate().close();
        }
    }

    fn thaw_node(&self, number: usize) {
        if let Some(node) = &lock(&self.world).nodes[number].running {
            node.kernel.gate().open();
        }
        self.restored(number);
    }

    /// Stops a node as SIGTERM would, and starts it again when it has stopped.
    /// The node stays busy until then, so that no other fault meets it.
    fn stop_node(&mut self, number: usize) {
        let world = Arc::clone(&self.world);
        let (node, name) = {
            let mut world = lock(&world);
            let node = &mut world.nodes[number];
            node.accepts = false;
            (node.running.clone(), node.name.to_string())
        };
        let Some(node) = node else { return };
        let busy = Arc::clone(&self.busy);
        tokio::spawn(async move {
            let begins = Event::StopBegins { node: name.clone() };
            lock(&world).history.record(begins);
            let cut = node.drain(DRAIN_LIMIT).await;
            let mut world = lock(&world);
            world.history.record(Event::StopEnds {
                node: name.clone(),
                cut,
            });
            world
                .history
                .record(Event::NodeImpaired { node: name.clone() });
            world.kill_node(number);
            world.start_node(number);
            world.history.record(Event::NodeRestored { node: name });
            lock(&busy).remove(&("node", number));
        });
    }

    // --- back ends ---------------------------------------------------------------

    fn kill_engine(&self, number: usize) {
        let record = self.of_kind(RunnerKind::Engine)[number].clone();
        let world = lock(&self.world);
        if let Some(engine) = world.engines.get(&record.name) {
            engine.die();
        }
        world.machines.remove(&record.name);
    }

    fn reclaim_engine(&self, number: usize) {
        let record = self.of_kind(RunnerKind::Engine)[number].clone();
        let world = lock(&self.world);
        world.machines.mark_leaving(&record.name);
        let Some(engine) = world.engines.get(&record.name).cloned() else {
            return;
        };
        engine.leave();
        let machines = world.machines.clone();
        let incarnation = machines.incarnation(&record.name);
        tokio::spawn(async move {
            tokio::time::sleep(NOTICE).await;
            if machines.incarnation(&record.name) == incarnation {
                engine.die();
                machines.remove(&record.name);
            }
        });
    }

    fn revive_engine(&self, number: usize) {
        let record = self.of_kind(RunnerKind::Engine)[number].clone();
        let world = lock(&self.world);
        let incarnation = world.next_incarnation();
        if let Some(engine) = world.engines.get(&record.name) {
            engine.die();
            engine.revive(incarnation);
        }
        world.machines.put(RunnerRecord {
            incarnation,
            state: RunnerState::Live,
            ..record
        });
    }

    fn set_plain(&self, number: usize, alive: bool) {
        let record = self.of_kind(RunnerKind::Plain)[number].clone();
        lock(&self.world).set_plain_alive(&record, alive);
    }

    // --- network -----------------------------------------------------------------

    fn others(&self, zone: usize) -> Vec<Place> {
        let zones = self.zones.iter().enumerate();
        let others = zones.filter(|(number, _)| *number != zone);
        let mut places: Vec<Place> = others.map(|(_, z)| Place::Zone(z.clone())).collect();
        places.push(Place::Platform);
        places
    }

    fn cut_zone(&self, zone: usize) {
        let here = Place::Zone(self.zones[zone].clone());
        let world = lock(&self.world);
        for other in self.others(zone) {
            world.network.cut(here.clone(), other.clone());
            world.network.cut(other, here.clone());
        }
        for node in world.nodes.iter().filter(|n| n.zone == self.zones[zone]) {
            let node = node.name.to_string();
            world.history.record(Event::NodeCutOff { node });
        }
        let zone = self.zones[zone].to_string();
        world.history.record(Event::ZoneCutOff { zone });
    }

    fn mend_zone(&self, zone: usize) {
        let here = Place::Zone(self.zones[zone].clone());
        let world = lock(&self.world);
        for other in self.others(zone) {
            world.network.mend(&here, &other);
            world.network.mend(&other, &here);
        }
        for node in world.nodes.iter().filter(|n| n.zone == self.zones[zone]) {
            let node = node.name.to_string();
            world.history.record(Event::NodeRejoined { node });
        }
        let zone = self.zones[zone].to_string();
        world.history.record(Event::ZoneRejoined { zone });
    }

    fn one_way(&self, zone: usize, other: usize) -> (Place, Place) {
        let to = (zone + other) % self.zones.len();
        let place = |number: usize| Place::Zone(self.zones[number].clone());
        (place(zone), place(to))
    }

    fn cut_one_way(&self, zone: usize, other: usize) {
        let (from, to) = self.one_way(zone, other);
        lock(&self.world).network.cut(from, to);
    }

    fn mend_one_way(&self, zone: usize, other: usize) {
        let (from, to) = self.one_way(zone, other);
        lock(&self.world).network.mend(&from, &to);
    }
}

/// Faults that must not meet the same target at the same time share a key.
fn busy_key(fault: &Fault) -> BusyKey {
    match fault.kind {
        FaultKind::NodeKilled | FaultKind::NodeFrozen | FaultKind::NodeStopped => {
            ("node", fault.target)
        }
        FaultKind::EngineKilled | FaultKind::EngineReclaimed => ("engine", fault.target),
        FaultKind::ZoneCutOff | FaultKind::OneWayCut => ("zone", 0),
        other => (other.as_str(), fault.target),
    }
}
