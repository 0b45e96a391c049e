// How many replicas a model may have: enough for its load at a fifth of a
// runner's slots (prompts that are read there hold up its streams), and two for a
// model that is in steady use, so that the loss
// of one runner costs no cold start. One more may be loaded while a replica
// cannot be reached.
fn decide(context) {
    let busy = context.in_flight + context.waiting;
    let share = if context.slots > 5 { context.slots / 5 } else { 1 };
    let by_load = busy / share + 1;
    let steady = if context.requests_per_second > 1.0 { 2 } else { 1 };
    let wanted = if by_load > steady { by_load } else { steady };
    let target = if wanted < context.runners { wanted } else { context.runners };
    #{ replicas: target + 1, target: target }
}
