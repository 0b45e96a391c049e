//! Requests with a part in their prompts that ends each engine which begins to run them, and the
//! restart of engines that ended so.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_standin::names;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use crate::clients::{CONNECT_TIMEOUT, Clients, STREAM_DEADLINE, open};
use crate::machines::Machines;
use crate::observations::Target;
use crate::site::MODELS;

/// Part that ends engines.
pub const DEADLY_PART: u64 = 666;
/// Part that begins the prompts of all streams with parts.
const FIRST_PART: u64 = 1;
/// Number of parts of which each prompt has one after the first.
const DOCUMENTS: u32 = 7;
/// Start of the ids of requests with [`DEADLY_PART`].
pub const DEADLY_ID: &str = "deadly-";
/// Number of tries at each such request.
const TRIES: u32 = 2;
/// Shortest and longest time between two such requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1200;
/// Time between two looks whether an engine has ended.
const LIFE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an ended engine is started again, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 300..3000;

/// Returns the parts of the prompt of the `number`th stream of a client, as it names them.
pub fn sound_parts(number: u32) -> String {
    format!("{FIRST_PART},{}", 100 + number % DOCUMENTS)
}

/// Sends requests with the deadly part to any gateway, until the soak stops the clients.
pub async fn send_deadly_requests(clients: Clients, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut number = 0;
    while !*clients.stop.borrow() {
        number += 1;
        let parts = format!("{},{DEADLY_PART}", sound_parts(number));
        let model = MODELS[..2].choose(&mut random).expect("there are models");
        for attempt in 0..TRIES {
            let gateways = clients.ready.borrow().clone();
            let Some(gateway) = gateways.choose(&mut random).copied() else {
                break;
            };
            let request = Request::post("/stream/x")
                .header("host", "host")
                .header(names::REQUEST_ID, format!("{DEADLY_ID}{number}-{attempt}"))
                .header(names::DEADLINE, STREAM_DEADLINE.as_millis().to_string())
                .header(names::MODEL, *model)
                .header(names::PARTS, &parts)
                .body(Full::new(Bytes::from(format!("deadly {number}"))));
            let request = request.expect("the request is well formed");
            let address = clients.ports.gateway_proxy(gateway);
            let exchange = async {
                let mut sender = open(address).await?;
                let response = sender.send_request(request).await.ok()?;
                response.into_body().collect().await.ok()
            };
            // What comes of it is of no interest; the runners tell what reached them.
            let _ = timeout(CONNECT_TIMEOUT + STREAM_DEADLINE, exchange).await;
        }
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}

/// Starts engines again that ended by themselves, for as long as the soak runs.
pub async fn restart_ended_runners(machines: Arc<Machines>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    loop {
        sleep(LIFE_CHECK_INTERVAL).await;
        for number in 1..=machines.runners.len() as u8 {
            let target = Target::Runner(number);
            let has_ended = machines
                .slot(target)
                .is_some_and(|mut slot| slot.has_ended());
            if has_ended {
                let pause = Duration::from_millis(random.random_range(RESTART_MS));
                tokio::spawn(restart(machines.clone(), target, pause));
            }
        }
    }
}

/// Starts the runner again after `pause`, unless a lane of faults does.
async fn restart(machines: Arc<Machines>, target: Target, pause: Duration) {
    let Some(mut slot) = machines.slot(target) else {
        return;
    };
    if !slot.has_ended() {
        return;
    }
    let fault = machines.recorder.begin_fault("deadly_part", false, target);
    machines.recorder.begin_at_crash(fault);
    sleep(pause).await;
    if let Err(error) = machines.start_again(&mut slot, target) {
        eprintln!("{target:?} could not be started again: {error}");
    }
    machines.recorder.end_fault(fault);
}
