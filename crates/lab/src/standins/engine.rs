//! The model engine: fenced orders, uneven checkpoint caches, accelerator
//! memory, continuous batching, cancel and resume of streams, lagging reports.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use barleyspar_domain::{AdapterName, Fence, Incarnation, ModelName, RunnerName};
use barleyspar_platform::engine::{
    Action, CacheTier, CachedCheckpoint, Chunk, ChunkStream, ControlError, GenerateError,
    GenerateRequest, HeldAdapter, HeldModel, HoldState, Inventory, Order,
};
use futures_util::StreamExt;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::answers::{Answer, prompt_tokens};
use super::decode::{EngineSpeeds, PrefixCache};
use super::violations::Violations;
use super::weight_store::WeightStore;
use crate::history::{Event, History};

const BYTES_PER_GIB: f64 = 1024.0 * 1024.0 * 1024.0;
/// Time to free memory once nothing runs any more.
const UNLOAD_TIME: Duration = Duration::from_millis(200);
/// How often an unload looks whether its requests have ended.
const UNLOAD_STEP: Duration = Duration::from_millis(50);
/// How long the tokens of an abandoned stream are kept for a resume.
const RESUME_TIME: Duration = Duration::from_secs(10);
/// Tokens a stream may be ahead of its reader.
const STREAM_BUFFER: usize = 1024;
const SHORTEST_TIMER: Duration = Duration::from_micros(10);
/// Loads are reported with this lag.
const REPORT_LAG: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct AdapterHold {
    version: String,
    state: HoldState,
    bytes: u64,
    last_used: Instant,
}

#[derive(Debug)]
struct ModelHold {
    version: String,
    state: HoldState,
    bytes: u64,
    last_used: Instant,
    running: u32,
    adapters: BTreeMap<AdapterName, AdapterHold>,
}

impl ModelHold {
    fn total(&self) -> u64 {
        self.bytes + self.adapters.values().map(|a| a.bytes).sum::<u64>()
    }
}

/// One generation, alive while it runs and for a while after its reader left.
struct Generation {
    tokens: watch::Receiver<u32>,
    cancelled: watch::Sender<bool>,
}

struct State {
    incarnation: Incarnation,
    fence: Fence,
    version: u64,
    models: BTreeMap<ModelName, ModelHold>,
    cached: BTreeMap<ModelName, CacheTier>,
    generations: BTreeMap<String, Generation>,
    prefixes: PrefixCache,
    running: usize,
    waiting: usize,
    leaving: bool,
    dead: bool,
    figures: EngineFigures,
    idle_since: Instant,
}

/// What happened at an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFigures {
    /// Model loads begun.
    pub loads: u64,
    /// Model loads begun, by model.
    pub loads_by_model: BTreeMap<ModelName, u64>,
    /// Requests that ran.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders refused for their fence.
    pub fenced_off: u64,
    /// Seconds during which some model was held but nothing ran.
    pub idle_seconds: f64,
    /// Seconds during which something ran.
    pub busy_seconds: f64,
}

/// An engine. Cheap to clone; clones are the same engine.
#[derive(Clone)]
pub struct EngineStandIn {
    name: RunnerName,
    memory_bytes: u64,
    speeds: EngineSpeeds,
    store: WeightStore,
    violations: Violations,
    history: History,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    slots: Arc<tokio::sync::Semaphore>,
}

impl EngineStandIn {
    #[allow(clippy::too_many_arguments)]
    /// An engine with empty accelerator memory and these checkpoints near it.
    pub fn new(
        name: RunnerName,
        incarnation: Incarnation,
        memory_bytes: u64,
        speeds: EngineSpeeds,
        store: WeightStore,
        cached: BTreeMap<ModelName, CacheTier>,
        violations: Violations,
        history: History,
    ) -> Self {
        history.record(Event::EngineStarts {
            runner: name.to_string(),
            memory_bytes,
        });
        let state = State {
            incarnation,
            fence: Fence::default(),
            version: 1,
            models: BTreeMap::new(),
            cached,
            generations: BTreeMap::new(),
            prefixes: PrefixCache::new(speeds.prefix_blocks),
            running: 0,
            waiting: 0,
            leaving: false,
            dead: false,
            figures: EngineFigures::default(),
            idle_since: Instant::now(),
        };
        Self {
            name,
            memory_bytes,
            speeds,
            store,
            violations,
            history,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::channel(1).0),
            slots: Arc::new(tokio::sync::Semaphore::new(speeds.maximum_batch)),
        }
    }

    /// What happened so far.
    pub fn figures(&self) -> EngineFigures {
        let mut state = self.lock();
        account(&mut state);
        state.figures.clone()
    }

    /// The models it holds in any state.
    pub fn held(&self) -> Vec<ModelName> {
        self.lock().models.keys().cloned().collect()
    }

    /// The machine is being taken away.
    pub fn leave(&self) {
        self.history.record(Event::Leaving {
            runner: self.name.to_string(),
        });
        let mut state = self.lock();
        state.leaving = true;
        self.bump(&mut state);
    }

    /// The machine is gone: everything breaks off at once.
    pub fn die(&self) {
        let mut state = self.lock();
        account(&mut state);
        self.history.record(Event::Died {
            runner: self.name.to_string(),
        });
        state.dead = true;
        state.models.clear();
        let generations = std::mem::take(&mut state.generations);
        for generation in generations.values() {
            generation.cancelled.send_replace(true);
        }
        self.bump(&mut state);
    }

    /// The machine is back under the same address with a new incarnation.
    pub fn revive(&self, incarnation: Incarnation) {
        self.history.record(Event::EngineStarts {
            runner: self.name.to_string(),
            memory_bytes: self.memory_bytes,
        });
        let mut state = self.lock();
        state.incarnation = incarnation;
        state.fence = Fence::default();
        state.version = 1;
        state.dead = false;
        state.leaving = false;
        state.idle_since = Instant::now();
        self.bump(&mut state);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn bump(&self, state: &mut State) {
        state.version += 1;
        self.changed.send_replace(state.version);
    }

    // --- control ---------------------------------------------------------------

    /// Takes an order.
    pub fn order(&self, order: Order) -> Result<Inventory, ControlError> {
        let mut state = self.lock();
        if state.dead {
            return Err(ControlError::Unreachable("connection refused".to_owned()));
        }
        if order.incarnation != state.incarnation {
            return Err(ControlError::WrongIncarnation(state.incarnation));
        }
        if order.fence < state.fence {
            state.figures.fenced_off += 1;
            return Err(ControlError::StaleFence(state.fence));
        }
        state.fence = order.fence;
        account(&mut state);
        match order.action {
            Action::InstallFence => {}
            Action::LoadModel {
                model,
                version,
                memory_bytes,
            } => self.begin_load(&mut state, model, version, memory_bytes),
            Action::UnloadModel { model } => self.begin_unload(&mut state, model),
            Action::LoadAdapter {
                adapter,
                base,
                version,
                memory_bytes,
            } => self.begin_adapter(&mut state, adapter, base, version, memory_bytes)?,
            Action::UnloadAdapter { adapter, base } => {
                let held = state.models.get_mut(&base);
                if held.is_some_and(|held| held.adapters.remove(&adapter).is_some()) {
                    self.replica_ends(adapter_key(&base, &adapter));
                }
            }
        }
        self.bump(&mut state);
        Ok(self.inventory_of(&state))
    }

    fn begin_load(&self, state: &mut State, model: ModelName, version: String, memory_bytes: u64) {
        if state.models.contains_key(&model) {
            return;
        }
        let hold = ModelHold {
            version: version.clone(),
            state: HoldState::Loading,
            bytes: memory_bytes,
            last_used: Instant::now(),
            running: 0,
            adapters: BTreeMap::new(),
        };
        state.models.insert(model.clone(), hold);
        self.replica_begins(model.to_string(), memory_bytes);
        state.figures.loads += 1;
        *state
            .figures
            .loads_by_model
            .entry(model.clone())
            .or_default() += 1;
        self.check_memory(state);
        let tier = state.cached.get(&model).copied();
        let tier = tier.unwrap_or(CacheTier::Remote);
        let engine = self.clone();
        let incarnation = state.incarnation;
        tokio::spawn(async move {
            engine.read_checkpoint(tier, memory_bytes).await;
            engine.finish_load(incarnation, &model, &version);
        });
    }

    async fn read_checkpoint(&self, tier: CacheTier, bytes: u64) {
        let gib = bytes as f64 / BYTES_PER_GIB;
        match tier {
            CacheTier::Remote => self.store.read(bytes).await,
            CacheTier::Disk => {
                let seconds = gib / self.speeds.disk_gib_per_second;
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            CacheTier::Memory => {}
        }
        let seconds = gib / self.speeds.memory_gib_per_second;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }

    fn finish_load(&self, incarnation: Incarnation, model: &ModelName, version: &str) {
        let mut state = self.lock();
        if state.incarnation != incarnation {
            return;
        }
        account(&mut state);
        let Some(hold) = state.models.get_mut(model) else {
            return;
        };
        if hold.state != HoldState::Loading || hold.version != version {
            return;
        }
        hold.state = HoldState::Loaded;
        hold.last_used = Instant::now();
        state.cached.insert(model.clone(), CacheTier::Memory);
        self.bump(&mut state);
    }

    fn begin_unload(&self, state: &mut State, model: ModelName) {
        let Some(hold) = state.models.get_mut(&model) else {
            return;
        };
        if hold.state == HoldState::Unloading {
            return;
        }
        hold.state = HoldState::Unloading;
        let engine = self.clone();
        let incarnation = state.incarnation;
        tokio::spawn(async move {
            while engine.is_running(incarnation, &model) {
                tokio::time::sleep(UNLOAD_STEP).await;
            }
            tokio::time::sleep(UNLOAD_TIME).await;
            let mut state = engine.lock();
            if state.incarnation == incarnation {
                account(&mut state);
                let removed = state.models.remove(&model);
                engine.replica_ends(model.to_string());
                for adapter in removed.iter().flat_map(|hold| hold.adapters.keys()) {
                    engine.replica_ends(adapter_key(&model, adapter));
                }
                engine.bump(&mut state);
            }
        });
    }

    fn is_running(&self, incarnation: Incarnation, model: &ModelName) -> bool {
        let state = self.lock();
        let running = state.models.get(model).map_or(0, |hold| hold.running);
        state.incarnation == incarnation && running > 0
    }

    fn begin_adapter(
        &self,
        state: &mut State,
        adapter: AdapterName,
        base: ModelName,
        version: String,
        memory_bytes: u64,
    ) -> Result<(), ControlError> {
        let refuse = || ControlError::Refused(format!("base {base} is not loaded"));
        let hold = state.models.get_mut(&base).ok_or_else(refuse)?;
        if hold.state != HoldState::Loaded {
            return Err(refuse());
        }
        if hold.adapters.contains_key(&adapter) {
            return Ok(());
        }
        let held = AdapterHold {
            version,
            state: HoldState::Loading,
            bytes: memory_bytes,
            last_used: Instant::now(),
        };
        hold.adapters.insert(adapter.clone(), held);
        self.replica_begins(adapter_key(&base, &adapter), memory_bytes);
        self.check_memory(state);
        let engine = self.clone();
        let incarnation = state.incarnation;
        tokio::spawn(async move {
            engine.read_checkpoint(CacheTier::Disk, memory_bytes).await;
            let mut state = engine.lock();
            if state.incarnation != incarnation {
                return;
            }
            let base = state.models.get_mut(&base);
            if let Some(held) = base.and_then(|hold| hold.adapters.get_mut(&adapter)) {
                held.state = HoldState::Loaded;
                held.last_used = Instant::now();
                engine.bump(&mut state);
            }
        });
        Ok(())
    }

    fn replica_begins(&self, model: String, bytes: u64) {
        self.history.record(Event::ReplicaBegins {
            runner: self.name.to_string(),
            model,
            bytes,
        });
    }

    fn replica_ends(&self, model: String) {
        self.history.record(Event::ReplicaEnds {
            runner: self.name.to_string(),
            model,
        });
    }

    fn check_memory(&self, state: &State) {
        let used: u64 = state.models.values().map(ModelHold::total).sum();
        if used > self.memory_bytes {
            let (name, total) = (&self.name, self.memory_bytes);
            self.violations
                .record(format!("{name} holds {used} of {total} bytes"));
        }
    }

    /// The inventory, once it differs from `known` or after `wait`.
    pub async fn inventory(
        &self,
        known: Option<(Incarnation, u64)>,
        wait: Duration,
    ) -> Result<Inventory, ControlError> {
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.lock();
                if state.dead {
                    return Err(ControlError::Unreachable("connection refused".to_owned()));
                }
                if known != Some((state.incarnation, state.version)) {
                    return Ok(self.inventory_of(&state));
                }
            }
            if tokio::time::timeout_at(until, changed.changed())
                .await
                .is_err()
            {
                return Ok(self.inventory_of(&self.lock()));
            }
        }
    }

    fn inventory_of(&self, state: &State) -> Inventory {
        let now = Instant::now();
        let idle = |since: Instant| now.duration_since(since).as_millis() as u64;
        let models = state.models.iter().map(|(model, hold)| HeldModel {
            model: model.clone(),
            version: hold.version.clone(),
            state: hold.state,
            memory_bytes: hold.bytes,
            idle_milliseconds: if hold.running > 0 {
                0
            } else {
                idle(hold.last_used)
            },
            running: hold.running,
            adapters: hold
                .adapters
                .iter()
                .map(|(adapter, held)| HeldAdapter {
                    adapter: adapter.clone(),
                    version: held.version.clone(),
                    state: held.state,
                    memory_bytes: held.bytes,
                    idle_milliseconds: idle(held.last_used),
                })
                .collect(),
        });
        let cached = state.cached.iter().map(|(model, tier)| CachedCheckpoint {
            model: model.clone(),
            tier: *tier,
        });
        Inventory {
            incarnation: state.incarnation,
            fence: state.fence,
            version: state.version,
            memory_bytes: self.memory_bytes,
            models: models.collect(),
            cached: cached.collect(),
            leaving: state.leaving,
        }
    }

    // --- generation --------------------------------------------------------------

    /// Starts or resumes a generation.
    pub fn generate(&self, request: GenerateRequest) -> Result<ChunkStream, GenerateError> {
        let (tokens, answer) = {
            let mut state = self.lock();
            if state.dead {
                return Err(GenerateError::NoConnection("connection refused".to_owned()));
            }
            let target = request
                .adapter
                .as_ref()
                .map_or_else(|| request.model.to_string(), ToString::to_string);
            let answer = Answer::new(&target, &request.prompt, request.maximum_tokens);
            let known = state.generations.get(&request.request_id);
            let tokens = match known {
                Some(generation) => generation.tokens.clone(),
                None if request.resume_from > 0 => {
                    return Err(GenerateError::Broken("nothing to resume".to_owned()));
                }
                None => self.begin_generation(&mut state, &request, &target, answer)?,
            };
            (tokens, answer)
        };
        Ok(chunks(request, tokens, answer))
    }

    fn begin_generation(
        &self,
        state: &mut State,
        request: &GenerateRequest,
        target: &str,
        answer: Answer,
    ) -> Result<watch::Receiver<u32>, GenerateError> {
        if state.leaving {
            return Err(GenerateError::Leaving);
        }
        if state.waiting >= self.speeds.maximum_waiting {
            return Err(GenerateError::Busy);
        }
        account(state);
        let hold = state.models.get_mut(&request.model);
        let hold = hold.filter(|hold| hold.state == HoldState::Loaded);
        let hold = hold.ok_or(GenerateError::NotHeld)?;
        if let Some(name) = &request.adapter {
            let adapter = hold.adapters.get_mut(name);
            let adapter = adapter.filter(|adapter| adapter.state == HoldState::Loaded);
            adapter.ok_or(GenerateError::NotHeld)?.last_used = Instant::now();
        }
        hold.running += 1;
        state.waiting += 1;
        state.figures.requests += 1;
        self.history.record(Event::WorkBegins {
            runner: self.name.to_string(),
            request: request.request_id.clone(),
            operation: None,
        });
        let hit = state.prefixes.touch(target, &request.prompt);
        let unread = prompt_tokens(&request.prompt[hit.min(request.prompt.len())..]);
        let (progress, tokens) = watch::channel(0);
        let (cancelled, cancel) = watch::channel(false);
        let generation = Generation {
            tokens: tokens.clone(),
            cancelled,
        };
        state
            .generations
            .insert(request.request_id.clone(), generation);
        let work = Work {
            engine: self.clone(),
            incarnation: state.incarnation,
            request_id: request.request_id.clone(),
            model: request.model.clone(),
            adapter: request.adapter.clone(),
            unread,
            answer,
            progress,
            cancel,
        };
        tokio::spawn(work.run());
        self.report_later();
        Ok(tokens)
    }

    /// Reports changed load with a lag.
    fn report_later(&self) {
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(REPORT_LAG).await;
            let mut state = engine.lock();
            engine.bump(&mut state);
        });
    }

    /// Nobody waits for the request any more.
    pub fn cancel(&self, request_id: &str) {
        let state = self.lock();
        if let Some(generation) = state.generations.get(request_id) {
            generation.cancelled.send_replace(true);
        }
    }
}

/// How an adapter stands in the history.
fn adapter_key(base: &ModelName, adapter: &AdapterName) -> String {
    format!("{base}+{adapter}")
}

/// Adds the time since the last call to the idle or busy seconds.
fn account(state: &mut State) {
    let now = Instant::now();
    let seconds = now.duration_since(state.idle_since).as_secs_f64();
    state.idle_since = now;
    let busy = state.models.values().any(|hold| hold.running > 0);
    if busy {
        state.figures.busy_seconds += seconds;
    } else if !state.models.is_empty() {
        state.figures.idle_seconds += seconds;
    }
}

/// The work of one generation.
struct Work {
    engine: EngineStandIn,
    incarnation: Incarnation,
    request_id: String,
    model: ModelName,
    adapter: Option<AdapterName>,
    unread: u32,
    answer: Answer,
    progress: watch::Sender<u32>,
    cancel: watch::Receiver<bool>,
}

impl Work {
    async fn run(self) {
        let mut cancel = self.cancel.clone();
        tokio::select! {
            biased;
            _ = cancel.wait_for(|cancelled| *cancelled) => {}
            () = self.decode() => {}
        }
        self.end();
        tokio::time::sleep(RESUME_TIME).await;
        let mut state = self.engine.lock();
        state.generations.remove(&self.request_id);
    }

    async fn decode(&self) {
        let slots = Arc::clone(&self.engine.slots);
        let Ok(_slot) = slots.acquire_owned().await else {
            return;
        };
        self.engine.lock().running += 1;
        let _running = Running(&self.engine);
        let speeds = self.engine.speeds;
        work_for(speeds.prefill_time(self.unread)).await;
        for token in 1..=self.answer.tokens {
            let batch = self.engine.lock().running;
            work_for(speeds.token_time(batch)).await;
            self.engine.lock().figures.tokens += 1;
            self.progress.send_replace(token);
        }
    }

    fn end(&self) {
        let mut state = self.engine.lock();
        state.waiting -= 1;
        if state.incarnation != self.incarnation {
            return;
        }
        account(&mut state);
        if let Some(hold) = state.models.get_mut(&self.model) {
            hold.running -= 1;
            hold.last_used = Instant::now();
            let adapter = self.adapter.as_ref();
            if let Some(held) = adapter.and_then(|name| hold.adapters.get_mut(name)) {
                held.last_used = Instant::now();
            }
        }
        drop(state);
        self.engine.report_later();
    }
}

/// Lets `time` pass; times too short for a timer take no time, so that the bench
/// can have an engine that answers at once.
async fn work_for(time: Duration) {
    if time >= SHORTEST_TIMER {
        tokio::time::sleep(time).await;
    }
}

struct Running<'a>(&'a EngineStandIn);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// The chunks of one attempt: one token each, the last with the end mark.
fn chunks(
    request: GenerateRequest,
    mut tokens: watch::Receiver<u32>,
    answer: Answer,
) -> ChunkStream {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(async move {
        let mut next = request.resume_from;
        loop {
            let ready = u64::from(*tokens.borrow_and_update());
            while next < ready {
                let last = next + 1 == u64::from(answer.tokens);
                let chunk = Chunk {
                    request_id: request.request_id.clone(),
                    attempt: request.attempt,
                    sequence: next,
                    text: answer.token(next as u32),
                    finish: last.then_some(answer.reason),
                };
                if sender.send(Ok(chunk)).await.is_err() || last {
                    return;
                }
                next += 1;
            }
            if tokens.changed().await.is_err() {
                let broken = GenerateError::Broken("the engine dropped the stream".to_owned());
                let _ = sender.send(Err(broken)).await;
                return;
            }
        }
    });
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let item = receiver.recv().await?;
        Some((item, receiver))
    })
    .boxed()
}
