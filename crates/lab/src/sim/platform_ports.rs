//! The key-value service and the machine list over the in-memory network.

use std::time::Duration;

use async_trait::async_trait;
use barleyspar_peer::Traffic;
use barleyspar_platform::key_value::{
    KeyEntry, KeyValue, KeyValueError, Swap, SwapOutcome, VersionedValue,
};
use barleyspar_platform::machines::{Listing, MachineList, MachineListError};

use super::network::{Fate, Network, Place};
use crate::standins::key_value::KeyValueStandIn;
use crate::standins::machines::MachineListStandIn;

/// How long a caller waits for a lost message.
const TIME_LIMIT: Duration = Duration::from_secs(5);
const KEY_VALUE: &str = "key-value service";
const MACHINE_LIST: &str = "machine list";
/// Bytes of the HTTP headers of a message and of its answer.
const HTTP_OVERHEAD_BYTES: usize = 300;

/// The way of one node to the platform.
#[derive(Clone)]
pub struct Way {
    /// The network.
    pub network: Network,
    /// Where the node is.
    pub place: Place,
    /// The node's traffic.
    pub traffic: Traffic,
}

impl Way {
    async fn there(&self) -> Result<(), KeyValueError> {
        self.pass(&self.place, &Place::Platform).await
    }

    async fn back<T>(&self, result: T) -> Result<T, KeyValueError> {
        self.pass(&Place::Platform, &self.place).await?;
        Ok(result)
    }

    async fn pass(&self, from: &Place, to: &Place) -> Result<(), KeyValueError> {
        match self.network.fate(from, to) {
            Fate::Arrives(delay, _) => {
                tokio::time::sleep(delay).await;
                Ok(())
            }
            Fate::Lost => {
                tokio::time::sleep(TIME_LIMIT).await;
                Err(KeyValueError::Unknown("no answer in time".to_owned()))
            }
        }
    }

    fn count(&self, purpose: &'static str, sent: usize, received: usize) {
        self.traffic.count_sent(purpose, sent + HTTP_OVERHEAD_BYTES);
        self.traffic
            .count_received(purpose, received + HTTP_OVERHEAD_BYTES);
    }
}

/// The key-value service as one node reaches it.
pub struct KeyValuePort {
    /// The way there.
    pub way: Way,
    /// The service.
    pub service: KeyValueStandIn,
}

fn listed_bytes(listed: &Result<Vec<KeyEntry>, KeyValueError>) -> usize {
    let entries = listed.as_ref().map_or(&[][..], Vec::as_slice);
    let sizes = entries
        .iter()
        .map(|entry| entry.key.len() + entry.versioned.value.len());
    sizes.sum()
}

#[async_trait]
impl KeyValue for KeyValuePort {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KeyValueError> {
        self.way.there().await?;
        let result = self.service.get(key).await;
        let found = result.as_ref().ok().and_then(Option::as_ref);
        self.way.count(
            KEY_VALUE,
            key.len(),
            found.map_or(0, |value| value.value.len()),
        );
        self.way.back(result).await?
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyEntry>, KeyValueError> {
        self.way.there().await?;
        let result = self.service.list(prefix, after, limit).await;
        self.way
            .count(KEY_VALUE, after.len(), listed_bytes(&result));
        self.way.back(result).await?
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        wait: Duration,
    ) -> Result<Vec<KeyEntry>, KeyValueError> {
        self.way.there().await?;
        let result = self.service.watch(prefix, after, limit, wait).await;
        self.way
            .count(KEY_VALUE, after.len(), listed_bytes(&result));
        self.way.back(result).await?
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.way.there().await?;
        self.way
            .count(KEY_VALUE, swap.key.len() + swap.value.len(), 0);
        let result = self.service.swap(swap).await;
        self.way.back(result).await?
    }

    async fn delete(&self, key: &str) -> Result<(), KeyValueError> {
        self.way.there().await?;
        self.way.count(KEY_VALUE, key.len(), 0);
        let result = self.service.delete(key).await;
        self.way.back(result).await?
    }
}

/// The machine list as one node reaches it.
pub struct MachineListPort {
    /// The way there.
    pub way: Way,
    /// The list.
    pub list: MachineListStandIn,
}

#[async_trait]
impl MachineList for MachineListPort {
    async fn list(&self, known: Option<&str>) -> Result<Listing, MachineListError> {
        let lost = |error: KeyValueError| MachineListError(error.to_string());
        self.way.there().await.map_err(lost)?;
        let result = self.list.list(known).await;
        let machines = result.as_ref().ok().and_then(|l| l.machines.as_ref());
        let bytes = machines.map_or(0, |list| list.len() * LISTED_BYTES);
        self.way.count(MACHINE_LIST, 0, bytes);
        self.way.back(result).await.map_err(lost)?
    }
}

/// Bytes of one machine in the list's JSON.
const LISTED_BYTES: usize = 180;
