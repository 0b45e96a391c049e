//! The stand-ins behind real sockets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use barleyspar_domain::{Incarnation, RunnerName};
use barleyspar_node::BoundedAcceptor;
use barleyspar_platform::engine::{ControlError, GenerateError, GenerateRequest, Order};
use barleyspar_platform::http::key_value::{ListedKey, RETRY_AFTER_HEADER, REVISION_HEADER};
use barleyspar_platform::key_value::{KeyValueError, Swap, SwapOutcome, VersionedValue};
use barleyspar_platform::plain::PlainRequest;
use barleyspar_platform::{KeyValue, MachineList};
use futures_util::StreamExt;
use poem::endpoint::make;
use poem::http::StatusCode;
use poem::http::header::{ETAG, IF_NONE_MATCH};
use poem::{Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, Server};
use serde::{Deserialize, Serialize};

use super::engine::EngineStandIn;
use super::key_value::KeyValueStandIn;
use super::machines::MachineListStandIn;
use super::plain::PlainRecord;

/// A stand-in that listens.
#[derive(Debug)]
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Any free port on loopback.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Serves `routes` at `address`.
pub async fn serve<E>(address: SocketAddr, routes: E) -> std::io::Result<Listening>
where
    E: Endpoint + 'static,
    E::Output: IntoResponse,
{
    let acceptor = BoundedAcceptor::bind(address).await?;
    let address = acceptor.address();
    tokio::spawn(async move {
        let _ = Server::new_with_acceptor(acceptor).run(routes).await;
    });
    Ok(Listening { address })
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let text = serde_json::to_string(body).unwrap_or_default();
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(Body::from_string(text))
}

fn bad(message: impl ToString) -> Response {
    Response::builder()
        .status(StatusCode::BAD_REQUEST)
        .body(Body::from_string(message.to_string()))
}

// --- engine ----------------------------------------------------------------

#[derive(Debug, Deserialize)]
struct InventoryQuery {
    #[serde(default)]
    wait_ms: u64,
    incarnation: Option<u64>,
    version: Option<u64>,
}

/// The routes of an engine.
pub fn engine_routes(engine: &EngineStandIn) -> impl Endpoint<Output = Response> + use<> {
    let (orders, inventory) = (engine.clone(), engine.clone());
    let (generate, cancel) = (engine.clone(), engine.clone());
    Route::new()
        .at(
            "/v1/orders",
            make(move |mut request: Request| {
                let engine = orders.clone();
                async move { order(&engine, request.take_body()).await }
            }),
        )
        .at(
            "/v1/inventory",
            make(move |request: Request| {
                let engine = inventory.clone();
                async move { read_inventory(&engine, &request).await }
            }),
        )
        .at(
            "/v1/generate",
            make(move |mut request: Request| {
                let engine = generate.clone();
                async move { start_generation(&engine, request.take_body()).await }
            }),
        )
        .at(
            "/v1/cancel/:id",
            make(move |request: Request| {
                let engine = cancel.clone();
                async move {
                    engine.cancel(request.raw_path_param("id").unwrap_or_default());
                    StatusCode::OK.into_response()
                }
            }),
        )
        .map_to_response()
}

fn control_answer<T: Serialize>(result: Result<T, ControlError>) -> Response {
    match result {
        Ok(body) => json(StatusCode::OK, &body),
        Err(ControlError::Unreachable(_)) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(error) => json(StatusCode::CONFLICT, &error),
    }
}

async fn order(engine: &EngineStandIn, body: Body) -> Response {
    match body.into_json::<Order>().await {
        Ok(order) => control_answer(engine.order(order)),
        Err(error) => bad(error),
    }
}

async fn read_inventory(engine: &EngineStandIn, request: &Request) -> Response {
    let Ok(query) = request.params::<InventoryQuery>() else {
        return bad("bad query");
    };
    let known = query
        .incarnation
        .zip(query.version)
        .map(|(incarnation, version)| (Incarnation(incarnation), version));
    let wait = Duration::from_millis(query.wait_ms);
    control_answer(engine.inventory(known, wait).await)
}

async fn start_generation(engine: &EngineStandIn, body: Body) -> Response {
    let request = match body.into_json::<GenerateRequest>().await {
        Ok(request) => request,
        Err(error) => return bad(error),
    };
    let stream = match engine.generate(request) {
        Ok(stream) => stream,
        Err(GenerateError::NoConnection(_)) => {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        Err(error) => return json(StatusCode::CONFLICT, &error),
    };
    let lines = stream.map(|item| {
        let chunk = item.map_err(std::io::Error::other)?;
        let data = serde_json::to_string(&chunk)?;
        Ok::<_, std::io::Error>(bytes::Bytes::from(format!("data: {data}\n\n")))
    });
    Response::builder()
        .content_type("text/event-stream")
        .body(Body::from_bytes_stream(lines))
}

// --- key-value service -------------------------------------------------------

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct SwapQuery {
    expected: u64,
    ttl_ms: Option<u64>,
}

/// The routes of the key-value service.
pub fn key_value_routes(service: &KeyValueStandIn) -> impl Endpoint<Output = Response> + use<> {
    let (keys, key) = (service.clone(), service.clone());
    Route::new()
        .at(
            "/v1/keys",
            make(move |request: Request| {
                let service = keys.clone();
                async move { list_keys(&service, &request).await }
            }),
        )
        .at(
            "/v1/keys/*key",
            make(move |request: Request| {
                let service = key.clone();
                async move { one_key(&service, request).await }
            }),
        )
        .map_to_response()
}

fn key_value_error(error: &KeyValueError) -> Response {
    match error {
        KeyValueError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        KeyValueError::RateLimited(wait) => Response::builder()
            .status(StatusCode::TOO_MANY_REQUESTS)
            .header(RETRY_AFTER_HEADER, wait.as_millis().max(1).to_string())
            .finish(),
        KeyValueError::Unknown(_) => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

fn versioned(status: StatusCode, value: VersionedValue) -> Response {
    Response::builder()
        .status(status)
        .header(REVISION_HEADER, value.revision.to_string())
        .body(Body::from_bytes(value.value))
}

async fn list_keys(service: &KeyValueStandIn, request: &Request) -> Response {
    let Ok(query) = request.params::<ListQuery>() else {
        return bad("bad query");
    };
    let wait = Duration::from_millis(query.wait_ms);
    let listed = service.watch(&query.prefix, &query.after, query.limit, wait);
    match listed.await {
        Ok(entries) => {
            let entries = entries.into_iter().map(|entry| ListedKey {
                key: entry.key,
                revision: entry.versioned.revision,
                value: entry.versioned.value.to_vec(),
            });
            json(StatusCode::OK, &entries.collect::<Vec<_>>())
        }
        Err(error) => key_value_error(&error),
    }
}

async fn one_key(service: &KeyValueStandIn, mut request: Request) -> Response {
    let key = request.raw_path_param("key").unwrap_or_default().to_owned();
    match request.method().as_str() {
        "GET" => match service.get(&key).await {
            Ok(Some(value)) => versioned(StatusCode::OK, value),
            Ok(None) => StatusCode::NOT_FOUND.into_response(),
            Err(error) => key_value_error(&error),
        },
        "PUT" => {
            let Ok(query) = request.params::<SwapQuery>() else {
                return bad("bad query");
            };
            let Ok(value) = request.take_body().into_bytes().await else {
                return bad("bad body");
            };
            put_key(service, key, &query, value).await
        }
        "DELETE" => match service.delete(&key).await {
            Ok(()) => StatusCode::OK.into_response(),
            Err(error) => key_value_error(&error),
        },
        _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
    }
}

async fn put_key(
    service: &KeyValueStandIn,
    key: String,
    query: &SwapQuery,
    value: bytes::Bytes,
) -> Response {
    let swap = Swap {
        key,
        expected: (query.expected > 0).then_some(query.expected),
        value: value.clone(),
        time_to_live: query.ttl_ms.map(Duration::from_millis),
    };
    match service.swap(swap).await {
        Ok(SwapOutcome::Applied(revision)) => {
            versioned(StatusCode::OK, VersionedValue { revision, value })
        }
        Ok(SwapOutcome::Conflict(Some(current))) => versioned(StatusCode::CONFLICT, current),
        Ok(SwapOutcome::Conflict(None)) => StatusCode::CONFLICT.into_response(),
        Err(error) => key_value_error(&error),
    }
}

// --- machine list and plain services -----------------------------------------

/// The routes of the machine list.
pub fn machine_routes(machines: &MachineListStandIn) -> impl Endpoint<Output = Response> + use<> {
    let machines = machines.clone();
    Route::new()
        .at(
            "/v1/machines",
            make(move |request: Request| {
                let machines = machines.clone();
                async move { read_machines(&machines, &request).await }
            }),
        )
        .map_to_response()
}

async fn read_machines(machines: &MachineListStandIn, request: &Request) -> Response {
    let known = request.headers().get(IF_NONE_MATCH);
    let known = known.and_then(|tag| tag.to_str().ok());
    let Ok(listing) = machines.list(known).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut response = match listing.machines {
        Some(machines) => json(StatusCode::OK, &machines),
        None => StatusCode::NOT_MODIFIED.into_response(),
    };
    if let Some(tag) = listing.tag.and_then(|tag| tag.parse().ok()) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// The routes of an instance of a plain service.
pub fn plain_routes(
    record: &PlainRecord,
    runner: &RunnerName,
) -> impl Endpoint<Output = Response> + use<> {
    let (record, runner) = (record.clone(), runner.clone());
    make(move |request: Request| {
        let (record, runner) = (record.clone(), runner.clone());
        async move { run_plain(&record, &runner, request).await }
    })
    .map_to_response()
}

async fn run_plain(record: &PlainRecord, runner: &RunnerName, mut request: Request) -> Response {
    let Ok(body) = request.take_body().into_bytes().await else {
        return bad("bad body");
    };
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let headers = request.headers().iter();
    let request = PlainRequest {
        method: request.method().to_string(),
        path: path.to_owned(),
        headers: headers
            .map(|(name, value)| {
                let value = bytes::Bytes::copy_from_slice(value.as_bytes());
                (name.to_string(), value)
            })
            .collect(),
        body,
        repeatable: false,
        time_left: Duration::ZERO,
    };
    let answer = record.handle(runner, &request).await;
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = Response::builder().status(status);
    for (name, value) in answer.headers {
        response = response.header(name.as_str(), value.as_ref());
    }
    response.body(Body::from_bytes(answer.body))
}
