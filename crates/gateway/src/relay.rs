//! Relays runners' answers that are not event streams to clients.

use barleyspar_callers::Progress;
use barleyspar_dispatch::{Failure, Outcome};
use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use crate::attempt::Answered;
use crate::body::{AnswerBody, cut_off};
use crate::exchange::Exchange;
use crate::journal;
use crate::trust;

/// Length in bytes up to which an answer is collected completely before it is sent on.
pub const MAX_COLLECTED_BYTES: usize = 256 * 1024;

/// Result of collecting a runner's answer.
pub enum Relayed {
    /// The complete answer, to be sent to the client.
    Answer(Response<AnswerBody>),
    /// The complete answer, with a status (5xx) by which the runner reports a failure of its
    /// own.
    Failed(Response<AnswerBody>),
    /// The answer exceeds [`MAX_COLLECTED_BYTES`], or this node has no more memory for it: the
    /// bytes already read, and the attempt from which the remaining ones are to be read.
    TooLong(Bytes, Box<Answered>),
    /// The connection broke.
    Broken,
    /// The request's deadline passed.
    DeadlinePassed,
}

/// Result of one read from the body of a runner's answer.
enum Chunk {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The connection broke.
    Broken,
    /// The request's deadline passed.
    DeadlinePassed,
}

/// Reads the next bytes of the body of a runner's answer.
async fn next_chunk(exchange: &mut Exchange, answered: &mut Answered) -> Chunk {
    match timeout_at(exchange.deadline, answered.body.frame()).await {
        Ok(Some(Ok(frame))) => Chunk::Data(frame.into_data().unwrap_or_default()),
        Ok(None) => Chunk::End,
        Ok(Some(Err(error))) => {
            let cause = answered.connection.cause_of(&error);
            journal::answer_broken(exchange.id(), &answered.permit.runner().id, &cause);
            exchange.report_broken_connection(answered.permit.runner(), Progress::Answering);
            Chunk::Broken
        }
        Err(_) => Chunk::DeadlinePassed,
    }
}

/// Reads the runner's answer completely and ends the attempt, unless the answer is too long.
/// Ends the request too if the complete answer reports no failure.
pub async fn collect(exchange: &mut Exchange, mut answered: Answered) -> Relayed {
    let mut collected = BytesMut::new();
    let mut memory = exchange.context.answer_memory.reserve_none();
    loop {
        match next_chunk(exchange, &mut answered).await {
            Chunk::Data(data) => collected.extend_from_slice(&data),
            Chunk::End => break,
            Chunk::Broken => {
                answered.permit.finish(Outcome::Failed(Failure::Broken));
                return Relayed::Broken;
            }
            // The permit is dropped, since this says nothing about the runner.
            Chunk::DeadlinePassed => return Relayed::DeadlinePassed,
        }
        if collected.len() > MAX_COLLECTED_BYTES || !memory.grow_to(collected.len()) {
            let collected = memory.attach_to(collected.freeze());
            return Relayed::TooLong(collected, Box::new(answered));
        }
    }
    let failed = answered.status.is_server_error();
    let body = AnswerBody::whole(memory.attach_to(collected.freeze()));
    let response = build_response(exchange, &answered, body);
    let outcome = if failed {
        Outcome::Failed(Failure::Error)
    } else {
        Outcome::Success {
            first_byte: answered.waited,
        }
    };
    if failed {
        let runner = &answered.permit.runner().id;
        journal::runner_failed(exchange.id(), runner, answered.status.as_u16());
    }
    finish_attempt(exchange, answered, outcome);
    if failed {
        return Relayed::Failed(response);
    }
    exchange.end(response.status().as_u16(), crate::journal::ANSWERED);
    Relayed::Answer(response)
}

/// Builds the response for the client: the runner's status, those of its headers that
/// callers may get, and `body`.
pub fn build_response(
    exchange: &Exchange,
    answered: &Answered,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = answered.status;
    let dialect = &*exchange.context.dialect;
    *response.headers_mut() =
        trust::headers_to_caller(|name| dialect.header_owner(name), &answered.headers);
    response
}

/// Ends an attempt whose answer was read completely: reports `outcome` and returns the
/// connection to the pool.
pub fn finish_attempt(exchange: &Exchange, answered: Answered, outcome: Outcome) {
    exchange.outgoing.put_back(
        &exchange.context,
        answered.permit.runner(),
        answered.connection,
        answered.facts.keep_alive_seconds,
    );
    answered.permit.finish(outcome);
}

/// Starts relaying a long answer chunk by chunk, after the bytes in `collected`, and
/// returns the response that carries it to the client.
pub fn relay_chunks(
    mut exchange: Exchange,
    collected: Bytes,
    mut answered: Box<Answered>,
) -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::chunked();
    let response = build_response(&exchange, &answered, body);
    let status = response.status().as_u16();
    crate::tasks::spawn(async move {
        let mut next = Some(collected);
        while let Some(chunk) = next {
            match timeout_at(exchange.deadline, sender.send(Ok(chunk))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => {
                    exchange.end(status, "deadline");
                    return cut_off(sender);
                }
            }
            next = match next_chunk(&mut exchange, &mut answered).await {
                Chunk::Data(data) => Some(data),
                Chunk::End => None,
                Chunk::Broken => {
                    exchange.end(status, "answer_broken");
                    return cut_off(sender);
                }
                Chunk::DeadlinePassed => {
                    exchange.end(status, "deadline");
                    return cut_off(sender);
                }
            };
        }
        let first_byte = answered.waited;
        finish_attempt(&exchange, *answered, Outcome::Success { first_byte });
        exchange.end(status, crate::journal::ANSWERED);
    });
    response
}
