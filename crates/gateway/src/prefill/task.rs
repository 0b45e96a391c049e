//! The prefill task: asks prefill owners for permits on behalf of this node, and grants
//! permits for the runners that this node owns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{RunnerKey, runner_key};
use barleyspar_prefill::{
    PrefillAnswer, PrefillMessage, PrefillOwner, PrefillReport, PrefillRequest, StreamPace,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::context::Context;
use crate::messages::Message;
use crate::owners::Owners;
use crate::peers::PeerHandle;
use crate::prefill::local_pacer::{LocalPacer, PacedPrompt};
use crate::prefill::questions::{Phase, Question, Questions};
use crate::prefill::silent_owners::SilentOwners;
use crate::prefill::told_speeds::ToldSpeeds;
use crate::prefill::{
    Command, GrantedBy, PrefillAsk, PrefillDecision, PrefillHandle, PrefillInbox, PrefillPermit,
};
use crate::tasks::sleep_until_some;

/// Time to wait for an owner's answer before the question is repeated: ten times the duration
/// of a message exchange between zones.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Number of unanswered questions after which this node paces the prompt itself.
const ATTEMPTS_BEFORE_PACING: u32 = 3;
/// Time after which the owner is asked again about a queued prompt: its grant may be lost, or
/// the owner may have ended.
const QUEUED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval of the updates on the runners that this node owns.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two polls of the queues, at least.
const MIN_POLL_DELAY: Duration = Duration::from_millis(1);

/// A prompt whose permit is held, until its attempt ends.
#[derive(Debug)]
struct Held {
    runner: RunnerKey,
    owner: Arc<str>,
    reported: bool,
}

/// The prefill task: this node's questions and permits, and the runners that it owns.
pub struct PrefillTask {
    context: Context,
    handle: PrefillHandle,
    peers: PeerHandle,
    owners: Owners,
    /// Permits and queues of the runners that this node owns.
    owned_runners: PrefillOwner,
    told_speeds: ToldSpeeds,
    local_pacer: LocalPacer,
    silent_owners: SilentOwners,
    questions: Questions,
    held: BTreeMap<u64, Held>,
    inbox: mpsc::UnboundedReceiver<Command>,
}

impl PrefillTask {
    /// Creates the task of the node with this context.
    pub fn new(
        context: Context,
        peers: PeerHandle,
        handle: PrefillHandle,
        inbox: PrefillInbox,
    ) -> Self {
        Self {
            owners: Owners::new(&context.settings),
            context,
            handle,
            peers,
            owned_runners: PrefillOwner::default(),
            told_speeds: ToldSpeeds::default(),
            local_pacer: LocalPacer::default(),
            silent_owners: SilentOwners::default(),
            questions: Questions::default(),
            held: BTreeMap::new(),
            inbox: inbox.0,
        }
    }

    /// Handles commands, due questions and due grants until the process ends.
    pub async fn run(mut self) {
        let mut updates = interval(UPDATE_INTERVAL);
        updates.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let next_due = self.questions.next_due_at();
            let next_poll = self.next_poll_at();
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = sleep_until_some(next_due) => self.handle_due(),
                () = sleep_until_some(next_poll) => {}
                _ = updates.tick() => self.publish_updates(),
            }
            while let Ok(command) = self.inbox.try_recv() {
                self.handle(command);
            }
            self.send_grants();
        }
    }

    fn next_poll_at(&self) -> Option<Instant> {
        let now = Instant::now();
        let next = self.owned_runners.next_poll_at(now.into_std())?;
        Some(Instant::from_std(next).max(now + MIN_POLL_DELAY))
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Ask { number, ask, reply } => self.start_asking(number, ask, reply),
            Command::Cancel(number) => self.cancel(number),
            Command::PromptRead { number, read_time } => self.report_read(number, read_time),
            Command::StreamPace { number, event_time } => self.report_pace(number, event_time),
            Command::Finish(number) => self.finish(number),
            Command::Message(message) => self.handle_message(message),
        }
    }

    fn handle_message(&mut self, message: PrefillMessage) {
        match message {
            PrefillMessage::Request(request) => self.answer_peer(&request),
            PrefillMessage::Answer { number, answer } => self.apply_answer(number, answer),
            PrefillMessage::Report(report) => self.owned_runners.report(&report, now()),
            PrefillMessage::Pace(pace) => self.owned_runners.record_pace(pace),
            PrefillMessage::Updates { updates, .. } => {
                self.context.dispatch.apply_prefill_updates(updates);
            }
        }
    }

    fn start_asking(
        &mut self,
        number: u64,
        ask: PrefillAsk,
        reply: oneshot::Sender<PrefillDecision>,
    ) {
        let owner = self.owner_of(runner_key(&ask.runner));
        let question = Question {
            ask,
            phase: Phase::Asked { attempts: 0 },
            owner,
            asked_at: Instant::now(),
            was_queued: false,
            expected_wait: Duration::ZERO,
            due_at: Instant::now(),
            reply,
        };
        self.ask_owner(number, question);
    }

    /// Asks the owner of the prompt's runner, which may be this node. Paces the prompt if the
    /// owner has not answered lately.
    fn ask_owner(&mut self, number: u64, mut question: Question) {
        let runner = runner_key(&question.ask.runner);
        let owner = self.owner_of(runner);
        let attempts = match question.phase {
            Phase::Asked { attempts } => attempts + 1,
            Phase::Queued | Phase::Paced(_) => 1,
        };
        if question.owner != owner {
            self.send_report(number, runner, &question.owner, None);
            question.owner = owner.clone();
        }
        if self.silent_owners.is_silent(&owner, Instant::now()) {
            return self.pace(number, question);
        }
        question.phase = Phase::Asked { attempts };
        let request = self.request(number, &question.ask);
        question.due_at = question.ends_at().min(Instant::now() + RETRY_DELAY);
        self.questions.insert(number, question);
        if owner == self.context.settings.name {
            let answer = self.owned_runners.request(&request, now());
            return self.apply_answer(number, answer);
        }
        let message = Message::Prefill(PrefillMessage::Request(request));
        self.peers.send_message(owner, message);
    }

    fn request(&self, number: u64, ask: &PrefillAsk) -> PrefillRequest {
        let now = Instant::now();
        PrefillRequest {
            node: self.context.settings.name.clone(),
            number,
            runner: runner_key(&ask.runner),
            prompt_tokens: u32::try_from(ask.prompt_tokens).unwrap_or(u32::MAX),
            priority: ask.priority.into(),
            patience_ms: milliseconds(ask.gives_up_at.saturating_duration_since(now)),
            target_gap_ms: milliseconds(ask.target_gap),
            tenant: ask.tenant,
            known_tokens_per_second: ask.tokens_per_second.unwrap_or(0.0) as u32,
        }
    }

    /// Returns the owner of the runner with this key, from the nodes that this one hears.
    fn owner_of(&mut self, runner: RunnerKey) -> Arc<str> {
        let nodes = self.context.dispatch.member_count();
        self.owners.refresh_if_due(&self.peers, nodes);
        self.owners.owner_of(&format!("prefill {runner}").into())
    }

    /// Asks again about the prompts that are due, or sends those that this node paces.
    fn handle_due(&mut self) {
        let now = Instant::now();
        while let Some((number, question)) = self.questions.take_due(now) {
            match question.phase {
                Phase::Paced(_) => self.grant(number, question, GrantedBy::ThisNode),
                _ if question.was_queued && question.ends_at() <= now => {
                    self.give_up(number, question, PrefillDecision::TimedOut);
                }
                Phase::Asked { attempts } if attempts >= ATTEMPTS_BEFORE_PACING => {
                    self.silent_owners.record_silence(&question.owner, now);
                    self.pace(number, question);
                }
                Phase::Asked { .. } if question.ends_at() <= now => self.pace(number, question),
                Phase::Asked { .. } | Phase::Queued => self.ask_owner(number, question),
            }
        }
    }

    /// Reserves this node's own turn for a prompt whose owner does not answer.
    fn pace(&mut self, number: u64, mut question: Question) {
        let ask = &question.ask;
        tracing::info!(
            event = "prefill_unanswered",
            runner = &*ask.runner,
            owner = &*question.owner
        );
        let runner = runner_key(&ask.runner);
        let own = self.held.values().filter(|held| held.runner == runner);
        let own = own.count() as f64 + 1.0;
        let prompt = PacedPrompt {
            runner,
            tokens: ask.prompt_tokens,
            tokens_per_second: ask.tokens_per_second,
            share: (own / f64::from(ask.in_flight.max(1))).min(1.0),
            target_gap: ask.target_gap,
        };
        let turn_at = Instant::from_std(self.local_pacer.reserve(&prompt, now()));
        let due_at = ask.unowned_send_at(turn_at, Instant::now());
        question.expected_wait = due_at.saturating_duration_since(Instant::now());
        question.phase = Phase::Paced(prompt);
        question.due_at = due_at;
        self.questions.insert(number, question);
    }

    /// Applies the owner's answer to the pending question `number`.
    fn apply_answer(&mut self, number: u64, answer: PrefillAnswer) {
        let Some(mut question) = self.questions.take(number) else {
            return;
        };
        self.silent_owners.record_answer(&question.owner);
        match (answer, &question.phase) {
            (PrefillAnswer::Granted, phase) => {
                if let Phase::Paced(prompt) = phase {
                    self.local_pacer.give_back(prompt);
                }
                let granted_by = if question.was_queued {
                    GrantedBy::OwnersQueue
                } else {
                    GrantedBy::Owner
                };
                self.grant(number, question, granted_by);
            }
            (_, Phase::Paced(_)) | (PrefillAnswer::NotOwner, _) => {
                self.questions.insert(number, question);
            }
            (PrefillAnswer::Queued { wait_ms }, _) => {
                let wait = Duration::from_millis(wait_ms.into());
                if question.ask.moves_after(wait) {
                    return self.give_up(number, question, PrefillDecision::Elsewhere(wait));
                }
                question.expected_wait = question.expected_wait.max(wait);
                question.was_queued = true;
                question.phase = Phase::Queued;
                let retry_at = Instant::now() + QUEUED_RETRY_DELAY;
                question.due_at = question.ends_at().min(retry_at);
                self.questions.insert(number, question);
            }
            (PrefillAnswer::Denied { wait_ms }, _) => {
                let wait = Duration::from_millis(wait_ms.into());
                self.give_up(number, question, PrefillDecision::Denied(wait));
            }
        }
    }

    fn grant(&mut self, number: u64, question: Question, granted_by: GrantedBy) {
        let held = Held {
            runner: runner_key(&question.ask.runner),
            owner: question.owner.clone(),
            reported: false,
        };
        self.held.insert(number, held);
        let permit = PrefillPermit {
            number,
            handle: self.handle.clone(),
            owner: question.owner,
            granted_by,
            expected_wait: question.expected_wait,
            waited: question.asked_at.elapsed(),
            sent_at: Default::default(),
            reported: Default::default(),
        };
        // If the caller is gone, the permit is dropped here, which frees it.
        let _ = question.reply.send(PrefillDecision::Granted(permit));
    }

    /// Ends a question without a permit, and takes its prompt from the owner's queue.
    fn give_up(&mut self, number: u64, question: Question, decision: PrefillDecision) {
        let runner = runner_key(&question.ask.runner);
        self.send_report(number, runner, &question.owner, None);
        // Sending fails if the caller is gone, and nobody waits for the decision.
        let _ = question.reply.send(decision);
    }

    /// Ends a question whose caller waits no longer.
    fn cancel(&mut self, number: u64) {
        let Some(question) = self.questions.take(number) else {
            return;
        };
        if let Phase::Paced(prompt) = &question.phase {
            self.local_pacer.give_back(prompt);
        }
        let runner = runner_key(&question.ask.runner);
        self.send_report(number, runner, &question.owner, None);
    }

    fn report_read(&mut self, number: u64, read_time: Duration) {
        let Some(held) = self.held.get_mut(&number) else {
            return;
        };
        held.reported = true;
        let (runner, owner) = (held.runner, held.owner.clone());
        self.send_report(number, runner, &owner, Some(read_time));
    }

    /// Reports the pace of a stream to the owner that granted its permit.
    fn report_pace(&mut self, number: u64, event_time: Duration) {
        let Some(held) = self.held.get(&number) else {
            return;
        };
        let pace = StreamPace {
            runner: held.runner,
            event_ms: milliseconds(event_time),
        };
        let owner = held.owner.clone();
        self.tell_owner(&owner, PrefillMessage::Pace(pace));
    }

    /// Ends a permit, and frees it if its prompt was not read.
    fn finish(&mut self, number: u64) {
        if let Some(held) = self.held.remove(&number)
            && !held.reported
        {
            self.send_report(number, held.runner, &held.owner, None);
        }
    }

    fn send_report(
        &mut self,
        number: u64,
        runner: RunnerKey,
        owner: &Arc<str>,
        read_time: Option<Duration>,
    ) {
        let report = PrefillReport {
            node: self.context.settings.name.clone(),
            number,
            runner,
            read_ms: read_time.map(milliseconds),
        };
        self.tell_owner(owner, PrefillMessage::Report(report));
    }

    /// Sends a report to an owner, which may be this node.
    fn tell_owner(&mut self, owner: &Arc<str>, report: PrefillMessage) {
        if *owner == self.context.settings.name {
            self.handle_message(report);
        } else {
            self.peers
                .send_message(owner.clone(), Message::Prefill(report));
        }
    }

    /// Answers the question of a peer, if this node owns the runner.
    fn answer_peer(&mut self, request: &PrefillRequest) {
        let answer = if self.owner_of(request.runner) == self.context.settings.name {
            self.owned_runners.request(request, now())
        } else {
            PrefillAnswer::NotOwner
        };
        self.send_answer(request.node.clone(), request.number, answer);
    }

    fn send_answer(&self, node: Arc<str>, number: u64, answer: PrefillAnswer) {
        let message = PrefillMessage::Answer { number, answer };
        self.peers.send_message(node, Message::Prefill(message));
    }

    /// Sends the grants that are due to the nodes whose prompts were queued.
    fn send_grants(&mut self) {
        for grant in self.owned_runners.poll(now()) {
            if grant.node == self.context.settings.name {
                self.apply_answer(grant.number, PrefillAnswer::Granted);
            } else {
                self.send_answer(grant.node, grant.number, PrefillAnswer::Granted);
            }
        }
    }

    /// Tells all nodes, this one included, of the runners that this node owns.
    fn publish_updates(&mut self) {
        let mut updates = self.owned_runners.updates(now());
        // A former owner still knows its runners, but nothing of what waits for them.
        updates.retain(|update| self.owner_of(update.runner) == self.context.settings.name);
        let updates = self.told_speeds.select(updates);
        if updates.is_empty() {
            return;
        }
        self.context.dispatch.apply_prefill_updates(updates.clone());
        self.peers.publish_prefill_updates(updates);
    }
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
