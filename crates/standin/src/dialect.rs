//! A wire format for the tests: MessagePack values and plain header names. It stands in for
//! the platform's dialect.

use std::time::Duration;

use barleyspar_catalog::{
    AnswerFacts, Configuration, Credential, Dialect, DialectError, ForwardedHeaders, HeaderOwner,
    ModelReference, Order, OrderAnswer, Report, RequestFacts, Runner, RunnerLimit, RunnerSignals,
    StoreAnswer, StoreCall, StoreError, StoredObject,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, request, response};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Header names, store keys and paths of the wire format.
pub mod names {
    /// Request header: id that the client gave the request.
    pub const REQUEST_ID: &str = "request-id";
    /// Request header: time until the client's deadline, in milliseconds.
    pub const DEADLINE: &str = "deadline";
    /// Request header: model that the request names.
    pub const MODEL: &str = "model";
    /// Request header: adapter of the model that the request names.
    pub const ADAPTER: &str = "adapter";
    /// Request header: ids of the parts of the prompt that other requests may share, as decimal
    /// numbers joined by commas.
    pub const PARTS: &str = "parts";
    /// Header of calls to a runner: id of the runner that the gateway means to call.
    pub const RUNNER: &str = "runner";
    /// Request header: id of the last event that the client has; the stream continues after
    /// it.
    pub const AFTER_EVENT: &str = "after-event";
    /// Request header: id of the client's attempt that brought the first event of the stream
    /// that the request resumes.
    pub const RESUMES: &str = "resumes";
    /// Request header: the caller's secret, which a gateway does not pass on.
    pub const CREDENTIAL: &str = "credential";
    /// Header that a gateway adds: the caller's tenant.
    pub const TENANT: &str = "tenant";
    /// Answer header whose presence says that the runner did not run the request.
    pub const NOT_RUN: &str = "not-run";
    /// Answer header whose presence marks an answer as signed by the runner; the value is not
    /// checked.
    pub const SIGNATURE: &str = "signature";
    /// Answer header: limit of the runner, in requests per second from all nodes together.
    pub const LIMIT: &str = "limit";
    /// Answer header: number of rejections for lack of room within a second that the runner
    /// survives.
    pub const BRITTLE: &str = "brittle";
    /// Answer header whose presence says that the runner is draining.
    pub const LEAVING: &str = "leaving";
    /// Answer header: requested pause, in milliseconds, for the node that receives the answer.
    pub const PAUSE: &str = "pause";
    /// Header of the store's answers: era, which rises when the store is restored from a
    /// backup.
    pub const STORE_ERA: &str = "store-era";
    /// Store key of the encoded [`Configuration`](barleyspar_catalog::Configuration), which the
    /// operators write.
    pub const CONFIGURATION_KEY: &str = "configuration";
    /// Prefix of store keys; the rest of the key is a zone that is evacuated while the key
    /// exists.
    pub const EVACUATION_PREFIX: &str = "evacuate/";
    /// Prefix of store keys of runner entries; the rest of the key is the runner's name.
    pub const RUNNER_PREFIX: &str = "runner/";
    /// Path at which a runner answers with its report.
    pub const REPORT_PATH: &str = "/report";
    /// Path at which a runner takes orders.
    pub const ORDER_PATH: &str = "/order";
    /// Path at which a gateway answers readiness checks.
    pub const READINESS_PATH: &str = "/ready";
}

/// [`Dialect`] with which the tests run gateways: it reads and writes this wire format.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

/// Encodes a value as the store, runners and gateways exchange it.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec_named(value)
        .expect("wire values can be encoded")
        .into()
}

/// Decodes a value; the error describes where the bytes do not fit the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("header values are plain text");
    headers.insert(HeaderName::from_static(name), value);
}

fn post(path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().expect("paths are plain text");
    request
}

/// Status code with which the store answers for `error`.
pub fn error_status(error: &StoreError) -> StatusCode {
    match error {
        StoreError::HistoryLost => StatusCode::GONE,
        StoreError::LeaseGone => StatusCode::NOT_FOUND,
        StoreError::Throttled => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Number of tokens of a prompt whose request's path does not name it.
const DEFAULT_PROMPT_TOKENS: u64 = 100;

/// Returns the number of tokens of a request's prompt: the last segment of its path if that
/// is a number.
fn prompt_tokens(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or_default();
    last.parse().unwrap_or(DEFAULT_PROMPT_TOKENS)
}

impl Dialect for NativeDialect {
    fn read_request(&self, head: &request::Parts) -> RequestFacts {
        let headers = &head.headers;
        RequestFacts {
            request_id: header_text(headers, names::REQUEST_ID),
            deadline: header_text(headers, names::DEADLINE)
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
            model: header_text(headers, names::MODEL).map(|model| ModelReference {
                model: model.into(),
                adapter: header_text(headers, names::ADAPTER).map(Into::into),
            }),
            prompt_tokens: prompt_tokens(head.uri.path()),
            answer_tokens: 100,
            shared_prefix: header_text(headers, names::PARTS)
                .map(|ids| ids.split(',').filter_map(|id| id.parse().ok()).collect())
                .unwrap_or_default(),
            last_event_id: header_text(headers, names::AFTER_EVENT),
            resumes: header_text(headers, names::RESUMES),
            credential: header_text(headers, names::CREDENTIAL)
                .map(|secret| Credential::of(secret.as_bytes())),
            named_tokens: Some(200),
        }
    }

    fn header_owner(&self, name: &HeaderName) -> HeaderOwner {
        match name.as_str() {
            names::RUNNER | names::TENANT | names::CREDENTIAL => HeaderOwner::System,
            names::NOT_RUN
            | names::SIGNATURE
            | names::LIMIT
            | names::BRITTLE
            | names::LEAVING
            | names::PAUSE => HeaderOwner::Runner,
            "content-length" | "transfer-encoding" | "connection" => HeaderOwner::Hop,
            _ => HeaderOwner::Caller,
        }
    }

    fn added_headers(&self, forward: &ForwardedHeaders) -> HeaderMap {
        let mut headers = HeaderMap::new();
        set_header(&mut headers, names::RUNNER, &forward.runner);
        if let Some(remaining) = forward.remaining {
            let remaining = remaining.as_millis().to_string();
            set_header(&mut headers, names::DEADLINE, &remaining);
        }
        if let Some(after) = &forward.last_event_id {
            set_header(&mut headers, names::AFTER_EVENT, after);
        }
        if let Some(tenant) = &forward.tenant {
            set_header(&mut headers, names::TENANT, tenant);
        }
        headers
    }

    fn read_answer(&self, head: &response::Parts) -> AnswerFacts {
        let headers = &head.headers;
        AnswerFacts {
            request_id: header_text(headers, names::REQUEST_ID),
            runner_name: None,
            not_run: headers.contains_key(names::NOT_RUN),
            signed: headers.contains_key(names::SIGNATURE),
            keep_alive_seconds: Some(10),
            event_stream: header_text(headers, "content-type").as_deref()
                == Some("text/event-stream"),
            encoded: false,
            signals: RunnerSignals {
                limit: header_text(headers, names::LIMIT)
                    .and_then(|value| value.parse().ok())
                    .and_then(RunnerLimit::new),
                brittle: header_text(headers, names::BRITTLE).and_then(|value| value.parse().ok()),
                draining: headers.contains_key(names::LEAVING),
                requested_pause: header_text(headers, names::PAUSE)
                    .and_then(|value| value.parse().ok())
                    .map(Duration::from_millis),
            },
        }
    }

    fn own_answer_headers(&self, request_id: Option<&str>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(request_id) = request_id {
            set_header(&mut headers, names::REQUEST_ID, request_id);
        }
        headers
    }

    fn report_call(&self, runner: &str) -> Request<Bytes> {
        let mut request = post(names::REPORT_PATH, Bytes::new());
        set_header(request.headers_mut(), names::RUNNER, runner);
        request
    }

    fn health_call(&self, runner: &str, _: &str) -> Request<Bytes> {
        self.report_call(runner)
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
        set_header(request.headers_mut(), names::RUNNER, &order.runner);
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
        let era = header_text(headers, names::STORE_ERA);
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
