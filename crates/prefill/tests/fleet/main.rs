//! When prompts are sent in a whole fleet: compares an owner for each runner with nodes that
//! know old loads, and with sending at once.
//!
//! `cargo test -p barleyspar-prefill --test fleet -- --nocapture` prints the table of
//! docs/design/prefill.md.

use fault::{FAULT_AT, Fault};
use simulation::{Outcome, Simulation, Way};
use trace::Request;

mod engine;
mod fault;
mod simulation;
mod trace;

/// Requests come for this time; the rest of a run lets their streams end.
const REQUESTS_MS: u64 = 8000;
const LENGTH_MS: u64 = 14_000;
/// Fewest runners over which a result is the mean, played in several fleets if need be.
const MIN_RUNNERS: usize = 240;

/// Results for the requests of the four seconds after the fault.
struct Row {
    /// Part of the streams with a pause over the target gap.
    paused: f64,
    /// Wait for the permit, in milliseconds.
    median_wait: u64,
    wait_95: u64,
    /// Part of the streams whose first event did not come before their clients left.
    unserved: f64,
    /// Messages and bytes a second and node.
    messages: f64,
    bytes: f64,
}

fn play(nodes: usize, way: Way, fault: Fault) -> Row {
    let fleets = MIN_RUNNERS.div_ceil(nodes);
    let mut streams: Vec<(Request, Outcome)> = Vec::new();
    let (mut messages, mut bytes) = (0, 0);
    for seed in 1..=fleets as u64 {
        let requests = trace::requests(nodes, REQUESTS_MS, seed * 7919);
        let fleet = Simulation::new(way, fault, nodes, &requests).run(LENGTH_MS);
        messages += fleet.messages;
        bytes += fleet.bytes;
        let all = requests.iter().copied().zip(fleet.outcomes);
        streams.extend(all.filter(|(request, _)| request.at >= FAULT_AT));
    }
    let count = streams.len() as f64;
    let wait =
        |(request, outcome): &(Request, Outcome)| outcome.sent_at.unwrap_or(LENGTH_MS) - request.at;
    let unserved = |(request, outcome): &&(Request, Outcome)| {
        outcome.first_at.unwrap_or(LENGTH_MS) > request.at + request.patience
    };
    let mut waits: Vec<u64> = streams.iter().map(wait).collect();
    waits.sort_unstable();
    let node_seconds = (fleets * nodes) as f64 * REQUESTS_MS as f64 / 1000.0;
    Row {
        paused: streams.iter().filter(|(_, outcome)| outcome.paused).count() as f64 / count,
        median_wait: waits[waits.len() / 2],
        wait_95: waits[waits.len() * 95 / 100],
        unserved: streams.iter().filter(unserved).count() as f64 / count,
        messages: messages as f64 / node_seconds,
        bytes: bytes as f64 / node_seconds,
    }
}

fn print(nodes: usize, way: Way, fault: Fault, row: &Row) {
    println!(
        "| {nodes} | {way:?} | {fault:?} | {:.3} | {} | {} | {:.3} | {:.0} | {:.0} |",
        row.paused, row.median_wait, row.wait_95, row.unserved, row.messages, row.bytes
    );
}

/// Checks what owners gain over sending at once, where a quarter of the runners is busy for
/// two thirds of the time.
fn check(nodes: usize, fault: Fault, row: &Row, at_once: &Row) {
    let at = format!("{nodes} nodes, {fault:?}");
    assert!(row.paused < at_once.paused, "{at}: {}", row.paused);
    assert!(row.unserved < 0.05, "{at}: {}", row.unserved);
    assert!(row.messages < 30.0, "{at}: {}", row.messages);
    if fault == Fault::None {
        assert!(row.paused < 0.02, "{at}: {}", row.paused);
        assert!(5.0 * row.paused < at_once.paused, "{at}: {}", row.paused);
        assert!(row.unserved < 0.005, "{at}: {}", row.unserved);
        assert!(row.median_wait < 10, "{at}: {}", row.median_wait);
    }
}

#[test]
fn streams_pause_although_owners_decide_when_prompts_are_sent() {
    println!("| nodes | way | fault | paused | wait | wait 95 | unserved | messages | bytes |");
    for nodes in [6, 88, 410] {
        let at_once = play(nodes, Way::AtOnce, Fault::None);
        print(nodes, Way::AtOnce, Fault::None, &at_once);
        let old_loads = play(nodes, Way::OldLoads, Fault::None);
        print(nodes, Way::OldLoads, Fault::None, &old_loads);
        for fault in [Fault::None, Fault::Dead, Fault::Frozen, Fault::Cut] {
            let row = play(nodes, Way::Owner, fault);
            print(nodes, Way::Owner, fault, &row);
            check(nodes, fault, &row, &at_once);
        }
    }
}
