//! What the planner's steps see, in the log.

use barleyspar_loading::StepSummary;

/// Says in the log what a step saw: why models that lack replicas get none.
pub fn tell(summary: &StepSummary) {
    let most = summary.most_wanted.as_ref();
    tracing::info!(
        event = "placement_step",
        service = &*summary.service,
        lacking = summary.lacking,
        orders = summary.orders,
        store_loads = summary.store_loads,
        store_bound = summary.store_bound,
        store_ready = summary.store_ready,
        most_wanted = most.map(|most| &*most.model),
        waiting = most.map(|most| most.waiting),
        in_flight = most.map(|most| most.in_flight),
        replicas = most.map(|most| most.replicas),
        needed = most.map(|most| most.needed)
    );
}
