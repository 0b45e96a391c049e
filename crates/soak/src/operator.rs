//! The operator: adds routes, and asks every gateway whether they are in force.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, RequestKind};
use barleyspar_standin::{encode, names, route};
use tokio::time::{sleep, timeout};

use crate::clients::ask;
use crate::observations::{Recorder, RouteProbe};
use crate::roles::store_client::write;
use crate::site::{CONFIGURATION_BOUND, Ports, first_configuration};

/// Time after a change's acknowledgement at which all gateways are asked: the bound, and the
/// slack of a question.
const ASKED_AFTER: Duration = CONFIGURATION_BOUND.saturating_add(Duration::from_millis(300));
/// Time after which they are asked again, to see that nothing goes back.
const ASKED_AGAIN_AFTER: Duration = Duration::from_secs(6);
/// Timeout of a question.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a change that the store has not acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Number of each gateway's current process, by the gateway's number less one.
pub type Lives = Arc<std::sync::Mutex<Vec<u32>>>;

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

    /// Adds a route, and has all gateways asked for it later.
    pub async fn add_route(&mut self) {
        self.configuration.version += 1;
        let path = format!("/added-{}/", self.configuration.version);
        let added = route(&path, "plain", RequestKind::Idempotent);
        self.configuration.routes.push(added.into());
        self.publish().await;
        let acknowledged_at = self.recorder.now();
        for gateway in 1..=self.gateways {
            for after in [ASKED_AFTER, ASKED_AGAIN_AFTER] {
                let question = Question {
                    address: self.ports.gateway(gateway),
                    gateway,
                    path: path.clone(),
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
}

/// A question to one gateway whether a route is in force there.
struct Question {
    address: std::net::SocketAddr,
    gateway: u8,
    path: String,
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
        let id = format!("probe-{}-{}", self.gateway, at.as_micros());
        let path = format!("{}x", self.path);
        let status = timeout(ASK_TIMEOUT, ask(self.address, &path, &id)).await;
        let probe = RouteProbe {
            path: self.path,
            acknowledged_at: self.acknowledged_at,
            gateway: self.gateway,
            life,
            at,
            status: status.ok().flatten(),
        };
        recorder.lock().probes.push(probe);
    }
}
