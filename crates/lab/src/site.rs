//! Site files: what stands at a site and what its callers ask.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use barleyspar_domain::{
    AdapterName, AdapterSpec, CustomerName, CustomerSpec, Incarnation, ModelName, ModelSpec,
    ObjectSpec, PolicyName, PolicySpec, RunnerKind, RunnerName, RunnerRecord, RunnerState,
    ServiceKind, ServiceName, ServiceSpec, ZoneName,
};
use barleyspar_manifest::{Document, FileError};
use barleyspar_platform::engine::CacheTier;
use barleyspar_policy::Program;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::standins::weight_store::StoreRates;

const GIB: u64 = 1024 * 1024 * 1024;
const MIB: u64 = 1024 * 1024;
const POLICY: &str = "site-policy";

/// A site file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    pub site: SiteSection,
    pub zone: Vec<Zone>,
    pub service: Vec<Service>,
    pub models: Models,
    pub weight_store: Store,
    pub key_value: KeyValueSection,
    pub machine_list: MachineListSection,
    pub traffic: Traffic,
    pub policy: Policy,
}

/// Name and distances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSection {
    pub name: String,
    /// One way, between two zones.
    pub zone_milliseconds: f64,
    pub nodes_per_zone: usize,
    pub customers: usize,
}

/// A zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: ZoneName,
}

/// A service and its runners, spread evenly over the zones.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: ServiceName,
    pub kind: ServiceKind,
    pub runners: usize,
    /// Accelerator memory of one runner; 0 for plain services.
    #[serde(default)]
    pub memory_gib: u64,
}

/// The models of the site. Sizes are spread evenly between the bounds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Models {
    pub service: ServiceName,
    pub count: usize,
    pub adapters: usize,
    pub smallest_gib: u64,
    pub largest_gib: u64,
    pub adapter_mib: u64,
    /// Share of (runner, model) pairs whose checkpoint is in host memory.
    pub cached_in_memory: f64,
    /// Share of pairs whose checkpoint is on local disk.
    pub cached_on_disk: f64,
}

/// The weight store's rates.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    pub loads_per_second: f64,
    pub full_speed_loads: u32,
    pub gib_per_second: f64,
}

/// The key-value service's rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyValueSection {
    pub operations_per_second: f64,
}

/// The machine list's lag.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineListSection {
    pub lag_seconds: f64,
}

/// What callers ask.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub requests_per_second: f64,
    /// Share of requests that go to plain services.
    pub plain_share: f64,
    /// Share of those that must not run twice.
    pub booking_share: f64,
    /// Exponent of the models' popularity by rank.
    pub popularity_exponent: f64,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub deadline_seconds: f64,
    #[serde(default)]
    pub burst: Vec<Burst>,
}

/// Requests for one model at almost the same time, at all zones.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at_seconds: f64,
    /// Rank of the model's popularity, from 0.
    pub model: usize,
    pub requests: usize,
    pub spread_seconds: f64,
}

/// The policy of all models.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    pub program: String,
}

impl Site {
    /// Reads and checks the site file at `path`.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let document = Document::read(path)?;
        let site: Self = document.parse()?;
        match site.fault() {
            None => Ok(site),
            Some((field, cause)) => {
                let short = field.rsplit('.').next().unwrap_or(field);
                let mut error = document.error(0, field, cause);
                error.line = document.line_of_field(&(0..document.text.len()), short);
                Err(error)
            }
        }
    }

    fn fault(&self) -> Option<(&'static str, String)> {
        let positive = [
            ("site.nodes_per_zone", self.site.nodes_per_zone as f64),
            ("site.customers", self.site.customers as f64),
            ("models.count", self.models.count as f64),
            ("models.smallest_gib", self.models.smallest_gib as f64),
            (
                "weight_store.loads_per_second",
                self.weight_store.loads_per_second,
            ),
            (
                "weight_store.full_speed_loads",
                f64::from(self.weight_store.full_speed_loads),
            ),
            (
                "weight_store.gib_per_second",
                self.weight_store.gib_per_second,
            ),
            (
                "key_value.operations_per_second",
                self.key_value.operations_per_second,
            ),
            (
                "traffic.requests_per_second",
                self.traffic.requests_per_second,
            ),
            ("traffic.deadline_seconds", self.traffic.deadline_seconds),
            (
                "traffic.prompt_tokens",
                f64::from(self.traffic.prompt_tokens),
            ),
            (
                "traffic.output_tokens",
                f64::from(self.traffic.output_tokens),
            ),
        ];
        let zero = positive.iter().find(|(_, value)| *value <= 0.0);
        if let Some((field, value)) = zero {
            return Some((field, format!("must be more than 0, is {value}")));
        }
        let shares = [
            ("models.cached_in_memory", self.models.cached_in_memory),
            ("models.cached_on_disk", self.models.cached_on_disk),
            ("traffic.plain_share", self.traffic.plain_share),
            ("traffic.booking_share", self.traffic.booking_share),
        ];
        let outside = shares
            .iter()
            .find(|(_, value)| !(0.0..=1.0).contains(value));
        if let Some((field, value)) = outside {
            return Some((field, format!("must be from 0 to 1, is {value}")));
        }
        self.contradiction()
    }

    fn contradiction(&self) -> Option<(&'static str, String)> {
        if self.zone.is_empty() {
            return Some(("zone", "there must be at least one".to_owned()));
        }
        if self.models.largest_gib < self.models.smallest_gib {
            return Some((
                "models.largest_gib",
                "must not be below smallest_gib".to_owned(),
            ));
        }
        let service = self.service.iter().find(|s| s.name == self.models.service);
        let service = service.filter(|service| service.kind == ServiceKind::Model);
        let Some(service) = service else {
            return Some((
                "models.service",
                "there is no such service of kind model".to_owned(),
            ));
        };
        if service.memory_gib < self.models.largest_gib {
            return Some((
                "service.memory_gib",
                "must hold the largest model".to_owned(),
            ));
        }
        if self
            .traffic
            .burst
            .iter()
            .any(|b| b.model >= self.models.count)
        {
            return Some((
                "traffic.burst.model",
                "must be below models.count".to_owned(),
            ));
        }
        let program = Program::compile(&self.policy.program).and_then(|p| p.dry_run());
        program
            .err()
            .map(|error| ("policy.program", error.to_string()))
    }

    /// The weight store's rates.
    pub fn store_rates(&self) -> StoreRates {
        StoreRates {
            loads_per_second: self.weight_store.loads_per_second,
            full_speed_loads: self.weight_store.full_speed_loads,
            gib_per_second: self.weight_store.gib_per_second,
        }
    }

    /// The zone with this index, counted around.
    pub fn zone_name(&self, index: usize) -> ZoneName {
        self.zone[index % self.zone.len()].name.clone()
    }

    /// The name of the model with this rank.
    pub fn model_name(&self, rank: usize) -> ModelName {
        name(format!("{}-model-{rank:03}", self.site.name))
    }

    /// The plain service, if there is one.
    pub fn plain_service(&self) -> Option<&Service> {
        self.service.iter().find(|s| s.kind == ServiceKind::Plain)
    }

    /// The bearer token of a customer.
    pub fn token(&self, customer: usize) -> String {
        format!("{}-customer-{customer}-token", self.site.name)
    }

    fn model_bytes(&self, rank: usize) -> u64 {
        let range = self.models.largest_gib - self.models.smallest_gib + 1;
        // A stride coprime to most ranges mixes sizes and popularity.
        (self.models.smallest_gib + (rank as u64 * 7) % range) * GIB
    }

    /// Everything operators would submit for this site.
    pub fn objects(&self) -> Vec<ObjectSpec> {
        let mut objects = vec![ObjectSpec::Policy(PolicySpec {
            name: name(POLICY.to_owned()),
            program: self.policy.program.clone(),
        })];
        objects.extend(self.service.iter().map(|service| {
            ObjectSpec::Service(ServiceSpec {
                name: service.name.clone(),
                kind: service.kind,
                repeatable_paths: Vec::new(),
            })
        }));
        objects.extend((0..self.models.count).map(|rank| ObjectSpec::Model(self.model(rank))));
        objects.extend((0..self.models.adapters).map(|n| ObjectSpec::Adapter(self.adapter(n))));
        objects.extend((0..self.site.customers).map(|n| ObjectSpec::Customer(self.customer(n))));
        objects
    }

    fn model(&self, rank: usize) -> ModelSpec {
        ModelSpec {
            name: self.model_name(rank),
            service: self.models.service.clone(),
            version: "1".to_owned(),
            memory_bytes: self.model_bytes(rank),
            policy: name::<PolicyName>(POLICY.to_owned()),
        }
    }

    fn adapter(&self, number: usize) -> AdapterSpec {
        AdapterSpec {
            name: self.adapter_name(number),
            base: self.model_name(number % self.models.count),
            version: "1".to_owned(),
            memory_bytes: self.models.adapter_mib * MIB,
        }
    }

    /// The name of an adapter.
    pub fn adapter_name(&self, number: usize) -> AdapterName {
        name(format!("{}-adapter-{number:03}", self.site.name))
    }

    fn customer(&self, number: usize) -> CustomerSpec {
        let digest = Sha256::digest(self.token(number).as_bytes());
        CustomerSpec {
            name: name::<CustomerName>(format!("customer-{number}")),
            token_sha256: format!("{digest:x}"),
            maximum_waiting: 1000,
            priority: 0,
        }
    }

    /// Runners of `service`, at the addresses that `address` gives.
    pub fn runners(
        &self,
        service: &Service,
        incarnation: Incarnation,
        mut address: impl FnMut(usize) -> SocketAddr,
    ) -> Vec<RunnerRecord> {
        let kind = match service.kind {
            ServiceKind::Model => RunnerKind::Engine,
            ServiceKind::Plain => RunnerKind::Plain,
        };
        let record = |index| RunnerRecord {
            name: name::<RunnerName>(format!("{}-{index}", service.name)),
            service: service.name.clone(),
            kind,
            zone: self.zone_name(index),
            address: address(index),
            incarnation,
            state: RunnerState::Live,
            memory_bytes: service.memory_gib * GIB,
        };
        (0..service.runners).map(record).collect()
    }

    /// Checkpoints near one runner, unevenly.
    pub fn cached(&self, random: &mut ChaCha8Rng) -> BTreeMap<ModelName, CacheTier> {
        let (memory, disk) = (self.models.cached_in_memory, self.models.cached_on_disk);
        let tier = |draw: f64| match draw {
            draw if draw < memory => Some(CacheTier::Memory),
            draw if draw < memory + disk => Some(CacheTier::Disk),
            _ => None,
        };
        (0..self.models.count)
            .filter_map(|rank| Some((self.model_name(rank), tier(random.random())?)))
            .collect()
    }
}

/// A name that the lab makes itself.
pub fn name<N: TryFrom<String>>(text: String) -> N {
    N::try_from(text).unwrap_or_else(|_| unreachable!("the lab makes names of allowed characters"))
}
