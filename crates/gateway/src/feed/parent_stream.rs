//! The follower's end of a feed connection to a parent.

use std::io;
use std::time::Duration;

use barleyspar_catalog::Revision;
use tokio::time::{Instant, timeout};

use crate::feed::frame::{Frame, Hello};
use crate::feed::tree::Parent;
use crate::framing::{read, write};
use crate::network::{ByteStream, Network};

/// Time limit for connecting to a parent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A stream of feed frames from a parent.
pub struct ParentStream {
    stream: Box<dyn ByteStream>,
    /// When this node sent its hello; the parent cannot have received it earlier.
    hello_at: Instant,
}

/// A frame from the parent, with the time as of which its content was complete.
pub struct ReceivedFrame {
    /// The frame as the parent sent it.
    pub frame: Frame,
    /// When the sender's copy was complete, by this node's clock; never later than the
    /// true time.
    pub complete_at: Instant,
}

impl ParentStream {
    /// Connects to `parent` and sends the `revision` that this node's copy has.
    pub async fn connect(
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

    /// Returns the next frame. This is not cancel safe: if the future is dropped, a
    /// partly read frame is lost and the connection must be closed.
    pub async fn next_frame(&mut self) -> io::Result<ReceivedFrame> {
        let frame: Frame = read(&mut self.stream).await?;
        let complete_at = complete_at(self.hello_at, &frame);
        Ok(ReceivedFrame { frame, complete_at })
    }
}

/// Returns a time as of which the content of `frame` was certainly complete, by the
/// clock of the node that sent its hello at `hello_at`.
///
/// The parent sent the frame `since_hello_ms` after it received the hello, and it
/// received the hello no earlier than this node sent it. So neither a slow link nor a
/// freeze of this node between the hello and the read makes the copy look younger than
/// it is.
fn complete_at(hello_at: Instant, frame: &Frame) -> Instant {
    let sent = hello_at + Duration::from_millis(frame.since_hello_ms);
    let age = Duration::from_millis(u64::from(frame.age_ms));
    sent.checked_sub(age).unwrap_or(hello_at)
}

#[cfg(test)]
#[path = "parent_stream_tests.rs"]
mod tests;
