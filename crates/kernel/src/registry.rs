//! Name service of one node: a service registers its address under a name,
//! others look it up with the message type they expect.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};

use thiserror::Error;

use crate::Address;

/// Why a look-up gave no address.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RegistryError {
    /// No service has this name.
    #[error("no service is registered as {0}")]
    Unknown(&'static str),
    /// The service takes messages of another type.
    #[error("service {0} takes messages of another type")]
    WrongType(&'static str),
}

type Entry = Arc<dyn Any + Send + Sync>;

/// Names and addresses of the services of one node.
#[derive(Clone, Default)]
pub struct Registry {
    entries: Arc<RwLock<BTreeMap<&'static str, Entry>>>,
}

impl Registry {
    /// Registers `address` under `name`, replacing an earlier one.
    pub fn register<M: Send + 'static>(&self, name: &'static str, address: Address<M>) {
        let mut entries = self.entries.write().unwrap_or_else(|e| e.into_inner());
        entries.insert(name, Arc::new(address));
    }

    /// The address registered under `name`.
    pub fn find<M: Send + 'static>(&self, name: &'static str) -> Result<Address<M>, RegistryError> {
        let entries = self.entries.read().unwrap_or_else(|e| e.into_inner());
        let entry = entries.get(name).ok_or(RegistryError::Unknown(name))?;
        entry
            .downcast_ref::<Address<M>>()
            .cloned()
            .ok_or(RegistryError::WrongType(name))
    }
}
