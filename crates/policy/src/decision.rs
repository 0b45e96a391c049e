//! What a policy sees and what it decides.

use barleyspar_domain::{CustomerName, ZoneName};
use rhai::{Array, Dynamic, Map};
use serde::{Deserialize, Serialize};

use crate::PolicyError;

/// Largest number of replicas a policy may decide.
const MAXIMUM_REPLICAS: i64 = 10_000;
/// Longest keep-alive a policy may decide: a week, in seconds.
const MAXIMUM_KEEP_ALIVE_SECONDS: i64 = 7 * 24 * 3600;

/// What a policy sees.
#[derive(Debug, Clone, PartialEq)]
pub struct Context {
    /// The model's name.
    pub model: String,
    /// The name of the model's service.
    pub service: String,
    /// Number of live runners of the service.
    pub runners: u32,
    /// Zones that have such runners, in order.
    pub zones: Vec<ZoneName>,
    /// Hour of the day, UTC, 0 to 23.
    pub hour: u32,
    /// Minute of the hour, 0 to 59.
    pub minute: u32,
    /// Requests a second for the model, lately.
    pub requests_per_second: f64,
    /// Requests for the model at runners.
    pub in_flight: u32,
    /// Requests that wait for the model.
    pub waiting: u32,
    /// Most urgent rank among the requests for the model lately; 0 is the most
    /// urgent.
    pub priority: u8,
    /// Requests that came for the model since it last had a replica; 0 while it
    /// has one.
    pub starved: f64,
    /// Requests that one runner works on at once.
    pub slots: u32,
}

impl Context {
    pub(crate) fn to_dynamic(&self) -> Dynamic {
        let zones: Array = self.zones.iter().map(|z| z.to_string().into()).collect();
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
        map.into()
    }
}

/// What a policy decided for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Largest number of replicas. `replicas`, required.
    pub replicas: u32,
    /// Replicas to have while the model is in use; `None` means as many as it
    /// may have. The rest is kept for replicas that cannot be reached. `target`.
    pub target: Option<u32>,
    /// Zones whose runners may hold it; empty means all. `zones`.
    pub zones: Vec<ZoneName>,
    /// Customers that may ask for it; empty means all. `customers`.
    pub customers: Vec<CustomerName>,
    /// Seconds a replica is kept after its last use; `None` leaves it to the
    /// keeper. `keep_alive`.
    pub keep_alive_seconds: Option<u64>,
    /// Weight of tail latency against idle hours, 0 to 1. `tail_weight`.
    pub tail_weight: f64,
    /// Whether one replica is to be loaded without waiting for a request. `prewarm`.
    pub prewarm: bool,
}

impl Decision {
    /// Replicas to have while the model is in use.
    pub fn wanted(&self) -> u32 {
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
            None => return Err(bad("replicas", "is missing")),
        };
        let decision = Self {
            replicas: replicas as u32,
            target: map
                .remove("target")
                .map(|value| integer("target", value, replicas))
                .transpose()?
                .map(|target| target as u32),
            zones: names(&mut map, "zones")?,
            customers: names(&mut map, "customers")?,
            keep_alive_seconds: map
                .remove("keep_alive")
                .map(|value| integer("keep_alive", value, MAXIMUM_KEEP_ALIVE_SECONDS))
                .transpose()?
                .map(|seconds| seconds as u64),
            tail_weight: map.remove("tail_weight").map_or(Ok(0.5), weight)?,
            prewarm: map.remove("prewarm").map_or(Ok(false), truth)?,
        };
        match map.keys().next() {
            Some(unknown) => Err(bad(unknown, "is not a field of a decision")),
            None => Ok(decision),
        }
    }
}

fn bad(field: &str, cause: impl Into<String>) -> PolicyError {
    PolicyError::Result {
        field: field.to_owned(),
        cause: cause.into(),
    }
}

fn integer(field: &str, value: Dynamic, maximum: i64) -> Result<i64, PolicyError> {
    let number = value
        .as_int()
        .map_err(|found| bad(field, format!("must be an integer, is {found}")))?;
    if (0..=maximum).contains(&number) {
        return Ok(number);
    }
    Err(bad(
        field,
        format!("must be from 0 to {maximum}, is {number}"),
    ))
}

fn weight(value: Dynamic) -> Result<f64, PolicyError> {
    let number = value
        .as_float()
        .or_else(|_| value.as_int().map(|integer| integer as f64))
        .map_err(|found| bad("tail_weight", format!("must be a number, is {found}")))?;
    if (0.0..=1.0).contains(&number) {
        return Ok(number);
    }
    Err(bad(
        "tail_weight",
        format!("must be from 0 to 1, is {number}"),
    ))
}

fn truth(value: Dynamic) -> Result<bool, PolicyError> {
    value
        .as_bool()
        .map_err(|found| bad("prewarm", format!("must be true or false, is {found}")))
}

fn names<N>(map: &mut Map, field: &'static str) -> Result<Vec<N>, PolicyError>
where
    N: TryFrom<String, Error = barleyspar_domain::NameError>,
{
    let Some(value) = map.remove(field) else {
        return Ok(Vec::new());
    };
    let texts = value
        .into_typed_array::<String>()
        .map_err(|found| bad(field, format!("must be an array of strings, is {found}")))?;
    texts
        .into_iter()
        .map(|text| N::try_from(text).map_err(|error| bad(field, error.to_string())))
        .collect()
}
