//! The port behind which a platform's names, formats and calls stand.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, StatusCode, request, response};
use thiserror::Error;

use crate::{
    AnswerFacts, Configuration, Forward, Order, OrderAnswer, Report, RequestFacts, Runner,
    StoreAnswer, StoreCall, StoreError,
};

/// Why bytes of the platform could not be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what}: {cause}")]
pub struct DialectError {
    /// What was being read.
    pub what: String,
    /// Why it failed.
    pub cause: String,
}

/// An object in the store.
#[derive(Debug)]
pub enum StoredObject {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// A runner's entry.
    Runner(Box<Runner>),
    /// The operators want nothing more to be sent to the runners of this zone.
    Evacuation(Arc<str>),
    /// Something that is none of these.
    Other,
}

/// Who may set a header of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderOwner {
    /// The caller: it goes on to the runner as it came.
    Caller,
    /// This system: what a caller sends under its name has no effect.
    System,
    /// One connection: it goes no further.
    Hop,
    /// The runner, in its answers.
    Runner,
}

/// Translates between the product's types and a platform's wire. Pure: no I/O,
/// no state, no decision.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a client's request.
    fn read_request(&self, head: &request::Parts) -> RequestFacts;
    /// Who may set the header `name` of a request.
    fn header_owner(&self, name: &HeaderName) -> HeaderOwner;
    /// The headers that this system adds to what the caller sent.
    fn added_headers(&self, forward: &Forward) -> HeaderMap;
    /// Reads the head of a runner's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;
    /// Headers of an answer of the system's own to the request `request_id`.
    fn own_headers(&self, request_id: Option<&str>) -> HeaderMap;
    /// Asks a runner for its report.
    fn report_call(&self, runner: &str) -> Request<Bytes>;
    /// Reads a runner's report.
    fn read_report(&self, status: StatusCode, body: &[u8]) -> Result<Report, DialectError>;
    /// Gives a runner an order.
    fn order_call(&self, order: &Order) -> Request<Bytes>;
    /// Reads a runner's answer to an order.
    fn read_order_answer(&self, status: StatusCode) -> OrderAnswer;
    /// Makes a call to the store.
    fn store_call(&self, call: &StoreCall) -> Request<Bytes>;
    /// The era of the store that an answer of it belongs to: it rises by one each time
    /// that the store comes back from a copy. 0 for a store that has none.
    fn store_era(&self, headers: &HeaderMap) -> u32;
    /// Reads the store's answer to a call, which belongs to `era`.
    fn read_store_answer(
        &self,
        call: &StoreCall,
        era: u32,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreAnswer, StoreError>;
    /// Reads a value of the store.
    fn read_object(&self, key: &str, value: &[u8]) -> Result<StoredObject, DialectError>;
    /// The own id of the runner whose entry `key` is.
    fn runner_of_key<'a>(&self, key: &'a str) -> Option<&'a str>;
    /// The zone whose evacuation stands under `key`.
    fn evacuation_of_key<'a>(&self, key: &'a str) -> Option<&'a str>;
    /// Path on which readiness is asked for.
    fn readiness_path(&self) -> &str;
}
