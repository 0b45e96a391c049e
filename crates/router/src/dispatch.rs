//! One attempt of a request at one engine, and its stream.
//!
//! Chunks are taken in by number: what comes twice or from an abandoned attempt
//! is dropped, a gap breaks the attempt. A broken stream is resumed at the same
//! engine from the next number. An answer is whole only with its end mark.

use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_domain::{AdapterName, ModelName, Verdict};
use barleyspar_platform::Engine;
use barleyspar_platform::engine::{Chunk, ChunkStream, GenerateError, GenerateRequest};
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use crate::RouterConfig;
use crate::metrics::RouterCounters;
use crate::queue::Entry;
use crate::requests::{AnswerEvent, AnswerStream, ModelRequest};

/// Where and what to generate.
pub struct Attempt {
    pub engine: Arc<dyn Engine>,
    pub address: SocketAddr,
    pub model: ModelName,
    pub adapter: Option<AdapterName>,
    pub config: RouterConfig,
    pub counters: RouterCounters,
}

/// How an attempt ended.
pub enum Outcome {
    /// The caller has its answer, whole or marked as broken.
    Answered { whole: bool },
    /// No part of an answer came; the entry is given back.
    Failed(Box<Entry>, GenerateError),
    /// No part of an answer came by the deadline.
    Late(Box<Entry>),
    /// The caller went away.
    Abandoned,
}

/// Progress of one answer.
struct Progress {
    attempt: u32,
    next: u64,
}

impl Attempt {
    /// Runs the attempt to its end.
    pub async fn run(self, mut entry: Entry) -> Outcome {
        entry.attempts += 1;
        let mut progress = Progress {
            attempt: entry.attempts,
            next: 0,
        };
        let deadline = entry.request.deadline;
        let first = timeout_at(deadline, self.first_chunk(&entry.request, &mut progress));
        let closed = entry.reply.closed();
        let first = tokio::select! {
            biased;
            first = first => first,
            () = closed => {
                self.cancel(&entry.request).await;
                return Outcome::Abandoned;
            }
        };
        match first {
            Ok(Ok((chunk, stream))) => self.pass_on(entry, progress, chunk, stream).await,
            Ok(Err(error)) => Outcome::Failed(Box::new(entry), error),
            Err(_) => {
                self.cancel(&entry.request).await;
                Outcome::Late(Box::new(entry))
            }
        }
    }

    fn request(&self, wanted: &ModelRequest, progress: &Progress) -> GenerateRequest {
        let left = wanted.deadline.saturating_duration_since(Instant::now());
        GenerateRequest {
            request_id: wanted.request_id.clone(),
            attempt: progress.attempt,
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt: wanted.prompt.clone(),
            maximum_tokens: wanted.maximum_tokens,
            priority: wanted.priority,
            resume_from: progress.next,
            deadline_milliseconds: left.as_millis() as u64,
        }
    }

    async fn first_chunk(
        &self,
        wanted: &ModelRequest,
        progress: &mut Progress,
    ) -> Result<(Chunk, ChunkStream), GenerateError> {
        let request = self.request(wanted, progress);
        let mut stream = self.engine.generate(self.address, request).await?;
        let chunk = next_chunk(&mut stream, wanted, progress).await?;
        Ok((chunk, stream))
    }

    async fn pass_on(
        &self,
        mut entry: Entry,
        mut progress: Progress,
        first: Chunk,
        mut stream: ChunkStream,
    ) -> Outcome {
        let (events, receiver) = mpsc::channel(self.config.chunk_buffer);
        let (unused, _) = tokio::sync::oneshot::channel();
        let reply = std::mem::replace(&mut entry.reply, unused);
        if reply.send(Ok(AnswerStream { events: receiver })).is_err() {
            return self.abandon(&entry).await;
        }
        self.counters.count(|figures| figures.answered += 1);
        let mut chunk = first;
        loop {
            let finish = chunk.finish;
            if !send(&events, chunk).await {
                return self.abandon(&entry).await;
            }
            if finish.is_some() {
                return Outcome::Answered { whole: true };
            }
            let next = self.next_or_resume(&entry.request, &mut progress, &mut stream);
            let next = timeout(self.config.longest_gap, next).await;
            let silent = |_| GenerateError::Broken("the engine is silent".to_owned());
            chunk = match next.map_err(silent).and_then(|next| next) {
                Ok(chunk) => chunk,
                Err(error) => {
                    self.cancel(&entry.request).await;
                    let failed = AnswerEvent::Failed {
                        verdict: Verdict::Ran,
                        cause: error.to_string(),
                    };
                    let _ = events.send(failed).await;
                    return Outcome::Answered { whole: false };
                }
            };
        }
    }

    /// The next chunk. A broken stream is never read again: each try to resume
    /// it brings a new one.
    async fn next_or_resume(
        &self,
        wanted: &ModelRequest,
        progress: &mut Progress,
        stream: &mut ChunkStream,
    ) -> Result<Chunk, GenerateError> {
        let mut error = match next_chunk(stream, wanted, progress).await {
            Ok(chunk) => return Ok(chunk),
            Err(error) => error,
        };
        for resumed in 1..=self.config.resume_attempts {
            progress.attempt += 1;
            self.counters.count(|figures| figures.resumed += 1);
            tokio::time::sleep(self.config.resume_pause * resumed).await;
            let request = self.request(wanted, progress);
            error = match self.engine.generate(self.address, request).await {
                Ok(again) => {
                    *stream = again;
                    match next_chunk(stream, wanted, progress).await {
                        Ok(chunk) => return Ok(chunk),
                        Err(error) => error,
                    }
                }
                Err(error) => error,
            };
        }
        Err(error)
    }

    async fn abandon(&self, entry: &Entry) -> Outcome {
        self.cancel(&entry.request).await;
        Outcome::Abandoned
    }

    async fn cancel(&self, request: &ModelRequest) {
        self.engine.cancel(self.address, &request.request_id).await;
    }
}

/// The next chunk in order.
async fn next_chunk(
    stream: &mut ChunkStream,
    wanted: &ModelRequest,
    progress: &mut Progress,
) -> Result<Chunk, GenerateError> {
    loop {
        let next = stream.next().await;
        let chunk = next.ok_or_else(|| GenerateError::Broken("no end mark".to_owned()))??;
        let mine = chunk.request_id == wanted.request_id && chunk.attempt == progress.attempt;
        if !mine || chunk.sequence < progress.next {
            continue;
        }
        if chunk.sequence > progress.next {
            return Err(GenerateError::Broken(format!(
                "chunk {} is missing",
                progress.next
            )));
        }
        progress.next += 1;
        return Ok(chunk);
    }
}

async fn send(events: &mpsc::Sender<AnswerEvent>, chunk: Chunk) -> bool {
    if !chunk.text.is_empty() && events.send(AnswerEvent::Text(chunk.text)).await.is_err() {
        return false;
    }
    match chunk.finish {
        Some(reason) => events.send(AnswerEvent::Finish(reason)).await.is_ok(),
        None => true,
    }
}
