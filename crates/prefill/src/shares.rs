//! Shares of tenants in what is granted while it is short: start-time fair queueing.
//!
//! Virtual time counts the tokens that each tenant with waiting prompts was granted. A
//! tenant's next prompt starts where its last one finished, or at the virtual time if that
//! is later, so what a tenant leaves unused is neither saved nor owed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::TenantKey;

/// Tokens that a tenant may be ahead of the one that was granted least: several prompts of
/// usual length, within which prompts go by their targets alone.
const TOLERATED_LEAD_TOKENS: u64 = 16_000;
/// Time after a tenant's last grant at which its lead is forgotten, so that a long prompt
/// granted while nobody waited does not count in a later shortage.
const LEAD_LIFETIME: Duration = Duration::from_secs(10);
/// Largest number of tenants that are known at a time.
const MAX_TENANTS: usize = 1024;

/// The last grant of a tenant.
#[derive(Debug, Clone, Copy)]
struct LastGrant {
    /// Virtual time at which the granted prompt finished, in tokens.
    finish: u64,
    at: Instant,
}

/// What each tenant was granted lately. All tenants have the same weight.
#[derive(Debug, Default)]
pub struct TenantShares {
    /// Lower bound of the virtual time at which a waiting prompt can start, in tokens.
    virtual_time: u64,
    last_grants: HashMap<TenantKey, LastGrant>,
}

impl TenantShares {
    /// Returns the virtual time, in tokens, at which the next prompt of `tenant` starts.
    pub fn start(&self, tenant: TenantKey) -> u64 {
        let finish = self.last_grants.get(&tenant).map(|last| last.finish);
        finish.map_or(self.virtual_time, |finish| finish.max(self.virtual_time))
    }

    /// Whether `tenant` was granted more than its share, if the next prompt of the waiting
    /// tenant that was granted least starts at the virtual time `least_start`.
    pub fn is_over_share(&self, tenant: TenantKey, least_start: u64) -> bool {
        Self::excess(self.start(tenant), least_start) > 0
    }

    /// Returns by how many tokens a prompt that starts at the virtual time `start` is beyond
    /// its tenant's share; 0 if it is within it.
    pub fn excess(start: u64, least_start: u64) -> u64 {
        start.saturating_sub(least_start.saturating_add(TOLERATED_LEAD_TOKENS))
    }

    /// Returns the tokens that `tenant` may be granted before a prompt of another one that
    /// starts at the virtual time `other_start`.
    pub fn tokens_before(&self, tenant: TenantKey, other_start: u64) -> u64 {
        let end = other_start.saturating_add(TOLERATED_LEAD_TOKENS);
        end.saturating_sub(self.start(tenant))
    }

    /// Counts `tokens` granted to `tenant`, and forgets tenants that have no lead.
    pub fn charge(&mut self, tenant: TenantKey, tokens: u64, now: Instant) {
        let start = self.start(tenant);
        let finish = start.saturating_add(tokens);
        self.last_grants
            .insert(tenant, LastGrant { finish, at: now });
        // Tenants over their share go last, so no waiting one starts before this.
        let least_start = start.saturating_sub(TOLERATED_LEAD_TOKENS);
        self.virtual_time = self.virtual_time.max(least_start);
        self.forget(now);
    }

    /// Takes back the charge of `tokens` granted to `tenant`, which were not used.
    pub fn take_back(&mut self, tenant: TenantKey, tokens: u64) {
        if let Some(last) = self.last_grants.get_mut(&tenant) {
            last.finish = last.finish.saturating_sub(tokens);
        }
    }

    fn forget(&mut self, now: Instant) {
        let virtual_time = self.virtual_time;
        self.last_grants.retain(|_, last| {
            last.finish > virtual_time && now.saturating_duration_since(last.at) < LEAD_LIFETIME
        });
        while self.last_grants.len() > MAX_TENANTS {
            self.forget_least_lead();
        }
    }

    /// Forgets the tenant with the smallest lead, and moves the virtual time so that it gains
    /// nothing by that.
    fn forget_least_lead(&mut self) {
        let leads = self.last_grants.iter();
        let least = leads.min_by_key(|(tenant, last)| (last.finish, **tenant));
        let Some((tenant, finish)) = least.map(|(tenant, last)| (*tenant, last.finish)) else {
            return;
        };
        self.last_grants.remove(&tenant);
        self.virtual_time = self.virtual_time.max(finish);
    }
}

#[cfg(test)]
#[path = "shares_tests.rs"]
mod tests;
