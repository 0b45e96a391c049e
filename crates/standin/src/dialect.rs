//! The product's own wire: typed values in MessagePack, plain header names.

use std::time::Duration;

use barleyspar_catalog::{
    AnswerFacts, Configuration, Credential, Dialect, DialectError, Forward, HeaderOwner,
    ModelReference, Order, OrderAnswer, Report, RequestFacts, Runner, RunnerLimit, RunnerSignals,
    StoreAnswer, StoreCall, StoreError, StoredObject,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, request, response};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Header names and keys of the wire.
pub mod names {
    /// Id of a client's attempt.
    pub const REQUEST_ID: &str = "request-id";
    /// Milliseconds that the client waits.
    pub const DEADLINE: &str = "deadline";
    /// The model asked for.
    pub const MODEL: &str = "model";
    /// The adapter asked for.
    pub const ADAPTER: &str = "adapter";
    /// The runner that is meant.
    pub const RUNNER: &str = "runner";
    /// The event after which to go on.
    pub const AFTER_EVENT: &str = "after-event";
    /// The caller's secret.
    pub const CREDENTIAL: &str = "credential";
    /// The caller's tenant.
    pub const TENANT: &str = "tenant";
    /// Says that a request did not run.
    pub const NOT_RUN: &str = "not-run";
    /// The runner's signature.
    pub const SIGNATURE: &str = "signature";
    /// Requests a second that a runner takes from all nodes together.
    pub const LIMIT: &str = "limit";
    /// Says that a runner leaves.
    pub const LEAVING: &str = "leaving";
    /// Milliseconds for which a runner wants nothing from the node that it answers.
    pub const PAUSE: &str = "pause";
    /// Era of the store.
    pub const STORE_ERA: &str = "store-era";
    /// Key of the configuration.
    pub const CONFIGURATION_KEY: &str = "configuration";
    /// Prefix of the keys by which zones are evacuated.
    pub const EVACUATION_PREFIX: &str = "evacuate/";
    /// Prefix of the runners' keys.
    pub const RUNNER_PREFIX: &str = "runner/";
    /// Path of reports.
    pub const REPORT_PATH: &str = "/report";
    /// Path of orders.
    pub const ORDER_PATH: &str = "/order";
    /// Path of readiness.
    pub const READINESS_PATH: &str = "/ready";
}

/// The wire.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

/// A value's bytes.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec_named(value)
        .expect("values of the wire are plain data")
        .into()
}

/// A value from its bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("values are plain text");
    headers.insert(HeaderName::from_static(name), value);
}

fn post(path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().expect("paths are plain text");
    request
}

/// Status of a store's error on the wire.
pub fn error_status(error: &StoreError) -> StatusCode {
    match error {
        StoreError::HistoryLost => StatusCode::GONE,
        StoreError::LeaseGone => StatusCode::NOT_FOUND,
        StoreError::Throttled => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl Dialect for NativeDialect {
    fn read_request(&self, head: &request::Parts) -> RequestFacts {
        let headers = &head.headers;
        RequestFacts {
            request_id: text(headers, names::REQUEST_ID),
            deadline: text(headers, names::DEADLINE)
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
            model: text(headers, names::MODEL).map(|model| ModelReference {
                model: model.into(),
                adapter: text(headers, names::ADAPTER).map(Into::into),
            }),
            prompt_tokens: 100,
            answer_tokens: 100,
            shared_prefix: Vec::new(),
            last_event_id: text(headers, names::AFTER_EVENT),
            credential: text(headers, names::CREDENTIAL)
                .map(|secret| Credential::of(secret.as_bytes())),
            named_tokens: Some(200),
        }
    }

    fn header_owner(&self, name: &HeaderName) -> HeaderOwner {
        match name.as_str() {
            names::RUNNER | names::TENANT | names::CREDENTIAL => HeaderOwner::System,
            names::NOT_RUN | names::SIGNATURE | names::LIMIT | names::LEAVING | names::PAUSE => {
                HeaderOwner::Runner
            }
            "content-length" | "transfer-encoding" | "connection" => HeaderOwner::Hop,
            _ => HeaderOwner::Caller,
        }
    }

    fn added_headers(&self, forward: &Forward) -> HeaderMap {
        let mut headers = HeaderMap::new();
        set(&mut headers, names::RUNNER, &forward.runner);
        if let Some(remaining) = forward.remaining {
            let remaining = remaining.as_millis().to_string();
            set(&mut headers, names::DEADLINE, &remaining);
        }
        if let Some(after) = &forward.last_event_id {
            set(&mut headers, names::AFTER_EVENT, after);
        }
        if let Some(tenant) = &forward.tenant {
            set(&mut headers, names::TENANT, tenant);
        }
        headers
    }

    fn read_answer(&self, head: &response::Parts) -> AnswerFacts {
        let headers = &head.headers;
        AnswerFacts {
            request_id: text(headers, names::REQUEST_ID),
            runner_name: None,
            not_run: headers.contains_key(names::NOT_RUN),
            signed: headers.contains_key(names::SIGNATURE),
            keep_alive_seconds: Some(10),
            event_stream: text(headers, "content-type").as_deref() == Some("text/event-stream"),
            encoded: false,
            signals: RunnerSignals {
                limit: text(headers, names::LIMIT)
                    .and_then(|value| value.parse().ok())
                    .and_then(RunnerLimit::new),
                draining: headers.contains_key(names::LEAVING),
                requested_pause: text(headers, names::PAUSE)
                    .and_then(|value| value.parse().ok())
                    .map(Duration::from_millis),
            },
        }
    }

    fn own_answer_headers(&self, request_id: Option<&str>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(request_id) = request_id {
            set(&mut headers, names::REQUEST_ID, request_id);
        }
        headers
    }

    fn report_call(&self, runner: &str) -> Request<Bytes> {
        let mut request = post(names::REPORT_PATH, Bytes::new());
        set(request.headers_mut(), names::RUNNER, runner);
        request
    }

    fn read_report(&self, status: StatusCode, body: &[u8]) -> Result<Report, DialectError> {
        let error = |cause: String| DialectError {
            what: "report".to_owned(),
            cause,
        };
        if status != StatusCode::OK {
            return Err(error(format!("status {status}")));
        }
        decode(body).map_err(error)
    }

    fn order_call(&self, order: &Order) -> Request<Bytes> {
        let mut request = post(names::ORDER_PATH, encode(order));
        set(request.headers_mut(), names::RUNNER, &order.runner);
        request
    }

    fn read_order_answer(&self, status: StatusCode) -> OrderAnswer {
        match status {
            StatusCode::ACCEPTED => OrderAnswer::Accepted,
            StatusCode::OK => OrderAnswer::AlreadyHolds,
            StatusCode::CONFLICT => OrderAnswer::Conflict,
            StatusCode::PRECONDITION_FAILED => OrderAnswer::Fenced,
            StatusCode::MISDIRECTED_REQUEST => OrderAnswer::WrongRunner,
            other => OrderAnswer::Rejected(other.as_u16()),
        }
    }

    fn store_call(&self, call: &StoreCall) -> Request<Bytes> {
        post("/", encode(call))
    }

    fn store_era(&self, headers: &HeaderMap) -> u32 {
        let era = text(headers, names::STORE_ERA);
        era.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn read_store_answer(
        &self,
        _call: &StoreCall,
        _era: u32,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreAnswer, StoreError> {
        match status {
            StatusCode::OK => decode(body).map_err(StoreError::Malformed),
            StatusCode::GONE => Err(StoreError::HistoryLost),
            StatusCode::NOT_FOUND => Err(StoreError::LeaseGone),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Throttled),
            _ => Err(StoreError::Unavailable),
        }
    }

    fn read_object(&self, key: &str, value: &[u8]) -> Result<StoredObject, DialectError> {
        let error = |cause: String| DialectError {
            what: key.to_owned(),
            cause,
        };
        if key == names::CONFIGURATION_KEY {
            let configuration: Configuration = decode(value).map_err(error)?;
            return Ok(StoredObject::Configuration(Box::new(configuration)));
        }
        if let Some(zone) = self.evacuated_zone_in_key(key) {
            return Ok(StoredObject::Evacuation(zone.into()));
        }
        if self.runner_name_in_key(key).is_some() {
            let runner: Runner = decode(value).map_err(error)?;
            return Ok(StoredObject::Runner(Box::new(runner)));
        }
        Ok(StoredObject::Other)
    }

    fn runner_name_in_key<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(names::RUNNER_PREFIX)
    }

    fn evacuated_zone_in_key<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(names::EVACUATION_PREFIX)
    }

    fn readiness_path(&self) -> &str {
        names::READINESS_PATH
    }
}
