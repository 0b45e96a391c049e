//! Proxies before the links of a soak, which harm the connections that go through them.

use std::net::SocketAddr;
use std::time::Duration;

use barleyspar_gateway::ByteStream;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::SoakError;

/// Bytes that a proxy reads at a time.
const BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a trickling link passes on at a time, and the time between two such parts.
const TRICKLED_BYTES: usize = 64;
/// See [`TRICKLED_BYTES`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(5);
/// Timeout for connecting to the other side of the link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// How a link is harmed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Harm {
    /// Bytes pass at once.
    None,
    /// Bytes pass after this time.
    Delay(Duration),
    /// Bytes pass a few at a time.
    Trickle,
    /// Nothing passes, and nobody is told.
    Silence,
    /// Nothing passes towards the one who opened the connection.
    SilentAnswers,
    /// Connections are reset, and new ones as well.
    Reset,
    /// A connection is reset when an answer comes: what was asked has been done, and the one who
    /// opened the connection cannot know.
    ResetAnswers,
    /// New connections are reset, while open ones live on.
    RefuseNew,
}

/// The state of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkState {
    /// How it is harmed.
    pub harm: Harm,
    /// Part of the connections that are harmed, from 0 to 1.
    pub share: f64,
}

impl LinkState {
    /// A link that works.
    pub const SOUND: Self = Self {
        harm: Harm::None,
        share: 0.0,
    };

    fn harm_of(&self, draw: f64) -> Harm {
        if draw < self.share {
            self.harm
        } else {
            Harm::None
        }
    }
}

/// A proxy from one address to another. It ends with the runtime.
#[derive(Debug)]
pub struct Proxy {
    state: watch::Sender<LinkState>,
}

impl Proxy {
    /// Opens a proxy that accepts connections on `from` and passes them on to `to`.
    pub async fn open(from: SocketAddr, to: SocketAddr) -> Result<Self, SoakError> {
        let listener = TcpListener::bind(from).await;
        let listener = listener.map_err(SoakError::io(format!("proxy at {from}")))?;
        let (state, states) = watch::channel(LinkState::SOUND);
        tokio::spawn(accept(listener, to, states));
        Ok(Self { state })
    }

    /// Sets the state of the link from now on, for open connections too.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, states: watch::Receiver<LinkState>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            sleep(TRICKLE_PAUSE).await;
            continue;
        };
        tokio::spawn(carry(near, to, states.clone()));
    }
}

/// Carries one connection until one side ends or the link resets it.
async fn carry(mut near: TcpStream, to: SocketAddr, mut states: watch::Receiver<LinkState>) {
    let draw = rand::rng().random();
    let harm = states.borrow().harm_of(draw);
    if matches!(harm, Harm::Reset | Harm::RefuseNew) {
        return near.discard_on_drop();
    }
    while matches!(states.borrow_and_update().harm_of(draw), Harm::Silence) {
        if states.changed().await.is_err() {
            return;
        }
    }
    let Ok(Ok(mut far)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        return near.discard_on_drop();
    };
    // A connection without this option only delays small messages.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let reset = until_reset(states.clone(), draw);
    let is_clean = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            () = reset => false,
            ended = copy(near_read, far_write, states.clone(), draw, false) => ended,
            ended = copy(far_read, near_write, states, draw, true) => ended,
        }
    };
    if !is_clean {
        near.discard_on_drop();
        far.discard_on_drop();
    }
}

/// Waits until the link resets the connection whose draw is `draw`.
async fn until_reset(mut states: watch::Receiver<LinkState>, draw: f64) {
    let is_reset = |state: &LinkState| state.harm_of(draw) == Harm::Reset;
    if states.wait_for(is_reset).await.is_err() {
        // The soak has ended, and the link does not change any more.
        std::future::pending::<()>().await;
    }
}

/// Copies one direction of a connection as the link's state says. `is_answer`: whether the bytes
/// go to the one who opened the connection. Returns whether it ended in good order.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut states: watch::Receiver<LinkState>,
    draw: f64,
    is_answer: bool,
) -> bool {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return false;
        };
        let holds_back = |state: &LinkState| match state.harm_of(draw) {
            Harm::Silence => true,
            Harm::SilentAnswers => is_answer,
            _ => false,
        };
        if states.wait_for(|state| !holds_back(state)).await.is_err() {
            return false;
        }
        let harm = states.borrow().harm_of(draw);
        if harm == Harm::ResetAnswers && is_answer {
            return false;
        }
        if let Harm::Delay(delay) = harm {
            sleep(delay).await;
        }
        if length == 0 {
            return true;
        }
        let part = if harm == Harm::Trickle {
            TRICKLED_BYTES
        } else {
            BUFFER_BYTES
        };
        for bytes in buffer[..length].chunks(part) {
            if to.write_all(bytes).await.is_err() {
                return false;
            }
            if harm == Harm::Trickle {
                sleep(TRICKLE_PAUSE).await;
            }
        }
    }
}
