//! What callers, operators, engines, plain services and nodes' observers saw,
//! in order. Checkers read this and nothing else.

use std::sync::{Arc, Mutex};

use barleyspar_domain::Verdict;
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum RequestEnd {
    /// A whole answer; `right` if it is the one to this request.
    Answered {
        /// Whether it is the answer to this request.
        right: bool,
    },
    /// A refusal.
    Refused {
        /// Reason.
        reason: String,
        /// Verdict.
        verdict: Verdict,
    },
    /// The answer began but broke off, and the caller was told so.
    BrokeOff,
    /// The connection to the node broke, or the node stayed silent beyond any
    /// deadline.
    NodeLost,
}

/// One thing that was seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Event {
    /// A caller makes a request.
    RequestBegins {
        /// Id of this try; the engine or service sees it too.
        request: String,
        /// The node asked.
        node: String,
        /// Milliseconds until its deadline.
        deadline_ms: u64,
    },
    /// The first token came.
    FirstToken {
        /// Id of the try.
        request: String,
    },
    /// A request ended for its caller.
    RequestEnds {
        /// Id of the try.
        request: String,
        /// How.
        end: RequestEnd,
    },
    /// An engine took a load order.
    ReplicaBegins {
        /// Runner.
        runner: String,
        /// Model or, with its base, adapter.
        model: String,
        /// Accelerator memory.
        bytes: u64,
    },
    /// An engine freed the memory.
    ReplicaEnds {
        /// Runner.
        runner: String,
        /// Model or, with its base, adapter.
        model: String,
    },
    /// An engine came up with empty memory of this size.
    EngineStarts {
        /// Runner.
        runner: String,
        /// Accelerator memory.
        memory_bytes: u64,
    },
    /// A runner stands in a zone.
    Placed {
        /// Runner.
        runner: String,
        /// Zone.
        zone: String,
    },
    /// A zone was cut off from the others and the platform.
    ZoneCutOff {
        /// Zone.
        zone: String,
    },
    /// The cut was mended.
    ZoneRejoined {
        /// Zone.
        zone: String,
    },
    /// A back end was told to leave.
    Leaving {
        /// Runner.
        runner: String,
    },
    /// A back end died.
    Died {
        /// Runner.
        runner: String,
    },
    /// A back end began to work on a request.
    WorkBegins {
        /// Runner.
        runner: String,
        /// Id of the try.
        request: String,
        /// The operation, for requests that must not run twice.
        operation: Option<String>,
    },
    /// A change of a model's replica count was committed.
    ReplicasDecided {
        /// Position of the change.
        position: u64,
        /// Model.
        model: String,
        /// Count.
        replicas: u32,
    },
    /// An operator was told that a change is in force in every zone.
    ToldInForce {
        /// Its position.
        position: u64,
    },
    /// An operator was told that a change is accepted.
    Accepted {
        /// Its position.
        position: u64,
    },
    /// The key-value service wrote a change.
    Committed {
        /// Its position.
        position: u64,
    },
    /// An observer saw which position a ready node obeys.
    Obeys {
        /// Node.
        node: String,
        /// Position.
        position: u64,
    },
    /// A node was killed or frozen.
    NodeImpaired {
        /// Node.
        node: String,
    },
    /// The same node runs and is reachable again.
    NodeRestored {
        /// Node.
        node: String,
    },
    /// The node's zone was cut off from the others.
    NodeCutOff {
        /// Node.
        node: String,
    },
    /// The cut was mended.
    NodeRejoined {
        /// Node.
        node: String,
    },
    /// A planned stop of a node began.
    StopBegins {
        /// Node.
        node: String,
    },
    /// It ended, having cut so many tasks.
    StopEnds {
        /// Node.
        node: String,
        /// Tasks cut.
        cut: usize,
    },
    /// A fault was injected or ended.
    Fault {
        /// What.
        what: String,
    },
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Stamped {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// A history being written. Cheap to clone; clones are the same history.
#[derive(Debug, Clone)]
pub struct History {
    started: Instant,
    events: Arc<Mutex<Vec<Stamped>>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl History {
    /// Writes down an event.
    pub fn record(&self, event: Event) {
        let at_ms = self.now_ms();
        self.lock().push(Stamped { at_ms, event });
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        Instant::now().duration_since(self.started).as_millis() as u64
    }

    /// Everything so far.
    pub fn all(&self) -> Vec<Stamped> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Stamped>> {
        self.events.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// SHA-256 of a history: the same seed gives the same digest.
pub fn digest(events: &[Stamped]) -> String {
    let mut hasher = Sha256::new();
    for event in events {
        let line = serde_json::to_vec(event).unwrap_or_default();
        hasher.update(line);
    }
    format!("{:x}", hasher.finalize())
}
