//! Spreading new entries to every zone, and telling where they are in force.
//!
//! The author of an entry calls one member of each zone, chosen by the entry's
//! position so that the work moves around; that member pushes the entry to its
//! whole zone and reports who obeys it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_domain::{NodeName, ZoneName, by_rendezvous_weight};
use barleyspar_kernel::Stage;
use barleyspar_membership::{MemberRecord, View};
use barleyspar_peer::call;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::handle::{Shared, ingest};
use crate::messages::{Answer, Request};
use crate::service::Message;
use crate::{Entry, PEER_SERVICE};

/// Entries pushed at once; members that are further behind say so and are
/// pushed what they lack.
const PUSHED_ENTRIES: u64 = 1;
/// Pushes to one member before it counts as missing.
const PUSHES: usize = 3;
/// Members of a zone tried, one after the other, as its distributor.
const DISTRIBUTORS_TRIED: usize = 3;

/// How far an entry is in force in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneInForce {
    /// Members that obey it.
    pub reached: u32,
    /// Members that are not known to obey it.
    pub missing: Vec<NodeName>,
}

impl ZoneInForce {
    /// Whether every member obeys it. A zone that nobody answered for is not
    /// complete, whatever its members are thought to be.
    pub fn is_complete(&self) -> bool {
        self.reached > 0 && self.missing.is_empty()
    }
}

/// How far an entry is in force, by zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The zones.
    pub zones: BTreeMap<ZoneName, ZoneInForce>,
}

impl InForce {
    /// Whether every member of every zone obeys it. No zone at all is no proof.
    pub fn is_complete(&self) -> bool {
        !self.zones.is_empty() && self.zones.values().all(ZoneInForce::is_complete)
    }
}

/// Pushes the newest entries up to `position` to all zones.
pub(crate) async fn spread_to_zones(shared: &Arc<Shared>, position: u64) -> InForce {
    let entries = newest(shared, position).await;
    let view = shared.membership.view();
    let zones = known_zones(shared, &view);
    let (results, mut collected) = mpsc::channel(zones.len().max(1));
    // A zone without a result, for example because this node stops meanwhile,
    // counts as not reached.
    let mut in_force = InForce::default();
    for zone in &zones {
        let members = view.members.values();
        let members = members.filter(|member| &member.zone == zone);
        let names = members.map(|member| member.name.clone());
        in_force.zones.insert(zone.clone(), nobody(names.collect()));
    }
    for zone in zones {
        let (shared, entries) = (Arc::clone(shared), entries.clone());
        let (results, view) = (results.clone(), Arc::clone(&view));
        let kernel = shared.kernel.clone();
        kernel.spawn(Stage::Control, async move {
            let members: Vec<&MemberRecord> = view.reachable_in(&zone).collect();
            let outcome = spread_to_zone(&shared, &members, position, entries).await;
            let _ = results.send((zone, outcome)).await;
        });
    }
    drop(results);
    while let Some((zone, outcome)) = collected.recv().await {
        in_force.zones.insert(zone, outcome);
    }
    in_force
}

/// Zones of all members and of all runners. A node that just started may not
/// have met any member of a zone that is cut off, but the log tells it of the
/// zone's runners.
fn known_zones(shared: &Shared, view: &View) -> BTreeSet<ZoneName> {
    let state = shared.state();
    let of_runners = state.runners().values().map(|runner| runner.zone.clone());
    view.zones().into_iter().chain(of_runners).collect()
}

async fn newest(shared: &Shared, position: u64) -> Vec<Entry> {
    let from = position.saturating_sub(PUSHED_ENTRIES);
    let answer = shared
        .service
        .ask(|reply| Message::Since(from, reply))
        .await;
    match answer {
        Ok(Answer::Entries(entries)) => entries
            .into_iter()
            .filter(|entry| entry.position <= position)
            .collect(),
        _ => Vec::new(),
    }
}

async fn spread_to_zone(
    shared: &Shared,
    members: &[&MemberRecord],
    position: u64,
    entries: Vec<Entry>,
) -> ZoneInForce {
    let names = members.iter().map(|member| &member.name);
    let distributors = by_rendezvous_weight(&position, names);
    let time_limit = shared.config.peer_time_limit * 3;
    let request = Request::Spread(entries);
    for distributor in distributors.into_iter().take(DISTRIBUTORS_TRIED) {
        let Some(member) = members.iter().find(|member| &member.name == distributor) else {
            continue;
        };
        let transport = shared.transport.as_ref();
        let answer = call(
            transport,
            member.address,
            PEER_SERVICE,
            &request,
            time_limit,
        )
        .await;
        if let Ok(Answer::Spread { reached, missing }) = answer {
            return ZoneInForce { reached, missing };
        }
    }
    nobody(members.iter().map(|member| member.name.clone()).collect())
}

/// None of `members` is known to obey the entry.
fn nobody(members: Vec<NodeName>) -> ZoneInForce {
    ZoneInForce {
        reached: 0,
        missing: members,
    }
}

/// Takes in `entries` and pushes them to every member of this zone.
pub(crate) async fn spread_in_zone(shared: &Arc<Shared>, entries: Vec<Entry>) -> Answer {
    let wanted = entries.last().map_or(0, |entry| entry.position);
    let _ = ingest(shared, entries.clone()).await;
    let view = shared.membership.view();
    let zone = view.me.zone.clone();
    let mut pushes = Vec::new();
    for member in view.reachable_in(&zone) {
        let (done, outcome) = oneshot::channel();
        pushes.push((member.name.clone(), outcome));
        if member.name == view.me.name {
            let _ = done.send(shared.position() >= wanted);
            continue;
        }
        let (pushing, entries) = (Arc::clone(shared), entries.clone());
        let address = member.address;
        shared.kernel.spawn(Stage::Control, async move {
            let reached = push(&pushing, address, entries, wanted).await;
            let _ = done.send(reached);
        });
    }
    let mut reached = 0;
    let mut missing = Vec::new();
    for (name, outcome) in pushes {
        match outcome.await {
            Ok(true) => reached += 1,
            Ok(false) | Err(_) => missing.push(name),
        }
    }
    Answer::Spread { reached, missing }
}

/// Pushes `entries`, then what the member says it lacks, until it has reached
/// `wanted`. Returns whether it has.
async fn push(shared: &Shared, to: SocketAddr, mut entries: Vec<Entry>, wanted: u64) -> bool {
    let time_limit = shared.config.peer_time_limit;
    for _ in 0..PUSHES {
        let request = Request::Push(entries);
        let transport = shared.transport.as_ref();
        let answer = call(transport, to, PEER_SERVICE, &request, time_limit).await;
        let reached = match answer {
            Ok(Answer::Reached(reached)) if reached < wanted => reached,
            Ok(Answer::Reached(_)) => return true,
            Ok(_) | Err(_) => return false,
        };
        let lacking = shared
            .service
            .ask(|reply| Message::Since(reached, reply))
            .await;
        entries = match lacking {
            Ok(Answer::Entries(lacking)) => lacking,
            Ok(_) | Err(_) => return false,
        };
    }
    false
}
