//! Brings incoming calls to the services of this node.

use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};

use async_trait::async_trait;
use bytes::Bytes;

use crate::PeerError;

/// A service that answers calls of other nodes.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles one call.
    async fn handle(&self, body: Bytes) -> Result<Bytes, PeerError>;
}

/// Services of one node that answer calls, by name.
#[derive(Clone, Default)]
pub struct PeerDispatch {
    handlers: Arc<RwLock<BTreeMap<&'static str, Arc<dyn PeerHandler>>>>,
}

impl PeerDispatch {
    /// Lets `handler` answer calls to `service`.
    pub fn register(&self, service: &'static str, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.handlers.write().unwrap_or_else(|e| e.into_inner());
        handlers.insert(service, handler);
    }

    /// The name under which `service` is registered, for counting.
    pub fn registered_name(&self, service: &str) -> &'static str {
        let handlers = self.handlers.read().unwrap_or_else(|e| e.into_inner());
        let found = handlers.get_key_value(service);
        found.map_or("unknown", |(name, _)| *name)
    }

    /// Handles one incoming call.
    pub async fn handle(&self, service: &str, body: Bytes) -> Result<Bytes, PeerError> {
        let handler = {
            let handlers = self.handlers.read().unwrap_or_else(|e| e.into_inner());
            handlers.get(service).cloned()
        };
        match handler {
            Some(handler) => handler.handle(body).await,
            None => Err(PeerError::Refused(format!("no service {service}"))),
        }
    }
}
