//! Calls over TCP: one connection per pair of nodes and direction, many calls
//! in flight on it, each with a number that its answer carries back.
//!
//! A connection task owns its socket. Frames are bounded; a malformed frame or
//! an unknown protocol version ends that connection only.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{PeerDispatch, PeerError, PeerTransport, SharedSecret, Traffic, decode, encode};

/// Version of the frame format.
const PROTOCOL_VERSION: u8 = 1;
/// Largest frame in bytes; a whole control state fits.
const MAXIMUM_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Bytes of a frame's length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Time to connect and to prove both ends.
const CONNECT_TIME_LIMIT: Duration = Duration::from_secs(2);
/// A connection without calls for this long is closed.
const IDLE_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Calls waiting to be written to one connection.
const CALL_QUEUE: usize = 256;
/// Incoming calls handled at once on one connection.
const HANDLED_AT_ONCE: usize = 256;
/// Incoming connections served at once.
const MAXIMUM_CONNECTIONS: usize = 2048;

#[derive(Debug, Serialize, Deserialize)]
enum Content {
    Call { service: String, body: Bytes },
    Answer { body: Bytes },
    Fault { cause: String },
}

#[derive(Debug, Serialize, Deserialize)]
struct Frame {
    version: u8,
    number: u64,
    content: Content,
}

type Reply = oneshot::Sender<Result<Bytes, PeerError>>;

/// A call that waits for its answer.
struct PendingCall {
    service: &'static str,
    reply: Reply,
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

struct OutgoingCall {
    service: &'static str,
    body: Bytes,
    reply: Reply,
}

fn framed(stream: TcpStream) -> Connection {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAXIMUM_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

fn encode_frame(number: u64, content: Content) -> Result<Bytes, PeerError> {
    encode(&Frame {
        version: PROTOCOL_VERSION,
        number,
        content,
    })
}

fn decode_frame(bytes: &[u8]) -> Result<Frame, PeerError> {
    let frame: Frame = decode(bytes)?;
    match frame.version {
        PROTOCOL_VERSION => Ok(frame),
        other => Err(PeerError::Malformed(format!("protocol version {other}"))),
    }
}

/// Calls other nodes over TCP.
#[derive(Clone)]
pub struct TcpTransport {
    secret: SharedSecret,
    traffic: Traffic,
    connections: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<OutgoingCall>>>>,
}

impl TcpTransport {
    /// A transport that proves itself with `secret` and counts into `traffic`.
    pub fn new(secret: SharedSecret, traffic: Traffic) -> Self {
        Self {
            secret,
            traffic,
            connections: Arc::default(),
        }
    }

    fn connection(&self, to: SocketAddr) -> mpsc::Sender<OutgoingCall> {
        let mut connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(open) = connections.get(&to).filter(|open| !open.is_closed()) {
            return open.clone();
        }
        let (sender, calls) = mpsc::channel(CALL_QUEUE);
        connections.insert(to, sender.clone());
        tokio::spawn(run_outgoing(
            to,
            self.secret.clone(),
            self.traffic.clone(),
            calls,
        ));
        sender
    }
}

#[async_trait]
impl PeerTransport for TcpTransport {
    async fn call(
        &self,
        to: SocketAddr,
        service: &'static str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let (reply, answer) = oneshot::channel();
        let call = OutgoingCall {
            service,
            body,
            reply,
        };
        self.traffic.count_call(service);
        let sent = self.connection(to).try_send(call);
        sent.map_err(|_| PeerError::Unreachable("too many calls are waiting".to_owned()))?;
        match timeout(time_limit, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Lost("connection ended".to_owned())),
            Err(_) => Err(PeerError::Lost(format!("no answer in {time_limit:?}"))),
        }
    }
}

async fn connect(to: SocketAddr, secret: &SharedSecret) -> io::Result<Connection> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    secret.greet_as_caller(&mut stream).await?;
    Ok(framed(stream))
}

async fn run_outgoing(
    to: SocketAddr,
    secret: SharedSecret,
    traffic: Traffic,
    mut calls: mpsc::Receiver<OutgoingCall>,
) {
    let connected = timeout(CONNECT_TIME_LIMIT, connect(to, &secret)).await;
    let cause = match connected {
        Ok(Ok(connection)) => {
            carry_calls(connection, &traffic, &mut calls).await;
            return;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "connecting takes too long".to_owned(),
    };
    calls.close();
    while let Some(call) = calls.recv().await {
        let _ = call.reply.send(Err(PeerError::Unreachable(cause.clone())));
    }
}

/// Writes calls and hands out answers until the connection breaks or is idle.
/// Calls without an answer are dropped then, which their callers see as lost.
async fn carry_calls(
    mut connection: Connection,
    traffic: &Traffic,
    calls: &mut mpsc::Receiver<OutgoingCall>,
) {
    let mut pending: BTreeMap<u64, PendingCall> = BTreeMap::new();
    let mut next_number = 0;
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { return };
                next_number += 1;
                let content = Content::Call { service: call.service.to_owned(), body: call.body };
                let frame = match encode_frame(next_number, content) {
                    Ok(frame) => frame,
                    Err(error) => { let _ = call.reply.send(Err(error)); continue }
                };
                traffic.count_sent(call.service, frame.len() + LENGTH_PREFIX_BYTES);
                let waiting = PendingCall { service: call.service, reply: call.reply };
                pending.insert(next_number, waiting);
                if connection.send(frame).await.is_err() { return }
            }
            incoming = connection.next() => {
                let Some(Ok(bytes)) = incoming else { return };
                let Ok(frame) = decode_frame(&bytes) else { return };
                let Some(call) = pending.remove(&frame.number) else { continue };
                traffic.count_received(call.service, bytes.len() + LENGTH_PREFIX_BYTES);
                let result = match frame.content {
                    Content::Answer { body } => Ok(body),
                    Content::Fault { cause } => Err(PeerError::Refused(cause)),
                    Content::Call { .. } => return,
                };
                let _ = call.reply.send(result);
            }
            () = tokio::time::sleep(IDLE_TIME_LIMIT) => {
                if pending.is_empty() { return }
            }
        }
        pending.retain(|_, call| !call.reply.is_closed());
    }
}

/// Accepts connections of other nodes and hands their calls to services.
pub struct PeerListener {
    listener: TcpListener,
    secret: SharedSecret,
    traffic: Traffic,
    dispatch: PeerDispatch,
}

impl PeerListener {
    /// Listens at `address`.
    pub async fn bind(
        address: SocketAddr,
        secret: SharedSecret,
        traffic: Traffic,
        dispatch: PeerDispatch,
    ) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            secret,
            traffic,
            dispatch,
        })
    }

    /// Serves until dropped.
    pub async fn run(self) {
        let slots = Arc::new(tokio::sync::Semaphore::new(MAXIMUM_CONNECTIONS));
        let mut connections = tokio::task::JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let (secret, traffic) = (self.secret.clone(), self.traffic.clone());
            let dispatch = self.dispatch.clone();
            connections.spawn(async move {
                let _slot = slot;
                let ended = serve_connection(stream, &secret, traffic, dispatch).await;
                if let Err(error) = ended {
                    tracing::debug!(%error, "peer connection ended");
                }
            });
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    secret: &SharedSecret,
    traffic: Traffic,
    dispatch: PeerDispatch,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let greeting = secret.greet_as_listener(&mut stream);
    timeout(CONNECT_TIME_LIMIT, greeting)
        .await
        .map_err(io::Error::other)??;
    let (mut writer, mut reader) = framed(stream).split();
    let (answers, mut outgoing) = mpsc::channel::<(&'static str, Bytes)>(HANDLED_AT_ONCE);
    let mut handlers = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            Some((service, frame)) = outgoing.recv() => {
                traffic.count_sent(service, frame.len() + LENGTH_PREFIX_BYTES);
                writer.send(frame).await?;
            }
            Some(_) = handlers.join_next(), if handlers.len() >= HANDLED_AT_ONCE => {}
            incoming = reader.next(), if handlers.len() < HANDLED_AT_ONCE => {
                let Some(bytes) = incoming.transpose()? else { return Ok(()) };
                let frame = decode_frame(&bytes).map_err(io::Error::other)?;
                let Content::Call { service, body } = frame.content else {
                    return Err(io::Error::other("answer where a call was expected"));
                };
                let name = dispatch.registered_name(&service);
                traffic.count_received(name, bytes.len() + LENGTH_PREFIX_BYTES);
                let (dispatch, answers) = (dispatch.clone(), answers.clone());
                handlers.spawn(async move {
                    let result = dispatch.handle(&service, body).await;
                    let content = match result {
                        Ok(body) => Content::Answer { body },
                        Err(error) => Content::Fault { cause: error.to_string() },
                    };
                    if let Ok(frame) = encode_frame(frame.number, content) {
                        let _ = answers.send((name, frame)).await;
                    }
                });
                while handlers.try_join_next().is_some() {}
            }
        }
    }
}
