//! Port to a platform: translates its names, formats and calls.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, StatusCode, request, response};
use thiserror::Error;

use crate::{
    AnswerFacts, Configuration, ForwardedHeaders, Order, OrderAnswer, Report, RequestFacts, Runner,
    StoreAnswer, StoreCall, StoreError,
};

/// Error in the translation of data that came from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what}: {cause}")]
pub struct DialectError {
    /// Name of the data that was parsed, for example `report` or `entry of runner i-7`.
    pub what: String,
    /// Why the data could not be translated.
    pub cause: String,
}

/// An object that the platform or its operators have written to the store.
#[derive(Debug)]
pub enum StoredObject {
    /// A complete version of the operators' configuration, which replaces the previous
    /// one.
    Configuration(Box<Configuration>),
    /// The entry by which a runner announces itself.
    Runner(Box<Runner>),
    /// The operators' request to evacuate the zone of this name: no more requests may be sent
    /// to its runners.
    Evacuation(Arc<str>),
    /// An object of any other type, which the gateway ignores.
    Other,
}

/// The party that may set a header of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderOwner {
    /// The caller: the header is forwarded to the runner unchanged.
    Caller,
    /// This system: a header of this name from a caller is dropped.
    System,
    /// The sender on one connection (a hop-by-hop header): it is not forwarded.
    Hop,
    /// The runner, in its answers: a header of this name from a caller is dropped.
    Runner,
}

/// Translates between the product's types and a platform's wire formats. Implementations
/// are pure: they do no I/O, keep no state and make no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Extracts the facts from the head of a client's request.
    fn read_request(&self, head: &request::Parts) -> RequestFacts;
    /// Returns who may set the header `name` of a request.
    fn header_owner(&self, name: &HeaderName) -> HeaderOwner;
    /// Returns the headers that this system adds to a caller's request for the runner.
    fn added_headers(&self, forward: &ForwardedHeaders) -> HeaderMap;
    /// Extracts the facts from the head of a runner's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;
    /// Returns the headers of an answer that the gateway itself gives to the request with
    /// the id `request_id`.
    fn own_answer_headers(&self, request_id: Option<&str>) -> HeaderMap;
    /// Builds the HTTP request that asks the runner with the name `runner` for its report.
    fn report_call(&self, runner: &str) -> Request<Bytes>;
    /// Builds the HTTP request that asks the runner with the name `runner` for its health, at the
    /// `path` of its service.
    fn health_call(&self, runner: &str, path: &str) -> Request<Bytes>;
    /// Parses a runner's report from its HTTP answer.
    fn read_report(&self, status: StatusCode, body: &[u8]) -> Result<Report, DialectError>;
    /// Builds the HTTP request that gives `order` to its runner.
    fn order_call(&self, order: &Order) -> Request<Bytes>;
    /// Returns the meaning of the HTTP status of a runner's answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderAnswer;
    /// Builds the HTTP request for a call to the store.
    fn store_call(&self, call: &StoreCall) -> Request<Bytes>;
    /// Returns the era of the store from the headers of one of its answers. The era
    /// increases by one each time that the store is restored from a backup; it is 0 if the
    /// answer names none.
    fn store_era(&self, headers: &HeaderMap) -> u32;
    /// Parses the store's answer to `call`, which the store gave in the era `era`.
    fn read_store_answer(
        &self,
        call: &StoreCall,
        era: u32,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreAnswer, StoreError>;
    /// Parses the value that the store holds under `key`.
    fn read_object(&self, key: &str, value: &[u8]) -> Result<StoredObject, DialectError>;
    /// Returns the name of the runner whose entry has the key `key`; `None` if `key` is not
    /// the key of a runner's entry.
    fn runner_name_in_key<'a>(&self, key: &'a str) -> Option<&'a str>;
    /// Returns the zone that the operators evacuate by writing `key`; `None` if `key` is not
    /// the key of an evacuation.
    fn evacuated_zone_in_key<'a>(&self, key: &'a str) -> Option<&'a str>;
    /// Returns the path of the HTTP requests by which the platform checks whether the gateway
    /// is ready.
    fn readiness_path(&self) -> &str;
}
