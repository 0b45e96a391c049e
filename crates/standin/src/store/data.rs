//! What the store holds: one order of revisions, conditions, leases, history.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_catalog::{Event, Item, Revision, StoreAnswer, StoreCall, StoreError, Transaction};
use bytes::Bytes;
use tokio::time::Instant;

#[derive(Clone)]
struct Stored {
    item: Item,
    lease: u64,
}

/// Items of one page, as the platform's store gives them.
const PAGE_ITEMS: usize = 500;

/// The store's data; its clock is tokio's.
#[derive(Clone, Default)]
pub struct Data {
    era: u32,
    number: u64,
    items: BTreeMap<String, Stored>,
    history: Vec<Event>,
    forgotten_up_to: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl Data {
    /// The era.
    pub(super) fn era(&self) -> u32 {
        self.era
    }

    /// Goes back to `copy`, in a new era.
    pub(super) fn restore(&mut self, copy: &Data) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
    }

    /// The revision of the last change.
    pub(super) fn revision(&self) -> Revision {
        Revision::new(self.era, self.number)
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> StoreAnswer {
        let mut found = self
            .items
            .values()
            .map(|stored| &stored.item)
            .filter(|item| item.key.starts_with(prefix))
            .filter(|item| after.is_none_or(|after| *item.key > *after));
        let items = found.by_ref().take(PAGE_ITEMS).cloned();
        let items = items.map(|item| self.in_this_era(item)).collect();
        StoreAnswer::Page {
            items,
            more: found.next().is_some(),
            revision: self.revision(),
        }
    }

    /// An answer names one era, whenever what it shows was written.
    fn in_this_era(&self, item: Item) -> Item {
        Item {
            revision: Revision::new(self.era, item.revision.number),
            ..item
        }
    }

    /// The value under `key`.
    pub(super) fn get(&self, key: &str) -> Option<Bytes> {
        self.items.get(key).map(|stored| stored.item.value.clone())
    }

    /// Forgets all changes so far, but not what they led to.
    pub(super) fn forget_history(&mut self) {
        self.forgotten_up_to = self.number;
        self.history.clear();
    }

    /// Writes `key`; it goes with `lease` unless that is 0.
    pub(super) fn write(&mut self, key: &str, value: Bytes, lease: u64) {
        self.number += 1;
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision(),
        };
        self.history.push(Event::Written(item.clone()));
        self.items.insert(key.to_owned(), Stored { item, lease });
    }

    /// Removes `key` if it is there.
    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.number += 1;
            self.history.push(Event::Removed {
                key: key.to_owned(),
                revision: self.revision(),
            });
        }
    }

    /// Ends leases whose time is up.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Changes of keys under `prefix` after a revision.
    pub(super) fn events(&self, prefix: &str, after: Revision) -> Result<StoreAnswer, StoreError> {
        // Like a store, it goes by numbers alone.
        let after = after.number;
        if after < self.forgotten_up_to || after > self.number {
            return Err(StoreError::HistoryLost);
        }
        let events = self
            .history
            .iter()
            .filter(|event| match event {
                Event::Written(item) => {
                    item.revision.number > after && item.key.starts_with(prefix)
                }
                Event::Removed { key, revision } => {
                    revision.number > after && key.starts_with(prefix)
                }
            })
            .cloned()
            .map(|event| match event {
                Event::Written(item) => Event::Written(self.in_this_era(item)),
                Event::Removed { key, revision } => Event::Removed {
                    key,
                    revision: Revision::new(self.era, revision.number),
                },
            })
            .collect();
        Ok(StoreAnswer::Events {
            events,
            revision: self.revision(),
        })
    }

    /// Carries a call out that needs no waiting.
    pub(super) fn execute(&mut self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        match call {
            StoreCall::Range { prefix, after, .. } => Ok(self.page(prefix, after.as_deref())),
            StoreCall::Watch { .. } => unreachable!("watches wait"),
            StoreCall::Commit(transaction) => self.commit(transaction),
            StoreCall::GrantLease { time_to_live } => {
                self.number += 1;
                let lease = self.number;
                self.leases
                    .insert(lease, (*time_to_live, Instant::now() + *time_to_live));
                Ok(StoreAnswer::Lease {
                    lease,
                    time_to_live: *time_to_live,
                })
            }
            StoreCall::RenewLease { lease } => {
                let (time_to_live, end) =
                    self.leases.get_mut(lease).ok_or(StoreError::LeaseGone)?;
                *end = Instant::now() + *time_to_live;
                Ok(StoreAnswer::Renewed {
                    time_to_live: *time_to_live,
                })
            }
            StoreCall::EndLease { lease } => {
                self.end_lease(*lease);
                Ok(StoreAnswer::Ended)
            }
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Result<StoreAnswer, StoreError> {
        let holds = transaction.conditions.iter().all(|(key, revision)| {
            let known = self
                .items
                .get(key)
                .map(|stored| stored.item.revision.number);
            known == revision.map(|revision| revision.number)
        });
        if !holds {
            return Ok(StoreAnswer::Conflict);
        }
        let leases = transaction.writes.iter().map(|write| write.lease);
        if leases
            .filter(|lease| *lease != 0)
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return Err(StoreError::LeaseGone);
        }
        for write in &transaction.writes {
            self.write(&write.key, write.value.clone(), write.lease);
        }
        for key in &transaction.removes {
            self.remove(key);
        }
        Ok(StoreAnswer::Committed {
            revision: self.revision(),
        })
    }
}
