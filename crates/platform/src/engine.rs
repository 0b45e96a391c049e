//! Model engines: fenced orders, inventories and token streams.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_domain::{AdapterName, Fence, Incarnation, ModelName, Verdict};
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Where an engine has a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheTier {
    /// In host memory: the fastest load.
    Memory,
    /// On local disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// State of weights in accelerator memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldState {
    /// Memory is taken, the weights are on their way.
    Loading,
    /// Ready to serve.
    Loaded,
    /// Being removed; memory is still taken.
    Unloading,
}

/// An adapter held beside its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The adapter.
    pub adapter: AdapterName,
    /// Version of its weights.
    pub version: String,
    /// State.
    pub state: HoldState,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Milliseconds since its last use.
    pub idle_milliseconds: u64,
}

/// A model held in accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: String,
    /// State.
    pub state: HoldState,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Milliseconds since it last ran or, never used, since it was loaded.
    pub idle_milliseconds: u64,
    /// Requests running or waiting at the engine for it.
    pub running: u32,
    /// Adapters beside it.
    pub adapters: Vec<HeldAdapter>,
}

impl HeldModel {
    /// Memory of the model and its adapters, in bytes.
    pub fn total_bytes(&self) -> u64 {
        let adapters: u64 = self.adapters.iter().map(|a| a.memory_bytes).sum();
        self.memory_bytes + adapters
    }
}

/// A checkpoint near the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// The model.
    pub model: ModelName,
    /// Where its checkpoint is.
    pub tier: CacheTier,
}

/// What an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// Highest fence it has seen.
    pub fence: Fence,
    /// Grows with every change of this inventory within an incarnation.
    pub version: u64,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Models in accelerator memory.
    pub models: Vec<HeldModel>,
    /// Checkpoints in memory or on disk.
    pub cached: Vec<CachedCheckpoint>,
    /// The engine is being taken away and wants no new work.
    pub leaving: bool,
}

impl Inventory {
    /// The entry of `model`.
    pub fn held(&self, model: &ModelName) -> Option<&HeldModel> {
        self.models.iter().find(|held| &held.model == model)
    }

    /// Accelerator memory taken, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.models.iter().map(HeldModel::total_bytes).sum()
    }
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Nothing but to remember the fence and refuse lower ones from now on.
    InstallFence,
    /// Load a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Version of its weights.
        version: String,
        /// Accelerator memory it takes, in bytes.
        memory_bytes: u64,
    },
    /// Unload a model and its adapters once their running requests have ended.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter beside its loaded base.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// Its base.
        base: ModelName,
        /// Version of its weights.
        version: String,
        /// Accelerator memory it takes, in bytes.
        memory_bytes: u64,
    },
    /// Unload an adapter once its running requests have ended.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// Its base.
        base: ModelName,
    },
}

/// A fenced order. Orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The life of the engine it is meant for; another life refuses it.
    pub incarnation: Incarnation,
    /// Its fence.
    pub fence: Fence,
    /// What it asks for.
    pub action: Action,
}

/// Why an order or an inventory gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlError {
    /// The engine has seen a higher fence; the order had no effect.
    #[error("the engine has seen a higher fence {0:?}")]
    StaleFence(Fence),
    /// The order was meant for another life of the engine; it had no effect.
    #[error("the engine lives its incarnation {0:?}")]
    WrongIncarnation(Incarnation),
    /// The engine will not do it, for example for want of memory; no effect.
    #[error("the engine refuses: {0}")]
    Refused(String),
    /// The engine could not be reached or its answer was lost: the order may
    /// have taken effect, now or later.
    #[error("engine unreachable: {0}")]
    Unreachable(String),
}

/// A generation request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Unique id of the request; it stays the same when a stream is resumed.
    pub request_id: String,
    /// Number of the attempt, from 1. Chunks carry it back.
    pub attempt: u32,
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
    /// The whole prompt.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub maximum_tokens: u32,
    /// Larger numbers go first.
    pub priority: i32,
    /// First chunk wanted: 0, or the next one when a broken stream is resumed.
    pub resume_from: u64,
    /// Milliseconds until the caller's deadline for the first token.
    pub deadline_milliseconds: u64,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The largest number of tokens was reached.
    Length,
}

/// One piece of a generated answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request it belongs to.
    pub request_id: String,
    /// The attempt it belongs to.
    pub attempt: u32,
    /// Number of the chunk within the answer, from 0, without gaps.
    pub sequence: u64,
    /// Text.
    pub text: String,
    /// Set on the last chunk only. An answer without it is not whole.
    pub finish: Option<FinishReason>,
}

/// Why a generation gave no answer or no whole one.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateError {
    /// The model or adapter is not loaded there; the request did not run.
    #[error("the engine does not hold the model")]
    NotHeld,
    /// The engine's own queue is full; the request did not run.
    #[error("the engine is busy")]
    Busy,
    /// The engine is leaving and takes no new request; it did not run.
    #[error("the engine is leaving")]
    Leaving,
    /// The request is malformed for the engine; it did not run.
    #[error("the engine refuses the request: {0}")]
    Refused(String),
    /// The engine could not be connected to; the request did not run.
    #[error("no connection to the engine: {0}")]
    NoConnection(String),
    /// The connection broke; the request may have run and may be resumed.
    #[error("the stream broke: {0}")]
    Broken(String),
}

impl GenerateError {
    /// What the error says about whether the request ran.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Broken(_) => Verdict::MayHaveRun,
            Self::NotHeld
            | Self::Busy
            | Self::Leaving
            | Self::Refused(_)
            | Self::NoConnection(_) => Verdict::NotRun,
        }
    }
}

/// Chunks of one attempt. It ends after a chunk with a finish reason or after an error.
pub type ChunkStream = BoxStream<'static, Result<Chunk, GenerateError>>;

/// Speaks to engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Gives an order; the answer is the inventory after it was taken.
    async fn order(&self, address: SocketAddr, order: Order) -> Result<Inventory, ControlError>;

    /// The inventory, once its version differs from `known` or after `wait`.
    async fn inventory(
        &self,
        address: SocketAddr,
        known: Option<(Incarnation, u64)>,
        wait: Duration,
    ) -> Result<Inventory, ControlError>;

    /// Starts or resumes a generation.
    async fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> Result<ChunkStream, GenerateError>;

    /// Tells the engine that nobody waits for the request any more.
    async fn cancel(&self, address: SocketAddr, request_id: &str);
}
