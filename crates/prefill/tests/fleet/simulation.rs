//! Plays the requests of a fleet in virtual time, in steps of a millisecond.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillReport, PrefillRequest};

use super::engine::{Engine, EngineEvent, TARGET_GAP_MS, TOKENS_PER_MS};
use super::fault::Fault;
use super::trace::{Request, speed};

/// Time of a message between two nodes, in milliseconds.
const LATENCY: u64 = 2;
/// Time until a question without an answer is repeated, and how often it is asked.
const ANSWER_TIMEOUT: u64 = 40;
const ATTEMPTS: u32 = 3;
/// Time after which the question of a queued prompt is repeated.
const REPEAT_INTERVAL: u64 = 250;
const PATIENCE: u64 = 5000;
/// Bytes of a question, an answer, a grant and a report.
const MESSAGE_BYTES: [u64; 4] = [60, 20, 20, 30];
const UPDATE_INTERVAL: u64 = 500;
/// Interval at which the unread tokens are recorded for the nodes' outdated views.
const VIEW_INTERVAL: u64 = 50;

/// What decides when a prompt is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    Owner,
    /// Each node by the unread tokens of 0.25 to 0.75 s ago, and by what it sent since.
    OldLoads,
    AtOnce,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub sent_at: Option<u64>,
    pub first_at: Option<u64>,
    pub paused: bool,
    /// Number of the last question, while it has no answer.
    unanswered: u32,
    /// Whether it was sent with a permit.
    permitted: bool,
}

#[derive(Debug, Clone, Copy)]
enum Task {
    Ask {
        request: usize,
        attempt: u32,
    },
    CheckAnswer {
        request: usize,
        attempt: u32,
    },
    Question {
        request: usize,
        owner: usize,
    },
    Answer {
        request: usize,
        answer: PrefillAnswer,
    },
    Report {
        request: usize,
        owner: usize,
    },
    /// Reports that a permit is not used, since the prompt was sent without one.
    Unused {
        request: usize,
        owner: usize,
    },
    /// Sends the prompt if this node's own view allows it.
    SendPaced {
        request: usize,
    },
}

pub struct Simulation<'a> {
    way: Way,
    fault: Fault,
    requests: &'a [Request],
    pub outcomes: Vec<Outcome>,
    engines: Vec<Engine>,
    /// The usual owner of each runner, and the one that replaces it.
    owners: [Vec<PrefillOwner>; 2],
    known_speeds: Vec<u32>,
    /// Unread tokens of each runner at each view interval.
    views: Vec<Vec<u32>>,
    /// What each node has sent to each runner: time and tokens.
    sent: HashMap<(usize, usize), Vec<(u64, u32)>>,
    tasks: BTreeMap<u64, Vec<Task>>,
    start: Instant,
    now: u64,
    pub messages: u64,
    pub bytes: u64,
}

impl<'a> Simulation<'a> {
    pub fn new(way: Way, fault: Fault, nodes: usize, requests: &'a [Request]) -> Self {
        let owners = || (0..nodes).map(|_| PrefillOwner::default()).collect();
        Self {
            way,
            fault,
            requests,
            outcomes: vec![Outcome::default(); requests.len()],
            engines: (0..nodes)
                .map(|runner| Engine::new(speed(runner)))
                .collect(),
            owners: [owners(), owners()],
            known_speeds: vec![0; nodes],
            views: vec![Vec::new(); nodes],
            sent: HashMap::new(),
            tasks: BTreeMap::new(),
            start: Instant::now(),
            now: 0,
            messages: 0,
            bytes: 0,
        }
    }

    pub fn run(mut self, length: u64) -> Self {
        let mut next = 0;
        while self.now < length {
            self.now += 1;
            while next < self.requests.len() && self.requests[next].at <= self.now {
                self.begin(next);
                next += 1;
            }
            while let Some(task) = self.next_task() {
                self.perform(task);
            }
            self.poll_owners();
            self.advance_engines();
            if self.now.is_multiple_of(VIEW_INTERVAL) {
                self.record_views();
            }
        }
        self
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn next_task(&mut self) -> Option<Task> {
        let mut due = self.tasks.first_entry()?;
        if *due.key() > self.now {
            return None;
        }
        let task = due.get_mut().pop();
        if due.get().is_empty() {
            due.remove();
        }
        task
    }

    fn after(&mut self, delay: u64, task: Task) {
        self.tasks.entry(self.now + delay).or_default().push(task);
    }

    /// Sends a message that takes effect by `task`.
    fn message(&mut self, bytes: u64, task: Task) {
        self.messages += 1;
        self.bytes += bytes;
        self.after(LATENCY, task);
    }

    fn begin(&mut self, request: usize) {
        match self.way {
            Way::Owner => self.perform(Task::Ask {
                request,
                attempt: 1,
            }),
            Way::OldLoads => self.perform(Task::SendPaced { request }),
            Way::AtOnce => self.send(request),
        }
    }

    fn chosen_owner(&self, node: usize) -> usize {
        self.fault.chosen_owner(node, self.now)
    }

    fn reaches(&self, node: usize, owner: usize) -> bool {
        self.fault.reaches(node, owner, self.now)
    }

    fn perform(&mut self, task: Task) {
        match task {
            Task::Ask { request, attempt } => self.ask(request, attempt),
            Task::CheckAnswer { request, attempt } => {
                let outcome = self.outcomes[request];
                if outcome.sent_at.is_some() || outcome.unanswered != attempt {
                    return;
                }
                if attempt == ATTEMPTS {
                    self.send_paced(request);
                } else {
                    self.ask(request, attempt + 1);
                }
            }
            Task::Question { request, owner } => self.answer(request, owner),
            Task::Answer { request, answer } => self.apply_answer(request, answer),
            Task::Report { request, owner } => {
                let outcome = self.outcomes[request];
                let read_ms = outcome.first_at.zip(outcome.sent_at);
                let read_ms = read_ms.map(|(first_at, sent_at)| (first_at - sent_at) as u32);
                self.report(request, owner, read_ms);
            }
            Task::Unused { request, owner } => self.report(request, owner, None),
            Task::SendPaced { request } => self.send_paced(request),
        }
    }

    fn ask(&mut self, request: usize, attempt: u32) {
        if self.outcomes[request].sent_at.is_some() {
            return;
        }
        self.outcomes[request].unanswered = attempt;
        let owner = self.chosen_owner(self.requests[request].node);
        self.message(MESSAGE_BYTES[0], Task::Question { request, owner });
        self.after(ANSWER_TIMEOUT, Task::CheckAnswer { request, attempt });
    }

    fn answer(&mut self, request: usize, owner: usize) {
        let Request {
            node,
            runner,
            tokens,
            at,
            patience,
        } = self.requests[request];
        if !self.reaches(node, owner) {
            return;
        }
        let question = PrefillRequest {
            node: format!("node-{node}").into(),
            number: request as u64,
            runner: runner as u32,
            prompt_tokens: tokens,
            priority: 1,
            patience_ms: (at + patience).saturating_sub(self.now) as u32,
            target_gap_ms: TARGET_GAP_MS as u32,
            tenant: None,
            known_tokens_per_second: self.known_speeds[runner],
        };
        let now = self.instant();
        let answer = self.owners[owner][runner].request(&question, now);
        self.message(MESSAGE_BYTES[1], Task::Answer { request, answer });
    }

    fn apply_answer(&mut self, request: usize, answer: PrefillAnswer) {
        let outcome = self.outcomes[request];
        if outcome.sent_at.is_some() {
            if answer == PrefillAnswer::Granted && !outcome.permitted {
                let owner = self.chosen_owner(self.requests[request].node);
                self.message(MESSAGE_BYTES[3], Task::Unused { request, owner });
            }
            return;
        }
        self.outcomes[request].unanswered = 0;
        let attempt = 1;
        match answer {
            PrefillAnswer::Granted => {
                self.outcomes[request].permitted = true;
                self.send(request);
            }
            PrefillAnswer::Queued { .. } => {
                self.after(REPEAT_INTERVAL, Task::Ask { request, attempt });
            }
            PrefillAnswer::Denied { .. } | PrefillAnswer::NotOwner => self.send_paced(request),
        }
    }

    fn report(&mut self, request: usize, owner: usize, read_ms: Option<u32>) {
        let Request { node, runner, .. } = self.requests[request];
        let report = PrefillReport {
            node: format!("node-{node}").into(),
            number: request as u64,
            runner: runner as u32,
            read_ms,
        };
        if self.reaches(node, owner) {
            let now = self.instant();
            self.owners[owner][runner].report(&report, now);
        }
    }

    /// Sends a prompt without a permit, by what the node itself knows, or tries again later.
    fn send_paced(&mut self, request: usize) {
        let Request {
            node,
            runner,
            tokens,
            at,
            ..
        } = self.requests[request];
        if self.outcomes[request].sent_at.is_some() {
            return;
        }
        let per_gap = TOKENS_PER_MS * speed(runner) * TARGET_GAP_MS as f64 * 0.8;
        let (age, viewed) = match self.way {
            Way::OldLoads => self.old_view(node, runner),
            _ => (TARGET_GAP_MS, 0),
        };
        let sent = self.sent.get(&(node, runner)).into_iter().flatten();
        let own = sent.filter(|(at, _)| *at + age > self.now);
        let known = viewed + own.map(|(_, tokens)| tokens).sum::<u32>();
        let fits = known == 0 || f64::from(known + tokens) <= per_gap;
        if fits || self.now >= at + PATIENCE {
            self.send(request);
        } else {
            self.after(10, Task::SendPaced { request });
        }
    }

    /// Returns the age of the node's view of the runner, and its unread tokens then.
    fn old_view(&self, node: usize, runner: usize) -> (u64, u32) {
        let age = 250 + (node as u64 * 97 + self.now) % 500;
        let index = self.now.saturating_sub(age) / VIEW_INTERVAL;
        let viewed = self.views[runner].get(index as usize);
        (age, viewed.copied().unwrap_or(0))
    }

    fn send(&mut self, request: usize) {
        let Request {
            node,
            runner,
            tokens,
            ..
        } = self.requests[request];
        self.outcomes[request].sent_at = Some(self.now);
        self.engines[runner].send(request, tokens);
        let sent = self.sent.entry((node, runner)).or_default();
        sent.push((self.now, tokens));
    }

    fn poll_owners(&mut self) {
        if self.way != Way::Owner {
            return;
        }
        let now = self.instant();
        for owner in [0, 1] {
            for runner in 0..self.owners[owner].len() {
                let prefill = &mut self.owners[owner][runner];
                if prefill.next_poll_at(now).is_none_or(|at| at > now) {
                    continue;
                }
                for grant in prefill.poll(now) {
                    let request = grant.number as usize;
                    if self.reaches(self.requests[request].node, owner) {
                        let answer = PrefillAnswer::Granted;
                        self.message(MESSAGE_BYTES[2], Task::Answer { request, answer });
                    }
                }
            }
        }
        if self.now.is_multiple_of(UPDATE_INTERVAL) {
            self.learn_speeds(now);
        }
    }

    fn learn_speeds(&mut self, now: Instant) {
        for owners in &mut self.owners {
            for update in owners.iter_mut().flat_map(|owner| owner.updates(now)) {
                if update.tokens_per_second > 0 {
                    self.known_speeds[update.runner as usize] = update.tokens_per_second;
                }
            }
        }
    }

    fn advance_engines(&mut self) {
        let now = self.now as f64;
        let engines = self.engines.iter_mut();
        let events: Vec<_> = engines.flat_map(|engine| engine.advance(now)).collect();
        for event in events {
            match event {
                EngineEvent::Paused(request) => self.outcomes[request].paused = true,
                EngineEvent::First(request) => {
                    self.outcomes[request].first_at = Some(self.now);
                    if self.way == Way::Owner {
                        let owner = self.chosen_owner(self.requests[request].node);
                        self.message(MESSAGE_BYTES[3], Task::Report { request, owner });
                    }
                }
            }
        }
    }

    fn record_views(&mut self) {
        for (view, engine) in self.views.iter_mut().zip(&self.engines) {
            view.push(engine.unread_tokens());
        }
    }
}
