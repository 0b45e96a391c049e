//! The store's process.

use std::time::Duration;

use barleyspar_catalog::Event;
use barleyspar_standin::StoreStandIn;
use nix::sys::signal::Signal;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::SoakError;
use crate::observations::StoreChange;
use crate::roles::accept_for_stand_in;
use crate::site::Ports;

/// The signal at which the store forgets the history of its changes.
pub const FORGET_HISTORY: Signal = Signal::SIGUSR1;
/// The signal at which the store becomes slow for [`SLOW_TIME`].
pub const BECOME_SLOW: Signal = Signal::SIGUSR2;
/// Time for which the store stays slow.
pub const SLOW_TIME: Duration = Duration::from_secs(3);
/// Additional time that a slow store takes for an answer.
const SLOW_LATENCY: Duration = Duration::from_millis(600);
/// Items in a page: so few that a read of everything takes several pages, between which the
/// store changes.
const PAGE_ITEMS: usize = 6;

/// Time between two looks at what the store did.
const TELL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves the store until the process is ended, and tells the soak its changes as JSON lines on
/// standard output.
pub async fn run(ports: Ports) -> Result<(), SoakError> {
    let connections = accept_for_stand_in(ports.store()).await?;
    let store = StoreStandIn::default();
    store.set_page_items(PAGE_ITEMS);
    store.serve_connections(connections);
    let mut forget = signal(SignalKind::user_defined1()).map_err(SoakError::io("signals"))?;
    let mut slow = signal(SignalKind::user_defined2()).map_err(SoakError::io("signals"))?;
    let mut told = 0;
    let mut fast_at = None;
    loop {
        tell_changes(&store, &mut told);
        tokio::select! {
            _ = forget.recv() => {
                tell_changes(&store, &mut told);
                store.compact_history();
            }
            _ = slow.recv() => {
                store.set_extra_latency(SLOW_LATENCY);
                fast_at = Some(Instant::now() + SLOW_TIME);
            }
            () = sleep(TELL_INTERVAL) => {}
        }
        if fast_at.is_some_and(|at| at <= Instant::now()) {
            store.set_extra_latency(Duration::ZERO);
            fast_at = None;
        }
    }
}

/// Tells the changes after the change `told`, and sets `told` to the last one.
fn tell_changes(store: &StoreStandIn, told: &mut u64) {
    for event in store.changes_after(*told) {
        let change = StoreChange {
            number: event.revision().number,
            key: event.key().to_owned(),
            removed: matches!(event, Event::Removed { .. }),
        };
        let line = serde_json::to_string(&change).expect("changes are serializable");
        println!("{line}");
        *told = change.number;
    }
}
