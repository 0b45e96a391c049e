//! Follows a parent's feed.

use std::io;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::feed::frame::{Frame, Hello, read, write};
use crate::feed::tree::Parent;
use crate::network::{ByteStream, Network};

/// Time for a connection to a parent to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A stream of frames from a parent.
pub struct Following {
    stream: Box<dyn ByteStream>,
    clock: Option<Offset>,
}

/// The parent's clock against ours, at the quickest frame so far.
#[derive(Debug, Clone, Copy)]
struct Offset {
    began: Instant,
    sent_ms: u64,
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
    pub async fn begin(network: &dyn Network, parent: &Parent, revision: u64) -> io::Result<Self> {
        let connect = network.connect(parent.address);
        let mut stream = timeout(CONNECT_TIMEOUT, connect).await??;
        write(&mut stream, &Hello { revision }).await?;
        Ok(Self {
            stream,
            clock: None,
        })
    }

    /// The next frame. Dropping the future loses the connection's place in the
    /// stream: the connection is of no more use then.
    pub async fn next(&mut self) -> io::Result<Arrived> {
        let frame: Frame = read(&mut self.stream).await?;
        let now = Instant::now();
        let age = Duration::from_millis(u64::from(frame.age_ms)) + self.delay(&frame, now);
        Ok(Arrived {
            complete_at: now.checked_sub(age).unwrap_or(now),
            frame,
        })
    }

    /// How much longer than the quickest frame this one was on its way.
    fn delay(&mut self, frame: &Frame, now: Instant) -> Duration {
        let quickest = *self.clock.get_or_insert(Offset {
            began: now,
            sent_ms: frame.sent_ms,
        });
        let ours = now.saturating_duration_since(quickest.began);
        let theirs = Duration::from_millis(frame.sent_ms.saturating_sub(quickest.sent_ms));
        let delay = ours.saturating_sub(theirs);
        if delay.is_zero() {
            self.clock = Some(Offset {
                began: now,
                sent_ms: frame.sent_ms,
            });
        }
        delay
    }
}
