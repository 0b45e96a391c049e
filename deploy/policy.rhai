// How many replicas a model may have: enough for its load at half of a runner's
// slots, and at twelve requests for each at most (prompts that are read there hold
// up its streams); enough that each reads prompts at most half of its time, so that
// prompts rarely meet; and two for a model that is in steady use, so that the loss of
// one runner costs no cold start. One more may be loaded while a replica cannot be
// reached. docs/CAPACITY.md tells how the numbers were chosen.
fn decide(context) {
    let busy = context.in_flight + context.waiting;
    let half = if context.slots > 3 { context.slots / 2 } else { 1 };
    let share = if half < 12 { half } else { 12 };
    let by_load = busy / share + 1;
    let by_reading = (context.reading * 2.0).ceiling().to_int();
    let steady = if context.requests_per_second > 1.0 { 2 } else { 1 };
    let by_need = if by_load > by_reading { by_load } else { by_reading };
    let wanted = if by_need > steady { by_need } else { steady };
    let target = if wanted < context.runners { wanted } else { context.runners };
    #{ replicas: target + 1, target: target }
}
