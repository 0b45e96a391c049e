//! Passes a stream of events on, and continues it at another runner where the
//! route allows that.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Progress;
use barleyspar_dispatch::{AttemptKind, Failure, Outcome};
use barleyspar_domain::Verdict;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::attempt::{Answered, attempt, rejection};
use crate::body::{AnswerBody, Pieces, cut_off};
use crate::dispatch::Permit;
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::Exchange;
use crate::journal;
use crate::relay;

/// Shortest pause between events that counts as a stall.
const SHORTEST_GAP_STALL: Duration = Duration::from_millis(700);
/// Time between two looks for another runner while a stream stalls.
const STALL_STEP: Duration = Duration::from_millis(300);

/// How a run of a stream ended.
enum RunEnd {
    /// With its last event.
    Complete,
    /// The client is gone.
    ClientLeft,
    /// Its time was up.
    Deadline,
    /// It broke off.
    Broken(String),
    /// It stalls, and another runner was found.
    Stalled(Permit),
}

/// Passes a stream of events on.
pub fn events(exchange: Exchange, answered: Answered) -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::pieces();
    let response = relay::head(&exchange, &answered, body);
    debug_assert_eq!(response.status(), StatusCode::OK);
    crate::tasks::spawn(StreamRelay::new(exchange, sender).run(answered));
    response
}

/// A stream on its way to a client.
pub struct StreamRelay {
    exchange: Exchange,
    pieces: Pieces,
    last_id: Option<String>,
    events: u64,
    events_before_run: u64,
}

impl StreamRelay {
    /// Passes events to `pieces`.
    pub fn new(exchange: Exchange, pieces: Pieces) -> Self {
        Self {
            exchange,
            pieces,
            last_id: None,
            events: 0,
            events_before_run: 0,
        }
    }

    /// Relays until the stream ends one way or the other.
    pub async fn run(mut self, first: Answered) {
        let mut answered = first;
        loop {
            let end = self.relay(&mut answered).await;
            let next = match end {
                RunEnd::Complete => {
                    let outcome = self
                        .exchange
                        .usual_gap()
                        .map_or(Outcome::Abandoned, |usual_gap| Outcome::Streamed {
                            usual_gap,
                        });
                    relay::finish(&self.exchange, answered, outcome);
                    return self
                        .exchange
                        .end(StatusCode::OK.as_u16(), crate::journal::ANSWERED);
                }
                RunEnd::ClientLeft => return self.exchange.end(0, "client_left"),
                RunEnd::Deadline => return self.cut("deadline"),
                RunEnd::Broken(cause) => {
                    let progress = self.progress();
                    let runner = answered.permit.runner();
                    self.exchange.connection_broke(runner, progress);
                    answered.permit.finish(Outcome::Failed(Failure::Broken));
                    drop(answered.connection);
                    self.resume(None, &cause).await
                }
                RunEnd::Stalled(permit) => {
                    answered.permit.finish(Outcome::Failed(Failure::Silent));
                    drop(answered.connection);
                    self.resume(Some(permit), "stalled").await
                }
            };
            match next {
                Some(next) => answered = next,
                None => return self.cut("stream_broken"),
            }
        }
    }

    /// Ends the stream unfinished; nothing waits for its reader.
    fn cut(mut self, reason: &str) {
        self.exchange.end(StatusCode::OK.as_u16(), reason);
        cut_off(self.pieces);
    }

    /// How far the present run has come.
    fn progress(&self) -> Progress {
        if self.events == self.events_before_run {
            Progress::Started
        } else {
            Progress::Answering
        }
    }

    /// Relays one run.
    async fn relay(&mut self, answered: &mut Answered) -> RunEnd {
        self.events_before_run = self.events;
        let mut splitter = EventSplitter::default();
        let mut heard = Instant::now();
        loop {
            let stalled_at = heard + self.stall();
            let client = self.pieces.clone();
            tokio::select! {
                biased;
                () = client.closed() => return RunEnd::ClientLeft,
                frame = answered.body.frame() => match frame {
                    None => return self.finish_run(&mut splitter).await,
                    Some(Err(error)) => return RunEnd::Broken(error.to_string()),
                    Some(Ok(frame)) => {
                        heard = Instant::now();
                        let data = frame.into_data().unwrap_or_default();
                        if splitter.push(&data).is_err() {
                            return RunEnd::Broken("event too long".to_owned());
                        }
                        if let Err(end) = self.pass_events(&mut splitter, answered).await {
                            return end;
                        }
                    }
                },
                () = sleep_until(self.exchange.deadline) => return RunEnd::Deadline,
                () = sleep_until(stalled_at), if self.may_resume() => {
                    if let Some(permit) = self.other_runner().await {
                        return RunEnd::Stalled(permit);
                    }
                    heard = Instant::now() + STALL_STEP - self.stall().min(STALL_STEP);
                }
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.exchange.route.resumable && self.exchange.may_run_again()
    }

    fn stall(&self) -> Duration {
        if self.events == 0 {
            return self.exchange.stall();
        }
        let gap = self.exchange.route.target_gap.unwrap_or_default();
        (gap * 2).max(SHORTEST_GAP_STALL)
    }

    /// Another runner, if there is one at once.
    async fn other_runner(&self) -> Option<Permit> {
        let query = self.exchange.query(AttemptKind::Retry, false);
        self.exchange.context.dispatch.acquire(query).await?.ok()
    }

    async fn pass_events(
        &mut self,
        splitter: &mut EventSplitter,
        answered: &Answered,
    ) -> Result<(), RunEnd> {
        while let Some(event) = splitter.next_event() {
            if self.is_repeated(&event) {
                continue;
            }
            if self.events == 0 {
                let first_byte = answered.waited;
                answered.permit.observe(Outcome::PromptRead { first_byte });
            }
            self.events += 1;
            self.exchange.event_passes();
            self.pass(event).await?;
        }
        Ok(())
    }

    async fn pass(&mut self, event: StreamEvent) -> Result<(), RunEnd> {
        if event.id.is_some() {
            self.last_id = event.id;
        }
        let sending = self.pieces.send(Ok(event.bytes));
        match timeout_at(self.exchange.deadline, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RunEnd::ClientLeft),
            Err(_) => Err(RunEnd::Deadline),
        }
    }

    /// Whether the client has the event already.
    fn is_repeated(&self, event: &StreamEvent) -> bool {
        let number = |id: &Option<String>| id.as_ref().and_then(|id| id.parse::<u64>().ok());
        match (number(&event.id), number(&self.last_id)) {
            (Some(id), Some(last)) => id <= last,
            _ => false,
        }
    }

    /// The runner's body ended well: so does the stream, unless in mid-event.
    async fn finish_run(&mut self, splitter: &mut EventSplitter) -> RunEnd {
        if splitter.rest().is_empty() {
            RunEnd::Complete
        } else {
            RunEnd::Broken("the stream ended within an event".to_owned())
        }
    }

    /// Continues the stream at another runner: at `permit`'s, or one to be found.
    async fn resume(&mut self, permit: Option<Permit>, cause: &str) -> Option<Answered> {
        if !self.may_resume() {
            tracing::info!(
                event = "stream_broken",
                request = self.exchange.id(),
                cause,
                events = self.events
            );
            return None;
        }
        let mut permit = permit;
        let mut kind = AttemptKind::Retry;
        loop {
            self.exchange.settle().await;
            let chosen = match permit.take() {
                Some(permit) => permit,
                None => self.next_permit(kind).await?,
            };
            if self.exchange.authorize_again().is_err() || self.exchange.quarantined().is_some() {
                return None;
            }
            let runner = chosen.runner().clone();
            journal::resumed(
                self.exchange.id(),
                &runner.id,
                self.last_id.as_deref(),
                cause,
            );
            let last_id = self.last_id.clone();
            let forward = self.exchange.forward(&runner, last_id);
            let patience = self.exchange.head_patience(chosen.candidates() > 1);
            let context = self.exchange.context.clone();
            let tried = attempt(&context, chosen, &self.exchange.outgoing, forward, patience).await;
            match tried {
                Ok(answered)
                    if answered.status == StatusCode::OK && answered.facts.event_stream =>
                {
                    self.exchange.ran_at(&runner.id, Verdict::Ran);
                    return Some(answered);
                }
                Ok(answered) => {
                    kind = self.after_bad_head(&runner.id, answered)?;
                }
                Err(error) => kind = self.exchange.after_failure(&runner, &error)?,
            }
        }
    }

    fn after_bad_head(&mut self, runner: &Arc<str>, answered: Answered) -> Option<AttemptKind> {
        tracing::info!(
            event = "rejected",
            request = self.exchange.id(),
            runner = &**runner,
            status = answered.status.as_u16()
        );
        if !answered.facts.not_run {
            answered.permit.finish(Outcome::Failed(Failure::Error));
            self.exchange.ran_at(runner, Verdict::Ran);
            return self.may_resume().then_some(AttemptKind::Retry);
        }
        let outcome = rejection(&answered);
        answered.permit.finish(outcome);
        self.exchange
            .after_rejection(runner, outcome)
            .then_some(AttemptKind::Retry)
    }

    async fn next_permit(&self, kind: AttemptKind) -> Option<Permit> {
        let query = self.exchange.query(kind, true);
        let acquired = self.exchange.context.dispatch.acquire(query);
        tokio::select! {
            biased;
            () = self.pieces.closed() => None,
            _ = self.exchange.until_quarantined() => None,
            answer = acquired => match answer? {
                Ok(permit) => Some(permit),
                Err(refusal) => {
                    journal::refused(self.exchange.id(), refusal, self.exchange.verdict);
                    None
                }
            },
        }
    }
}
