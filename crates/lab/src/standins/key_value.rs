//! The key-value service: linearizable compare-and-swap, watches, expiry, a
//! rate limit, outages, slowness and answers lost after taking effect.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_platform::KeyValue;
use barleyspar_platform::key_value::{KeyEntry, KeyValueError, Swap, SwapOutcome, VersionedValue};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;

/// Seconds' worth of operations that may be saved up.
const BURST_SECONDS: f64 = 1.0;

struct Stored {
    value: VersionedValue,
    expires: Option<Instant>,
}

struct State {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    tokens: f64,
    refilled: Instant,
    down: bool,
    delay: Duration,
    lose_answers: f64,
    random: ChaCha8Rng,
    operations: u64,
    limited: u64,
}

/// Told of each write as it takes effect: key and value.
type Observer = Box<dyn Fn(&str, &[u8]) + Send + Sync>;

/// The service. Cheap to clone; clones are the same service.
#[derive(Clone)]
pub struct KeyValueStandIn {
    operations_per_second: f64,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    observer: Arc<OnceLock<Observer>>,
}

impl KeyValueStandIn {
    /// A service that takes `operations_per_second`.
    pub fn new(operations_per_second: f64, seed: u64) -> Self {
        let state = State {
            revision: 0,
            keys: BTreeMap::new(),
            tokens: operations_per_second * BURST_SECONDS,
            refilled: Instant::now(),
            down: false,
            delay: Duration::ZERO,
            lose_answers: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
            operations: 0,
            limited: 0,
        };
        Self {
            operations_per_second,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::channel(0).0),
            observer: Arc::default(),
        }
    }

    /// Lets `observer` see each write. Only the first observer is kept.
    pub fn observe(&self, observer: impl Fn(&str, &[u8]) + Send + Sync + 'static) {
        let _ = self.observer.set(Box::new(observer));
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.changed.send_modify(|_| {});
    }

    /// Delays every operation.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Loses this share of the answers after the operation took effect.
    pub fn set_lost_answers(&self, share: f64) {
        self.lock().lose_answers = share;
    }

    /// Operations taken, and operations refused by the rate limit.
    pub fn operations(&self) -> (u64, u64) {
        let state = self.lock();
        (state.operations, state.limited)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes a token of the rate limit, or says how long to wait.
    async fn enter(&self) -> Result<(), KeyValueError> {
        let delay = {
            let mut state = self.lock();
            if state.down {
                return Err(KeyValueError::Unavailable("outage".to_owned()));
            }
            let now = Instant::now();
            let gained = now.duration_since(state.refilled).as_secs_f64();
            let full = self.operations_per_second * BURST_SECONDS;
            state.tokens = (state.tokens + gained * self.operations_per_second).min(full);
            state.refilled = now;
            if state.tokens < 1.0 {
                state.limited += 1;
                let wait = (1.0 - state.tokens) / self.operations_per_second;
                return Err(KeyValueError::RateLimited(Duration::from_secs_f64(wait)));
            }
            state.tokens -= 1.0;
            state.operations += 1;
            state.delay
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }

    /// Loses the answer of an operation that took effect, now and then.
    fn leave<T>(&self, result: T) -> Result<T, KeyValueError> {
        let mut state = self.lock();
        let share = state.lose_answers;
        if share > 0.0 && state.random.random_bool(share) {
            return Err(KeyValueError::Unknown("answer lost".to_owned()));
        }
        Ok(result)
    }

    fn list_now(&self, prefix: &str, after: &str, limit: usize) -> Vec<KeyEntry> {
        let mut state = self.lock();
        state.drop_expired();
        let from = std::ops::Bound::Excluded(after.to_owned());
        let range = state.keys.range((from, std::ops::Bound::Unbounded));
        let first = range.skip_while(|(key, _)| !key.starts_with(prefix));
        first
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, stored)| KeyEntry {
                key: key.clone(),
                versioned: stored.value.clone(),
            })
            .collect()
    }
}

impl State {
    fn drop_expired(&mut self) {
        let now = Instant::now();
        self.keys
            .retain(|_, stored| stored.expires.is_none_or(|expires| now < expires));
    }

    fn swap(&mut self, swap: Swap) -> SwapOutcome {
        self.drop_expired();
        let current = self.keys.get(&swap.key).map(|stored| stored.value.clone());
        if current.as_ref().map(|value| value.revision) != swap.expected {
            return SwapOutcome::Conflict(current);
        }
        self.revision += 1;
        let stored = Stored {
            value: VersionedValue {
                revision: self.revision,
                value: swap.value,
            },
            expires: swap.time_to_live.map(|time| Instant::now() + time),
        };
        self.keys.insert(swap.key, stored);
        SwapOutcome::Applied(self.revision)
    }
}

#[async_trait]
impl KeyValue for KeyValueStandIn {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KeyValueError> {
        self.enter().await?;
        let found = {
            let mut state = self.lock();
            state.drop_expired();
            state.keys.get(key).map(|stored| stored.value.clone())
        };
        self.leave(found)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyEntry>, KeyValueError> {
        self.enter().await?;
        self.leave(self.list_now(prefix, after, limit))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        wait: Duration,
    ) -> Result<Vec<KeyEntry>, KeyValueError> {
        self.enter().await?;
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            let listed = self.list_now(prefix, after, limit);
            if !listed.is_empty() {
                return self.leave(listed);
            }
            if self.lock().down {
                return Err(KeyValueError::Unavailable("outage".to_owned()));
            }
            let waited = tokio::time::timeout_at(until, changed.changed()).await;
            if waited.is_err() {
                return self.leave(listed);
            }
        }
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.enter().await?;
        let (outcome, revision) = {
            let mut state = self.lock();
            let (key, value) = (swap.key.clone(), swap.value.clone());
            let outcome = state.swap(swap);
            if let (SwapOutcome::Applied(_), Some(observer)) = (&outcome, self.observer.get()) {
                observer(&key, &value);
            }
            (outcome, state.revision)
        };
        self.changed.send_replace(revision);
        self.leave(outcome)
    }

    async fn delete(&self, key: &str) -> Result<(), KeyValueError> {
        self.enter().await?;
        self.lock().keys.remove(key);
        self.leave(())
    }
}
