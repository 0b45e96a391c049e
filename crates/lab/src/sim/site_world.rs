//! The world of a site file, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_control_log::{Change, Proposal};
use barleyspar_domain::{Incarnation, ObjectSpec, RunnerRecord, ServiceKind};
use barleyspar_node::{Node, NodeTuning};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::network::LinkQuality;
use super::world::{World, back_end_address};
use crate::errors::LabError;
use crate::history::Event;
use crate::site::Site;
use crate::standins::decode::EngineSpeeds;
use crate::standins::engine::EngineStandIn;
use crate::standins::weight_store::WeightStore;

/// One way within a zone.
const LOCAL_DELAY: Duration = Duration::from_micros(200);
/// Longest time a site is given to come up.
const START_LIMIT: Duration = Duration::from_secs(120);
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// A site's world with the parts that faults act on.
pub struct SiteWorld {
    /// The world.
    pub world: World,
    /// The weight store.
    pub store: WeightStore,
    /// All back ends as they were at the start.
    pub records: Vec<RunnerRecord>,
}

/// Builds the world of `site`; no node runs yet.
pub fn build(site: &Site, tuning: NodeTuning, seed: u64) -> SiteWorld {
    let remote = Duration::from_secs_f64(site.site.zone_milliseconds / 1000.0);
    let quality = LinkQuality::good(LOCAL_DELAY, remote);
    let lag = Duration::from_secs_f64(site.machine_list.lag_seconds);
    let rate = site.key_value.operations_per_second;
    let mut world = World::new(quality, tuning, rate, lag, seed);
    let store = WeightStore::new(site.store_rates());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engines = BTreeMap::new();
    let mut records: Vec<RunnerRecord> = Vec::new();
    for service in &site.service {
        let first = records.len();
        let added = site.runners(service, Incarnation(1), |n| back_end_address(first + n));
        for record in &added {
            world.history.record(Event::Placed {
                runner: record.name.to_string(),
                zone: record.zone.to_string(),
            });
            if service.kind == ServiceKind::Model {
                let engine = EngineStandIn::new(
                    record.name.clone(),
                    record.incarnation,
                    record.memory_bytes,
                    EngineSpeeds::default(),
                    store.clone(),
                    site.cached(&mut random),
                    world.violations.clone(),
                    world.history.clone(),
                );
                engines.insert(record.name.clone(), engine);
            }
        }
        records.extend(added);
    }
    world.set_back_ends(records.clone(), engines, lag);
    for number in 0..site.zone.len() * site.site.nodes_per_zone {
        let zone = site.zone_name(number);
        let name = barleyspar_domain::NodeName::try_from(format!("{zone}-{number}"));
        world.add_node(
            name.unwrap_or_else(|_| unreachable!("zone names make node names")),
            zone,
        );
    }
    SiteWorld {
        world,
        store,
        records,
    }
}

/// Starts all nodes, submits `objects` and waits for the grants of `models`.
pub async fn come_up(
    world: &mut World,
    objects: Vec<ObjectSpec>,
    models: usize,
) -> Result<(), LabError> {
    for number in 0..world.nodes.len() {
        world.start_node(number);
    }
    let until = Instant::now() + START_LIMIT;
    while !world.running().all(|(_, node)| node.is_ready()) {
        pause(until, "nodes are not ready").await?;
    }
    let first = first_node(world)?;
    let proposal: Proposal = Box::new(move |_| {
        let changes = objects.iter().cloned().map(Change::PutObject);
        Ok(changes.collect())
    });
    let appended = first.log.append("operator lab".to_owned(), proposal).await;
    let appended = appended.map_err(|error| LabError::Failed(error.to_string()))?;
    first.log.spread(appended.position).await;
    while first.log.state().grants().len() < models {
        pause(until, "grants are not made").await?;
    }
    Ok(())
}

fn first_node(world: &World) -> Result<Node, LabError> {
    let first = world.running().next().map(|(_, node)| node.clone());
    first.ok_or_else(|| LabError::Failed("no node runs".to_owned()))
}

async fn pause(until: Instant, what: &str) -> Result<(), LabError> {
    if Instant::now() >= until {
        return Err(LabError::Failed(format!("not in time: {what}")));
    }
    tokio::time::sleep(LOOK_PAUSE).await;
    Ok(())
}
