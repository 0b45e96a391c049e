//! The task that asks the owners of limits, and answers as one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{QuotaAnswer, QuotaLedger, QuotaLimit, QuotaOwner, QuotaRequest, Subject};
use barleyspar_catalog::RunnerLimit;
use barleyspar_domain::rank;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::context::Context;
use crate::messages::Message;
use crate::peers::{PeerHandle, longest_silence};
use crate::quota::owners::Owners;
use crate::quota::{Command, QuotaDecision, QuotaInbox};

/// Time for an answer before the request is sent once more: ten times what an
/// exchange takes between zones.
const ASKED_AGAIN_AFTER: Duration = Duration::from_millis(40);
/// Tries from which on the reserve is used.
const TRIES: u32 = 3;
/// The same between later tries: a silent owner is replaced after a while.
const LATER_TRIES_AFTER: Duration = Duration::from_millis(150);

/// Time between two looks for what is not asked about any more.
const FORGET_EVERY: Duration = Duration::from_secs(60);

/// A request that waits for its owner's answer.
struct Pending {
    subject: Subject,
    named: Option<RunnerLimit>,
    cost: u64,
    once_for: Option<Arc<str>>,
    tries: u32,
    /// Until when it can wait.
    until: Instant,
    reply: oneshot::Sender<QuotaDecision>,
}

/// The task.
pub struct QuotaTask {
    context: Context,
    peers: PeerHandle,
    owners: Owners,
    owner: QuotaOwner,
    ledger: QuotaLedger,
    pending: BTreeMap<u64, Pending>,
    /// Requests in the order of their next tries; answered ones are passed over.
    retries: VecDeque<(Instant, u64)>,
    numbers: u64,
    forgotten_at: Instant,
    inbox: mpsc::UnboundedReceiver<Command>,
}

impl QuotaTask {
    /// A task of the node with this context.
    pub fn new(context: Context, peers: PeerHandle, inbox: QuotaInbox) -> Self {
        let nodes = context.dispatch.nodes();
        let started = context.started.into_std();
        Self {
            owners: Owners::new(&context.settings),
            owner: QuotaOwner::new(started, longest_silence(nodes)),
            ledger: QuotaLedger::new(context.settings.bounds.quota.window),
            pending: BTreeMap::new(),
            retries: VecDeque::new(),
            numbers: 0,
            forgotten_at: Instant::now(),
            peers,
            context,
            inbox: inbox.0,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let next_retry = self.retries.front().map(|(at, _)| *at);
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                changed = self.context.routes.changed() => match changed {
                    Ok(()) => self.forget_unused(),
                    Err(_) => return,
                },
                () = sleep_until(next_retry.unwrap_or_else(Instant::now)), if next_retry.is_some() => {
                    self.try_again();
                }
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Admit {
                subject,
                named,
                cost,
                once_for,
                patience,
                reply,
            } => self.admit(Pending {
                subject,
                named,
                cost,
                once_for,
                tries: 0,
                until: Instant::now() + patience,
                reply,
            }),
            Command::GiveBack { subject, cost } => self.ledger.give_back(&subject, cost, now()),
            Command::Asked(request) => self.asked(request),
            Command::Answered { number, answer } => self.answered(number, answer),
        }
    }

    /// Forgets tenants that the configuration dropped, and what was not asked about lately.
    fn forget_unused(&mut self) {
        self.forgotten_at = Instant::now();
        let Some(table) = self.context.routes.borrow().clone() else {
            return;
        };
        let known = |name: &str| table.tenant_named(name).is_some();
        self.owner.retain(known, now());
        self.ledger.retain(known, now());
    }

    /// The limit over all nodes that `request` counts against; `None` if there is none,
    /// or it is unknown.
    fn limit(&self, request: &QuotaRequest) -> Option<QuotaLimit> {
        let tenant = match &request.subject {
            Subject::Tenant(tenant) => tenant,
            Subject::Runner(_) => return request.named.map(QuotaLimit::of_runner),
            Subject::Request(_) => return Some(QuotaLimit::of_crashes()),
        };
        let table = self.context.routes.borrow();
        let quota = table.as_ref()?.tenant_named(tenant)?.quota?;
        let bounds = &self.context.settings.bounds.quota;
        Some(QuotaLimit::new(&quota, bounds))
    }

    fn look_at_nodes(&mut self) {
        let now = Instant::now();
        if self.owners.is_due(now) {
            let nodes = self.context.dispatch.nodes();
            let heard = self.peers.heard();
            let silence = longest_silence(nodes);
            self.owners
                .look(&heard.borrow(), nodes as usize, silence, now);
        }
    }

    fn admit(&mut self, pending: Pending) {
        if self.forgotten_at.elapsed() >= FORGET_EVERY {
            self.forget_unused();
        }
        let (subject, cost) = (&pending.subject, pending.cost);
        if self.ledger.take_unused(subject, cost, now()) {
            // A caller that left needs no answer, here and below.
            let _ = pending.reply.send(QuotaDecision::Granted);
            return;
        }
        self.numbers += 1;
        self.ask(self.numbers, pending);
    }

    /// Asks the owner of a pending request's limit, which may be this node.
    fn ask(&mut self, number: u64, mut pending: Pending) {
        self.look_at_nodes();
        let owner = self.owners.of(&pending.subject.name());
        let request = QuotaRequest {
            number,
            node: self.context.settings.name.clone(),
            subject: pending.subject.clone(),
            named: pending.named,
            cost: pending.cost,
            once_for: pending.once_for.clone(),
            elsewhere_ms: self.ledger.asks(&pending.subject, &owner, now()),
        };
        pending.tries += 1;
        self.pending.insert(number, pending);
        if owner == self.context.settings.name {
            let answer = self.answer(&request);
            return self.answered(number, answer);
        }
        self.retry_later(number, ASKED_AGAIN_AFTER);
        self.peers.tell(owner, Message::QuotaRequest(request));
    }

    fn retry_later(&mut self, number: u64, after: Duration) {
        let at = Instant::now() + after;
        let place = self.retries.partition_point(|(other, _)| *other <= at);
        self.retries.insert(place, (at, number));
    }

    fn try_again(&mut self) {
        let now = Instant::now();
        while let Some((at, number)) = self.retries.front().copied()
            && at <= now
        {
            self.retries.pop_front();
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            if pending.reply.is_closed() {
                continue;
            }
            if pending.tries < TRIES {
                self.ask(number, pending);
            } else {
                self.decide_alone(number, pending);
            }
        }
    }

    /// Goes by the reserve, since no owner answers; a request that can wait and
    /// finds none there is tried again.
    fn decide_alone(&mut self, number: u64, mut pending: Pending) {
        let draw = rank(&self.numbers, &*self.context.settings.name) as f64 / u64::MAX as f64;
        let granted = self
            .ledger
            .take_reserve(&pending.subject, pending.cost, draw, now());
        let waits = Instant::now() + LATER_TRIES_AFTER < pending.until;
        if !granted && waits {
            pending.tries = TRIES - 1;
            self.pending.insert(number, pending);
            return self.retry_later(number, LATER_TRIES_AFTER);
        }
        tracing::info!(
            event = "quota_unanswered",
            subject = ?pending.subject,
            owner = &*self.owners.of(&pending.subject.name()),
            cost = pending.cost,
            granted
        );
        let decision = if granted {
            QuotaDecision::Granted
        } else {
            QuotaDecision::Unknown
        };
        let outcome = if granted { "granted" } else { "unknown" };
        let label = match pending.subject {
            Subject::Tenant(_) => "reserve",
            Subject::Runner(_) => "runner_reserve",
            Subject::Request(_) => "request_reserve",
        };
        self.context.metrics.quota_decided(label, outcome);
        let _ = pending.reply.send(decision);
    }

    /// Another node asks this one.
    fn asked(&mut self, request: QuotaRequest) {
        self.look_at_nodes();
        let answer = if self.owners.is_own(&request.subject.name()) {
            self.answer(&request)
        } else {
            QuotaAnswer::NotOwner
        };
        let number = request.number;
        let message = Message::QuotaAnswer { number, answer };
        self.peers.tell(request.node, message);
    }

    fn answer(&mut self, request: &QuotaRequest) -> QuotaAnswer {
        let Some(limit) = self.limit(request) else {
            return QuotaAnswer::NotOwner;
        };
        self.owner
            .answer(request, limit, self.owners.share(), now())
    }

    fn answered(&mut self, number: u64, answer: QuotaAnswer) {
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let (decision, reserve, outcome) = match answer {
            QuotaAnswer::Granted { reserve } => (QuotaDecision::Granted, reserve, "granted"),
            QuotaAnswer::Denied { wait_ms, reserve } => {
                let wait = Duration::from_millis(wait_ms.into());
                (QuotaDecision::Denied(wait), reserve, "denied")
            }
            QuotaAnswer::NotOwner => return self.decide_alone(number, pending),
        };
        let label = match pending.subject {
            Subject::Tenant(_) => "owner",
            Subject::Runner(_) => "runner_owner",
            Subject::Request(_) => "request_owner",
        };
        self.context.metrics.quota_decided(label, outcome);
        self.ledger.set_reserve(&pending.subject, reserve, now());
        let _ = pending.reply.send(decision);
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
