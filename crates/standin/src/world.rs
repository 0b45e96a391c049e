//! A site: store, runners and gateways on one network.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{
    Backend, Bounds, ClientLimits, ColdBounds, Configuration, Credential, EngineSpec, LoadedModel,
    MachineLimits, ModelSpec, NodeSettings, QuotaBounds, RequestKind, Route, Runner, RunnerState,
    Service, Tenant, WeightCopies, incarnation_id,
};
use barleyspar_gateway::{ByteStream, Gateway, PlacementOptions, TaskGroup};
use barleyspar_loading::Switches;
use barleyspar_policy::Program;
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::client::{Answer, Asked, USUAL_DEADLINE, ask};
use crate::dialect::{NativeDialect, encode, names};
use crate::network::MemoryNetwork;
use crate::runner::RunnerStandIn;
use crate::store::StoreStandIn;

const CALLER_PORT: u16 = 80;
const READINESS_PORT: u16 = 81;
const PEER_PORT: u16 = 82;
const FIGURES_PORT: u16 = 83;
const ZONE: &str = "zone";
const STORE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)), 1);
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 9, 9, 9));

/// A site.
pub struct World {
    /// The network.
    pub network: MemoryNetwork,
    /// The store.
    pub store: StoreStandIn,
    /// Runners by id.
    pub runners: BTreeMap<String, RunnerStandIn>,
    gateways: BTreeMap<u8, GatewayProcess>,
    configuration: Configuration,
}

/// A gateway that can be killed whole.
struct GatewayProcess {
    gateway: Arc<Gateway>,
    tasks: TaskGroup,
}

impl World {
    /// A site with `services` and `routes`, and no runner or gateway yet.
    pub fn new(services: Vec<Service>, routes: Vec<Route>) -> Self {
        let network = MemoryNetwork::default();
        let store = StoreStandIn::default();
        store.serve(&network, STORE);
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        let configuration = Configuration {
            version: 1,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            limits: ClientLimits::default(),
            tenants: Vec::new(),
        };
        let world = Self {
            network,
            store,
            runners: BTreeMap::new(),
            gateways: BTreeMap::new(),
            configuration,
        };
        world.publish();
        world
    }

    fn publish(&self) {
        self.store
            .put(names::CONFIGURATION_KEY, encode(&self.configuration));
    }

    /// Changes the configuration; its version rises.
    pub fn configure(&mut self, change: impl FnOnce(&mut Configuration)) {
        change(&mut self.configuration);
        self.configuration.version += 1;
        self.publish();
    }

    /// Takes the configuration away, as if the operators had not written one yet.
    pub fn withdraw_configuration(&self) {
        self.store.remove(names::CONFIGURATION_KEY);
    }

    /// The configuration as the operators wrote it last.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Starts a runner of `service` that holds `models`, in the gateways' zone.
    pub fn start_runner(&mut self, id: &str, service: &str, models: &[&str]) -> RunnerStandIn {
        self.start_runner_in(ZONE, id, service, models)
    }

    /// Starts a runner of `service` that holds `models`, in `zone`.
    pub fn start_runner_in(
        &mut self,
        zone: &str,
        id: &str,
        service: &str,
        models: &[&str],
    ) -> RunnerStandIn {
        let number = self.runners.len() as u8 + 1;
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 2, 0, number)), 7000);
        let service = self.configuration.services[service].clone();
        let runner = RunnerStandIn::start(
            &self.network,
            &self.store,
            &service,
            id,
            (address, zone),
            models,
        );
        self.runners.insert(id.to_owned(), runner.clone());
        runner
    }

    /// Enters `count` runners of `service` into the store that hold two of its models
    /// and have copies of four: entries only, for what nodes keep of them.
    pub fn enter_runners(&self, service: &str, count: usize) {
        let service = &self.configuration.services[service];
        let engine = service.engine.as_ref().expect("it has an engine");
        let models: Vec<Arc<str>> = engine.models.keys().cloned().collect();
        for number in 0..count {
            let chosen = |step: usize| models[(number * 7 + step) % models.len()].clone();
            let name: Arc<str> = format!("i-{number:010x}").into();
            let held = (0..2).map(|step| LoadedModel {
                model: chosen(step),
                version: 1,
                adapters: Vec::new(),
            });
            let copies: Vec<Arc<str>> = (0..4).map(chosen).collect();
            let record = Runner {
                id: incarnation_id(&name, Some(1_774_062_070_535)),
                name,
                born: Some(1_774_062_070_535),
                service: service.name.clone(),
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1)), 7000),
                zone: ZONE.into(),
                slots: engine.slots,
                state: RunnerState::Available,
                remaining: None,
                warming: Duration::ZERO,
                heartbeat: 1,
                models: held.collect(),
                copies: WeightCopies {
                    memory: copies[..2].to_vec(),
                    disk: copies,
                },
            };
            let key = format!("{}{}", names::RUNNER_PREFIX, record.name);
            self.store.put(&key, encode(&record));
        }
    }

    /// Address of the store's host.
    pub fn store_host() -> IpAddr {
        STORE.ip()
    }

    /// Address of gateway `number`'s host.
    pub fn host(number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(10, 1, 0, number))
    }

    /// Wants nothing more to be sent to the runners of `zone`, or takes that back.
    pub fn evacuate(&self, zone: &str, evacuated: bool) {
        let key = format!("{}{zone}", names::EVACUATION_PREFIX);
        if evacuated {
            self.store.put(&key, Bytes::from_static(b"{}"));
        } else {
            self.store.remove(&key);
        }
    }

    /// Starts gateway `number` with bounds as `change` leaves them.
    pub async fn start_gateway_with(&mut self, number: u8, change: impl FnOnce(&mut Bounds)) {
        let mut settings = settings(number);
        change(&mut settings.bounds);
        let process = self.gateway_process(number, settings).await;
        self.gateways.insert(number, process);
    }

    /// Starts all gateways of `numbers` at the same moment.
    pub async fn start_gateways(&mut self, numbers: RangeInclusive<u8>) {
        let start = |number| self.gateway_process(number, settings(number));
        let started = join_all(numbers.clone().map(start)).await;
        self.gateways.extend(numbers.zip(started));
    }

    async fn gateway_process(&self, number: u8, settings: NodeSettings) -> GatewayProcess {
        let placing = PlacementOptions {
            policy: Program::compile(POLICY).expect("the policy is well formed"),
            switches: Switches::default(),
        };
        let network = self.network.host(Self::host(number));
        let (sender, started) = tokio::sync::oneshot::channel();
        let tasks = TaskGroup::default();
        tasks.spawn(async move {
            let gateway = Gateway::start(settings, Arc::new(NativeDialect), placing, network)
                .await
                .expect("the gateway starts");
            let _ = sender.send(Arc::new(gateway));
        });
        let gateway = started.await.expect("the gateway starts");
        GatewayProcess { gateway, tasks }
    }

    /// Starts gateway `number`.
    pub async fn start_gateway(&mut self, number: u8) {
        self.start_gateway_with(number, |_| {}).await;
    }

    /// Kills gateway `number`.
    pub fn kill_gateway(&mut self, number: u8) {
        if let Some(process) = self.gateways.remove(&number) {
            self.network.unbind(Self::host(number));
            process.tasks.kill();
        }
    }

    /// The running gateway `number`.
    pub fn gateway(&self, number: u8) -> Arc<Gateway> {
        self.gateways[&number].gateway.clone()
    }

    /// A caller's connection to gateway `number`.
    pub async fn connect(&self, number: u8) -> Box<dyn ByteStream> {
        let to = SocketAddr::new(Self::host(number), CALLER_PORT);
        let connected = self.network.host(CLIENT).connect(to).await;
        connected.expect("the gateway listens")
    }

    /// Asks gateway `number`.
    pub async fn ask(&self, number: u8, path: &str, id: &str, model: Option<&str>) -> Answer {
        self.ask_within(number, path, id, model, USUAL_DEADLINE)
            .await
    }

    /// Asks gateway `number`, waiting for `deadline` at most.
    pub async fn ask_within(
        &self,
        number: u8,
        path: &str,
        id: &str,
        model: Option<&str>,
        deadline: Duration,
    ) -> Answer {
        let to = SocketAddr::new(Self::host(number), CALLER_PORT);
        let asked = Asked {
            model,
            deadline,
            ..Asked::plain(CLIENT, to, path, id)
        };
        ask(&self.network, asked).await
    }

    /// Asks gateway `number` with this body, as in each try of the same request.
    pub async fn ask_body(
        &self,
        number: u8,
        path: &str,
        id: &str,
        model: Option<&str>,
        body: &str,
    ) -> Answer {
        let to = SocketAddr::new(Self::host(number), CALLER_PORT);
        let asked = Asked {
            model,
            body: Some(body),
            ..Asked::plain(CLIENT, to, path, id)
        };
        ask(&self.network, asked).await
    }

    /// Asks gateway `number` with headers of the caller's own.
    pub async fn ask_with(
        &self,
        number: u8,
        path: &str,
        id: &str,
        model: Option<&str>,
        extra: &[(&str, &str)],
    ) -> Answer {
        let to = SocketAddr::new(Self::host(number), CALLER_PORT);
        let asked = Asked {
            model,
            extra,
            ..Asked::plain(CLIENT, to, path, id)
        };
        ask(&self.network, asked).await
    }

    /// The status of gateway `number`'s readiness.
    pub async fn readiness(&self, number: u8) -> u16 {
        let to = SocketAddr::new(Self::host(number), READINESS_PORT);
        let asked = Asked::plain(CLIENT, to, names::READINESS_PATH, "readiness");
        ask(&self.network, asked).await.code()
    }

    /// Gateway `number`'s figure with this name; `None` if it tells none.
    pub async fn figure(&self, number: u8, name: &str) -> Option<f64> {
        let to = SocketAddr::new(Self::host(number), FIGURES_PORT);
        let asked = Asked::plain(CLIENT, to, "/metrics", "figures");
        let answer = ask(&self.network, asked).await;
        let text = String::from_utf8(answer.body.to_vec()).ok()?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Lets `time` pass.
    pub async fn pass(&self, time: Duration) {
        sleep(time).await;
    }

    /// Runs of the request `id` at all runners.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runners
            .values()
            .flat_map(RunnerStandIn::runs)
            .filter(|run| run.request_id == id)
            .count()
    }

    /// Runners that hold `model`.
    pub fn replicas(&self, model: &str) -> usize {
        self.runners
            .values()
            .filter(|runner| runner.holds(model))
            .count()
    }
}

/// A site's gateways end with it: a test that plays many sites pays for one at a time.
impl Drop for World {
    fn drop(&mut self) {
        for process in self.gateways.values() {
            process.tasks.kill();
        }
    }
}

/// One replica, and one more if it cannot be reached.
const POLICY: &str = "fn decide(context) { #{ replicas: 2, target: 1 } }";

fn settings(number: u8) -> NodeSettings {
    let at = |port| SocketAddr::new(World::host(number), port);
    NodeSettings {
        name: format!("gateway-{number}").into(),
        zone: ZONE.into(),
        regions: BTreeMap::from([
            (ZONE.into(), "region".into()),
            ("far".into(), "elsewhere".into()),
        ]),
        caller_address: at(CALLER_PORT),
        readiness_address: at(READINESS_PORT),
        peer_address: at(PEER_PORT),
        metrics_address: Some(at(FIGURES_PORT)),
        store_address: STORE,
        minimum_lease: Duration::from_secs(1),
        limits: MachineLimits {
            memory_bytes: 256_000_000,
            descriptors: 4096,
            link_megabits: 1000,
        },
        bounds: Bounds {
            grace_period: Duration::from_secs(8),
            configuration_apply_time: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 50.0,
            lease_duration: Duration::from_secs(3),
            fencing_enforced: true,
            load_window: Duration::from_secs(5),
            load_overage: 1.1,
            revocation_time: None,
            quota: QuotaBounds {
                window: Duration::from_secs(8),
                overage: 0.1,
                tolerance: 1000.0,
            },
            evacuation_time: Some(Duration::from_secs(2)),
            cold: ColdBounds {
                overage: 1.5,
                tolerance: 5.0,
            },
        },
    }
}

/// A plain service.
pub fn plain_service(name: &str) -> Service {
    Service {
        name: name.into(),
        connection_limit: 100,
        engine: None,
        cold: None,
    }
}

/// A model service whose runners hold two of `models`.
pub fn engine_service(name: &str, models: &[&str]) -> Service {
    Service {
        name: name.into(),
        connection_limit: 300,
        engine: Some(EngineSpec {
            slots: 64,
            cache_tokens: 100_000,
            memory_mb: 100.0,
            adapter_capacity: 8,
            loads_per_second: 5.0,
            models: models
                .iter()
                .map(|name| (Arc::from(*name), model()))
                .collect(),
        }),
        cold: None,
    }
}

/// A model that takes a second to load.
pub fn model() -> ModelSpec {
    ModelSpec {
        weights_mb: 45.0,
        remote_load: Duration::from_secs(1),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
        adapter_mb: 1.0,
    }
}

/// A tenant whose callers know `secret`.
pub fn tenant(name: &str, secret: &str) -> Tenant {
    Tenant {
        name: name.into(),
        credentials: vec![Credential::of(secret.as_bytes())],
        priority: None,
        quota: None,
        regions: Vec::new(),
    }
}

/// A route from a path to a service.
pub fn route(path: &str, service: &str, kind: RequestKind) -> Route {
    let streams = kind == RequestKind::Streaming;
    Route {
        name: path.into(),
        host: "host".into(),
        path_prefix: path.into(),
        kind,
        timeout: Some(Duration::from_secs(15)),
        target_latency: Some(Duration::from_millis(if streams { 2000 } else { 150 })),
        target_gap: streams.then_some(Duration::from_millis(300)),
        stream_patience: streams.then_some(Duration::from_secs(8)),
        priority: 1,
        backends: vec![Backend {
            service: service.into(),
            weight: 1,
        }],
        maximum_attempts: 2,
        resumable: streams,
        public: false,
        regions: Vec::new(),
    }
}
