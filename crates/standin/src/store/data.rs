//! Data of the store: items, numbered revisions, transactions, leases and the history of
//! changes.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_catalog::{Event, Item, Revision, StoreAnswer, StoreCall, StoreError, Transaction};
use bytes::Bytes;
use tokio::time::Instant;

/// An item and the lease that it belongs to.
#[derive(Clone)]
struct LeasedItem {
    item: Item,
    /// Id of the lease whose end removes the item; 0 for none.
    lease: u64,
}

/// Maximum number of items in a page, as in the platform's store, unless a test sets another
/// one.
const PAGE_ITEMS: usize = 500;

/// All data of the store at one time. Leases end by tokio's clock.
#[derive(Clone)]
pub struct StoreData {
    era: u32,
    /// Number given to the last change or lease; both take their numbers from this counter.
    last_number: u64,
    items: BTreeMap<String, LeasedItem>,
    history: Vec<Event>,
    /// Number of the last change that is removed from the history; 0 if none is.
    compacted_up_to: u64,
    /// Time to live and end of each lease, by its id.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Maximum number of items in a page.
    page_items: usize,
}

impl Default for StoreData {
    fn default() -> Self {
        Self {
            era: 0,
            last_number: 0,
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted_up_to: 0,
            leases: BTreeMap::new(),
            page_items: PAGE_ITEMS,
        }
    }
}

impl StoreData {
    /// Era of the store: the number of times that it was restored from a backup.
    pub(super) fn era(&self) -> u32 {
        self.era
    }

    /// Replaces all data by `backup` and begins a new era.
    pub(super) fn restore(&mut self, backup: &StoreData) {
        let era = self.era + 1;
        *self = backup.clone();
        self.era = era;
    }

    /// Revision of the last change, in the current era.
    pub(super) fn revision(&self) -> Revision {
        Revision::new(self.era, self.last_number)
    }

    /// Returns the next page of items under `prefix`, with keys after `after`.
    fn page(&self, prefix: &str, after: Option<&str>) -> StoreAnswer {
        let mut remaining = self
            .items
            .values()
            .map(|stored| &stored.item)
            .filter(|item| item.key.starts_with(prefix))
            .filter(|item| after.is_none_or(|after| *item.key > *after));
        let items = remaining.by_ref().take(self.page_items).cloned();
        let items = items.map(|item| self.with_current_era(item)).collect();
        StoreAnswer::Page {
            items,
            more: remaining.next().is_some(),
            revision: self.revision(),
        }
    }

    /// Returns the item with the current era in its revision: all revisions of an answer have
    /// the same era, also those of items written in an earlier one.
    fn with_current_era(&self, item: Item) -> Item {
        Item {
            revision: Revision::new(self.era, item.revision.number),
            ..item
        }
    }

    /// Returns the value under `key`; `None` if there is no such item.
    pub(super) fn get(&self, key: &str) -> Option<Bytes> {
        self.items.get(key).map(|stored| stored.item.value.clone())
    }

    /// Sets the maximum number of items in a page.
    pub(super) fn set_page_items(&mut self, count: usize) {
        self.page_items = count;
    }

    /// Removes all changes so far from the history. The items stay.
    pub(super) fn compact_history(&mut self) {
        self.compacted_up_to = self.last_number;
        self.history.clear();
    }

    /// Writes an item. It is removed when `lease` ends; 0 stands for no lease.
    pub(super) fn write(&mut self, key: &str, value: Bytes, lease: u64) {
        self.last_number += 1;
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision(),
        };
        self.history.push(Event::Written(item.clone()));
        self.items
            .insert(key.to_owned(), LeasedItem { item, lease });
    }

    /// Removes the item under `key`, if there is one.
    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.last_number += 1;
            self.history.push(Event::Removed {
                key: key.to_owned(),
                revision: self.revision(),
            });
        }
    }

    /// Ends leases that were not renewed in time, and removes their items.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
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

    /// Returns the changes after the change `number` that the history still holds, in order.
    pub(super) fn changes_after(&self, number: u64) -> impl Iterator<Item = &Event> {
        let start = self
            .history
            .partition_point(|event| event.revision().number <= number);
        self.history[start..].iter()
    }

    /// Returns the changes of keys under `prefix` after a revision. Fails if the history does
    /// not reach back to it, or if it is in the future.
    pub(super) fn events(&self, prefix: &str, after: Revision) -> Result<StoreAnswer, StoreError> {
        // Only numbers are compared, as in the platform's store: the era is ignored.
        let after = after.number;
        if after < self.compacted_up_to || after > self.last_number {
            return Err(StoreError::HistoryLost);
        }
        let events = self
            .changes_after(after)
            .filter(|event| event.key().starts_with(prefix))
            .cloned()
            .map(|event| match event {
                Event::Written(item) => Event::Written(self.with_current_era(item)),
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

    /// Executes a call that is answered at once. Panics for a watch, which waits for changes
    /// and is answered by [`StoreStandIn`](super::StoreStandIn).
    pub(super) fn execute(&mut self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        match call {
            StoreCall::Range { prefix, after, .. } => Ok(self.page(prefix, after.as_deref())),
            StoreCall::Watch { .. } => unreachable!("watches are answered by the stand-in"),
            StoreCall::Commit(transaction) => self.commit(transaction),
            StoreCall::GrantLease { time_to_live } => {
                self.last_number += 1;
                let lease = self.last_number;
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

    /// Executes a transaction; if one of its conditions fails, it changes nothing.
    fn commit(&mut self, transaction: &Transaction) -> Result<StoreAnswer, StoreError> {
        let conditions_hold = transaction.conditions.iter().all(|(key, revision)| {
            let current = self
                .items
                .get(key)
                .map(|stored| stored.item.revision.number);
            current == revision.map(|revision| revision.number)
        });
        if !conditions_hold {
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
