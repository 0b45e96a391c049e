//! The quota task: asks limit owners for permits on behalf of this node, and answers
//! peers for the limits that this node owns.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{QuotaAnswer, QuotaLedger, QuotaLimit, QuotaOwner, QuotaRequest, Subject};
use barleyspar_catalog::RunnerLimit;
use barleyspar_domain::rendezvous_weight;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::context::Context;
use crate::messages::Message;
use crate::owners::Owners;
use crate::peers::{PeerHandle, peer_timeout};
use crate::question_numbers::number_before_first;
use crate::quota::{Command, QuotaDecision, QuotaInbox};

/// Time to wait for an owner's answer before the request is sent again: ten times the
/// duration of a message exchange between zones.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Number of unanswered attempts after which the reserve is used.
const ATTEMPTS_BEFORE_RESERVE: u32 = 3;
/// Time between two attempts after the first [`ATTEMPTS_BEFORE_RESERVE`]. Meanwhile an
/// unresponsive owner is replaced.
const LATER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Minimum time between two cleanups of unused records, unless the configuration changes.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// A permit request of this node that has no decision yet.
struct Pending {
    subject: Subject,
    advertised_limit: Option<RunnerLimit>,
    cost: u64,
    charge_once_key: Option<Arc<str>>,
    attempts: u32,
    /// Time until which the request is retried while no owner answers and the reserve is
    /// used up.
    deadline: Instant,
    reply: oneshot::Sender<QuotaDecision>,
}

/// The quota task: the permit requests of this node that have no decision yet, and the
/// records on limits that this node asks for or owns.
pub struct QuotaTask {
    context: Context,
    peers: PeerHandle,
    owners: Owners,
    /// Records on the limits that this node owns.
    owned_limits: QuotaOwner,
    ledger: QuotaLedger,
    pending: BTreeMap<u64, Pending>,
    /// When to retry which pending request, as time and number, ordered by time. Entries of
    /// requests that have been answered are skipped.
    retries: VecDeque<(Instant, u64)>,
    last_number: u64,
    /// Number of requests decided by the reserve so far.
    reserve_decisions: u64,
    cleaned_at: Instant,
    inbox: mpsc::UnboundedReceiver<Command>,
}

impl QuotaTask {
    /// Creates the task of the node with this context.
    pub fn new(context: Context, peers: PeerHandle, inbox: QuotaInbox) -> Self {
        let nodes = context.dispatch.member_count();
        let started = context.started_at.into_std();
        Self {
            owners: Owners::new(&context.settings),
            owned_limits: QuotaOwner::new(started, peer_timeout(nodes)),
            ledger: QuotaLedger::new(context.settings.bounds.quota.window),
            pending: BTreeMap::new(),
            retries: VecDeque::new(),
            last_number: number_before_first(),
            reserve_decisions: 0,
            cleaned_at: Instant::now(),
            peers,
            context,
            inbox: inbox.0,
        }
    }

    /// Handles commands, configuration changes and due retries until the process ends.
    pub async fn run(mut self) {
        loop {
            let next_retry = self.retries.front().map(|(at, _)| *at);
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                changed = self.context.routes.changed() => match changed {
                    Ok(()) => self.drop_unused(),
                    Err(_) => return,
                },
                () = sleep_until(next_retry.unwrap_or_else(Instant::now)), if next_retry.is_some() => {
                    self.retry_due();
                }
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Admit {
                subject,
                advertised_limit,
                cost,
                charge_once_key,
                patience,
                reply,
            } => self.admit(Pending {
                subject,
                advertised_limit,
                cost,
                charge_once_key,
                attempts: 0,
                deadline: Instant::now() + patience,
                reply,
            }),
            Command::Refund { subject, cost } => self.ledger.give_back(&subject, cost, now()),
            Command::PeerRequest(request) => self.answer_peer(request),
            Command::OwnerAnswer { number, answer } => self.apply_answer(number, answer),
        }
    }

    /// Drops the records on tenants that are not in the configuration, and on runners and
    /// requests for which no permit was requested recently.
    fn drop_unused(&mut self) {
        self.cleaned_at = Instant::now();
        let Some(table) = self.context.routes.borrow().clone() else {
            return;
        };
        let is_known_tenant = |name: &str| table.tenant_named(name).is_some();
        self.owned_limits.retain(is_known_tenant, now());
        self.ledger.retain(is_known_tenant, now());
    }

    /// Returns the cluster-wide limit that `request` counts against. `None` if the
    /// subject has no limit, or this node's configuration does not contain the tenant.
    fn limit_for(&self, request: &QuotaRequest) -> Option<QuotaLimit> {
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

    fn refresh_owners(&mut self) {
        let nodes = self.context.dispatch.member_count();
        self.owners.refresh_if_due(&self.peers, nodes);
    }

    /// Grants a request from units that were given back, or else asks the limit owner.
    fn admit(&mut self, pending: Pending) {
        if self.cleaned_at.elapsed() >= CLEANUP_INTERVAL {
            self.drop_unused();
        }
        let (subject, cost) = (&pending.subject, pending.cost);
        if self.ledger.take_unused(subject, cost, now()) {
            // Sending fails if the caller has disconnected and nobody waits for the decision.
            // Every `reply.send` of this task ignores that.
            let _ = pending.reply.send(QuotaDecision::Granted);
            return;
        }
        self.last_number += 1;
        self.send_to_owner(self.last_number, pending);
    }

    /// Sends a pending request to the owner of its limit, or answers it directly if that
    /// is this node.
    fn send_to_owner(&mut self, number: u64, mut pending: Pending) {
        self.refresh_owners();
        let owner = self.owners.owner_of(&pending.subject.name());
        let request = QuotaRequest {
            number,
            node: self.context.settings.name.clone(),
            subject: pending.subject.clone(),
            named: pending.advertised_limit,
            cost: pending.cost,
            charge_once_key: pending.charge_once_key.clone(),
            other_owner_asked_ms: self.ledger.record_question(&pending.subject, &owner, now()),
        };
        pending.attempts += 1;
        self.pending.insert(number, pending);
        if owner == self.context.settings.name {
            let answer = self.answer(&request);
            return self.apply_answer(number, answer);
        }
        self.schedule_retry(number, RETRY_DELAY);
        self.peers
            .send_message(owner, Message::QuotaRequest(request));
    }

    fn schedule_retry(&mut self, number: u64, after: Duration) {
        let at = Instant::now() + after;
        let position = self.retries.partition_point(|(other, _)| *other <= at);
        self.retries.insert(position, (at, number));
    }

    fn retry_due(&mut self) {
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
            if pending.attempts < ATTEMPTS_BEFORE_RESERVE {
                self.send_to_owner(number, pending);
            } else {
                self.decide_by_reserve(number, pending);
            }
        }
    }

    /// Decides a request by the reserve, because no owner has answered or the node asked
    /// does not own the limit. A request that the reserve does not cover is retried until
    /// its deadline.
    fn decide_by_reserve(&mut self, number: u64, mut pending: Pending) {
        // A pseudo-random number from 0 to 1, which decides if the reserve covers only a part
        // of the cost.
        self.reserve_decisions += 1;
        let draw = rendezvous_weight(&self.reserve_decisions, &*self.context.settings.name) as f64
            / u64::MAX as f64;
        let granted = self
            .ledger
            .take_reserve(&pending.subject, pending.cost, draw, now());
        let may_wait = Instant::now() + LATER_RETRY_DELAY < pending.deadline;
        if !granted && may_wait {
            pending.attempts = ATTEMPTS_BEFORE_RESERVE - 1;
            self.pending.insert(number, pending);
            return self.schedule_retry(number, LATER_RETRY_DELAY);
        }
        tracing::info!(
            event = "quota_unanswered",
            subject = ?pending.subject,
            owner = &*self.owners.owner_of(&pending.subject.name()),
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

    /// Answers the request of a peer, or rejects it if this node does not own the limit.
    fn answer_peer(&mut self, request: QuotaRequest) {
        self.refresh_owners();
        let answer = if self.owners.is_owner(&request.subject.name()) {
            self.answer(&request)
        } else {
            QuotaAnswer::NotOwner
        };
        let number = request.number;
        let message = Message::QuotaAnswer { number, answer };
        self.peers.send_message(request.node, message);
    }

    /// Decides a request for a permit as the owner of its limit.
    fn answer(&mut self, request: &QuotaRequest) -> QuotaAnswer {
        let Some(limit) = self.limit_for(request) else {
            return QuotaAnswer::NotOwner;
        };
        self.owned_limits
            .answer(request, limit, self.owners.visible_nodes(), now())
    }

    /// Applies the owner's answer to the pending request `number`, and replies to its caller.
    fn apply_answer(&mut self, number: u64, answer: QuotaAnswer) {
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let (decision, reserve, outcome) = match answer {
            QuotaAnswer::Granted { reserve } => (QuotaDecision::Granted, reserve, "granted"),
            QuotaAnswer::Denied { wait_ms, reserve } => {
                let wait = Duration::from_millis(wait_ms.into());
                (QuotaDecision::Denied(wait), reserve, "denied")
            }
            QuotaAnswer::NotOwner => return self.decide_by_reserve(number, pending),
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
