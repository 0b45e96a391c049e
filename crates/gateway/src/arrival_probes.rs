//! Asks runners for a sign that they read, where the retry budget waits for one.
//!
//! What was sent to a runner and not answered may yet arrive there, and holds its place in the
//! budget. An answer to a later call shows that it has arrived. Without these calls, a runner that
//! fails each request would hold the places of others for as long as its entry stands.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::Runner;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Request;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep};

use crate::context::Context;
use crate::runner_call::call;

/// Time between two looks for runners to ask.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the end of a call to a runner to the next one.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Asks the runners that owe a sign, for as long as the process runs.
pub async fn probe_runners(context: Context) {
    let mut probes = FuturesUnordered::new();
    let mut asked = HashSet::new();
    let mut looks = interval_at(Instant::now() + LOOK_INTERVAL, LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(runner) = probes.next() => {
                asked.remove(&runner);
            }
            _ = looks.tick() => {
                let due = context.dispatch.runners_to_probe().await;
                let due = due.into_iter().filter(|runner| asked.insert(runner.id.clone()));
                probes.extend(due.map(|runner| probe(&context, runner)));
            }
        }
    }
}

/// Asks `runner` once, and returns its id once it may be asked again. An answer, whatever it says,
/// is recorded by the call.
async fn probe(context: &Context, runner: Arc<Runner>) -> Arc<str> {
    let request = probe_request(context, &runner);
    if let Err(error) = call(context, &runner, "probe", request, || true).await {
        tracing::info!(event = "probe_unanswered", runner = &*runner.id, cause = %error);
    }
    sleep(PROBE_PAUSE).await;
    runner.id.clone()
}

/// Returns the call that costs `runner` least: a report needs no slot, and plain runners have
/// none.
fn probe_request(context: &Context, runner: &Runner) -> Request<Bytes> {
    let routes = context.routes.borrow();
    let configuration = routes.as_ref().map(|routes| routes.configuration());
    let service = configuration.and_then(|known| known.services.get(&runner.service));
    let is_plain = service.is_some_and(|service| service.engine.is_none());
    match service.and_then(|service| service.health_path.as_deref()) {
        Some(path) if is_plain => context.dialect.health_call(&runner.name, path),
        _ => context.dialect.report_call(&runner.name),
    }
}
