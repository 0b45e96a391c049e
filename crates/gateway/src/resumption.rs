//! Decides at which software version a stream goes on that a client takes up again, often at
//! another gateway than the one that began it.

use std::time::Duration;

use barleyspar_catalog::{RequestKind, SoftwareVersion};

use crate::exchange::Exchange;
use crate::journal;
use crate::origins::StreamKey;

/// Shortest time for which a client may be assumed to take a stream up. A route's present timeout
/// may be shorter than the one under which the stream began.
const MIN_CLIENT_PATIENCE: Duration = Duration::from_secs(60);
/// Time for which runners' entries may be known here and not yet at other gateways.
const ENTRY_LAG: Duration = Duration::from_secs(5);

/// Binds a request that resumes a stream to the software version that began it. Returns
/// false if that version is unknown: the request must not run then, since what another
/// version writes would not fit to the events that the client has.
pub async fn bind_to_origin(exchange: &mut Exchange) -> bool {
    let is_stream = exchange.route.kind == RequestKind::Streaming;
    if !is_stream || !exchange.facts.resumes_stream() {
        return true;
    }
    let (origin, source) = match recorded_origin(exchange).await {
        Some(recorded) => (Some(recorded), "record"),
        None => sole_version(exchange).await,
    };
    journal::stream_origin(exchange.id(), origin.as_ref(), source);
    exchange.software = origin;
    exchange.software.is_some()
}

async fn recorded_origin(exchange: &Exchange) -> Option<SoftwareVersion> {
    let began_as = exchange.facts.resumes.as_deref()?;
    let stream = StreamKey::new(exchange.outgoing.fingerprint, began_as);
    exchange.context.origins.look_up(stream).await
}

/// Returns the only version that can have begun any stream that is taken up now; `None` if
/// there may have been several: of a client that names no attempt nothing else is known. The
/// second value says for the log by what this was decided.
async fn sole_version(exchange: &Exchange) -> (Option<SoftwareVersion>, &'static str) {
    const KNOWN_HERE: &str = "sole_version";
    let context = &exchange.context;
    let patience = exchange.route.timeout.unwrap_or_default();
    let time = patience.max(MIN_CLIENT_PATIENCE) + ENTRY_LAG;
    let sole_software = || {
        let service = exchange.service.clone();
        context.dispatch.sole_software(service, time)
    };
    if sole_software().await.is_none() {
        return (None, KNOWN_HERE);
    }
    // The runner that began the stream was in the store before the client came here. Whether this
    // node knew of it then cannot be told by the age of its view, which may be older than it looks.
    if !context.confirmations.confirm(exchange.received).await {
        return (None, "store_unanswered");
    }
    (sole_software().await, KNOWN_HERE)
}
