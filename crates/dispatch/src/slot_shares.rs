//! The order of waiting requests, by which tenants share the slots of runners.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use barleyspar_prefill::{TenantKey, TenantShares};

use crate::query::Query;
use crate::queue::WaitingRequest;

/// Least tokens that a request counts as in its tenant's share: requests of plain services
/// name none.
const MIN_COST_TOKENS: u64 = 500;

/// What each tenant was granted lately, by service. The cost of a request is the number of
/// tokens that it keeps in the cache of its runner, which grows with the time for which it
/// holds a slot.
#[derive(Debug, Default)]
pub struct SlotShares {
    by_service: HashMap<Arc<str>, TenantShares>,
}

impl SlotShares {
    /// Counts a request that is granted a runner.
    pub fn charge(&mut self, query: &Query, now: Instant) {
        if let Some(tenant) = query.tenant {
            let shares = self.by_service.entry(query.service.clone()).or_default();
            shares.charge(tenant, cost(query), now);
        }
    }

    /// Sorts waiting requests into the order in which they are served: by priority; within
    /// a priority, those beyond their tenant's share after the others, the furthest beyond
    /// last; then by the time by which clients need their answers, and by ticket. A client that
    /// came back has less time left than a new one, and needs no other mark.
    pub fn sort(&self, entries: &mut Vec<WaitingRequest>) {
        entries.sort_by_key(urgency);
        let least_starts = self.least_starts(entries);
        let mut own_tokens = HashMap::new();
        let mut excesses = Vec::with_capacity(entries.len());
        for entry in entries.iter() {
            excesses.push(self.excess(&entry.query, &least_starts, &mut own_tokens));
        }
        let mut with_excess: Vec<(u64, WaitingRequest)> =
            excesses.into_iter().zip(entries.drain(..)).collect();
        // The sort is stable, so that equals stay in order of urgency.
        with_excess.sort_by_key(|(excess, entry)| (entry.query.priority, *excess));
        entries.extend(with_excess.into_iter().map(|(_, entry)| entry));
    }

    /// Returns by how many tokens a request is beyond its tenant's share, if it is served
    /// after the requests whose tokens are in `own_tokens`, and adds its own.
    fn excess(
        &self,
        query: &Query,
        least_starts: &HashMap<Arc<str>, u64>,
        own_tokens: &mut HashMap<(Arc<str>, TenantKey), u64>,
    ) -> u64 {
        let Some(tenant) = query.tenant else {
            return 0;
        };
        let before = own_tokens
            .entry((query.service.clone(), tenant))
            .or_default();
        let start = self.start(&query.service, tenant).saturating_add(*before);
        *before = before.saturating_add(cost(query));
        TenantShares::excess(start, least_starts[&query.service])
    }

    /// Returns for each service the virtual time at which the next request starts of the
    /// waiting tenant that was granted least.
    fn least_starts(&self, entries: &[WaitingRequest]) -> HashMap<Arc<str>, u64> {
        let mut least_starts = HashMap::new();
        for query in entries.iter().map(|entry| &entry.query) {
            if let Some(tenant) = query.tenant {
                let start = self.start(&query.service, tenant);
                let least = least_starts.entry(query.service.clone()).or_insert(start);
                *least = start.min(*least);
            }
        }
        least_starts
    }

    fn start(&self, service: &Arc<str>, tenant: TenantKey) -> u64 {
        let shares = self.by_service.get(service);
        shares.map_or(0, |shares| shares.start(tenant))
    }
}

fn cost(query: &Query) -> u64 {
    query.cache_tokens.max(MIN_COST_TOKENS)
}

fn urgency(entry: &WaitingRequest) -> impl Ord + use<> {
    (entry.query.priority, entry.query.due_at, entry.ticket)
}
