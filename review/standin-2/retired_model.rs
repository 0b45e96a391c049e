//! Case: operators take models out of the configuration that runners still hold.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

use crate::client::Clients;
use crate::gateway::{self, Addresses, Gateway};
use crate::runner::{Overload, Runner};
use crate::site::{ZONES, configuration};
use crate::store::Store;
use crate::{Stage, Verdict};

/// All models; the runners hold the first four.
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// The models that are left once `m1` and `m3` are retired.
const KEPT_MODELS: [&str; 4] = ["m0", "m2", "m4", "m5"];
/// What each runner holds first: two models, 145,400 MB of 200,000.
const HELD: [[&str; 2]; 3] = [["m0", "m1"], ["m0", "m1"], ["m2", "m3"]];

/// Sends requests for `models` in turn to all gateways, one each 200 ms, for `seconds`.
fn send_for(
    seconds: u64,
    models: &[&str],
    clients: &Clients,
    gateways: &[Gateway],
) -> Vec<JoinHandle<()>> {
    let mut sent = Vec::new();
    for number in 0..(seconds * 5) as usize {
        let gateway = gateways[number % gateways.len()].callers;
        let model = models[number % models.len()];
        sent.push(clients.send(gateway, "eligibility-chat", 15_000, model));
        sleep(Duration::from_millis(200));
    }
    sent
}

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let record = &stage.record;
    let addresses = Addresses::find()?;
    let store = Store::start(addresses.store())?;
    store.put("op/config", &configuration(1, &MODELS));
    let overloads: Arc<Mutex<Vec<Overload>>> = Arc::default();
    for (number, held) in HELD.iter().enumerate() {
        let (id, address) = (format!("i-llm-{number}"), addresses.runner(number as u8));
        Runner::start(&id, ZONES[number], address, held, &store, record, &overloads)?;
    }
    let gateways = gateway::start(3, &ZONES, addresses, &stage.directory)?;
    record.line("all gateways are ready");
    let clients = Clients::new(record);

    let mut sent = send_for(4, &["m0", "m1", "m2", "m3"], &clients, &gateways);
    if stage.has_trouble {
        store.put("op/config", &configuration(2, &KEPT_MODELS));
        record.line("configuration 2 is acknowledged: m1 and m3 are retired");
    }
    sent.extend(send_for(4, &["m0", "m2"], &clients, &gateways));
    record.line("two models are asked for that no runner holds");
    sent.extend(send_for(10, &["m0", "m2", "m4", "m5"], &clients, &gateways));
    sent.into_iter().for_each(|request| _ = request.join());

    if !gateway::are_all_running() {
        record.line("a gateway has ended by itself");
        return Err(io::ErrorKind::BrokenPipe.into());
    }
    let outcomes = clients.outcomes();
    let overloads = overloads.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let mut lost = 0;
    for Overload { runner, models, model, running } in &overloads {
        let was_cut = |id: &&String| outcomes.iter().any(|outcome| outcome.id == **id && !outcome.is_whole);
        let cut: Vec<&String> = running.iter().filter(was_cut).collect();
        lost += cut.len();
        record.line(format!(
            "LIMIT {runner} was ordered to load {model} beside {models:?}; accepted requests cut: {cut:?}"
        ));
    }
    let whole = outcomes.iter().filter(|outcome| outcome.is_whole && outcome.status == 200).count();
    let (all, orders) = (outcomes.len(), overloads.len());
    record.line(format!(
        "{all} requests, {whole} served whole; {orders} orders beyond a runner's memory, {lost} accepted requests cut"
    ));
    let is_broken = !overloads.is_empty();
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
