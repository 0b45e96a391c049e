//! The weight store: so many loads may start in a second, so many run at full
//! speed at once; beyond that they share its bandwidth.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Progress is recomputed this often.
const STEP: Duration = Duration::from_millis(100);
const BYTES_PER_GIB: f64 = 1024.0 * 1024.0 * 1024.0;

/// What the store allows.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Loads that may start in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once.
    pub full_speed_loads: u32,
    /// Full speed of one load.
    pub gib_per_second: f64,
}

#[derive(Debug)]
struct State {
    next_start: Instant,
    active: u32,
    slow_factor: f64,
}

/// The store. Cheap to clone; clones are the same store.
#[derive(Debug, Clone)]
pub struct WeightStore {
    rates: StoreRates,
    state: Arc<Mutex<State>>,
}

struct Active<'a>(&'a WeightStore);

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.lock().active -= 1;
    }
}

impl WeightStore {
    /// A store with these rates.
    pub fn new(rates: StoreRates) -> Self {
        let state = State {
            next_start: Instant::now(),
            active: 0,
            slow_factor: 1.0,
        };
        Self {
            rates,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Divides the store's speed by `factor` from now on.
    pub fn slow_down(&self, factor: f64) {
        self.lock().slow_factor = factor.max(1.0);
    }

    /// Reads `bytes`; completes when they are there.
    pub async fn read(&self, bytes: u64) {
        tokio::time::sleep_until(self.reserve_start()).await;
        self.lock().active += 1;
        let _active = Active(self);
        let mut left = bytes as f64;
        while left > 0.0 {
            let speed = self.speed();
            let step = STEP.as_secs_f64().min(left / speed);
            tokio::time::sleep(Duration::from_secs_f64(step)).await;
            left -= speed * step.max(1e-6);
        }
    }

    fn reserve_start(&self) -> Instant {
        let mut state = self.lock();
        let start = state.next_start.max(Instant::now());
        let gap = Duration::from_secs_f64(1.0 / self.rates.loads_per_second);
        state.next_start = start + gap;
        start
    }

    /// Bytes a second of one load now.
    fn speed(&self) -> f64 {
        let state = self.lock();
        let full = f64::from(self.rates.full_speed_loads);
        let share = (full / f64::from(state.active.max(1))).min(1.0);
        self.rates.gib_per_second * BYTES_PER_GIB * share / state.slow_factor
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
