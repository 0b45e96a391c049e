//! The operators' HTTP interface.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_control_log::{AppendError, Change, ControlState, InForce, Proposal};
use barleyspar_domain::{ModelName, ObjectKind, ObjectSpec};
use barleyspar_policy::Program;
use poem::endpoint::make;
use poem::http::StatusCode;
use poem::{Body, EndpointExt, Request, Response, Route};
use serde::Serialize;
use tokio::time::Instant;

use crate::Node;
use crate::caller_auth::token_digest;
use crate::explain::explain;
use crate::http::{BadRequest, read_body};
use crate::operator_types::{
    ApplyAnswer, ApplyRequest, ApplyStanding, GetAnswer, ListedObject, OperatorError, StatusAnswer,
};
use crate::settings::OperatorSettings;

/// Largest body of an operator's request, in bytes.
const MAXIMUM_BODY_BYTES: usize = 32 * 1024 * 1024;
const BODY_TIME_LIMIT: Duration = Duration::from_secs(30);
/// How long `wait` waits for a change to be in force everywhere.
const WAIT_LIMIT: Duration = Duration::from_secs(15);
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// The operators' interface of one node.
pub struct OperatorApi {
    node: Node,
    operators: Vec<OperatorSettings>,
}

struct Refused(StatusCode, Box<OperatorError>);

impl From<BadRequest> for Refused {
    fn from(bad: BadRequest) -> Self {
        refuse(bad.status, bad.message)
    }
}

fn refuse(status: StatusCode, message: impl Into<String>) -> Refused {
    let error = OperatorError {
        message: message.into(),
        conflict: None,
        unknown_outcome: false,
    };
    Refused(status, Box::new(error))
}

fn answer<T: Serialize>(result: Result<T, Refused>) -> Response {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, serde_json::to_string(&body)),
        Err(Refused(status, error)) => (status, serde_json::to_string(&error)),
    };
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(Body::from_string(body.unwrap_or_default()))
}

impl OperatorApi {
    /// The interface of `node` for `operators`.
    pub fn new(node: Node, operators: Vec<OperatorSettings>) -> Arc<Self> {
        Arc::new(Self { node, operators })
    }

    /// The routes of the interface.
    pub fn routes(self: &Arc<Self>) -> impl poem::Endpoint<Output = Response> + use<> {
        let (apply, list) = (Arc::clone(self), Arc::clone(self));
        let (status, explanation) = (Arc::clone(self), Arc::clone(self));
        Route::new()
            .at(
                "/operator/v1/apply",
                make(move |request| {
                    let api = Arc::clone(&apply);
                    async move { answer(api.apply(request).await) }
                }),
            )
            .at(
                "/operator/v1/objects/:kind",
                make(move |request: Request| {
                    let api = Arc::clone(&list);
                    async move { answer(api.list(&request)) }
                }),
            )
            .at(
                "/operator/v1/status",
                make(move |request: Request| {
                    let api = Arc::clone(&status);
                    async move { answer(api.status(&request).await) }
                }),
            )
            .at(
                "/operator/v1/explain/:model",
                make(move |request: Request| {
                    let api = Arc::clone(&explanation);
                    async move { answer(api.explain(&request).await) }
                }),
            )
            .map_to_response()
    }

    fn operator(&self, request: &Request) -> Result<&OperatorSettings, Refused> {
        let digest = token_digest(request)?;
        let mut operators = self.operators.iter();
        operators
            .find(|operator| operator.token_sha256 == digest)
            .ok_or_else(|| refuse(StatusCode::UNAUTHORIZED, "the bearer token is unknown"))
    }

    async fn apply(&self, mut request: Request) -> Result<ApplyAnswer, Refused> {
        let author = format!("operator {}", self.operator(&request)?.name);
        let body = request.take_body();
        let bytes = read_body(body, MAXIMUM_BODY_BYTES, BODY_TIME_LIMIT).await?;
        let wanted: ApplyRequest = serde_json::from_slice(&bytes)
            .map_err(|error| refuse(StatusCode::BAD_REQUEST, error.to_string()))?;
        check_programs(&wanted.put)?;
        if !self.node.is_ready() {
            let message = "this node has not read the control log yet; nothing was changed";
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, message));
        }
        let wait = wanted.wait;
        let before = self.node.log.state();
        if effective(&before, &wanted).is_empty() {
            return Ok(ApplyAnswer {
                position: before.position(),
                change: String::new(),
                standing: ApplyStanding::Unchanged,
                in_force: InForce::default(),
            });
        }
        let proposal: Proposal = Box::new(move |state| {
            let changes = effective(state, &wanted);
            state.check(&changes, wanted.read_at)?;
            Ok(changes)
        });
        let appended = self.node.log.append(author, proposal).await;
        let appended = appended.map_err(append_refused)?;
        tracing::info!(position = appended.position, change = %appended.change, "configuration changed");
        let in_force = self.spread(appended.position, wait).await;
        let standing = match in_force.is_complete() {
            true => ApplyStanding::InForce,
            false => ApplyStanding::Committed,
        };
        Ok(ApplyAnswer {
            position: appended.position,
            change: appended.change.to_string(),
            standing,
            in_force,
        })
    }

    async fn spread(&self, position: u64, wait: bool) -> InForce {
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            let in_force = self.node.log.spread(position).await;
            if !wait || in_force.is_complete() || Instant::now() >= until {
                return in_force;
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    }

    fn list(&self, request: &Request) -> Result<GetAnswer, Refused> {
        self.operator(request)?;
        let kind = request.raw_path_param("kind").unwrap_or_default();
        let kind = ObjectKind::parse(kind)
            .ok_or_else(|| refuse(StatusCode::NOT_FOUND, format!("no kind {kind:?}")))?;
        let state = self.node.log.state();
        let objects = state.objects().iter().filter(|(key, _)| key.kind == kind);
        Ok(GetAnswer {
            read_at: state.position(),
            objects: objects
                .map(|(_, stored)| ListedObject {
                    object: stored.spec.clone(),
                    changed_at: stored.changed_at,
                    changed_by: stored.author.clone(),
                })
                .collect(),
        })
    }

    async fn status(&self, request: &Request) -> Result<StatusAnswer, Refused> {
        self.operator(request)?;
        let view = self.node.membership.view();
        let log = self.node.log.view();
        let mut members: BTreeMap<_, BTreeMap<String, String>> = BTreeMap::new();
        for member in view.members.values() {
            let status = format!("{:?}", member.status).to_lowercase();
            let zone = members.entry(member.zone.clone()).or_default();
            zone.insert(member.name.to_string(), status);
        }
        let holders = log.state.grants().values().map(|grant| grant.holders.len());
        Ok(StatusAnswer {
            node: view.me.name.to_string(),
            position: log.state.position(),
            current: log.current,
            members,
            in_force: self.node.log.spread(log.state.position()).await,
            runners: log.state.runners().len(),
            models: log.state.models().count(),
            granted_replicas: holders.sum(),
        })
    }

    async fn explain(
        &self,
        request: &Request,
    ) -> Result<crate::operator_types::Explanation, Refused> {
        self.operator(request)?;
        let text = request.raw_path_param("model").unwrap_or_default();
        let unknown = || refuse(StatusCode::NOT_FOUND, format!("there is no model {text:?}"));
        let name = ModelName::try_from(text).map_err(|_| unknown())?;
        explain(&self.node, &name).await.ok_or_else(unknown)
    }
}

/// The changes of `wanted` that `state` does not hold already.
fn effective(state: &ControlState, wanted: &ApplyRequest) -> Vec<Change> {
    let known = |spec: &ObjectSpec| {
        let stored = state.objects().get(&spec.key());
        stored.is_some_and(|stored| &stored.spec == spec)
    };
    let puts = wanted.put.iter().filter(|spec| !known(spec));
    let deletes = wanted.delete.iter().cloned().map(Change::DeleteObject);
    let puts = puts.cloned().map(Change::PutObject);
    puts.chain(deletes).collect()
}

/// Policies are checked here too: the command line is not the only client.
fn check_programs(objects: &[ObjectSpec]) -> Result<(), Refused> {
    for object in objects {
        let ObjectSpec::Policy(policy) = object else {
            continue;
        };
        Program::compile(&policy.program)
            .and_then(|program| program.dry_run())
            .map_err(|error| {
                let message = format!("{}: program: {error}", object.key());
                refuse(StatusCode::BAD_REQUEST, message)
            })?;
    }
    Ok(())
}

fn append_refused(error: AppendError) -> Refused {
    let message = error.to_string();
    let (status, conflict, unknown_outcome) = match error {
        AppendError::Conflict(conflict) => (StatusCode::CONFLICT, Some(conflict), false),
        AppendError::NotAppended(_) => (StatusCode::SERVICE_UNAVAILABLE, None, false),
        AppendError::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, None, true),
    };
    let error = OperatorError {
        message,
        conflict,
        unknown_outcome,
    };
    Refused(status, Box::new(error))
}
