//! The operator: adds, moves and removes routes, and asks every gateway what is in force there.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, RequestKind};
use barleyspar_standin::{encode, names, route};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

use crate::clients::ask;
use crate::observations::{Expected, Recorder, RouteProbe};
use crate::roles::store_client::write;
use crate::site::{CONFIGURATION_BOUND, OTHER_PLAIN, PLAIN, Ports, first_configuration};

/// Time after a change's acknowledgement at which all gateways are asked: the bound, and the
/// slack of a question.
const ASKED_AFTER: Duration = CONFIGURATION_BOUND.saturating_add(Duration::from_millis(100));
/// Times after the acknowledgement at which they are asked besides: some before the bound, to
/// see how much of it is used, and one long after it, to see that nothing goes back.
const ASKED_BESIDES_AFTER: [Duration; 5] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1200),
    Duration::from_millis(1600),
    Duration::from_secs(5),
];
/// Shortest time between two changes of the same route, so that each is asked for before the
/// next one.
const UNCHANGED_TIME: Duration = Duration::from_secs(8);
/// Number of added routes from which on a change moves or removes one rather than adding one.
const MOST_ADDED_ROUTES: usize = 12;
/// Time between two changes of the steady operator.
const STEADY_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of a question.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a change that the store has not acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Number of each gateway's current process, by the gateway's number less one.
pub type Lives = Arc<std::sync::Mutex<Vec<u32>>>;

/// A route that the operator has added and may change.
#[derive(Debug)]
struct AddedRoute {
    path: String,
    service: &'static str,
    changed_at: Instant,
}

/// Changes the configuration and asks gateways about it.
#[derive(Debug)]
pub struct Operator {
    /// Ports of the soak.
    pub ports: Ports,
    /// Number of gateways.
    pub gateways: u8,
    /// Numbers of the gateways' processes.
    pub lives: Lives,
    /// Where answers are recorded.
    pub recorder: Recorder,
    configuration: Configuration,
    /// The one that was changed the longest ago first.
    added: VecDeque<AddedRoute>,
}

/// Makes a change at each [`STEADY_INTERVAL`] until `end`, whatever fails meanwhile.
pub async fn change_steadily(operator: Arc<Mutex<Operator>>, end: Instant) {
    while Instant::now() < end {
        operator.lock().await.change_route().await;
        sleep(STEADY_INTERVAL).await;
    }
}

impl Operator {
    /// Creates the operator of a site, which has not written anything yet.
    pub fn new(ports: Ports, gateways: u8, lives: Lives, recorder: Recorder) -> Self {
        let configuration = first_configuration();
        Self {
            ports,
            gateways,
            lives,
            recorder,
            configuration,
            added: VecDeque::new(),
        }
    }

    /// Writes the configuration until the store acknowledges it.
    pub async fn publish(&self) {
        let value = encode(&self.configuration);
        while !write(
            self.ports.store(),
            names::CONFIGURATION_KEY,
            value.clone(),
            0,
        )
        .await
        {
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Adds a route, moves one to another service or removes one, and has all gateways asked
    /// for it later.
    pub async fn change_route(&mut self) {
        self.configuration.version += 1;
        let (path, expected) = self.edit_routes();
        self.publish().await;
        let acknowledged_at = self.recorder.now();
        for gateway in 1..=self.gateways {
            for after in ASKED_BESIDES_AFTER.into_iter().chain([ASKED_AFTER]) {
                let question = Question {
                    address: self.ports.gateway(gateway),
                    gateway,
                    path: path.clone(),
                    version: self.configuration.version,
                    expected,
                    acknowledged_at,
                };
                let (recorder, lives) = (self.recorder.clone(), self.lives.clone());
                tokio::spawn(async move {
                    sleep(after).await;
                    question.ask(&recorder, &lives).await;
                });
            }
        }
    }

    /// Changes the routes of the configuration; returns the path that is changed, and what
    /// becomes of requests to it.
    fn edit_routes(&mut self) -> (String, Expected) {
        let now = Instant::now();
        let may_change = |route: &AddedRoute| now - route.changed_at >= UNCHANGED_TIME;
        let is_full = self.added.len() >= MOST_ADDED_ROUTES;
        if !is_full || !self.added.front().is_some_and(may_change) {
            return self.add_route(now);
        }
        let oldest = self.added.pop_front().expect("there is a first one");
        self.configuration
            .routes
            .retain(|route| *route.path_prefix != *oldest.path);
        if oldest.service == PLAIN {
            self.put_route(oldest.path, OTHER_PLAIN, now)
        } else {
            (oldest.path, Expected::NotFound)
        }
    }

    fn add_route(&mut self, now: Instant) -> (String, Expected) {
        let path = format!("/added-{}/", self.configuration.version);
        self.put_route(path, PLAIN, now)
    }

    fn put_route(
        &mut self,
        path: String,
        service: &'static str,
        now: Instant,
    ) -> (String, Expected) {
        let changed = route(&path, service, RequestKind::Idempotent);
        self.configuration.routes.push(changed.into());
        self.added.push_back(AddedRoute {
            path: path.clone(),
            service,
            changed_at: now,
        });
        (path, Expected::Service(service))
    }
}

/// A question to one gateway what becomes of requests to a route.
struct Question {
    address: std::net::SocketAddr,
    gateway: u8,
    path: String,
    version: u64,
    expected: Expected,
    acknowledged_at: Duration,
}

impl Question {
    async fn ask(self, recorder: &Recorder, lives: &Lives) {
        let life = {
            let lives = lives
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            lives[usize::from(self.gateway - 1)]
        };
        let at = recorder.now();
        let id = format!("probe-{}-{}-{}", self.gateway, self.version, at.as_micros());
        let path = format!("{}x", self.path);
        let status = timeout(ASK_TIMEOUT, ask(self.address, &path, &id)).await;
        let probe = RouteProbe {
            id,
            path: self.path,
            version: self.version,
            expected: self.expected,
            acknowledged_at: self.acknowledged_at,
            gateway: self.gateway,
            life,
            at,
            status: status.ok().flatten(),
        };
        recorder.lock().probes.push(probe);
    }
}
