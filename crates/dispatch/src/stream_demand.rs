//! Broken streams that wait at this node for a runner of the software version that began them.

use std::collections::BTreeMap;
use std::sync::Arc;

use barleyspar_catalog::{ModelReference, SoftwareVersion};
use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;

/// Streams that wait for one model or adapter at runners of one software version, as reported
/// to the placement leader. They are part of the model's demand, too, which runners of other
/// versions seem to meet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamDemandItem {
    /// Name of the service that the streams are for.
    pub service: Arc<str>,
    /// The model or adapter that the streams need.
    pub wanted: ModelReference,
    /// The version at which alone they go on.
    pub software: SoftwareVersion,
    /// Number of streams that wait.
    pub waiting: u32,
}

impl Dispatcher {
    /// Returns the streams that wait for a model at one software version.
    pub fn stream_demand_items(&self) -> Vec<StreamDemandItem> {
        let mut waiting: BTreeMap<_, u32> = BTreeMap::new();
        for query in self.queue.queries() {
            if let (Some(wanted), Some(software)) = (&query.wanted, &query.software) {
                *waiting
                    .entry((&query.service, wanted, software))
                    .or_default() += 1;
            }
        }
        let item = |((service, wanted, software), waiting): (
            (&Arc<str>, &ModelReference, &SoftwareVersion),
            u32,
        )| StreamDemandItem {
            service: service.clone(),
            wanted: wanted.clone(),
            software: software.clone(),
            waiting,
        };
        waiting.into_iter().map(item).collect()
    }
}
