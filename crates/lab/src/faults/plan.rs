//! Which faults come when: drawn from a seed, so that they come together and twice.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::site::Site;

/// Mean time between two faults.
const MEAN_GAP_SECONDS: f64 = 7.0;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A node's process dies and is started again when the fault ends.
    NodeKilled,
    /// A node's process is paused.
    NodeFrozen,
    /// A node is stopped as planned, then started again.
    NodeStopped,
    /// An engine dies and comes back under its address as a new incarnation.
    EngineKilled,
    /// An engine is reclaimed with notice, then comes back.
    EngineReclaimed,
    /// An instance of a plain service dies and comes back.
    PlainKilled,
    /// The weight store is slow.
    StoreSlow,
    /// The key-value service is down.
    KeyValueDown,
    /// The key-value service is slow.
    KeyValueSlow,
    /// The key-value service loses answers.
    KeyValueLosesAnswers,
    /// The machine list can not be read.
    ListDown,
    /// A zone is cut off from the other zones and the platform.
    ZoneCutOff,
    /// Messages from one zone to another are lost, not the other way.
    OneWayCut,
    /// The network loses, doubles and delays messages.
    NetworkBad,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 14] = [
        Self::NodeKilled,
        Self::NodeFrozen,
        Self::NodeStopped,
        Self::EngineKilled,
        Self::EngineReclaimed,
        Self::PlainKilled,
        Self::StoreSlow,
        Self::KeyValueDown,
        Self::KeyValueSlow,
        Self::KeyValueLosesAnswers,
        Self::ListDown,
        Self::ZoneCutOff,
        Self::OneWayCut,
        Self::NetworkBad,
    ];

    /// The kind in summaries.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NodeKilled => "node_killed",
            Self::NodeFrozen => "node_frozen",
            Self::NodeStopped => "node_stopped",
            Self::EngineKilled => "engine_killed",
            Self::EngineReclaimed => "engine_reclaimed",
            Self::PlainKilled => "plain_killed",
            Self::StoreSlow => "store_slow",
            Self::KeyValueDown => "key_value_down",
            Self::KeyValueSlow => "key_value_slow",
            Self::KeyValueLosesAnswers => "key_value_loses_answers",
            Self::ListDown => "list_down",
            Self::ZoneCutOff => "zone_cut_off",
            Self::OneWayCut => "one_way_cut",
            Self::NetworkBad => "network_bad",
        }
    }

    fn longest_seconds(self) -> f64 {
        match self {
            Self::NodeKilled | Self::EngineKilled | Self::PlainKilled => 15.0,
            Self::NodeFrozen | Self::OneWayCut | Self::NetworkBad => 30.0,
            Self::NodeStopped => 1.0,
            Self::EngineReclaimed => 40.0,
            Self::KeyValueDown => 90.0,
            Self::StoreSlow
            | Self::KeyValueSlow
            | Self::KeyValueLosesAnswers
            | Self::ListDown
            | Self::ZoneCutOff => 45.0,
        }
    }
}

/// One fault.
#[derive(Debug, Clone)]
pub struct Fault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// Which node, engine, instance or zone it meets, counted around.
    pub target: usize,
    /// A second one, for cuts.
    pub other: usize,
}

/// All faults of a run, in order of time.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws faults over `time`.
    pub fn generate(site: &Site, time: Duration, random: &mut ChaCha8Rng) -> Self {
        let mut faults = Vec::new();
        let mut at = 5.0;
        let end = time.as_secs_f64();
        while at < end {
            let kind = FaultKind::ALL.choose(random).copied();
            let kind = kind.unwrap_or(FaultKind::NodeKilled);
            let lasts = random.random_range(0.5..=1.0) * kind.longest_seconds();
            faults.push(Fault {
                at: Duration::from_secs_f64(at),
                lasts: Duration::from_secs_f64(lasts.min(end - at)),
                kind,
                target: random.random_range(0..1000),
                other: random.random_range(1..site.zone.len().max(2)),
            });
            let draw: f64 = random.random_range(f64::EPSILON..1.0);
            at -= draw.ln() * MEAN_GAP_SECONDS;
        }
        Self { faults }
    }
}
