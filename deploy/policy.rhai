// How many replicas a model may have: enough for its load at half of a runner's
// slots, and at twelve requests for each at most (prompts that are read there hold
// up its streams), and two for a model that is in steady use, so that the loss of
// one runner costs no cold start. One more may be loaded while a replica cannot be
// reached.
//
// Half of the slots, not a fifth: where runners have 12 slots, a fifth filled half
// of all places with replicas of frequent models, and 53 in 100 requests for rare
// ones waited for a load (45 now; quiet day worth 0.854 -> 0.873, with four requests
// for each replica 0.878, with eight 0.864; a day of load 0.682 -> 0.686, 0.697,
// 0.710; a day of trouble 0.579 -> 0.607, 0.597, 0.605; one play each).
fn decide(context) {
    let busy = context.in_flight + context.waiting;
    let half = if context.slots > 3 { context.slots / 2 } else { 1 };
    let share = if half < 12 { half } else { 12 };
    let by_load = busy / share + 1;
    let steady = if context.requests_per_second > 1.0 { 2 } else { 1 };
    let wanted = if by_load > steady { by_load } else { steady };
    let target = if wanted < context.runners { wanted } else { context.runners };
    #{ replicas: target + 1, target: target }
}
