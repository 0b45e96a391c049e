//! A simulated site: the store, runners and gateways on one network.

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
use barleyspar_domain::Switches;
use barleyspar_gateway::{ByteStream, Gateway, PlacementOptions, TaskGroup};
use barleyspar_policy::Program;
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::client::{Answer, ClientRequest, DEFAULT_DEADLINE, send_request};
use crate::dialect::{NativeDialect, encode, names};
use crate::network::MemoryNetwork;
use crate::runner::RunnerStandIn;
use crate::store::StoreStandIn;
use crate::stream_client::{FollowedStream, StreamClient};

const CALLER_PORT: u16 = 80;
const READINESS_PORT: u16 = 81;
const PEER_PORT: u16 = 82;
const METRICS_PORT: u16 = 83;
const TUNNEL_PORT: u16 = 84;
/// Zone of all gateways.
const ZONE: &str = "zone";
const STORE_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)), 1);
/// Host from which all clients connect.
const CLIENT_HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 9, 9, 9));

/// A simulated site: the store, runners and gateways on one network.
pub struct World {
    /// In-memory network that connects clients, gateways, runners and the store; tests cut and
    /// stall its connections.
    pub network: MemoryNetwork,
    /// Key-value store that holds the configuration and the entries of runners and gateways.
    pub store: StoreStandIn,
    /// Runners by name, including crashed and draining ones.
    pub runners: BTreeMap<String, RunnerStandIn>,
    /// Running gateways by number.
    gateways: BTreeMap<u8, GatewayProcess>,
    configuration: Configuration,
    /// Mechanisms that gateways are started without.
    switches: Switches,
}

/// A gateway and its tasks, all of which end when it is killed.
struct GatewayProcess {
    gateway: Arc<Gateway>,
    tasks: TaskGroup,
}

impl World {
    /// Returns a site with `services` and `routes`, and no runner or gateway yet.
    pub fn new(services: Vec<Service>, routes: Vec<Route>) -> Self {
        let network = MemoryNetwork::default();
        let store = StoreStandIn::default();
        store.serve(&network, STORE_ADDRESS);
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
            switches: Switches::default(),
        };
        world.publish_configuration();
        world
    }

    fn publish_configuration(&self) {
        self.store
            .put(names::CONFIGURATION_KEY, encode(&self.configuration));
    }

    /// Changes the configuration and writes it to the store with a higher version.
    pub fn configure(&mut self, change: impl FnOnce(&mut Configuration)) {
        change(&mut self.configuration);
        self.configuration.version += 1;
        self.publish_configuration();
        self.list_models();
    }

    /// Makes the running engines load models with the sizes and times that are listed now.
    fn list_models(&self) {
        for runner in self.runners.values() {
            let service = self.configuration.services.get(&runner.service());
            if let Some(listed) = service.and_then(|service| service.engine.as_ref()) {
                runner.list_models(listed);
            }
        }
    }

    /// Removes the configuration from the store, as if the operators had not written one yet.
    pub fn remove_configuration(&self) {
        self.store.remove(names::CONFIGURATION_KEY);
    }

    /// Returns the configuration as the operators wrote it last.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Starts a runner of `service` with `models` loaded, in the gateways' zone.
    pub fn start_runner(&mut self, id: &str, service: &str, models: &[&str]) -> RunnerStandIn {
        self.start_runner_in_zone(ZONE, id, service, models)
    }

    /// Starts a runner of `service` with `models` loaded, in `zone`.
    pub fn start_runner_in_zone(
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

    /// Writes entries of `count` runners of `service` to the store. Each has two models loaded
    /// and weight copies of four models on disk, of two of them also in memory. The runners do
    /// not exist: nothing listens at their address.
    pub fn add_runner_entries(&self, service: &str, count: usize) {
        let service = &self.configuration.services[service];
        let engine = service.engine.as_ref().expect("the service has an engine");
        let models: Vec<Arc<str>> = engine.models.keys().cloned().collect();
        for number in 0..count {
            let nth_model = |step: usize| models[(number * 7 + step) % models.len()].clone();
            let name: Arc<str> = format!("i-{number:010x}").into();
            let loaded = (0..2).map(|step| LoadedModel {
                model: nth_model(step),
                version: 1,
                adapters: Vec::new(),
            });
            let copies: Vec<Arc<str>> = (0..4).map(nth_model).collect();
            let record = Runner {
                id: incarnation_id(&name, Some(1_774_062_070_535)),
                name,
                born: Some(1_774_062_070_535),
                service: service.name.clone(),
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1)), 7000),
                zone: ZONE.into(),
                software: Default::default(),
                slots: engine.slots,
                state: RunnerState::Available,
                remaining: None,
                warming: Duration::ZERO,
                heartbeat: 1,
                models: loaded.collect(),
                copies: WeightCopies {
                    memory: copies[..2].to_vec(),
                    disk: copies,
                },
            };
            let key = format!("{}{}", names::RUNNER_PREFIX, record.name);
            self.store.put(&key, encode(&record));
        }
    }

    /// Returns the address at which the store listens.
    pub fn store_address() -> SocketAddr {
        STORE_ADDRESS
    }

    /// Returns the address of the store's host, for faults of the network.
    pub fn store_host() -> IpAddr {
        STORE_ADDRESS.ip()
    }

    /// Returns the address of the host of gateway `number`.
    pub fn gateway_host(number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(10, 1, 0, number))
    }

    /// Starts or ends the evacuation of `zone`: no request is to be sent to its runners.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let key = format!("{}{zone}", names::EVACUATION_PREFIX);
        if evacuated {
            self.store.put(&key, Bytes::from_static(b"{}"));
        } else {
            self.store.remove(&key);
        }
    }

    /// Starts further gateways without the mechanisms in `names`, separated by commas.
    pub fn switch_off(&mut self, names: &str) {
        self.switches = names.parse().expect("the mechanisms exist");
    }

    /// Starts gateway `number` with the default bounds, changed by `change`.
    pub async fn start_gateway_with_bounds(
        &mut self,
        number: u8,
        change: impl FnOnce(&mut Bounds),
    ) {
        let mut settings = settings(number);
        change(&mut settings.bounds);
        let process = self.start_process(number, settings).await;
        self.gateways.insert(number, process);
    }

    /// Starts the gateways with these numbers at the same time, with the default bounds, and
    /// waits until all of them listen.
    pub async fn start_gateways(&mut self, numbers: RangeInclusive<u8>) {
        let start = |number| self.start_process(number, settings(number));
        let started = join_all(numbers.clone().map(start)).await;
        self.gateways.extend(numbers.zip(started));
    }

    /// Starts a gateway within a task group, so that all its tasks can be killed.
    async fn start_process(&self, number: u8, settings: NodeSettings) -> GatewayProcess {
        let placing = PlacementOptions {
            policy: Program::compile(POLICY).expect("the policy is well formed"),
            switches: self.switches.clone(),
        };
        let network = self.network.host(Self::gateway_host(number));
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

    /// Starts gateway `number` with the default bounds, and waits until it listens.
    pub async fn start_gateway(&mut self, number: u8) {
        self.start_gateway_with_bounds(number, |_| {}).await;
    }

    /// Kills gateway `number` with all its tasks, without a drain. Does nothing if it does not
    /// run.
    pub fn kill_gateway(&mut self, number: u8) {
        if let Some(process) = self.gateways.remove(&number) {
            self.network.unbind(Self::gateway_host(number));
            process.tasks.kill();
        }
    }

    /// Makes gateway `number` stand still until [`Self::resume_gateway`]. It keeps its
    /// connections, and what arrives waits to be read.
    pub fn pause_gateway(&self, number: u8) {
        self.gateways[&number].tasks.pause();
    }

    /// Lets gateway `number` go on.
    pub fn resume_gateway(&self, number: u8) {
        self.gateways[&number].tasks.resume();
    }

    /// Returns gateway `number`. Panics if it is not running.
    pub fn gateway(&self, number: u8) -> Arc<Gateway> {
        self.gateways[&number].gateway.clone()
    }

    /// Opens a client's connection to gateway `number`.
    pub async fn connect(&self, number: u8) -> Box<dyn ByteStream> {
        let to = SocketAddr::new(Self::gateway_host(number), CALLER_PORT);
        let connected = self.network.host(CLIENT_HOST).connect(to).await;
        connected.expect("the gateway listens")
    }

    /// Sends a request to gateway `number` and returns the answer. `id` is the request id and
    /// the body; `model` is `None` for a plain request.
    pub async fn request(&self, number: u8, path: &str, id: &str, model: Option<&str>) -> Answer {
        self.request_with_deadline(number, path, id, model, DEFAULT_DEADLINE)
            .await
    }

    /// Starts a request to the gateway, path and model in `to`, in a task of its own that returns
    /// the answer; otherwise as [`Self::request`].
    pub fn spawn_request(
        &self,
        to: (u8, &'static str, Option<&'static str>),
        id: &str,
    ) -> JoinHandle<Answer> {
        self.spawn_request_with_headers(to, id, Vec::new())
    }

    /// Starts a request with further headers, otherwise as [`Self::spawn_request`].
    pub fn spawn_request_with_headers(
        &self,
        (number, path, model): (u8, &'static str, Option<&'static str>),
        id: &str,
        extra: Vec<(&'static str, &'static str)>,
    ) -> JoinHandle<Answer> {
        let to = SocketAddr::new(Self::gateway_host(number), CALLER_PORT);
        let (network, id) = (self.network.clone(), id.to_owned());
        tokio::spawn(async move {
            let client_request = ClientRequest {
                model,
                extra: &extra,
                ..ClientRequest::plain(CLIENT_HOST, to, path, &id)
            };
            send_request(&network, client_request).await
        })
    }

    /// Sends a request with this deadline to gateway `number`, otherwise as [`Self::request`].
    /// Only the gateway enforces the deadline; the client waits for the answer without a limit.
    pub async fn request_with_deadline(
        &self,
        number: u8,
        path: &str,
        id: &str,
        model: Option<&str>,
        deadline: Duration,
    ) -> Answer {
        let to = SocketAddr::new(Self::gateway_host(number), CALLER_PORT);
        let client_request = ClientRequest {
            model,
            deadline,
            ..ClientRequest::plain(CLIENT_HOST, to, path, id)
        };
        send_request(&self.network, client_request).await
    }

    /// Sends a request with this body to gateway `number`, otherwise as [`Self::request`].
    /// Retries of the same request have the same body and different ids.
    pub async fn request_with_body(
        &self,
        number: u8,
        path: &str,
        id: &str,
        model: Option<&str>,
        body: &str,
    ) -> Answer {
        let to = SocketAddr::new(Self::gateway_host(number), CALLER_PORT);
        let client_request = ClientRequest {
            model,
            body: Some(body),
            ..ClientRequest::plain(CLIENT_HOST, to, path, id)
        };
        send_request(&self.network, client_request).await
    }

    /// Sends a request with further headers to gateway `number`, otherwise as
    /// [`Self::request`].
    pub async fn request_with_headers(
        &self,
        number: u8,
        path: &str,
        id: &str,
        model: Option<&str>,
        extra: &[(&str, &str)],
    ) -> Answer {
        let to = SocketAddr::new(Self::gateway_host(number), CALLER_PORT);
        let client_request = ClientRequest {
            model,
            extra,
            ..ClientRequest::plain(CLIENT_HOST, to, path, id)
        };
        send_request(&self.network, client_request).await
    }

    /// Takes the stream that the request `began_as` began up at gateway `number`, behind its third
    /// event. As all tries of a stream, it has the same body, here `began_as`.
    pub async fn take_up_stream(
        &self,
        number: u8,
        (path, model): (&str, &str),
        id: &str,
        began_as: &str,
    ) -> Answer {
        let to = SocketAddr::new(Self::gateway_host(number), CALLER_PORT);
        let client_request = ClientRequest {
            model: Some(model),
            body: Some(began_as),
            extra: &[(names::RESUMES, began_as), (names::AFTER_EVENT, "3")],
            ..ClientRequest::plain(CLIENT_HOST, to, path, id)
        };
        send_request(&self.network, client_request).await
    }

    /// Starts a client that follows one stream over its tries, in a task of its own. It sends
    /// them to `gateways` in turn; `id` begins their ids and is their body.
    pub fn spawn_stream(
        &self,
        gateways: &[u8],
        (path, model): (&'static str, &'static str),
        id: &str,
    ) -> JoinHandle<FollowedStream> {
        let to = gateways.iter().map(|number| Self::gateway_host(*number));
        let client = StreamClient {
            network: self.network.clone(),
            from: CLIENT_HOST,
            gateways: to.map(|host| SocketAddr::new(host, CALLER_PORT)).collect(),
            path,
            model,
            id: id.to_owned(),
        };
        tokio::spawn(client.follow())
    }

    /// Returns the status code of the readiness check of gateway `number`.
    pub async fn readiness_status(&self, number: u8) -> u16 {
        let to = SocketAddr::new(Self::gateway_host(number), READINESS_PORT);
        let client_request =
            ClientRequest::plain(CLIENT_HOST, to, names::READINESS_PATH, "readiness");
        send_request(&self.network, client_request).await.code()
    }

    /// Reads a metric of gateway `number`. `name` is the start of its line, with labels if it
    /// has any; `None` if there is no such line.
    pub async fn metric(&self, number: u8, name: &str) -> Option<f64> {
        let to = SocketAddr::new(Self::gateway_host(number), METRICS_PORT);
        let client_request = ClientRequest::plain(CLIENT_HOST, to, "/metrics", "metrics");
        let answer = send_request(&self.network, client_request).await;
        let text = String::from_utf8(answer.body.to_vec()).ok()?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Lets the site run for `time` of the tokio clock, which takes little real time in tests
    /// with a paused clock.
    pub async fn run_for(&self, time: Duration) {
        sleep(time).await;
    }

    /// Number of runs of the request `id`, over all runners.
    pub fn run_count(&self, id: &str) -> usize {
        self.runners
            .values()
            .flat_map(RunnerStandIn::runs)
            .filter(|run| run.request_id == id)
            .count()
    }

    /// Times at which requests with this part in their prompts crashed runners, in order.
    pub fn crash_times_by(&self, part: u64) -> Vec<Instant> {
        let runners = self.runners.values();
        let mut crashes: Vec<Instant> = runners
            .flat_map(|runner| runner.crash_times_by(part))
            .collect();
        crashes.sort();
        crashes
    }

    /// Times at which requests, or rejections, crashed runners, in order.
    pub fn crash_times(&self) -> Vec<Instant> {
        let runners = self.runners.values();
        let mut crashes: Vec<Instant> = runners.flat_map(RunnerStandIn::crash_times).collect();
        crashes.sort();
        crashes
    }

    /// Number of runners on which `model` is loaded.
    pub fn replica_count(&self, model: &str) -> usize {
        self.runners
            .values()
            .filter(|runner| runner.has_loaded(model))
            .count()
    }
}

/// Dropping a site kills its gateways, so that their tasks do not run on beside the next site
/// of the same test.
impl Drop for World {
    fn drop(&mut self) {
        for process in self.gateways.values() {
            process.tasks.kill();
        }
    }
}

/// Placement policy of all gateways: one replica of a model, and a second one if the first
/// cannot be reached.
const POLICY: &str = "fn decide(context) { #{ replicas: 2, target: 1 } }";

/// Bounds of a site, unless a test sets others.
pub fn default_bounds() -> Bounds {
    Bounds {
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
    }
}

/// Settings of gateway `number`, with the default bounds.
fn settings(number: u8) -> NodeSettings {
    let at = |port| SocketAddr::new(World::gateway_host(number), port);
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
        tunnel_address: at(TUNNEL_PORT),
        metrics_address: Some(at(METRICS_PORT)),
        store_address: STORE_ADDRESS,
        minimum_lease: Duration::from_secs(1),
        limits: MachineLimits {
            memory_bytes: 256_000_000,
            descriptors: 4096,
            link_megabits: 1000,
        },
        bounds: default_bounds(),
    }
}

/// Returns a service of plain runners, which take requests without a model.
pub fn plain_service(name: &str) -> Service {
    Service {
        name: name.into(),
        connection_limit: 100,
        engine: None,
        cold: None,
        health_path: None,
    }
}

/// Returns a service of model engines for `models`. An engine has memory for two of them.
pub fn engine_service(name: &str, models: &[&str]) -> Service {
    Service {
        name: name.into(),
        connection_limit: 300,
        engine: Some(EngineSpec {
            slots: 64.into(),
            cache_tokens: 100_000,
            memory_mb: 100.0,
            adapter_capacity: 8,
            loads_per_second: 5.0,
            models: models
                .iter()
                .map(|name| (Arc::from(*name), one_second_model()))
                .collect(),
        }),
        cold: None,
        health_path: None,
    }
}

/// Returns a model that takes one second to load from the weight store.
pub fn one_second_model() -> ModelSpec {
    ModelSpec {
        weights_mb: 45.0,
        remote_load: Duration::from_secs(1),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
        adapter_mb: 1.0,
    }
}

/// Returns a tenant whose callers authenticate with `secret`, without a quota.
pub fn tenant(name: &str, secret: &str) -> Tenant {
    Tenant {
        name: name.into(),
        credentials: vec![Credential::of(secret.as_bytes())],
        priority: None,
        quota: None,
        regions: Vec::new(),
    }
}

/// Returns a route from the path prefix `path` to a service. Streaming routes are resumable.
pub fn route(path: &str, service: &str, kind: RequestKind) -> Route {
    let is_streaming = kind == RequestKind::Streaming;
    Route {
        name: path.into(),
        host: "host".into(),
        path_prefix: path.into(),
        kind,
        timeout: Some(Duration::from_secs(15)),
        target_latency: Some(Duration::from_millis(if is_streaming { 2000 } else { 150 })),
        target_gap: is_streaming.then_some(Duration::from_millis(300)),
        stream_patience: is_streaming.then_some(Duration::from_secs(8)),
        priority: 1,
        backends: vec![Backend {
            service: service.into(),
            weight: 1,
        }],
        maximum_attempts: 2,
        resumable: is_streaming,
        public: false,
        regions: Vec::new(),
    }
}
