//! Relays a stream of events to the client, and resumes it at another runner where the
//! route allows that.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Progress;
use barleyspar_dispatch::{AttemptKind, Failure, Outcome};
use barleyspar_domain::Verdict;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::answer_memory::ReservedMemory;
use crate::attempt::{Answered, attempt, rejection_outcome};
use crate::body::{AnswerBody, BodySender, cut_off};
use crate::dispatch::Permit;
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::Exchange;
use crate::journal;
use crate::prefill::await_turn_briefly;
use crate::relay;

/// Time after a runner's first event of a stream from which the request is unlikely to crash it.
const ESTABLISHED_AFTER: Duration = Duration::from_secs(5);
/// Minimum time between two searches for another runner while a stream stalls. They are a
/// stall timeout apart if that is longer.
const STALL_RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Length in bytes of an unfinished event up to which no memory is reserved for it. Streams of
/// usual events go on, whatever the memory for answers is used for.
const SHORT_EVENT_BYTES: usize = 16 * 1024;

/// How the relaying of a stream from one runner ended.
enum RunEnd {
    /// The runner's body ended after a complete event.
    Complete,
    /// The client closed its connection.
    ClientLeft,
    /// The request's deadline passed.
    Deadline,
    /// The runner's body ended early or cannot be parsed; the text says why.
    Broken(String),
    /// No data arrived for the stall timeout; the stream can be resumed with this permit for
    /// another runner.
    Stalled(Box<Permit>),
}

/// Starts relaying the stream of events in `answered`, and returns the response that
/// carries it to the client.
pub fn relay_events(exchange: Exchange, answered: Answered) -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::chunked();
    let response = relay::build_response(&exchange, &answered, body);
    debug_assert_eq!(response.status(), StatusCode::OK);
    crate::tasks::spawn(StreamRelay::new(exchange, sender).run(answered));
    response
}

/// Relays one stream of events to a client, from one runner after the other.
pub struct StreamRelay {
    exchange: Exchange,
    body_sender: BodySender,
    /// Id of the last event sent to the client that has one.
    last_event_id: Option<String>,
    events_sent: u64,
    /// When the first event from the current runner was sent; `None` before that.
    runner_answers_since: Option<Instant>,
    /// Memory for the event that the current runner has not finished.
    memory: ReservedMemory,
}

impl StreamRelay {
    /// Creates a relay that sends events to `body_sender`.
    pub fn new(exchange: Exchange, body_sender: BodySender) -> Self {
        let memory = exchange.context.answer_memory.reserve_none();
        Self {
            exchange,
            body_sender,
            last_event_id: None,
            events_sent: 0,
            runner_answers_since: None,
            memory,
        }
    }

    /// Relays events, from `first` and from the runners at which the stream is resumed,
    /// until the stream ends or cannot be continued.
    pub async fn run(mut self, first: Answered) {
        let mut answered = first;
        loop {
            let end = self.relay_from_runner(&mut answered).await;
            let next = match end {
                RunEnd::Complete => {
                    let outcome = self.outcome_of_complete_stream(&answered);
                    relay::finish_attempt(&self.exchange, answered, outcome);
                    return self
                        .exchange
                        .end(StatusCode::OK.as_u16(), crate::journal::ANSWERED);
                }
                RunEnd::ClientLeft => return self.exchange.end(0, "client_left"),
                RunEnd::Deadline => return self.end_incomplete("deadline"),
                RunEnd::Broken(cause) => {
                    let progress = self.progress();
                    let runner = answered.permit.runner();
                    self.exchange.report_broken_connection(runner, progress);
                    answered.permit.finish(Outcome::Failed(Failure::Broken));
                    drop(answered.connection);
                    self.resume(None, &cause).await
                }
                RunEnd::Stalled(permit) => {
                    self.exchange.leave_runner();
                    answered.permit.finish(Outcome::Failed(Failure::Silent));
                    drop(answered.connection);
                    self.resume(Some(*permit), "stalled").await
                }
            };
            match next {
                Some(next) => answered = next,
                None => return self.end_incomplete("stream_broken"),
            }
        }
    }

    /// Returns the outcome of the attempt that completed the stream, and reports the stream's
    /// pace.
    fn outcome_of_complete_stream(&self, answered: &Answered) -> Outcome {
        let Some(usual_gap) = self.exchange.gaps.usual() else {
            return Outcome::Abandoned;
        };
        answered.permit.record_pace(usual_gap);
        Outcome::Streamed { usual_gap }
    }

    /// Ends the client's stream unfinished, without waiting for the client to read what was
    /// sent before.
    fn end_incomplete(mut self, reason: &str) {
        self.exchange.end(StatusCode::OK.as_u16(), reason);
        cut_off(self.body_sender);
    }

    /// Returns how far the request has come at the current runner.
    fn progress(&self) -> Progress {
        match self.runner_answers_since {
            None => Progress::Started,
            Some(since) if since.elapsed() < ESTABLISHED_AFTER => Progress::Answering,
            Some(_) => Progress::Established,
        }
    }

    /// Relays events from one runner until its body ends, breaks or stalls, or the
    /// request ends.
    async fn relay_from_runner(&mut self, answered: &mut Answered) -> RunEnd {
        self.runner_answers_since = None;
        let mut splitter = EventSplitter::default();
        drop(self.take_memory());
        let mut last_received = Instant::now();
        loop {
            let stall_timeout = self.stall_timeout(&answered.permit);
            let stalled_at = last_received + stall_timeout;
            let client = self.body_sender.clone();
            tokio::select! {
                biased;
                () = client.closed() => return RunEnd::ClientLeft,
                frame = answered.body.frame() => match frame {
                    None => return self.end_of_body(&mut splitter).await,
                    Some(Err(error)) => {
                        return RunEnd::Broken(answered.connection.cause_of(&error));
                    }
                    Some(Ok(frame)) => {
                        last_received = Instant::now();
                        let data = frame.into_data().unwrap_or_default();
                        if splitter.push(&data).is_err() {
                            return RunEnd::Broken("event exceeds the maximum length".to_owned());
                        }
                        if let Err(end) = self.send_complete_events(&mut splitter, answered).await {
                            return end;
                        }
                        let unfinished = splitter.buffered_bytes();
                        if unfinished > SHORT_EVENT_BYTES && !self.memory.grow_to(unfinished) {
                            return RunEnd::Broken("no memory for a long event".to_owned());
                        }
                    }
                },
                () = sleep_until(self.exchange.deadline) => return RunEnd::Deadline,
                () = sleep_until(stalled_at), if self.may_resume() => {
                    if let Some(permit) = self.acquire_other_runner().await {
                        return RunEnd::Stalled(Box::new(permit));
                    }
                    // The next search for another runner follows after the stall timeout, or
                    // after `STALL_RECHECK_INTERVAL` if that is longer.
                    last_received = Instant::now() + STALL_RECHECK_INTERVAL - stall_timeout.min(STALL_RECHECK_INTERVAL);
                }
            }
        }
    }

    /// Returns whether the stream may be continued at another runner.
    fn may_resume(&self) -> bool {
        self.exchange.route.resumable && self.exchange.may_retry()
    }

    /// Returns the time without data after which the stream counts as stalled at the runner of
    /// `permit`.
    fn stall_timeout(&self, permit: &Permit) -> Duration {
        let usual = match self.events_sent {
            0 => permit.usual_response(),
            _ => self.exchange.gaps.usual(),
        };
        self.exchange.silence_timeout(usual)
    }

    /// Acquires a permit for another runner; `None` if none is available at once.
    async fn acquire_other_runner(&self) -> Option<Permit> {
        let query = self.exchange.query(AttemptKind::Retry, false);
        self.exchange.context.dispatch.acquire(query).await?.ok()
    }

    /// Sends the complete events in `splitter` to the client, except those sent before.
    async fn send_complete_events(
        &mut self,
        splitter: &mut EventSplitter,
        answered: &Answered,
    ) -> Result<(), RunEnd> {
        while let Some(mut event) = splitter.next_event() {
            answered.permit.record_event();
            event.bytes = self.take_memory().attach_to(event.bytes);
            if self.is_already_sent(&event) {
                continue;
            }
            if self.events_sent == 0 {
                let first_byte = answered.waited;
                answered
                    .permit
                    .report_interim_outcome(Outcome::PromptRead { first_byte });
                self.exchange.report_answer_began();
                let software = &answered.permit.runner().software;
                self.exchange.record_origin(software);
            }
            self.events_sent += 1;
            self.runner_answers_since.get_or_insert_with(Instant::now);
            self.exchange.record_event();
            self.send_event(event).await?;
        }
        Ok(())
    }

    /// Returns what is reserved for the event that was unfinished until now.
    fn take_memory(&mut self) -> ReservedMemory {
        let none = self.exchange.context.answer_memory.reserve_none();
        std::mem::replace(&mut self.memory, none)
    }

    /// Sends one event to the client; waits until the client's connection takes it.
    async fn send_event(&mut self, event: StreamEvent) -> Result<(), RunEnd> {
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        let sending = self.body_sender.send(Ok(event.bytes));
        match timeout_at(self.exchange.deadline, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RunEnd::ClientLeft),
            Err(_) => Err(RunEnd::Deadline),
        }
    }

    /// Returns whether the event was sent to the client before: its id is a number that is
    /// not above that of the last event.
    fn is_already_sent(&self, event: &StreamEvent) -> bool {
        let number = |id: &Option<String>| id.as_ref().and_then(|id| id.parse::<u64>().ok());
        match (number(&event.id), number(&self.last_event_id)) {
            (Some(id), Some(last)) => id <= last,
            _ => false,
        }
    }

    /// Returns how the stream from a runner ended after its body was read to the end: it is
    /// broken if the body ends within an event.
    async fn end_of_body(&mut self, splitter: &mut EventSplitter) -> RunEnd {
        if splitter.take_incomplete().is_empty() {
            RunEnd::Complete
        } else {
            RunEnd::Broken("the stream ended within an event".to_owned())
        }
    }

    /// Resumes the stream at another runner: at that of `permit`, or else at one that the
    /// dispatcher chooses. `cause` is the reason why the stream ended at the last runner.
    /// Returns `None` if the stream cannot be continued.
    async fn resume(&mut self, permit: Option<Permit>, cause: &str) -> Option<Answered> {
        if !self.may_resume() {
            tracing::info!(
                event = "stream_broken",
                request = self.exchange.id(),
                cause,
                events = self.events_sent
            );
            return None;
        }
        let mut permit = permit;
        let mut kind = AttemptKind::Retry;
        loop {
            self.exchange.await_resend_decision().await;
            let mut chosen = match permit.take() {
                Some(permit) => permit,
                None => self.acquire(kind).await?,
            };
            await_turn_briefly(&self.exchange, &mut chosen).await;
            if self.exchange.reauthorize().is_err()
                || self.exchange.remaining_quarantine().is_some()
            {
                return None;
            }
            let runner = chosen.runner().clone();
            journal::resumed(
                self.exchange.id(),
                &runner,
                self.last_event_id.as_deref(),
                cause,
            );
            let last_event_id = self.last_event_id.clone();
            let forward = self.exchange.added_header_values(&runner, last_event_id);
            let head_deadline = self.exchange.head_deadline(&chosen);
            let context = self.exchange.context.clone();
            self.exchange.arrive_at(&runner);
            let outgoing = &self.exchange.outgoing;
            let result = tokio::select! {
                biased;
                result = attempt(&context, chosen, outgoing, forward, head_deadline) => result,
                _ = self.exchange.wait_until_quarantined() => return None,
            };
            match result {
                Ok(answered)
                    if answered.status == StatusCode::OK && answered.facts.event_stream =>
                {
                    self.exchange.record_run(&runner.id, Verdict::Ran);
                    return Some(answered);
                }
                Ok(answered) => {
                    kind = self.record_unusable_head(&runner.id, answered)?;
                }
                Err(error) => kind = self.exchange.record_failure(&runner, &error)?,
            }
        }
    }

    /// Records an attempt to resume that got an answer other than a stream of events.
    /// Returns the kind of the next attempt; `None` if there must be none.
    fn record_unusable_head(
        &mut self,
        runner: &Arc<str>,
        answered: Answered,
    ) -> Option<AttemptKind> {
        tracing::info!(
            event = "rejected",
            request = self.exchange.id(),
            runner = &**runner,
            status = answered.status.as_u16()
        );
        if !answered.facts.not_run {
            answered.permit.finish(Outcome::Failed(Failure::Error));
            self.exchange.record_run(runner, Verdict::Ran);
            return self.may_resume().then_some(AttemptKind::Retry);
        }
        let outcome = rejection_outcome(&answered);
        answered.permit.finish(outcome);
        self.exchange
            .record_rejection(runner, outcome)
            .then_some(AttemptKind::Retry)
    }

    /// Acquires a permit for a runner, waiting if needed. Returns `None` if the client leaves,
    /// the request is quarantined, or the dispatcher refuses it.
    async fn acquire(&self, kind: AttemptKind) -> Option<Permit> {
        let query = self.exchange.query(kind, true);
        let acquired = self.exchange.context.dispatch.acquire(query);
        tokio::select! {
            biased;
            () = self.body_sender.closed() => None,
            _ = self.exchange.wait_until_quarantined() => None,
            answer = acquired => match answer? {
                Ok(permit) => Some(permit),
                Err(refusal) => {
                    self.exchange.record_refusal(refusal);
                    None
                }
            },
        }
    }
}
