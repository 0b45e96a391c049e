//! A client that follows one stream of events over several tries, each at the next gateway.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::{Answer, ClientRequest, send_request};
use crate::dialect::names;
use crate::network::MemoryNetwork;
use crate::runner_body::STREAM_EVENTS;

/// Time from the first try for which the client waits for the stream's end.
const PATIENCE: Duration = Duration::from_secs(12);
/// Longest wait for the end of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two tries if the answer names none.
const PAUSE: Duration = Duration::from_millis(100);

/// What a client got of one stream, over all its tries.
#[derive(Debug, Clone, Default)]
pub struct FollowedStream {
    /// Ids of the events, in the order in which they arrived.
    pub event_ids: Vec<u64>,
    /// Software versions that wrote the events, one for each.
    pub software: Vec<String>,
    /// Status of each try; 0 for one without an answer.
    pub statuses: Vec<u16>,
    /// Number of tries that took the stream up after an event.
    pub resumed_tries: usize,
}

impl FollowedStream {
    /// Whether all events of a stream arrived, once each and in order.
    pub fn is_whole(&self) -> bool {
        self.event_ids.iter().copied().eq(1..=STREAM_EVENTS)
    }

    /// Whether events of different software versions arrived.
    pub fn mixes_versions(&self) -> bool {
        self.software.windows(2).any(|pair| pair[0] != pair[1])
    }
}

/// A client that takes a broken stream up again, naming the try that began it.
pub(crate) struct StreamClient {
    pub network: MemoryNetwork,
    /// Host from which the client connects.
    pub from: IpAddr,
    /// Gateways to which the tries go in turn.
    pub gateways: Vec<SocketAddr>,
    pub path: &'static str,
    pub model: &'static str,
    /// Body of all tries, and the start of their ids.
    pub id: String,
}

impl StreamClient {
    /// Sends tries until the stream is whole or [`PATIENCE`] is over.
    pub async fn follow(self) -> FollowedStream {
        let started = Instant::now();
        let mut stream = FollowedStream::default();
        let mut began_as: Option<String> = None;
        while !stream.is_whole() && started.elapsed() < PATIENCE {
            let id = format!("{}-{}", self.id, stream.statuses.len());
            stream.resumed_tries += usize::from(began_as.is_some());
            let answer = self.send(&stream, &id, began_as.as_deref(), started).await;
            stream.statuses.push(answer.code());
            stream.event_ids.extend(answer.event_ids());
            stream.software.extend(answer.event_software());
            if began_as.is_none() && !stream.event_ids.is_empty() {
                began_as = Some(id);
            }
            if !stream.is_whole() {
                sleep(PAUSE).await;
            }
        }
        stream
    }

    async fn send(
        &self,
        stream: &FollowedStream,
        id: &str,
        began_as: Option<&str>,
        started: Instant,
    ) -> Answer {
        let gateway = self.gateways[stream.statuses.len() % self.gateways.len()];
        let last_event = stream.event_ids.last().map(u64::to_string);
        let resumed = began_as.zip(last_event.as_deref());
        let extra: Vec<(&str, &str)> = resumed
            .map(|(began_as, after)| vec![(names::RESUMES, began_as), (names::AFTER_EVENT, after)])
            .unwrap_or_default();
        let client_request = ClientRequest {
            model: Some(self.model),
            body: Some(&self.id),
            extra: &extra,
            deadline: PATIENCE.saturating_sub(started.elapsed()).min(TRY_TIMEOUT),
            ..ClientRequest::plain(self.from, gateway, self.path, id)
        };
        send_request(&self.network, client_request).await
    }
}
