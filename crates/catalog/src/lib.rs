//! What a gateway knows of the world, as typed values: configuration, routes,
//! runners, orders, the key-value store's calls; and [`Dialect`], the port
//! through which a platform's names and formats are translated.
//!
//! Nothing here does I/O or decides.

mod answer;
mod configuration;
mod dialect;
mod homes;
mod limit;
mod notice;
mod order;
mod request;
mod revision;
mod routes;
mod runner;
mod settings;
mod store;
mod tenants;

pub use answer::AnswerFacts;
pub use configuration::{
    Backend, ClientLimits, ColdSpec, Configuration, EngineSpec, ModelSpec, RequestKind, Route,
    Service,
};
pub use dialect::{Dialect, DialectError, HeaderOwner, StoredObject};
pub use homes::Homes;
pub use limit::RunnerLimit;
pub use notice::RunnerNotice;
pub use order::{Order, OrderAction, OrderAnswer, Report};
pub use request::{Forward, ModelReference, RequestFacts};
pub use revision::Revision;
pub use routes::RouteTable;
pub use runner::{HeldModel, Runner, RunnerState, WeightCopies, incarnation};
pub use settings::{Bounds, ColdBounds, MachineLimits, NodeSettings, QuotaBounds};
pub use store::{Event, Item, StoreAnswer, StoreCall, StoreError, Transaction, Write};
pub use tenants::{Credential, Quota, QuotaUnit, Tenant};
