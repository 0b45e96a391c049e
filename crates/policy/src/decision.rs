//! Input and result of a policy program.

use barleyspar_domain::{CustomerName, ZoneName};
use rhai::{Array, Dynamic, Map};
use serde::{Deserialize, Serialize};

use crate::PolicyError;

/// Maximum number of replicas that a policy may decide.
const MAXIMUM_REPLICAS: i64 = 10_000;
/// Maximum keep-alive that a policy may decide: one week, in seconds.
const MAXIMUM_KEEP_ALIVE_SECONDS: i64 = 7 * 24 * 3600;

/// Input of a policy program: the state of one model and its service. Programs read the
/// fields by the same names.
#[derive(Debug, Clone, PartialEq)]
pub struct Context {
    /// Name of the model to decide about.
    pub model: String,
    /// Name of the model's service.
    pub service: String,
    /// Number of the service's runners that accept work.
    pub runners: u32,
    /// Zones in which the service has runners that accept work, sorted by name.
    pub zones: Vec<ZoneName>,
    /// Hour of the day in UTC, 0 to 23; 0 where the evaluation does not depend on the
    /// time of day.
    pub hour: u32,
    /// Minute of the hour, 0 to 59; 0 where the evaluation does not depend on the time of
    /// day.
    pub minute: u32,
    /// Recent requests per second for the model; 0 where demand is not known.
    pub requests_per_second: f64,
    /// Requests for the model that runners are processing.
    pub in_flight: u32,
    /// Requests that wait for the model.
    pub waiting: u32,
    /// Priority of the most urgent recent request for the model; 0 is the most urgent.
    pub priority: u8,
    /// Unserved requests of the model since it last had a reachable replica: one for each
    /// request at its arrival, and one more for each second that a request waits; 0 while
    /// it has a reachable replica.
    pub starved: f64,
    /// Number of requests that one runner processes at once.
    pub slots: u32,
    /// Number of runners that reading the model's prompts keeps busy all the time; 0 if
    /// that is not known.
    pub reading: f64,
}

impl Context {
    pub(crate) fn to_dynamic(&self) -> Dynamic {
        let zones: Array = self
            .zones
            .iter()
            .map(|zone| zone.to_string().into())
            .collect();
        let mut map = Map::new();
        map.insert("model".into(), self.model.clone().into());
        map.insert("service".into(), self.service.clone().into());
        map.insert("runners".into(), i64::from(self.runners).into());
        map.insert("zones".into(), zones.into());
        map.insert("hour".into(), i64::from(self.hour).into());
        map.insert("minute".into(), i64::from(self.minute).into());
        map.insert(
            "requests_per_second".into(),
            self.requests_per_second.into(),
        );
        map.insert("in_flight".into(), i64::from(self.in_flight).into());
        map.insert("waiting".into(), i64::from(self.waiting).into());
        map.insert("priority".into(), i64::from(self.priority).into());
        map.insert("starved".into(), self.starved.into());
        map.insert("slots".into(), i64::from(self.slots).into());
        map.insert("reading".into(), self.reading.into());
        map.into()
    }
}

/// Result of a policy program for one model. The program returns a map with the keys
/// named below.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Maximum number of replicas. Key `replicas`, required.
    pub replicas: u32,
    /// Replicas to have while the model is in use; `None` means the maximum. A target
    /// below the maximum leaves room to replace replicas on unreachable runners. Key
    /// `target`.
    pub target: Option<u32>,
    /// Zones whose runners may hold the model; empty means all. Key `zones`.
    pub zones: Vec<ZoneName>,
    /// Customers that may request the model; empty means all. Key `customers`.
    pub customers: Vec<CustomerName>,
    /// Seconds for which an idle replica is kept after its last use; `None` applies the
    /// configured default. Key `keep_alive`.
    pub keep_alive_seconds: Option<u64>,
    /// Weight of tail latency against the cost of idle replicas, 0 to 1; 0.5 by default.
    /// Key `tail_weight`.
    pub tail_weight: f64,
    /// Whether one replica is loaded before the first request. Key `prewarm`.
    pub prewarm: bool,
}

impl Decision {
    /// Returns the number of replicas to have while the model is in use: the target, or
    /// else the maximum.
    pub fn target_replicas(&self) -> u32 {
        self.target.unwrap_or(self.replicas)
    }

    pub(crate) fn from_dynamic(value: Dynamic) -> Result<Self, PolicyError> {
        let type_name = value.type_name().to_owned();
        let mut map = value.try_cast::<Map>().ok_or_else(|| PolicyError::Result {
            field: "decide".to_owned(),
            cause: format!("must be a map, is {type_name}"),
        })?;
        let replicas = match map.remove("replicas") {
            Some(value) => integer("replicas", value, MAXIMUM_REPLICAS)?,
            None => return Err(invalid("replicas", "is missing")),
        };
        let decision = Self {
            replicas: replicas as u32,
            target: map
                .remove("target")
                .map(|value| integer("target", value, replicas))
                .transpose()?
                .map(|target| target as u32),
            zones: parse_names(&mut map, "zones")?,
            customers: parse_names(&mut map, "customers")?,
            keep_alive_seconds: map
                .remove("keep_alive")
                .map(|value| integer("keep_alive", value, MAXIMUM_KEEP_ALIVE_SECONDS))
                .transpose()?
                .map(|seconds| seconds as u64),
            tail_weight: map.remove("tail_weight").map_or(Ok(0.5), fraction)?,
            prewarm: map.remove("prewarm").map_or(Ok(false), boolean)?,
        };
        match map.keys().next() {
            Some(unknown) => Err(invalid(unknown, "is not a field of a decision")),
            None => Ok(decision),
        }
    }
}

fn invalid(field: &str, cause: impl Into<String>) -> PolicyError {
    PolicyError::Result {
        field: field.to_owned(),
        cause: cause.into(),
    }
}

fn integer(field: &str, value: Dynamic, maximum: i64) -> Result<i64, PolicyError> {
    let number = value
        .as_int()
        .map_err(|found| invalid(field, format!("must be an integer, is {found}")))?;
    if (0..=maximum).contains(&number) {
        return Ok(number);
    }
    Err(invalid(
        field,
        format!("must be from 0 to {maximum}, is {number}"),
    ))
}

fn fraction(value: Dynamic) -> Result<f64, PolicyError> {
    let number = value
        .as_float()
        .or_else(|_| value.as_int().map(|integer| integer as f64))
        .map_err(|found| invalid("tail_weight", format!("must be a number, is {found}")))?;
    if (0.0..=1.0).contains(&number) {
        return Ok(number);
    }
    Err(invalid(
        "tail_weight",
        format!("must be from 0 to 1, is {number}"),
    ))
}

fn boolean(value: Dynamic) -> Result<bool, PolicyError> {
    value
        .as_bool()
        .map_err(|found| invalid("prewarm", format!("must be true or false, is {found}")))
}

fn parse_names<N>(map: &mut Map, field: &'static str) -> Result<Vec<N>, PolicyError>
where
    N: TryFrom<String, Error = barleyspar_domain::NameError>,
{
    let Some(value) = map.remove(field) else {
        return Ok(Vec::new());
    };
    let texts = value
        .into_typed_array::<String>()
        .map_err(|found| invalid(field, format!("must be an array of strings, is {found}")))?;
    texts
        .into_iter()
        .map(|text| N::try_from(text).map_err(|error| invalid(field, error.to_string())))
        .collect()
}
