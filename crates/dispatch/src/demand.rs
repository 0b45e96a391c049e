//! What callers want of each model and adapter at this node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;
use barleyspar_domain::part_left;
use serde::{Deserialize, Serialize};

/// Half-life of the rate of requests.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Requests a second below which earlier requests say nothing any more: one
/// request is forgotten after 16 s. What a node tells of is bounded by this.
const FORGOTTEN_RATE: f64 = 0.01;

/// Demand for one model or adapter at one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandItem {
    /// The service.
    pub service: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The adapter.
    pub adapter: Option<Arc<str>>,
    /// Requests that wait for it, or were told to come back for it.
    pub waiting: u32,
    /// Most urgent rank among all requests for it lately.
    pub priority: u8,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests a second.
    pub rate: f32,
}

#[derive(Debug, Default)]
struct Wish {
    rate: f64,
    rate_at: Option<Instant>,
    in_flight: u32,
    waiting: u32,
    expected_until: Option<Instant>,
    priority: u8,
}

/// Demand for all models at this node.
#[derive(Debug, Default)]
pub struct DemandTable {
    wishes: BTreeMap<(Arc<str>, ModelReference), Wish>,
}

impl DemandTable {
    fn wish(&mut self, service: &Arc<str>, wanted: &ModelReference) -> &mut Wish {
        self.wishes
            .entry((service.clone(), wanted.clone()))
            .or_default()
    }

    /// Counts a new request of rank `priority`.
    pub fn requested(
        &mut self,
        service: &Arc<str>,
        wanted: &ModelReference,
        priority: u8,
        now: Instant,
    ) {
        let wish = self.wish(service, wanted);
        let rate = faded_rate(wish, now);
        let alone = wish.waiting == 0 && wish.in_flight == 0 && rate < FORGOTTEN_RATE;
        wish.priority = if alone {
            priority
        } else {
            wish.priority.min(priority)
        };
        wish.rate = rate + std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        wish.rate_at = Some(now);
    }

    /// A request begins to wait.
    pub fn waits(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        self.wish(service, wanted).waiting += 1;
    }

    /// A request no longer waits.
    pub fn waits_no_more(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        let wish = self.wish(service, wanted);
        wish.waiting = wish.waiting.saturating_sub(1);
    }

    /// A refused request was told to come back before `until`.
    pub fn expected(&mut self, service: &Arc<str>, wanted: &ModelReference, until: Instant) {
        let wish = self.wish(service, wanted);
        if wish.expected_until.is_none_or(|known| known < until) {
            wish.expected_until = Some(until);
        }
    }

    /// A request was sent to a runner.
    pub fn started(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        self.wish(service, wanted).in_flight += 1;
    }

    /// A request at a runner ended.
    pub fn ended(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        let wish = self.wish(service, wanted);
        wish.in_flight = wish.in_flight.saturating_sub(1);
    }

    /// All demand that is not nothing.
    pub fn items(&mut self, now: Instant) -> Vec<DemandItem> {
        self.wishes.retain(|_, wish| {
            wish.in_flight > 0
                || wish.waiting > 0
                || wish.expected_until.is_some_and(|until| now < until)
                || faded_rate(wish, now) >= FORGOTTEN_RATE
        });
        self.wishes
            .iter()
            .map(|((service, wanted), wish)| item(service, wanted, wish, now))
            .collect()
    }
}

fn faded_rate(wish: &Wish, now: Instant) -> f64 {
    let age = wish
        .rate_at
        .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    wish.rate * part_left(age, RATE_HALF_LIFE)
}

fn item(service: &Arc<str>, wanted: &ModelReference, wish: &Wish, now: Instant) -> DemandItem {
    let expected = wish.expected_until.is_some_and(|until| now < until);
    DemandItem {
        service: service.clone(),
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        waiting: wish.waiting.max(u32::from(expected)),
        priority: wish.priority,
        in_flight: wish.in_flight,
        rate: faded_rate(wish, now) as f32,
    }
}
