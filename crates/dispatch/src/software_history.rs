//! Which software versions the runners of each service have had lately, as this node saw them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::SoftwareVersion;

use crate::dispatcher::Dispatcher;

/// Time after which a version without a runner is forgotten.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// The versions of one service.
#[derive(Debug)]
struct ServiceVersions {
    /// Since when this node knows of all runners of the service.
    since: Instant,
    /// When a runner of each version was last seen.
    last_seen: BTreeMap<SoftwareVersion, Instant>,
}

/// Software versions by service.
pub type VersionsByService = BTreeMap<Arc<str>, BTreeSet<SoftwareVersion>>;

/// Software versions of runners by service.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<Arc<str>, ServiceVersions>,
    /// The versions that served lately according to the record that all nodes share. It
    /// outlasts the nodes.
    shared_record: VersionsByService,
}

impl SoftwareHistory {
    /// Records that a runner of `service` with the version `software` is there at `now`. Called
    /// when it is first seen, and when it leaves.
    pub fn record(&mut self, service: &Arc<str>, software: &SoftwareVersion, now: Instant) {
        let versions = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceVersions {
                since: now,
                last_seen: BTreeMap::new(),
            });
        versions.last_seen.insert(software.clone(), now);
        versions
            .last_seen
            .retain(|_, seen| now.saturating_duration_since(*seen) < KEPT_FOR);
    }

    /// Records that runners of any version may have come and gone before `now` without this
    /// node's knowledge.
    pub fn record_unknown(&mut self, now: Instant) {
        for versions in self.services.values_mut() {
            versions.since = now;
        }
    }

    /// Sets the versions of the shared record, in place of the former ones.
    pub fn set_shared_record(&mut self, record: VersionsByService) {
        self.shared_record = record;
    }

    /// Returns whether all runners of `service` within the last `time` had the version
    /// `software`. False if this node has known the service for less, unless the shared record
    /// names that version alone.
    pub fn was_alone(
        &self,
        service: &str,
        software: &SoftwareVersion,
        time: Duration,
        now: Instant,
    ) -> bool {
        let is_older = |at: Instant| now.saturating_duration_since(at) >= time;
        let recorded = self.shared_record.get(service);
        let is_recorded_alone = recorded.is_some_and(|versions| versions.iter().eq([software]));
        self.services.get(service).is_some_and(|versions| {
            let mut others = versions.last_seen.iter();
            (is_recorded_alone || is_older(versions.since))
                && others.all(|(other, seen)| other == software || is_older(*seen))
        })
    }
}

impl Dispatcher {
    /// Sets the versions that served lately according to the record that all nodes share.
    pub fn set_shared_software_record(&mut self, record: VersionsByService) {
        self.software_history.set_shared_record(record);
    }

    /// Records that runners of any software version may have come and gone before `now` without
    /// this node's knowledge.
    pub fn record_unknown_software(&mut self, now: Instant) {
        self.software_history.record_unknown(now);
    }

    /// Returns the versions of the runners that are there now.
    pub fn present_software(&self) -> VersionsByService {
        let mut present = VersionsByService::new();
        for entry in self.runners.values() {
            let versions = present.entry(entry.runner.service.clone()).or_default();
            versions.insert(entry.runner.software.clone());
        }
        present
    }

    /// Returns the software version of the runners of `service`, if all of them within the last
    /// `time` had the same; `None` if that cannot be known.
    pub fn sole_software(
        &self,
        service: &str,
        time: Duration,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let mut present = self.runners.values().map(|entry| &entry.runner);
        let software = &present.find(|runner| *runner.service == *service)?.software;
        let others_agree = present
            .filter(|runner| *runner.service == *service)
            .all(|runner| runner.software == *software);
        let is_sole = others_agree
            && self
                .software_history
                .was_alone(service, software, time, now);
        is_sole.then(|| software.clone())
    }
}
