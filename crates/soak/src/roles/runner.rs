//! A runner's process: a stand-in that keeps its entry in the store and tells the soak what it
//! runs, as JSON lines on its standard output.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use barleyspar_catalog::{StoreAnswer, StoreCall};
use barleyspar_standin::{
    CrashCourse, MemoryNetwork, RunnerIdentity, RunnerStandIn, StoreStandIn, names,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::SoakError;
use crate::deadly_parts::{DEADLY_ID, DEADLY_PART};
use crate::observations::RunnerEvent;
use crate::roles::accept_for_stand_in;
use crate::roles::store_client::{call_store, write};
use crate::site::{DRAIN_BOUND, Ports, first_models, service_of, zone_of};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time to live of the entry's lease: three heartbeats and some slack.
const ENTRY_LEASE: Duration = Duration::from_millis(3500);
/// Time between two looks at what the stand-in did.
const TELL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time from the start of a request with the deadly part to the end of the process, in
/// milliseconds.
const MOST_CRASH_MS: u64 = 1500;
/// Longer than any process runs.
const NEVER: Duration = Duration::from_secs(24 * 3600);
/// Time for which a draining runner serves on after [`DRAIN_BOUND`].
const DRAIN_SLACK: Duration = Duration::from_secs(2);

/// Runs process `life` of runner `number` until it has drained after a SIGTERM, or is killed.
pub async fn run(
    (number, life): (u8, u32),
    ports: Ports,
    store: SocketAddr,
) -> Result<(), SoakError> {
    let connections = accept_for_stand_in(ports.runner(number)).await?;
    let own_store = StoreStandIn::default();
    let id = format!("runner-{number}-{life}");
    let identity = RunnerIdentity {
        id: &id,
        born: milliseconds_since_1970(),
        address: ports.runner_proxy(number),
        zone: zone_of(number),
    };
    let service = service_of(number);
    let models = first_models(number, life);
    let runner = RunnerStandIn::start_on(connections, &own_store, &service, identity, &models);
    runner.set_software(&software_of(number, life));
    set_crash_course(&runner, number, life);
    let entry = Entry {
        store,
        own_store,
        key: format!("{}{id}", names::RUNNER_PREFIX),
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(SoakError::io("signals"))?;
    tokio::spawn(tell(runner.clone()));
    tokio::select! {
        () = entry.keep(&runner) => {}
        _ = terminate.recv() => {}
    }
    runner.drain();
    while !entry.write(0).await {
        sleep(HEARTBEAT).await;
    }
    print(&RunnerEvent::Draining);
    sleep(DRAIN_BOUND + DRAIN_SLACK).await;
    Ok(())
}

/// Version of the software of process `life` of runner `number`: two versions serve side by side,
/// and each restart changes a runner's.
fn software_of(number: u8, life: u32) -> String {
    format!("v{}", 1 + (u32::from(number) + life) % 2)
}

/// Half of the processes send no head of an answer to a request with the deadly part; the others
/// answer it until they end. The stand-in itself does not crash: the process ends instead.
fn set_crash_course(runner: &RunnerStandIn, number: u8, life: u32) {
    let course = CrashCourse {
        answers: (u32::from(number) + life / 2).is_multiple_of(2),
        crash_after: NEVER,
        ..CrashCourse::default()
    };
    runner.set_crash_course(course);
    runner.crash_on_parts(&MemoryNetwork::default(), &[DEADLY_PART]);
}

/// Ends the process some time after it began to run the request with the deadly part.
async fn end_by_request(id: String) {
    let drawn = id
        .bytes()
        .fold(7_u64, |sum, byte| sum * 31 + u64::from(byte))
        % MOST_CRASH_MS;
    sleep(Duration::from_millis(drawn)).await;
    print(&RunnerEvent::Crashing);
    std::process::exit(1);
}

/// The incarnation of a process is the time of its start.
fn milliseconds_since_1970() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The runner's entry in the store.
struct Entry {
    store: SocketAddr,
    /// Store in this process, to which the stand-in writes its entry.
    own_store: StoreStandIn,
    key: String,
}

impl Entry {
    /// Writes the entry at each heartbeat, for ever.
    async fn keep(&self, runner: &RunnerStandIn) {
        let mut lease = 0;
        let mut heartbeats = interval(HEARTBEAT);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            heartbeats.tick().await;
            runner.publish_entry();
            let renewal = StoreCall::RenewLease { lease };
            if lease == 0 || call_store(self.store, &renewal).await.is_none() {
                lease = self.grant_lease().await;
            }
            if lease != 0 {
                self.write(lease).await;
            }
        }
    }

    /// Returns a new lease; 0 if the store grants none.
    async fn grant_lease(&self) -> u64 {
        let call = StoreCall::GrantLease {
            time_to_live: ENTRY_LEASE,
        };
        match call_store(self.store, &call).await {
            Some(StoreAnswer::Lease { lease, .. }) => lease,
            _ => 0,
        }
    }

    async fn write(&self, lease: u64) -> bool {
        match self.own_store.get(&self.key) {
            Some(value) => write(self.store, &self.key, value, lease).await,
            None => false,
        }
    }
}

/// Tells the soak what the runner does.
async fn tell(runner: RunnerStandIn) {
    let (mut arrivals, mut runs, mut orders) = (0, 0, 0);
    // Also told at the start: a new process holds less than the former one.
    let mut models = None;
    let mut was_overcommitted = false;
    loop {
        for call in runner.calls_from(arrivals) {
            if call.is_request {
                print(&RunnerEvent::Arrival(call.id));
            }
            arrivals += 1;
        }
        for id in runner.run_ids_from(runs) {
            print(&RunnerEvent::Run(id.clone()));
            if id.starts_with(DEADLY_ID) {
                tokio::spawn(end_by_request(id));
            }
            runs += 1;
        }
        let all_orders = runner.orders();
        for order in &all_orders[orders..] {
            let (holder, token) = (order.holder.to_string(), order.fencing_token);
            print(&RunnerEvent::Order { holder, token });
        }
        orders = all_orders.len();
        let held = runner.loaded_models();
        if models.as_ref() != Some(&held) {
            print(&RunnerEvent::Models(held.clone()));
            models = Some(held);
        }
        if runner.overcommitted() && !was_overcommitted {
            was_overcommitted = true;
            print(&RunnerEvent::Overcommitted);
        }
        sleep(TELL_INTERVAL).await;
    }
}

fn print(event: &RunnerEvent) {
    let line = serde_json::to_string(event).expect("events are serializable");
    println!("{line}");
}
