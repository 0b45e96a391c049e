//! Passes the feed on to followers.

use std::io;
use std::time::Duration;

use barleyspar_catalog::Revision;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::feed::frame::{Content, Frame, Hello, read, write};
use crate::feed::state::{FeedState, Missing};
use crate::network::{ByteStream, Listener};

/// Followers at once; others connect elsewhere or ask the store.
const MOST_FOLLOWERS: usize = 64;
/// Time for a follower to say what it knows.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a frame to be taken by the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes followers until the process ends.
pub async fn serve(listener: Box<dyn Listener>, state: watch::Receiver<FeedState>) {
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_FOLLOWERS));
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let state = state.clone();
        crate::tasks::spawn(async move {
            // A follower may leave at any time.
            let _ = feed(stream, state).await;
            drop(place);
        });
    }
}

async fn feed(
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
            // Followers say nothing more; what comes is their end.
            _ = tokio::io::AsyncReadExt::read(&mut stream, &mut byte) => return Ok(()),
        }
    }
}

/// Milliseconds, rounded up: knowledge must not grow younger on its way.
fn whole_milliseconds(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// What a follower with `revision`, whose hello came at `hello_at`, is told; nothing
/// while nothing is known.
fn next_frame(state: &FeedState, revision: Revision, hello_at: Instant) -> Option<Frame> {
    let now = Instant::now();
    let age = state.age(now)?;
    let content = match state.missing(revision) {
        Missing::Everything(packed) => Content::Everything(packed),
        Missing::Batches(batches) => {
            Content::Events(batches.iter().map(|batch| batch.packed()).collect())
        }
    };
    Some(Frame {
        since_hello_ms: (now - hello_at).as_millis() as u64,
        age_ms: whole_milliseconds(age),
        depth: state.depth(),
        revision: state.revision().max(revision),
        content,
    })
}
