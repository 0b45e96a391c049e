//! All stand-ins of one site behind real sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use barleyspar_domain::{Incarnation, RunnerName, ServiceKind};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::history::History;
use crate::site::{Service, Site};
use crate::standins::decode::EngineSpeeds;
use crate::standins::engine::EngineStandIn;
use crate::standins::http::{
    ANY_PORT, Listening, engine_routes, key_value_routes, machine_routes, plain_routes, serve,
};
use crate::standins::key_value::KeyValueStandIn;
use crate::standins::machines::MachineListStandIn;
use crate::standins::plain::PlainRecord;
use crate::standins::violations::Violations;
use crate::standins::weight_store::WeightStore;

/// The stand-ins of one site.
pub struct Platform {
    /// Violations that stand-ins saw.
    pub violations: Violations,
    /// What stand-ins saw.
    pub history: History,
    /// Engines by name.
    pub engines: BTreeMap<RunnerName, EngineStandIn>,
    /// Key-value service.
    pub key_value: KeyValueStandIn,
    /// Machine list.
    pub machines: MachineListStandIn,
    /// What plain services ran.
    pub plain: PlainRecord,
    /// Weight store.
    pub store: WeightStore,
    /// Where the key-value service listens.
    pub key_value_address: SocketAddr,
    /// Where the machine list listens.
    pub machines_address: SocketAddr,
    /// The listeners by runner.
    pub listeners: BTreeMap<RunnerName, Listening>,
}

/// Milliseconds since the Unix epoch.
pub fn now_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

impl Platform {
    /// Starts all stand-ins of `site` on loopback; the key-value service and
    /// the machine list at the given addresses.
    pub async fn start(
        site: &Site,
        seed: u64,
        key_value_address: SocketAddr,
        machines_address: SocketAddr,
    ) -> std::io::Result<Self> {
        let speeds = EngineSpeeds::default();
        Self::start_with(site, seed, key_value_address, machines_address, speeds).await
    }

    /// The same with engines of these speeds.
    pub async fn start_with(
        site: &Site,
        seed: u64,
        key_value_address: SocketAddr,
        machines_address: SocketAddr,
        speeds: EngineSpeeds,
    ) -> std::io::Result<Self> {
        let violations = Violations::default();
        let history = History::default();
        let store = WeightStore::new(site.store_rates());
        let key_value = KeyValueStandIn::new(site.key_value.operations_per_second, seed);
        let lag = Duration::from_secs_f64(site.machine_list.lag_seconds);
        let mut platform = Self {
            machines: MachineListStandIn::new(Vec::new(), lag),
            plain: PlainRecord::new(violations.clone(), history.clone()),
            violations,
            history,
            engines: BTreeMap::new(),
            key_value_address,
            machines_address,
            key_value,
            store,
            listeners: BTreeMap::new(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut machines = Vec::new();
        for service in &site.service {
            machines.extend(
                platform
                    .start_service(site, service, speeds, &mut random)
                    .await?,
            );
        }
        platform.machines = MachineListStandIn::new(machines, lag);
        let listening = serve(key_value_address, key_value_routes(&platform.key_value)).await?;
        platform.key_value_address = listening.address;
        let listening = serve(machines_address, machine_routes(&platform.machines)).await?;
        platform.machines_address = listening.address;
        Ok(platform)
    }

    async fn start_service(
        &mut self,
        site: &Site,
        service: &Service,
        speeds: EngineSpeeds,
        random: &mut ChaCha8Rng,
    ) -> std::io::Result<Vec<barleyspar_domain::RunnerRecord>> {
        let incarnation = Incarnation(now_milliseconds());
        let mut records = site.runners(service, incarnation, |_| ANY_PORT);
        for record in &mut records {
            let listening = match service.kind {
                ServiceKind::Model => {
                    let engine = EngineStandIn::new(
                        record.name.clone(),
                        incarnation,
                        record.memory_bytes,
                        speeds,
                        self.store.clone(),
                        site.cached(random),
                        self.violations.clone(),
                        self.history.clone(),
                    );
                    let listening = serve(ANY_PORT, engine_routes(&engine)).await?;
                    self.engines.insert(record.name.clone(), engine);
                    listening
                }
                ServiceKind::Plain => {
                    serve(ANY_PORT, plain_routes(&self.plain, &record.name)).await?
                }
            };
            record.address = listening.address;
            self.listeners.insert(record.name.clone(), listening);
        }
        Ok(records)
    }

    /// Hours during which engines held some model but ran nothing.
    pub fn idle_accelerator_hours(&self) -> f64 {
        let engines = self.engines.values();
        let seconds: f64 = engines.map(|e| e.figures().idle_seconds).sum();
        seconds / 3600.0
    }

    /// Model loads begun at all engines.
    pub fn loads(&self) -> u64 {
        self.engines.values().map(|e| e.figures().loads).sum()
    }
}
