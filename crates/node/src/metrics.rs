//! The Prometheus page of a node.

use barleyspar_kernel::Stage;
use barleyspar_membership::MemberStatus;
use barleyspar_peer::Traffic;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::Node;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabel {
    purpose: &'static str,
}

/// Renders the page.
pub fn render(node: &Node, traffic: &Traffic) -> String {
    let mut registry = Registry::with_prefix("barleyspar");
    register_router(&mut registry, node);
    register_control(&mut registry, node);
    register_traffic(&mut registry, traffic);
    let mut page = String::new();
    if encode(&mut page, &registry).is_err() {
        tracing::error!("metrics can not be rendered");
    }
    page
}

fn counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(value as i64);
    registry.register(name, help, gauge);
}

fn register_router(registry: &mut Registry, node: &Node) {
    let figures = node.router.counters().read();
    counter(registry, "requests", "Requests taken in", figures.requests);
    counter(
        registry,
        "answered",
        "Requests whose answer began",
        figures.answered,
    );
    counter(
        registry,
        "attempts",
        "Attempts at back ends",
        figures.attempts,
    );
    counter(
        registry,
        "resumed_streams",
        "Streams resumed after a break",
        figures.resumed,
    );
    gauge(
        registry,
        "waiting_requests",
        "Requests waiting now",
        figures.waiting,
    );
    let refused = Family::<ReasonLabel, Counter>::default();
    for (reason, count) in figures.refused {
        let label = ReasonLabel {
            reason: reason.as_str(),
        };
        refused.get_or_create(&label).inc_by(count);
    }
    registry.register("refused", "Refusals by reason", refused);
}

fn register_control(registry: &mut Registry, node: &Node) {
    let log = node.log.view();
    gauge(
        registry,
        "log_position",
        "Position in the control log",
        log.state.position(),
    );
    gauge(
        registry,
        "log_current",
        "1 once the log was read to its end",
        u64::from(log.current),
    );
    let busy = node.kernel.busy(Stage::Control).as_millis() as u64;
    counter(
        registry,
        "control_busy_milliseconds",
        "Processor time spent on control",
        busy,
    );
    let members = Family::<StatusLabel, Gauge>::default();
    for member in node.membership.view().members.values() {
        let status = match member.status {
            MemberStatus::Alive => "alive",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Suspect => "suspect",
            MemberStatus::Dead => "dead",
        };
        members.get_or_create(&StatusLabel { status }).inc();
    }
    registry.register("members", "Members by status", members);
}

fn register_traffic(registry: &mut Registry, traffic: &Traffic) {
    let sent = Family::<PurposeLabel, Counter>::default();
    let received = Family::<PurposeLabel, Counter>::default();
    let calls = Family::<PurposeLabel, Counter>::default();
    for (purpose, counts) in traffic.by_purpose() {
        let label = PurposeLabel { purpose };
        sent.get_or_create(&label).inc_by(counts.sent);
        received.get_or_create(&label).inc_by(counts.received);
        calls.get_or_create(&label).inc_by(counts.calls);
    }
    registry.register("peer_sent_bytes", "Bytes sent to other nodes", sent);
    registry.register(
        "peer_received_bytes",
        "Bytes received from other nodes",
        received,
    );
    registry.register("peer_calls", "Calls made to other nodes", calls);
}
