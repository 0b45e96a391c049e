//! Broken streams that wait, over all nodes, for a model at the software version that began
//! them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{ModelReference, SoftwareVersion};
use barleyspar_dispatch::StreamDemandItem;

use crate::models::{WaitingStreams, WantedReplica};
use crate::view::RunnerView;

/// What streams wait for: a model or adapter at a runner of one software version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionNeed {
    /// The model or adapter.
    pub wanted: ModelReference,
    /// The version that the runner must have.
    pub software: SoftwareVersion,
}

/// The latest report of each node on its waiting streams.
#[derive(Debug, Default)]
pub struct StreamDemand {
    nodes: HashMap<Arc<str>, (Instant, Vec<StreamDemandItem>)>,
}

impl StreamDemand {
    /// Replaces the report of `node`, which expires after `valid_for`.
    pub fn update(
        &mut self,
        node: Arc<str>,
        items: Vec<StreamDemandItem>,
        valid_for: Duration,
        now: Instant,
    ) {
        self.nodes.insert(node, (now + valid_for, items));
        self.nodes.retain(|_, (valid_until, _)| now < *valid_until);
    }

    /// Returns the needs of the streams of `service` that none of `runners` meets or is being
    /// made to meet, with the number of streams that wait.
    pub fn unmet(
        &self,
        service: &str,
        runners: &[RunnerView],
        now: Instant,
    ) -> BTreeMap<VersionNeed, u32> {
        let current = self.nodes.values().filter(|(until, _)| now < *until);
        let items = current.flat_map(|(_, items)| items);
        let mut unmet = BTreeMap::new();
        for item in items.filter(|item| *item.service == *service) {
            let need = VersionNeed {
                wanted: item.wanted.clone(),
                software: item.software.clone(),
            };
            if !runners.iter().any(|runner| need.is_met_by(service, runner)) {
                *unmet.entry(need).or_default() += item.waiting;
            }
        }
        unmet
    }
}

/// Returns the models that `unmet` needs at a software version and that no runner of it holds
/// or loads, with the number of streams that wait. An adapter needs its model first.
pub fn models_to_load(
    unmet: &BTreeMap<VersionNeed, u32>,
    service: &str,
    runners: &[RunnerView],
) -> Vec<WantedReplica> {
    let mut waiting_for: BTreeMap<VersionNeed, u32> = BTreeMap::new();
    for (need, waiting) in unmet {
        let of_model = need.without_adapter();
        if !runners
            .iter()
            .any(|runner| of_model.is_met_by(service, runner))
        {
            *waiting_for.entry(of_model).or_default() += waiting;
        }
    }
    let replica = |(need, waiting): (VersionNeed, u32)| WantedReplica {
        model: need.wanted.model,
        for_streams: Some(WaitingStreams {
            software: need.software,
            waiting,
        }),
    };
    waiting_for.into_iter().map(replica).collect()
}

impl VersionNeed {
    fn without_adapter(&self) -> Self {
        Self {
            wanted: ModelReference {
                model: self.wanted.model.clone(),
                adapter: None,
            },
            software: self.software.clone(),
        }
    }

    /// Whether `runner` holds or loads what is needed, at the version.
    fn is_met_by(&self, service: &str, runner: &RunnerView) -> bool {
        let ModelReference { model, adapter } = &self.wanted;
        let is_candidate = *runner.service == *service && runner.accepts_requests();
        is_candidate
            && runner.software == self.software
            && match adapter {
                None => runner.holds_or_loads(model) && !runner.is_unloading(model),
                Some(adapter) => {
                    runner.holds_adapter(model, adapter)
                        || runner.is_loading_adapter(model, adapter)
                }
            }
    }
}
