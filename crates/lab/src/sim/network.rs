//! The in-memory network: delay, loss, duplication, partitions and one-way cuts.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use barleyspar_domain::ZoneName;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How messages fare.
#[derive(Debug, Clone, Copy)]
pub struct LinkQuality {
    /// One way, within a zone.
    pub local: Duration,
    /// One way, between zones.
    pub remote: Duration,
    /// Largest random delay on top.
    pub jitter: Duration,
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages delivered twice, the second time late.
    pub duplicates: f64,
    /// Largest extra delay of a second delivery.
    pub duplicate_delay: Duration,
}

impl LinkQuality {
    /// A good network with these delays.
    pub fn good(local: Duration, remote: Duration) -> Self {
        Self {
            local,
            remote,
            jitter: Duration::from_millis(1),
            loss: 0.0,
            duplicates: 0.0,
            duplicate_delay: Duration::from_secs(3),
        }
    }
}

/// A place on the network. The platform's services are reached from everywhere
/// a cut does not name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// In a zone.
    Zone(ZoneName),
    /// The platform.
    Platform,
}

#[derive(Debug)]
struct State {
    quality: LinkQuality,
    /// Messages from the first place to the second are lost.
    cuts: BTreeSet<(Place, Place)>,
    random: ChaCha8Rng,
}

/// The network. Cheap to clone; clones are the same network.
#[derive(Debug, Clone)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

/// What happens to one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It arrives after this delay; the second value is the delay of a duplicate.
    Arrives(Duration, Option<Duration>),
    /// It never arrives.
    Lost,
}

impl Network {
    /// A network of this quality.
    pub fn new(quality: LinkQuality, seed: u64) -> Self {
        let state = State {
            quality,
            cuts: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The quality now.
    pub fn quality(&self) -> LinkQuality {
        self.lock().quality
    }

    /// Changes the quality.
    pub fn set_quality(&self, quality: LinkQuality) {
        self.lock().quality = quality;
    }

    /// Cuts messages from one place to another; the other way stays open.
    pub fn cut(&self, from: Place, to: Place) {
        self.lock().cuts.insert((from, to));
    }

    /// Mends a cut.
    pub fn mend(&self, from: &Place, to: &Place) {
        self.lock().cuts.remove(&(from.clone(), to.clone()));
    }

    /// Decides the fate of a message.
    pub fn fate(&self, from: &Place, to: &Place) -> Fate {
        let mut state = self.lock();
        let quality = state.quality;
        if state.cuts.contains(&(from.clone(), to.clone())) {
            return Fate::Lost;
        }
        if quality.loss > 0.0 && state.random.random_bool(quality.loss) {
            return Fate::Lost;
        }
        let base = match from == to {
            true => quality.local,
            false => quality.remote,
        };
        let delay = base + quality.jitter.mul_f64(state.random.random());
        let twice = quality.duplicates > 0.0 && state.random.random_bool(quality.duplicates);
        let late = twice.then(|| delay + quality.duplicate_delay.mul_f64(state.random.random()));
        Fate::Arrives(delay, late)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
