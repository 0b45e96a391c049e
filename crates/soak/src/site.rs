//! The site of a soak: its addresses, services, routes and settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use barleyspar_catalog::{
    Bounds, ClientLimits, Configuration, MachineLimits, NodeSettings, RequestKind, Route, Service,
};
use barleyspar_standin::{default_bounds, engine_service, plain_service, route};

/// Placement policy of all gateways: one replica of a model, and a second one if the first
/// cannot be reached.
pub const POLICY: &str = "fn decide(context) { #{ replicas: 2, target: 1 } }";
/// Largest number of replicas that [`POLICY`] allows.
pub const MOST_REPLICAS: usize = 2;
/// Models of the engines; an engine has memory for two.
pub const MODELS: [&str; 4] = ["a", "b", "c", "d"];
/// Time from a change's acknowledgement until it is in force at gateways in touch.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
/// Time from a runner's acknowledged word that it drains until it gets no more requests.
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time without a fault from which on a gateway counts as in touch.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time that a gateway has to end after SIGTERM.
pub const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Retries over all gateways in [`RETRY_WINDOW`]: this fraction of the requests, and
/// [`RETRY_EXTRA`] more.
pub const RETRY_RATIO: f64 = 0.2;
/// See [`RETRY_RATIO`].
pub const RETRY_EXTRA: f64 = 50.0;
/// See [`RETRY_RATIO`].
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Name of the service whose runners hold models.
pub const ENGINE: &str = "engine";
/// Name of the plain service that writes and reads go to.
pub const PLAIN: &str = "plain";
/// Name of the plain service to which the operator moves routes.
pub const OTHER_PLAIN: &str = "other-plain";
/// Zones of the site; gateways and runners are spread over them in turn.
const ZONES: [&str; 4] = ["zone-1", "zone-2", "zone-3", "zone-4"];

/// Those with whom a gateway can lose all contact at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Neighbours {
    /// All other gateways.
    Gateways,
    /// All runners.
    Runners,
}

/// The ports that all addresses of a soak share.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Returns the ports from `first` on.
    pub fn from_first(first: u16) -> Self {
        Self { first }
    }

    /// The first port.
    pub fn first(self) -> u16 {
        self.first
    }

    fn at(self, kind: u8, number: u8, offset: u16) -> SocketAddr {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 77, kind, number));
        SocketAddr::new(ip, self.first + offset)
    }

    /// Where the store listens.
    pub fn store(self) -> SocketAddr {
        self.at(1, 1, 0)
    }

    /// Where runner `number` listens.
    pub fn runner(self, number: u8) -> SocketAddr {
        self.at(2, number, 0)
    }

    /// Where gateway `number` listens for callers.
    pub fn gateway(self, number: u8) -> SocketAddr {
        self.at(3, number, 0)
    }

    /// Where gateway `number` answers readiness checks.
    pub fn readiness(self, number: u8) -> SocketAddr {
        self.at(3, number, 1)
    }

    /// Where gateway `number` listens for other gateways.
    pub fn peers(self, number: u8) -> SocketAddr {
        self.at(3, number, 2)
    }

    /// Where gateway `number` accepts tunnels.
    pub fn tunnels(self, number: u8) -> SocketAddr {
        self.at(3, number, 3)
    }

    /// Returns whom a gateway reaches at `address`; `None` for callers and the store.
    pub fn neighbours_at(self, address: SocketAddr) -> Option<Neighbours> {
        let kind = |address: SocketAddr| match address.ip() {
            IpAddr::V4(ip) => Some(ip.octets()[2]),
            IpAddr::V6(_) => None,
        };
        let between_gateways = [self.peers(1).port(), self.tunnels(1).port()];
        if kind(address) == kind(self.runner_proxy(1)) {
            return Some(Neighbours::Runners);
        }
        let is_gateway = kind(address) == kind(self.peers(1));
        (is_gateway && between_gateways.contains(&address.port())).then_some(Neighbours::Gateways)
    }

    /// Proxy from clients to gateway `number`.
    pub fn gateway_proxy(self, number: u8) -> SocketAddr {
        self.at(4, number, 0)
    }

    /// Proxy from gateway `number` to the store.
    pub fn store_proxy(self, number: u8) -> SocketAddr {
        self.at(5, number, 0)
    }

    /// Proxy from all gateways to runner `number`, which the runner's entry names.
    pub fn runner_proxy(self, number: u8) -> SocketAddr {
        self.at(6, number, 0)
    }
}

/// Returns whether runner `number` is an engine; the others are plain.
pub fn is_engine(number: u8) -> bool {
    service_name(number) == ENGINE
}

/// Returns the name of the service of runner `number`.
pub fn service_name(number: u8) -> &'static str {
    match number % 4 {
        0 => OTHER_PLAIN,
        2 => PLAIN,
        _ => ENGINE,
    }
}

/// Returns the service of runner `number`.
pub fn service_of(number: u8) -> Service {
    if is_engine(number) {
        engine_service(ENGINE, &MODELS)
    } else {
        plain_service(service_name(number))
    }
}

/// Returns the zone of gateway or runner `number`.
pub fn zone_of(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

/// Returns the models that runner `number` holds at the start of its process `life`: runners
/// start again with none.
pub fn first_models(number: u8, life: u32) -> Vec<&'static str> {
    match (number, life) {
        (1, 0) => vec!["a", "b"],
        _ => Vec::new(),
    }
}

/// Returns the first configuration.
pub fn first_configuration() -> Configuration {
    let services = [
        engine_service(ENGINE, &MODELS),
        plain_service(PLAIN),
        plain_service(OTHER_PLAIN),
    ];
    let routes: [Route; 3] = [
        route("/write/", PLAIN, RequestKind::NonIdempotent),
        route("/read/", PLAIN, RequestKind::Idempotent),
        route("/stream/", ENGINE, RequestKind::Streaming),
    ];
    Configuration {
        version: 1,
        routes: routes.into_iter().map(Into::into).collect(),
        services: services
            .into_iter()
            .map(|service| (service.name.clone(), service.into()))
            .collect(),
        limits: ClientLimits::default(),
        tenants: Vec::new(),
    }
}

/// Returns the name of gateway `number`.
pub fn gateway_name(number: u8) -> String {
    format!("gateway-{number}")
}

/// Returns the settings of gateway `number`, which reaches the store at `store`.
pub fn gateway_settings(number: u8, ports: Ports, store: SocketAddr) -> NodeSettings {
    NodeSettings {
        name: gateway_name(number).into(),
        zone: zone_of(number).into(),
        regions: ZONES
            .iter()
            .map(|zone| ((*zone).into(), "region".into()))
            .collect(),
        caller_address: ports.gateway(number),
        readiness_address: ports.readiness(number),
        peer_address: ports.peers(number),
        tunnel_address: ports.tunnels(number),
        metrics_address: None,
        store_address: store,
        minimum_lease: Duration::from_secs(1),
        limits: MachineLimits {
            memory_bytes: 256_000_000,
            descriptors: 4096,
            link_megabits: 1000,
        },
        bounds: Bounds {
            grace_period: GRACE_PERIOD,
            configuration_apply_time: CONFIGURATION_BOUND,
            drain_timeout: DRAIN_BOUND,
            retry_ratio: RETRY_RATIO,
            retry_window: RETRY_WINDOW,
            retry_extra: RETRY_EXTRA,
            evacuation_time: None,
            ..default_bounds()
        },
    }
}
