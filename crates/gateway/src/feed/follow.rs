//! Follows a parent's feed.

use std::io;
use std::time::Duration;

use barleyspar_catalog::Revision;
use tokio::time::{Instant, timeout};

use crate::feed::frame::{Frame, Hello, read, write};
use crate::feed::tree::Parent;
use crate::network::{ByteStream, Network};

/// Time for a connection to a parent to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A stream of frames from a parent.
pub struct Following {
    stream: Box<dyn ByteStream>,
    /// When this node said hello: the parent took it no earlier.
    hello_at: Instant,
}

/// A frame with the moment at which what it says was complete.
pub struct Arrived {
    /// The frame.
    pub frame: Frame,
    /// When the sender's copy was complete, by this node's clock.
    pub complete_at: Instant,
}

impl Following {
    /// Connects to `parent` and says that this node knows `revision`.
    pub async fn begin(
        network: &dyn Network,
        parent: &Parent,
        revision: Revision,
    ) -> io::Result<Self> {
        let connect = network.connect(parent.address);
        let mut stream = timeout(CONNECT_TIMEOUT, connect).await??;
        let hello_at = Instant::now();
        write(&mut stream, &Hello { revision }).await?;
        Ok(Self { stream, hello_at })
    }

    /// The next frame. Dropping the future loses the connection's place in the
    /// stream: the connection is of no more use then.
    pub async fn next(&mut self) -> io::Result<Arrived> {
        let frame: Frame = read(&mut self.stream).await?;
        let complete_at = complete_at(self.hello_at, &frame);
        Ok(Arrived { frame, complete_at })
    }
}

/// A moment at which what `frame` says was complete for certain, by the clock of
/// the node that said hello at `hello_at`.
///
/// The frame left its sender that much after the hello as it says, and the hello
/// came no earlier than it was sent. So neither a slow link nor a freeze of this
/// node, between the hello and its reading, makes knowledge look younger.
fn complete_at(hello_at: Instant, frame: &Frame) -> Instant {
    let sent = hello_at + Duration::from_millis(frame.since_hello_ms);
    let age = Duration::from_millis(u64::from(frame.age_ms));
    sent.checked_sub(age).unwrap_or(hello_at)
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
