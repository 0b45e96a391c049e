//! Log lines on the planner's steps.

use barleyspar_loading::StepSummary;

/// Logs what a planning step saw, which explains why models that lack replicas get
/// none.
pub fn log_step(summary: &StepSummary) {
    let most_wanted = summary.most_wanted.as_ref();
    tracing::info!(
        event = "placement_step",
        service = &*summary.service,
        lacking = summary.lacking,
        orders = summary.orders,
        store_loads = summary.store_loads,
        store_bound = summary.store_bound,
        store_ready = summary.store_ready,
        known_speeds = summary.known_speeds,
        ignored_speeds = summary.ignored_speeds,
        ignored_prompt_reports = summary.ignored_prompt_reports,
        most_wanted = most_wanted.map(|demand| &*demand.model),
        waiting = most_wanted.map(|demand| demand.waiting),
        in_flight = most_wanted.map(|demand| demand.in_flight),
        replicas = most_wanted.map(|demand| demand.replicas),
        needed = most_wanted.map(|demand| demand.needed),
        reading = most_wanted.map(|demand| demand.reading)
    );
}
