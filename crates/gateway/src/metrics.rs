//! Metrics of a gateway, in the Prometheus text format. Each label has few values, so that
//! the number of time series stays small.

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

/// Upper bounds of the buckets of all histograms of durations, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.5, 3.0, 6.0, 15.0, 30.0,
];

/// Labels of requests that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    kind: &'static str,
    outcome: &'static str,
    reason: String,
}

/// Labels of requests that were not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    reason: &'static str,
}

/// Labels of the durations of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    kind: &'static str,
}

/// Labels of calls and decisions: the kind of call, and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

/// Labels of decisions on permits to send prompts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels of connections to runners that broke during a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BrokenLabels {
    progress: &'static str,
    cause: &'static str,
}

/// The metrics of one gateway process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<EndLabels, Counter>,
    turned_away: Family<ReasonLabels, Counter>,
    refused: Family<ReasonLabels, Counter>,
    quota_decisions: Family<CallLabels, Counter>,
    prefill_decisions: Family<OutcomeLabels, Counter>,
    prefill_wait_seconds: Histogram,
    request_seconds: Family<KindLabels, Histogram>,
    attempts: Family<CallLabels, Counter>,
    limited_answers: Family<CallLabels, Counter>,
    runner_notices: Family<CallLabels, Counter>,
    broken: Family<BrokenLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    store_seconds: Histogram,
    orders: Family<CallLabels, Counter>,
    configuration_version: Gauge<u64, AtomicU64>,
    configuration_delay_seconds: Histogram,
    knowledge_old_seconds: Histogram,
    tunnels: Family<CallLabels, Counter>,
    unreachable_runners: Gauge,
    leading: Gauge,
    nodes: Gauge,
}

fn time_histogram() -> Histogram {
    Histogram::new(TIME_BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("barleyspar"),
            requests: Family::default(),
            turned_away: Family::default(),
            refused: Family::default(),
            quota_decisions: Family::default(),
            prefill_decisions: Family::default(),
            prefill_wait_seconds: time_histogram(),
            request_seconds: Family::new_with_constructor(time_histogram),
            attempts: Family::default(),
            limited_answers: Family::default(),
            runner_notices: Family::default(),
            broken: Family::default(),
            store_calls: Family::default(),
            store_seconds: time_histogram(),
            orders: Family::default(),
            configuration_version: Gauge::default(),
            configuration_delay_seconds: time_histogram(),
            knowledge_old_seconds: time_histogram(),
            tunnels: Family::default(),
            unreachable_runners: Gauge::default(),
            leading: Gauge::default(),
            nodes: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Registers all metrics under their names and help texts.
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests ended", self.requests.clone());
        registry.register(
            "turned_away",
            "Requests that no runner was looked for",
            self.turned_away.clone(),
        );
        registry.register(
            "refused",
            "Requests that got no runner, by reason and whether the client came back",
            self.refused.clone(),
        );
        registry.register(
            "quota_decisions",
            "Decisions on limits over all nodes, by owners or by the reserve",
            self.quota_decisions.clone(),
        );
        registry.register(
            "prefill_decisions",
            "Decisions on permits to send prompts",
            self.prefill_decisions.clone(),
        );
        registry.register_with_unit(
            "prefill_wait",
            "Time that prompts waited for their permits",
            Unit::Seconds,
            self.prefill_wait_seconds.clone(),
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
            "configuration_delay",
            "Time within which a version came into force after it was written, at most",
            Unit::Seconds,
            self.configuration_delay_seconds.clone(),
        );
        registry.register_with_unit(
            "knowledge_old",
            "Times for which this node could not show that it missed no change",
            Unit::Seconds,
            self.knowledge_old_seconds.clone(),
        );
        registry.register(
            "tunnels",
            "Answers of peers that were asked to connect to runners, and those given to peers",
            self.tunnels.clone(),
        );
        registry.register(
            "unreachable_runners",
            "Runners to which the last connection attempt failed",
            self.unreachable_runners.clone(),
        );
        registry.register(
            "leading",
            "Whether this node orders runners",
            self.leading.clone(),
        );
        registry.register("nodes", "Nodes that share limits", self.nodes.clone());
    }

    /// Counts a request that was not admitted, by the reason.
    pub fn turned_away(&self, reason: &'static str) {
        self.turned_away
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a request that the dispatcher refused, by the reason.
    pub fn request_refused(&self, reason: &'static str) {
        self.refused.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a decision on a permit request of this node. `call` says on which kind of limit,
    /// and whether the limit owner or this node's reserve decided.
    pub fn quota_decided(&self, call: &'static str, outcome: &'static str) {
        self.quota_decisions
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Counts a decision on a permit to send a prompt to a runner.
    pub fn prefill_decided(&self, outcome: &'static str) {
        self.prefill_decisions
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Records how long a prompt waited for its permit.
    pub fn prefill_waited(&self, waited: Duration) {
        self.prefill_wait_seconds.observe(waited.as_secs_f64());
    }

    /// Counts the end of an admitted request and records how long it took.
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

    /// Counts the end of an attempt at a runner. `outcome`: `answered`, or whether the request
    /// may have run.
    pub fn attempt_ended(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts an answer to a `call` that advertised the runner's rate limit, or was expected
    /// to: `advertised` says whether it did.
    pub fn limit_answer(&self, call: &'static str, advertised: bool) {
        let outcome = if advertised { "named" } else { "not_named" };
        let labels = CallLabels { call, outcome };
        self.limited_answers.get_or_create(&labels).inc();
    }

    /// Counts an answer to a `call` with a signal of the runner: that it is draining, or
    /// requests a pause.
    pub fn runner_signal(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.runner_notices.get_or_create(&labels).inc();
    }

    /// Counts a connection to a runner that broke during a request. `progress`: how far the
    /// request had come; `cause`: whether the runner crashed.
    pub fn connection_broke(&self, progress: &'static str, cause: &'static str) {
        let labels = BrokenLabels { progress, cause };
        self.broken.get_or_create(&labels).inc();
    }

    /// Counts a call to the store and records how long it took.
    pub fn store_call_ended(&self, call: &'static str, outcome: &'static str, took: Duration) {
        let labels = CallLabels { call, outcome };
        self.store_calls.get_or_create(&labels).inc();
        self.store_seconds.observe(took.as_secs_f64());
    }

    /// Counts an order to a runner. `outcome`: the runner's answer, or that there was none.
    pub fn order_ended(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.orders.get_or_create(&labels).inc();
    }

    /// Sets the version of the configuration in force.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version.set(version);
    }

    /// Records that a version came into force at most `at_most` after it was written: before
    /// that time, this node's view was complete without it.
    pub fn configuration_delayed(&self, at_most: Duration) {
        self.configuration_delay_seconds
            .observe(at_most.as_secs_f64());
    }

    /// Records that this node's view of the store is current again after it was stale for
    /// `lasted`.
    pub fn view_current_again(&self, lasted: Duration) {
        self.knowledge_old_seconds.observe(lasted.as_secs_f64());
    }

    /// Counts the answer of a peer that was asked to connect to a runner.
    pub fn tunnel_asked(&self, outcome: &'static str) {
        let labels = CallLabels {
            call: "asked",
            outcome,
        };
        self.tunnels.get_or_create(&labels).inc();
    }

    /// Counts this node's answer to a peer that asked it to connect to a runner.
    pub fn tunnel_served(&self, outcome: &'static str) {
        let labels = CallLabels {
            call: "served",
            outcome,
        };
        self.tunnels.get_or_create(&labels).inc();
    }

    /// Sets the number of runners to which the last connection attempt failed.
    pub fn set_unreachable_runners(&self, runners: usize) {
        self.unreachable_runners.set(runners as i64);
    }

    /// Sets whether this node is the placement leader.
    pub fn set_leading(&self, leads: bool) {
        self.leading.set(i64::from(leads));
    }

    /// Sets the number of nodes over which cluster-wide limits are divided.
    pub fn set_member_count(&self, nodes: usize) {
        self.nodes.set(nodes as i64);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Returns the name of the kind of requests in labels.
fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non_idempotent",
        RequestKind::Streaming => "streaming",
    }
}
