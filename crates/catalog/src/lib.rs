//! Data types of a gateway: configuration, routes, runners, orders and calls to the
//! key-value store; and [`Dialect`], the port through which a platform's names and formats
//! are translated.
//!
//! Nothing in this crate does I/O or makes decisions.

mod allowed_regions;
mod answer;
mod configuration;
mod dialect;
mod limit;
mod order;
mod request;
mod revision;
mod routes;
mod runner;
mod settings;
mod signals;
mod slots;
mod store;
mod tenants;

pub use allowed_regions::AllowedRegions;
pub use answer::AnswerFacts;
pub use configuration::{
    Backend, ClientLimits, ColdSpec, Configuration, EngineSpec, ModelSpec, RequestKind, Route,
    Service,
};
pub use dialect::{Dialect, DialectError, HeaderOwner, StoredObject};
pub use limit::RunnerLimit;
pub use order::{Order, OrderAction, OrderAnswer, Report};
pub use request::{ForwardedHeaders, ModelReference, RequestFacts};
pub use revision::Revision;
pub use routes::RouteTable;
pub use runner::{
    LoadedModel, Runner, RunnerKey, RunnerState, SoftwareVersion, WeightCopies, incarnation_id,
    runner_key,
};
pub use settings::{Bounds, ColdBounds, MachineLimits, NodeSettings, QuotaBounds};
pub use signals::RunnerSignals;
pub use slots::{ImpossibleSlotCount, SlotCount};
pub use store::{Event, Item, StoreAnswer, StoreCall, StoreError, Transaction, Write};
pub use tenants::{Credential, Quota, QuotaUnit, Tenant};
