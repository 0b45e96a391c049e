//! The serving side of the feed: sends frames to followers.

use std::io;
use std::time::Duration;

use barleyspar_catalog::Revision;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::feed::frame::{Content, Frame, Hello};
use crate::feed::state::{FeedState, Missing};
use crate::framing::{read, write};
use crate::network::{ByteStream, Listener};

/// Maximum number of followers; the connections of others are closed, so that they
/// follow another node or call the store.
const MAX_FOLLOWERS: usize = 64;
/// Time limit for a follower to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for writing one frame to a follower.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts followers and sends them the feed from `state` until the process ends.
pub async fn serve(listener: Box<dyn Listener>, state: watch::Receiver<FeedState>) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_FOLLOWERS));
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let state = state.clone();
        crate::tasks::spawn(async move {
            // A follower may disconnect at any time.
            let _ = serve_follower(stream, state).await;
            drop(slot);
        });
    }
}

async fn serve_follower(
    mut stream: Box<dyn ByteStream>,
    mut state: watch::Receiver<FeedState>,
) -> io::Result<()> {
    let hello: Hello = timeout(HELLO_TIMEOUT, read(&mut stream)).await??;
    let hello_at = Instant::now();
    let mut revision = hello.revision;
    loop {
        let frame = next_frame(&state.borrow_and_update(), revision, hello_at);
        if let Some(frame) = frame {
            revision = frame.revision;
            timeout(WRITE_TIMEOUT, write(&mut stream, &frame)).await??;
        }
        let mut byte = [0; 1];
        tokio::select! {
            changed = state.changed() => if changed.is_err() {
                return Ok(());
            },
            // Followers send nothing after the hello, so this read completes only when
            // the connection ends.
            _ = tokio::io::AsyncReadExt::read(&mut stream, &mut byte) => return Ok(()),
        }
    }
}

/// Converts the age of a copy to milliseconds, rounded up so that no follower takes the
/// copy for younger than it is.
fn milliseconds_rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// Returns the next frame for a follower that has `revision` and whose hello arrived at
/// `hello_at`; `None` while this node's copy is empty.
fn next_frame(state: &FeedState, revision: Revision, hello_at: Instant) -> Option<Frame> {
    let now = Instant::now();
    let age = state.age(now)?;
    let content = match state.missing_since(revision) {
        Missing::Everything(packed) => Content::Everything(packed),
        Missing::Batches(batches) => {
            Content::Events(batches.iter().map(|batch| batch.packed()).collect())
        }
    };
    Some(Frame {
        since_hello_ms: (now - hello_at).as_millis() as u64,
        age_ms: milliseconds_rounded_up(age),
        depth: state.depth(),
        revision: state.revision().max(revision),
        content,
    })
}
