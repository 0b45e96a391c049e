//! Prompt tokens that callers ask of each model at this node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;
use barleyspar_domain::decay_factor;
use serde::{Deserialize, Serialize};

use crate::demand::RATE_HALF_LIFE;
use crate::dispatcher::Dispatcher;
use crate::query::Query;

/// Half-life of the recent rates, which show a rise of the demand while it happens.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Tokens a second below which earlier prompts are ignored. This bounds the number of
/// entries that a node reports.
const NEGLIGIBLE_TOKENS_PER_SECOND: f64 = 10.0;

/// Prompt tokens asked of one model of one service at one node, as reported to the
/// placement leader. Prompts for the model's adapters are included.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptDemandItem {
    /// Name of the service that the requests are for.
    pub service: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Exponentially decaying rate, in tokens a second.
    pub tokens_per_second: f32,
    /// Rate with a half-life of one second, in tokens a second.
    pub recent_tokens_per_second: f32,
    /// Rate of the requests that ask these tokens, with a half-life of one second, in
    /// requests a second.
    pub recent_requests_per_second: f32,
}

/// Exponentially decaying rates of one model, as of `updated_at`.
#[derive(Debug, Clone, Copy)]
struct PromptRates {
    tokens: f64,
    recent_tokens: f64,
    recent_requests: f64,
    updated_at: Instant,
}

impl PromptRates {
    fn none(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            recent_tokens: 0.0,
            recent_requests: 0.0,
            updated_at: now,
        }
    }

    fn decayed(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.updated_at);
        let recent_factor = decay_factor(age, RECENT_HALF_LIFE);
        Self {
            tokens: self.tokens * decay_factor(age, RATE_HALF_LIFE),
            recent_tokens: self.recent_tokens * recent_factor,
            recent_requests: self.recent_requests * recent_factor,
            updated_at: now,
        }
    }

    fn with_prompt(self, tokens: u64) -> Self {
        let per_second = |half_life: Duration| std::f64::consts::LN_2 / half_life.as_secs_f64();
        let tokens = tokens as f64;
        Self {
            tokens: self.tokens + tokens * per_second(RATE_HALF_LIFE),
            recent_tokens: self.recent_tokens + tokens * per_second(RECENT_HALF_LIFE),
            recent_requests: self.recent_requests + per_second(RECENT_HALF_LIFE),
            updated_at: self.updated_at,
        }
    }

    fn is_negligible(&self) -> bool {
        self.tokens.max(self.recent_tokens) < NEGLIGIBLE_TOKENS_PER_SECOND
    }
}

/// Prompt tokens asked of all models at this node, by service and model.
#[derive(Debug, Default)]
pub struct PromptDemandTable {
    by_model: BTreeMap<(Arc<str>, Arc<str>), PromptRates>,
    ignored_prompts: u64,
}

impl PromptDemandTable {
    /// Counts a prompt of `tokens`. One of more than `cache_tokens`, which no runner of the
    /// service can hold, is ignored, so that no caller can claim all runners for a model.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        model: &Arc<str>,
        tokens: u64,
        cache_tokens: u64,
        now: Instant,
    ) {
        if tokens > cache_tokens {
            self.ignored_prompts += 1;
            return;
        }
        if tokens == 0 {
            return;
        }
        let rates = self
            .by_model
            .entry((service.clone(), model.clone()))
            .or_insert_with(|| PromptRates::none(now));
        *rates = rates.decayed(now).with_prompt(tokens);
    }

    /// Returns the demand at `now`, and drops models with next to none.
    pub fn items(&mut self, now: Instant) -> Vec<PromptDemandItem> {
        self.by_model
            .retain(|_, rates| !rates.decayed(now).is_negligible());
        let item = |((service, model), rates): (&(Arc<str>, Arc<str>), &PromptRates)| {
            let rates = rates.decayed(now);
            PromptDemandItem {
                service: service.clone(),
                model: model.clone(),
                tokens_per_second: rates.tokens as f32,
                recent_tokens_per_second: rates.recent_tokens as f32,
                recent_requests_per_second: rates.recent_requests as f32,
            }
        };
        self.by_model.iter().map(item).collect()
    }
}

impl Dispatcher {
    /// Counts the prompt of a request's first attempt, if its service has an engine.
    pub(crate) fn record_prompt(&mut self, query: &Query, now: Instant) {
        let service = self.configuration.services.get(&query.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let (Some(wanted), Some(engine)) = (&query.wanted, engine) else {
            return;
        };
        self.prompt_demand.record(
            &query.service,
            &wanted.model,
            query.prompt_tokens,
            engine.cache_tokens,
            now,
        );
    }

    /// Returns the prompt tokens asked at this node, an item for each model with any.
    pub fn prompt_demand_items(&mut self, now: Instant) -> Vec<PromptDemandItem> {
        self.prompt_demand.items(now)
    }

    /// Returns the number of prompts that named more tokens than a runner can hold, which
    /// are not counted in [`Self::prompt_demand_items`].
    pub fn ignored_prompts(&self) -> u64 {
        self.prompt_demand.ignored_prompts
    }

    /// Returns the number of prompt tokens that runners read a second, for each runner of
    /// which it is known.
    pub fn reading_speeds(&self) -> Vec<(RunnerKey, f64)> {
        let speed = |key| Some((key, self.estimates.tokens_per_second(key)?));
        let keys = self.runners.values().map(|entry| entry.key);
        keys.filter_map(speed).collect()
    }
}
