//! Passes runners' answers on to clients.

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

/// Bytes of an answer that are collected before it is passed on.
pub const WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// What became of an answer that is not a stream.
pub enum Relayed {
    /// It goes to the client.
    Answer(Response<AnswerBody>),
    /// The runner says that it failed; this is what it said.
    Failed(Response<AnswerBody>),
    /// It is too long to be collected: what was read, and the rest.
    Pieces(Bytes, Box<Answered>),
    /// It broke off.
    Broken,
}

/// What comes next of an answer's body.
enum Piece {
    /// Some of it.
    Data(Bytes),
    /// Its end.
    End,
    /// The connection broke, or the request's time is up.
    Broken,
}

async fn next_piece(exchange: &mut Exchange, answered: &mut Answered) -> Piece {
    match timeout_at(exchange.deadline, answered.body.frame()).await {
        Ok(Some(Ok(frame))) => Piece::Data(frame.into_data().unwrap_or_default()),
        Ok(None) => Piece::End,
        Ok(Some(Err(_))) => {
            exchange.connection_broke(answered.permit.runner(), Progress::Answering);
            Piece::Broken
        }
        Err(_) => Piece::Broken,
    }
}

/// Collects an answer and passes it on whole.
pub async fn whole(exchange: &mut Exchange, mut answered: Answered) -> Relayed {
    let mut collected = BytesMut::new();
    loop {
        match next_piece(exchange, &mut answered).await {
            Piece::Data(data) => collected.extend_from_slice(&data),
            Piece::End => break,
            Piece::Broken => {
                tracing::info!(
                    event = "answer_broken",
                    request = exchange.id(),
                    runner = &*answered.permit.runner().id
                );
                answered.permit.finish(Outcome::Failed(Failure::Broken));
                return Relayed::Broken;
            }
        }
        if collected.len() > WHOLE_ANSWER_BYTES {
            return Relayed::Pieces(collected.freeze(), Box::new(answered));
        }
    }
    let failed = answered.status.is_server_error();
    let response = head(exchange, &answered, AnswerBody::whole(collected.freeze()));
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
    finish(exchange, answered, outcome);
    if failed {
        return Relayed::Failed(response);
    }
    exchange.end(response.status().as_u16(), crate::journal::ANSWERED);
    Relayed::Answer(response)
}

/// The head of the runner's answer, with a body.
pub fn head(exchange: &Exchange, answered: &Answered, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = answered.status;
    let dialect = &*exchange.context.dialect;
    *response.headers_mut() =
        trust::to_caller(|name| dialect.header_owner(name), &answered.headers);
    response
}

/// Ends an attempt after a whole answer and keeps its connection.
pub fn finish(exchange: &Exchange, answered: Answered, outcome: Outcome) {
    let runner = answered.permit.runner().id.clone();
    exchange.context.pool.put_back(
        &runner,
        answered.connection,
        answered.facts.keep_alive_seconds,
    );
    answered.permit.finish(outcome);
}

/// Passes a long answer on as it comes.
pub fn pieces(
    mut exchange: Exchange,
    collected: Bytes,
    mut answered: Box<Answered>,
) -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::pieces();
    let response = head(&exchange, &answered, body);
    let status = response.status().as_u16();
    crate::tasks::spawn(async move {
        let mut next = Some(collected);
        while let Some(piece) = next {
            match timeout_at(exchange.deadline, sender.send(Ok(piece))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => {
                    exchange.end(status, "deadline");
                    return cut_off(sender);
                }
            }
            next = match next_piece(&mut exchange, &mut answered).await {
                Piece::Data(data) => Some(data),
                Piece::End => None,
                Piece::Broken => {
                    exchange.end(status, "answer_broken");
                    return cut_off(sender);
                }
            };
        }
        let first_byte = answered.waited;
        finish(&exchange, *answered, Outcome::Success { first_byte });
        exchange.end(status, crate::journal::ANSWERED);
    });
    response
}
