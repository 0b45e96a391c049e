//! The small site of the scripts: services, models and routes, after the site amg-donorbook.

use std::time::Duration;

use crate::json::Json;

/// Host of all routes.
pub const HOST: &str = "donors.example";
/// Zones of the site.
pub const ZONES: [&str; 3] = ["osu-hall", "tema-hall", "legon-hall"];
/// Memory of a runner for weights and adapters, and of a model's weights.
pub const ACCELERATOR_MB: u64 = 200_000;
pub const MODEL_MB: u64 = 72_700;
pub const ADAPTER_PLACES: u64 = 8;
/// Requests that a runner works on at once.
pub const SLOTS: u64 = 64;
/// Time for which a model is loaded, and age of what reports tell.
pub const LOAD_TIME: Duration = Duration::from_millis(4300);
pub const REPORT_LAG: Duration = Duration::from_millis(100);

/// The operator's configuration with these models.
pub fn configuration(version: u64, models: &[&str]) -> String {
    let route = |name: &str, deadline_ms: u64, target_ms: u64, priority: u64| {
        Json::object([
            ("name", Json::text(name)),
            ("host", Json::text(HOST)),
            ("pathPrefix", Json::text(format!("/{name}/"))),
            ("kind", Json::text("streaming")),
            ("service", Json::text("donor-llm")),
            ("timeoutMs", deadline_ms.into()),
            ("targetLatencyMs", target_ms.into()),
            ("targetGapMs", 300.into()),
            ("priority", priority.into()),
            ("maxAttempts", 1.into()),
            ("resumable", Json::Bool(false)),
            ("sessionAffinity", Json::Bool(true)),
        ])
    };
    let model = |name: &&str| {
        Json::object([
            ("name", Json::text(*name)),
            ("weightsMb", MODEL_MB.into()),
            ("loadTimeS", Json::Number(4.3)),
            ("diskLoadS", Json::Number(1.7)),
            ("warmUpS", Json::Number(1.3)),
            ("adapters", 0.into()),
            ("adapterMb", 66.into()),
        ])
    };
    let engine = Json::object([
        ("slots", SLOTS.into()),
        ("kvCacheTokens", 130_679.into()),
        ("weightsMb", ACCELERATOR_MB.into()),
        ("adapterCapacity", ADAPTER_PLACES.into()),
        ("loadsPerS", Json::Number(2.2)),
        ("models", Json::List(models.iter().map(model).collect())),
    ]);
    let service = Json::object([
        ("name", Json::text("donor-llm")),
        ("connectionLimit", 360.into()),
        ("healthCheckPath", Json::text("/health")),
        ("inferenceEngine", engine),
    ]);
    let limits = Json::object([
        ("maxHeaderBytes", 16_384.into()),
        ("maxBodyBytes", 4_194_304.into()),
        ("headerTimeoutMs", 5_000.into()),
        ("idleTimeoutMs", 15_000.into()),
    ]);
    let routes = vec![
        route("eligibility-chat", 15_000, 600, 1),
        route("reminder-draft", 25_000, 6_000, 2),
    ];
    Json::object([
        ("version", version.into()),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
    .to_string()
}
