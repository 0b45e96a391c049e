//! A small site that several tests share, with two plain runners and two engines.

use std::ops::RangeInclusive;
use std::time::Duration;

use barleyspar_catalog::RequestKind;

use crate::client::Answer;
use crate::network::Cut;
use crate::scripted_server::ScriptedServer;
use crate::world::{World, engine_service, plain_service, route};

/// Time after which all gateways know each other and the runners.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// Time after which a gateway has found out that its links to all runners are cut.
const CUT_NOTICED_AFTER: Duration = Duration::from_secs(3);
/// Largest number of requests until one comes to a given runner of two.
const MOST_REQUESTS: usize = 60;

impl World {
    /// Returns a settled site of these gateways, two plain runners and two engines that hold the
    /// model "a".
    pub async fn two_of_each(gateways: RangeInclusive<u8>) -> Self {
        let mut world = Self::new(
            vec![plain_service("plain"), engine_service("engine", &["a"])],
            vec![
                route("/read/", "plain", RequestKind::Idempotent),
                route("/write/", "plain", RequestKind::NonIdempotent),
                route("/stream/", "engine", RequestKind::Streaming),
            ],
        );
        for number in 1..=2 {
            world.start_runner(&format!("plain-{number}"), "plain", &[]);
            world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
        }
        world.start_gateways(gateways).await;
        world.run_for(SETTLED_AFTER).await;
        world
    }

    /// Has gateway `number` reach all runners through its peers alone.
    pub async fn cut_from_runners(&self, number: u8) {
        for runner in self.runners.values() {
            let (gateway, runner) = (Self::gateway_host(number), runner.address().ip());
            self.network.cut_in_way(gateway, runner, Cut::Reset);
        }
        self.run_for(CUT_NOTICED_AFTER).await;
    }

    /// Sends requests to gateway 1 until `scripted` has got one. Returns the id of that one and
    /// its answer.
    pub async fn request_until_at(
        &self,
        scripted: &ScriptedServer,
        (path, model): (&str, Option<&str>),
    ) -> (String, Answer) {
        for number in 0..MOST_REQUESTS {
            let before = scripted.request_count();
            let id = format!("request-{number}");
            let answer = self.request(1, path, &id, model).await;
            if scripted.request_count() > before {
                return (id, answer);
            }
        }
        panic!("the scripted server got no request");
    }
}
