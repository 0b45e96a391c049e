//! Specifications of services, policies, models, adapters and customers, as operators
//! submit them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, CustomerName, ModelName, PolicyName, ServiceName};

/// Type of the runners of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// The runners are model engines.
    Model,
    /// The runners are plain HTTP back ends.
    Plain,
}

/// Specification of a service: a group of interchangeable runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name of the service, by which models refer to it.
    pub name: ServiceName,
    /// Type of the service's runners, which determines whether models are loaded on them.
    pub kind: ServiceKind,
    /// For plain services: path prefixes of requests that may run more than once, with
    /// any method. `GET`, `HEAD` and `OPTIONS` requests may always run more than once.
    #[serde(default)]
    pub repeatable_paths: Vec<String>,
}

/// Specification of a model: its service, its weights and the policy for its replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Unique name of the model, as callers ask for it.
    pub name: ModelName,
    /// The service on whose runners the model may be loaded.
    pub service: ServiceName,
    /// Version of the weights, as the operators name it.
    pub version: String,
    /// Accelerator memory that the loaded model occupies, in bytes.
    pub memory_bytes: u64,
    /// The policy that decides the number of the model's replicas.
    pub policy: PolicyName,
}

/// Specification of an adapter of a model. An adapter is loaded in addition to its base
/// model and needs memory of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Unique name of the adapter; callers ask for it in place of the model's name.
    pub name: AdapterName,
    /// The base model, which must be loaded on the same runner.
    pub base: ModelName,
    /// Version of the weights, as the operators name it.
    pub version: String,
    /// Accelerator memory that the adapter occupies in addition to its base model, in bytes.
    pub memory_bytes: u64,
}

/// Specification of a policy: a program in the policy language.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Unique name of the policy, by which models refer to it.
    pub name: PolicyName,
    /// Source text of the program, which must define `fn decide(context)`.
    pub program: String,
}

/// Specification of a customer: its credential, limit and priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Unique name of the customer, by which policies list who may request a model.
    pub name: CustomerName,
    /// SHA-256 digest of the customer's bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Maximum number of the customer's requests that may wait at one node.
    pub maximum_waiting: u32,
    /// Priority of the customer's requests; larger numbers are served first.
    pub priority: i32,
}

/// Kind of an object that operators submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A service, given by a [`ServiceSpec`].
    Service,
    /// A policy, given by a [`PolicySpec`].
    Policy,
    /// A model, given by a [`ModelSpec`].
    Model,
    /// An adapter of a model, given by an [`AdapterSpec`].
    Adapter,
    /// A customer, given by a [`CustomerSpec`].
    Customer,
}

impl ObjectKind {
    /// All kinds, ordered so that objects refer only to objects of earlier kinds.
    pub const ALL: [Self; 5] = [
        Self::Service,
        Self::Policy,
        Self::Model,
        Self::Adapter,
        Self::Customer,
    ];

    /// Returns the name of the kind that files and commands use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Policy => "policy",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Customer => "customer",
        }
    }

    /// Returns the kind whose name, in singular or plural, is `text`; `None` if no kind has
    /// this name.
    pub fn parse(text: &str) -> Option<Self> {
        let plural = |kind: Self| match kind {
            Self::Policy => "policies".to_owned(),
            other => format!("{}s", other.as_str()),
        };
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text || plural(*kind) == text)
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Identifies an object among all objects.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object. Objects of different kinds may have the same name.
    pub kind: ObjectKind,
    /// Name of the object, unique among objects of its kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// Specification of an object of any kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectSpec {
    /// An object of the kind [`ObjectKind::Service`].
    Service(ServiceSpec),
    /// An object of the kind [`ObjectKind::Policy`].
    Policy(PolicySpec),
    /// An object of the kind [`ObjectKind::Model`].
    Model(ModelSpec),
    /// An object of the kind [`ObjectKind::Adapter`].
    Adapter(AdapterSpec),
    /// An object of the kind [`ObjectKind::Customer`].
    Customer(CustomerSpec),
}

impl ObjectSpec {
    /// Returns the object's kind and name, under which the control log stores it and by
    /// which other objects refer to it.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Service(spec) => (ObjectKind::Service, spec.name.as_str()),
            Self::Policy(spec) => (ObjectKind::Policy, spec.name.as_str()),
            Self::Model(spec) => (ObjectKind::Model, spec.name.as_str()),
            Self::Adapter(spec) => (ObjectKind::Adapter, spec.name.as_str()),
            Self::Customer(spec) => (ObjectKind::Customer, spec.name.as_str()),
        };
        ObjectKey {
            kind,
            name: name.to_owned(),
        }
    }

    /// Returns the objects that this object refers to, each with the name of the field that
    /// holds the reference.
    pub fn references(&self) -> Vec<(&'static str, ObjectKey)> {
        let key = |kind, name: &str| ObjectKey {
            kind,
            name: name.to_owned(),
        };
        match self {
            Self::Model(model) => vec![
                ("service", key(ObjectKind::Service, model.service.as_str())),
                ("policy", key(ObjectKind::Policy, model.policy.as_str())),
            ],
            Self::Adapter(adapter) => {
                vec![("base", key(ObjectKind::Model, adapter.base.as_str()))]
            }
            Self::Service(_) | Self::Policy(_) | Self::Customer(_) => Vec::new(),
        }
    }
}
