//! A simulated site whose runners read prompts one after the other, for tests of the choice
//! of the runner. Time is virtual, and arrivals depend on the seed only.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{Configuration, LoadedModel, ModelReference, Runner, Service, runner_key};
use barleyspar_dispatch::{Acquired, Arrival, BudgetLimits, Dispatcher, Outcome, PermitId, Query};
use barleyspar_domain::rendezvous_weight;
use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillReport, PrefillRequest};

use super::common::{SECOND, configuration, query, runner, site};
use super::load::{Load, Played, Sent};

/// Prompt tokens that a runner of speed 1 reads a second.
const TOKENS_PER_SECOND: f64 = 22_000.0;
/// Time from the first event of a stream to its end.
const DECODE_TIME: Duration = Duration::from_millis(500);
/// Time between two messages of a node on loads and waits.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Longest pause between two events of a stream.
const TARGET_GAP_MS: u32 = 300;

/// A number from 0 to 1 that depends only on its arguments.
fn random(seed: u64, purpose: &str, number: usize) -> f64 {
    rendezvous_weight(&(seed, purpose), &number) as f64 / u64::MAX as f64
}

/// What happens next in the site; requests by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ShareViews,
    Arrival(usize),
    PromptRead(usize),
    StreamEnd(usize),
    PollOwner,
}

/// A request that was granted a runner.
#[derive(Debug)]
struct Request {
    node: usize,
    permit: PermitId,
    tokens: u64,
    sent_at: Option<Instant>,
}

struct Site<'a> {
    load: &'a Load,
    start: Instant,
    nodes: Vec<Dispatcher>,
    node_names: Vec<Arc<str>>,
    owner: PrefillOwner,
    runner_ids: Vec<Arc<str>>,
    busy_until: Vec<Instant>,
    requests: Vec<Request>,
    played: Played,
    /// When the owner is polled next.
    poll_at: Option<Instant>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
}

/// Plays `load`, and returns what came of it.
pub fn play(load: &Load) -> Played {
    let mut site = Site::new(load, Instant::now());
    let end = site.start + load.time + 5 * SECOND;
    while let Some(Reverse((at, event))) = site.events.pop() {
        if at > end {
            break;
        }
        site.handle(event, at);
    }
    site.played
}

fn model_name(number: usize) -> Arc<str> {
    format!("model-{number}").into()
}

fn simulated_runner(load: &Load, number: usize) -> Runner {
    let holds = |model: &usize| {
        let replicas = (0..load.replicas).map(|replica| (model + replica * 7) % load.speeds.len());
        replicas.into_iter().any(|holder| holder == number)
    };
    let models = (0..load.models).filter(holds).map(|model| LoadedModel {
        model: model_name(model),
        version: 1,
        adapters: Vec::new(),
    });
    Runner {
        id: format!("runner-{number}").into(),
        slots: 32.into(),
        models: models.collect(),
        ..runner()
    }
}

/// The configuration of the common service with caches that never run short.
fn roomy_configuration() -> Configuration {
    let mut configuration = configuration();
    for service in configuration.services.values_mut() {
        let mut roomy = Service::clone(service);
        if let Some(engine) = &mut roomy.engine {
            engine.cache_tokens = 10_000_000;
            engine.slots = 32.into();
        }
        *service = Arc::new(roomy);
    }
    configuration
}

fn node(name: &Arc<str>, names: &[Arc<str>], load: &Load, now: Instant) -> Dispatcher {
    let limits = BudgetLimits {
        ratio: 0.2,
        window: 10 * SECOND,
        extra: 10.0,
    };
    let mut node = Dispatcher::new(name.clone(), "zone".into(), limits, site(), now);
    node.set_configuration(Arc::new(roomy_configuration()));
    node.set_members(names.to_vec(), now);
    for number in 0..load.speeds.len() {
        node.update_runner(simulated_runner(load, number), now);
    }
    node
}

impl<'a> Site<'a> {
    fn new(load: &'a Load, start: Instant) -> Self {
        let node_names: Vec<Arc<str>> = (0..load.nodes)
            .map(|number| format!("node-{number}").into())
            .collect();
        let nodes = node_names
            .iter()
            .map(|name| node(name, &node_names, load, start))
            .collect();
        let runner_count = load.speeds.len();
        Self {
            load,
            start,
            nodes,
            node_names,
            owner: PrefillOwner::default(),
            runner_ids: (0..runner_count)
                .map(|number| format!("runner-{number}").into())
                .collect(),
            busy_until: vec![start; runner_count],
            requests: Vec::new(),
            played: Played {
                runners: runner_count,
                ..Played::default()
            },
            poll_at: None,
            events: BinaryHeap::from([
                Reverse((start, Event::Arrival(0))),
                Reverse((start + VIEW_INTERVAL, Event::ShareViews)),
            ]),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrival(number) => self.arrive(number, now),
            Event::ShareViews => self.share_views(now),
            Event::PromptRead(number) => self.begin_stream(number, now),
            Event::StreamEnd(number) => self.end_stream(number, now),
            Event::PollOwner => {}
        }
        self.poll_owner(now);
    }

    fn speed(&self, runner: usize, now: Instant) -> f64 {
        let mut changes = self.load.speed_changes.iter();
        let changed =
            changes.rfind(|(number, after, _)| *number == runner && self.start + *after <= now);
        changed.map_or(self.load.speeds[runner], |(_, _, speed)| *speed)
    }

    /// The model of an arrival, by the models' popularity.
    fn model(&self, number: usize) -> usize {
        let weight = |model: usize| ((model + 1) as f64).powf(-self.load.skew);
        let total: f64 = (0..self.load.models).map(weight).sum();
        let mut left = random(self.load.seed, "model", number) * total;
        for model in 0..self.load.models {
            left -= weight(model);
            if left <= 0.0 {
                return model;
            }
        }
        self.load.models - 1
    }

    fn query(&self, number: usize, now: Instant) -> Query {
        let load = self.load;
        let span = (load.prompt_tokens.end - load.prompt_tokens.start) as f64;
        let extra_tokens = random(load.seed, "tokens", number) * span;
        Query {
            request: 0,
            after_stall: false,
            wanted: Some(ModelReference {
                model: model_name(self.model(number)),
                adapter: None,
            }),
            prompt_tokens: load.prompt_tokens.start + extra_tokens as u64,
            may_wait: false,
            ..query(now, 10 * SECOND)
        }
    }

    fn arrive(&mut self, number: usize, now: Instant) {
        let pause = -random(self.load.seed, "pause", number).max(1e-9).ln();
        let next = now + Duration::from_secs_f64(pause / self.load.requests_per_second);
        if next < self.start + self.load.time {
            self.schedule(next, Event::Arrival(number + 1));
        }
        let query = self.query(number, now);
        let tokens = query.prompt_tokens;
        let node = (random(self.load.seed, "node", number) * self.load.nodes as f64) as usize;
        let node = node.min(self.load.nodes - 1);
        let Acquired::Granted(grant) = self.nodes[node].acquire(query, now) else {
            self.played.refused += 1;
            return;
        };
        let id = &grant.runner.id;
        let runner = self.runner_ids.iter().position(|known| known == id);
        self.played.sent.push(Sent {
            runner: runner.expect("only these runners exist"),
            arrived: now - self.start,
            first_event: None,
            reading: Duration::ZERO,
        });
        self.requests.push(Request {
            node,
            permit: grant.permit,
            tokens,
            sent_at: None,
        });
        self.ask_owner(self.requests.len() - 1, now);
    }

    fn ask_owner(&mut self, number: usize, now: Instant) {
        let request = &self.requests[number];
        let question = PrefillRequest {
            node: self.node_names[request.node].clone(),
            number: number as u64,
            runner: runner_key(&self.runner_ids[self.played.sent[number].runner]),
            prompt_tokens: request.tokens as u32,
            priority: 1,
            patience_ms: 60_000,
            target_gap_ms: TARGET_GAP_MS,
            tenant: None,
            known_tokens_per_second: 0,
        };
        match self.owner.request(&question, now) {
            PrefillAnswer::Granted => self.send(number, now),
            PrefillAnswer::Queued { .. } => {}
            answer => panic!("the owner waits for a minute, but answered {answer:?}"),
        }
    }

    /// Sends a prompt to its runner, which reads it after those that it got before.
    fn send(&mut self, number: usize, now: Instant) {
        let runner = self.played.sent[number].runner;
        let speed = TOKENS_PER_SECOND * self.speed(runner, now);
        let request = &mut self.requests[number];
        request.sent_at = Some(now);
        let reading = Duration::from_secs_f64(request.tokens as f64 / speed);
        let read_at = self.busy_until[runner].max(now) + reading;
        self.busy_until[runner] = read_at;
        self.played.sent[number].reading = reading;
        self.schedule(read_at, Event::PromptRead(number));
    }

    fn begin_stream(&mut self, number: usize, now: Instant) {
        let request = &self.requests[number];
        let sent_at = request.sent_at.expect("a prompt is sent before it is read");
        let sent = &mut self.played.sent[number];
        sent.first_event = Some(now - self.start - sent.arrived);
        let read_time = now - sent_at;
        self.owner.report(
            &PrefillReport {
                node: self.node_names[request.node].clone(),
                number: number as u64,
                runner: runner_key(&self.runner_ids[sent.runner]),
                read_ms: Some(read_time.as_millis() as u32),
            },
            now,
        );
        let first_byte = sent.first_event.expect("it was set above");
        let outcome = Outcome::PromptRead { first_byte };
        self.nodes[request.node].record_interim_outcome(request.permit, outcome, now);
        self.schedule(now + DECODE_TIME, Event::StreamEnd(number));
    }

    fn end_stream(&mut self, number: usize, now: Instant) {
        let request = &self.requests[number];
        let speed = self.speed(self.played.sent[number].runner, now);
        let usual_gap = Duration::from_secs_f64(0.03 / speed);
        let outcome = Outcome::Streamed { usual_gap };
        self.nodes[request.node].finish(request.permit, outcome, Arrival::Over, now);
    }

    fn poll_owner(&mut self, now: Instant) {
        for grant in self.owner.poll(now) {
            self.send(grant.number as usize, now);
        }
        let Some(next) = self.owner.next_poll_at(now) else {
            return;
        };
        let next = next.max(now + Duration::from_millis(1));
        if self.poll_at.is_none_or(|at| at <= now || next < at) {
            self.poll_at = Some(next);
            self.schedule(next, Event::PollOwner);
        }
    }

    /// Tells all nodes the loads of the others, and what the owners tell.
    fn share_views(&mut self, now: Instant) {
        self.schedule(now + VIEW_INTERVAL, Event::ShareViews);
        let own_loads: Vec<_> = self.nodes.iter().map(Dispatcher::local_in_flight).collect();
        let mut totals = BTreeMap::new();
        for (key, count) in own_loads.iter().flatten() {
            *totals.entry(*key).or_insert(0) += count;
        }
        let updates = self.owner.updates(now);
        for (node, own_load) in self.nodes.iter_mut().zip(own_loads) {
            let mut others = totals.clone();
            for (key, count) in own_load {
                others.entry(key).and_modify(|total| *total -= count);
            }
            node.set_peer_load("others".into(), others.into_iter().collect(), SECOND, now);
            if self.load.has_estimates {
                node.apply_prefill_updates(&updates, now);
            }
        }
    }
}
