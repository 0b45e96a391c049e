//! Figures of a gateway, in Prometheus' text format. All labels have few values.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.5, 3.0, 6.0, 15.0, 30.0,
];

/// Labels of a request's end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    kind: &'static str,
    outcome: &'static str,
    reason: String,
}

/// Labels of a request that was turned away before a runner was looked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    reason: &'static str,
}

/// Labels of a request's time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    kind: &'static str,
}

/// Labels of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

/// Labels of a connection to a runner that broke under a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BrokenLabels {
    progress: &'static str,
    cause: &'static str,
}

/// The figures.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<EndLabels, Counter>,
    turned_away: Family<ReasonLabels, Counter>,
    quota_decisions: Family<CallLabels, Counter>,
    request_seconds: Family<KindLabels, Histogram>,
    attempts: Family<CallLabels, Counter>,
    limited_answers: Family<CallLabels, Counter>,
    runner_notices: Family<CallLabels, Counter>,
    broken: Family<BrokenLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    store_seconds: Histogram,
    orders: Family<CallLabels, Counter>,
    configuration_version: Gauge<u64, AtomicU64>,
    knowledge_old_seconds: Histogram,
    leading: Gauge,
    nodes: Gauge,
}

fn times() -> Histogram {
    Histogram::new(TIME_BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("barleyspar"),
            requests: Family::default(),
            turned_away: Family::default(),
            quota_decisions: Family::default(),
            request_seconds: Family::new_with_constructor(times),
            attempts: Family::default(),
            limited_answers: Family::default(),
            runner_notices: Family::default(),
            broken: Family::default(),
            store_calls: Family::default(),
            store_seconds: times(),
            orders: Family::default(),
            configuration_version: Gauge::default(),
            knowledge_old_seconds: times(),
            leading: Gauge::default(),
            nodes: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests ended", self.requests.clone());
        registry.register(
            "turned_away",
            "Requests that no runner was looked for",
            self.turned_away.clone(),
        );
        registry.register(
            "quota_decisions",
            "Decisions on limits over all nodes, by owners or by the reserve",
            self.quota_decisions.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time from a request to its end",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register("attempts", "Attempts at runners", self.attempts.clone());
        registry.register(
            "limited_answers",
            "Answers that named the runner's limit, or were expected to",
            self.limited_answers.clone(),
        );
        registry.register(
            "runner_notices",
            "Answers in which a runner said that it leaves, or wants a pause",
            self.runner_notices.clone(),
        );
        registry.register(
            "broken_attempts",
            "Attempts whose connection broke, by the runner's crash or without one",
            self.broken.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register_with_unit(
            "store_call",
            "Time of calls to the store",
            Unit::Seconds,
            self.store_seconds.clone(),
        );
        registry.register("orders", "Orders to runners", self.orders.clone());
        registry.register(
            "configuration_version",
            "Version in force",
            self.configuration_version.clone(),
        );
        registry.register_with_unit(
            "knowledge_old",
            "Times for which this node could not show that it missed no change",
            Unit::Seconds,
            self.knowledge_old_seconds.clone(),
        );
        registry.register(
            "leading",
            "Whether this node orders runners",
            self.leading.clone(),
        );
        registry.register("nodes", "Nodes that share limits", self.nodes.clone());
    }

    /// A request was turned away before a runner was looked for.
    pub fn turned_away(&self, reason: &'static str) {
        self.turned_away
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// A request of a limited tenant was decided on: `call` says by whom.
    pub fn quota_decided(&self, call: &'static str, outcome: &'static str) {
        self.quota_decisions
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// A request ended.
    pub fn request_ended(
        &self,
        kind: RequestKind,
        outcome: &'static str,
        reason: &str,
        took: Duration,
    ) {
        let kind = kind_name(kind);
        let labels = EndLabels {
            kind,
            outcome,
            reason: reason.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        let seconds = took.as_secs_f64();
        self.request_seconds
            .get_or_create(&KindLabels { kind })
            .observe(seconds);
    }

    /// An attempt at a runner ended.
    pub fn attempt_ended(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.attempts.get_or_create(&labels).inc();
    }

    /// A runner that is known to name a limit answered a `call`, or one named a limit.
    pub fn limited_answer(&self, call: &'static str, named: bool) {
        let outcome = if named { "named" } else { "not_named" };
        let labels = CallLabels { call, outcome };
        self.limited_answers.get_or_create(&labels).inc();
    }

    /// A runner said in its answer to a `call` that it leaves, or that it wants a pause.
    pub fn runner_notice(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.runner_notices.get_or_create(&labels).inc();
    }

    /// A connection to a runner broke under a request that had come so far.
    pub fn attempt_broke(&self, progress: &'static str, cause: &'static str) {
        let labels = BrokenLabels { progress, cause };
        self.broken.get_or_create(&labels).inc();
    }

    /// A call to the store ended.
    pub fn store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        let labels = CallLabels { call, outcome };
        self.store_calls.get_or_create(&labels).inc();
        self.store_seconds.observe(took.as_secs_f64());
    }

    /// An order was answered, or not.
    pub fn order(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.orders.get_or_create(&labels).inc();
    }

    /// A configuration is in force.
    pub fn configuration(&self, version: u64) {
        self.configuration_version.set(version);
    }

    /// What this node knows of the store is current again after `lasted`.
    pub fn knowledge_current(&self, lasted: Duration) {
        self.knowledge_old_seconds.observe(lasted.as_secs_f64());
    }

    /// This node began to order runners, or no longer does.
    pub fn leads(&self, leads: bool) {
        self.leading.set(i64::from(leads));
    }

    /// The number of nodes that share limits changed.
    pub fn nodes(&self, nodes: usize) {
        self.nodes.set(nodes as i64);
    }

    /// All figures as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The kind's name in labels.
fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non_idempotent",
        RequestKind::Streaming => "streaming",
    }
}
