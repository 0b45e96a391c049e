//! Appending to the log.
//!
//! Invariant: a change is proposed at position *n + 1* only after the state at
//! *n* is known, and at a later position only after another entry was seen at
//! *n + 1*. While an answer is lost, the same entry with the same change id is
//! proposed at the same position again; creating a key that must be absent is
//! idempotent for it. So a change takes effect at most once, and a writer never
//! writes blindly over what it did not read.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_kernel::{Inbox, Stage};
use barleyspar_peer::{decode, encode};
use barleyspar_platform::key_value::{KeyValueError, Swap, SwapOutcome};
use rand::{Rng, RngCore};
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::handle::{Shared, ingest};
use crate::keys::entry_key;
use crate::snapshot::cut_below;
use crate::{AppendError, Change, ChangeId, Conflict, ControlState, Entry};

/// Makes the changes to append out of the newest state; called again whenever
/// another entry came first. No changes means that nothing is to be done.
pub type Proposal =
    Box<dyn Fn(&ControlState) -> Result<Vec<Change>, Conflict> + Send + Sync + 'static>;

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Position at which the changes hold; the position read if there were none.
    pub position: u64,
    /// Id of the change.
    pub change: ChangeId,
}

/// One append on its way.
pub struct AppendRequest {
    pub author: String,
    pub proposal: Proposal,
    pub reply: oneshot::Sender<Result<Appended, AppendError>>,
}

/// Runs the task that appends, one request after the other.
pub async fn run_appender(
    shared: Arc<Shared>,
    inbox: Inbox<AppendRequest>,
    mut random: ChaCha8Rng,
) {
    // A restarted node must not repeat the change ids of its former life.
    let start = (shared.wall_clock)();
    let stop = shared.kernel.stop_signal(Stage::Control);
    loop {
        let request = tokio::select! {
            biased;
            () = stop.raised() => return,
            request = inbox.receive() => request,
        };
        let Some(request) = request else { return };
        let change = ChangeId(random.next_u64(), random.next_u64() ^ start);
        let attempt = Attempt {
            shared: &shared,
            change,
            author: &request.author,
            deadline: Instant::now() + shared.config.append_time_limit,
        };
        let result = attempt.run(&request.proposal, &mut random).await;
        let _ = request.reply.send(result);
    }
}

struct Attempt<'a> {
    shared: &'a Shared,
    change: ChangeId,
    author: &'a str,
    deadline: Instant,
}

/// What became of the proposal at one position.
enum Slot {
    /// It is there.
    Taken,
    /// Another entry is there; the copy has taken it in.
    Lost,
}

impl Attempt<'_> {
    async fn run(
        &self,
        proposal: &Proposal,
        random: &mut ChaCha8Rng,
    ) -> Result<Appended, AppendError> {
        loop {
            let state = self.shared.state();
            let changes = proposal(&state)?;
            if changes.is_empty() {
                return Ok(self.appended(state.position()));
            }
            let entry = Entry {
                position: state.position() + 1,
                change: self.change,
                author: self.author.to_owned(),
                written_at: (self.shared.wall_clock)(),
                changes,
            };
            match self.settle(&entry, random).await? {
                Slot::Taken => return Ok(self.appended(entry.position)),
                Slot::Lost => {}
            }
        }
    }

    fn appended(&self, position: u64) -> Appended {
        Appended {
            position,
            change: self.change,
        }
    }

    /// Proposes `entry` at its position until it is known what stands there.
    async fn settle(&self, entry: &Entry, random: &mut ChaCha8Rng) -> Result<Slot, AppendError> {
        let not_encoded = |error: barleyspar_peer::PeerError| {
            AppendError::NotAppended(format!("entry can not be encoded: {error}"))
        };
        let swap = Swap {
            key: entry_key(entry.position),
            expected: None,
            value: encode(entry).map_err(not_encoded)?,
            time_to_live: None,
        };
        let mut may_have_taken_effect = false;
        let mut pause = self.shared.config.shortest_pause;
        loop {
            let error = match self.shared.key_value.swap(swap.clone()).await {
                Ok(SwapOutcome::Applied(_)) => {
                    self.check_not_cut(entry.position).await?;
                    self.take_in(entry.clone()).await;
                    return Ok(Slot::Taken);
                }
                Ok(SwapOutcome::Conflict(Some(current))) => {
                    return self.compare(&current.value).await;
                }
                Ok(SwapOutcome::Conflict(None)) => {
                    KeyValueError::Unknown("conflict with an absent key".to_owned())
                }
                Err(error) => error,
            };
            may_have_taken_effect |= matches!(error, KeyValueError::Unknown(_));
            let wait = match &error {
                KeyValueError::RateLimited(wait) => *wait,
                _ => pause,
            };
            let wait = jittered(wait, random);
            if Instant::now() + wait >= self.deadline {
                return Err(self.give_up(may_have_taken_effect, &error));
            }
            tokio::time::sleep(wait).await;
            pause = (pause * 2).min(self.shared.config.longest_pause);
        }
    }

    /// A writer that was paused for long may create an entry at a position that
    /// was cut from the log meanwhile. The head of the snapshots, which moves
    /// before anything is cut, tells; such an entry is never read by anybody.
    async fn check_not_cut(&self, position: u64) -> Result<(), AppendError> {
        let unknown = |cause: String| AppendError::Unknown {
            change: self.change.to_string(),
            cause,
        };
        let mut pause = self.shared.config.shortest_pause;
        loop {
            let error = match cut_below(self.shared).await {
                Ok(cut) if position < cut => {
                    return Err(unknown("the log was cut beyond this position".to_owned()));
                }
                Ok(_) => return Ok(()),
                Err(error) => error,
            };
            if Instant::now() + pause >= self.deadline {
                return Err(unknown(error.to_string()));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(self.shared.config.longest_pause);
        }
    }

    async fn compare(&self, stored: &[u8]) -> Result<Slot, AppendError> {
        let unreadable = |error: barleyspar_peer::PeerError| {
            AppendError::NotAppended(format!("stored entry is unreadable: {error}"))
        };
        let entry: Entry = decode(stored).map_err(unreadable)?;
        let mine = entry.change == self.change;
        self.take_in(entry).await;
        match mine {
            true => Ok(Slot::Taken),
            false => Ok(Slot::Lost),
        }
    }

    async fn take_in(&self, entry: Entry) {
        if ingest(self.shared, vec![entry]).await.is_err() {
            tracing::debug!("control log service ended during an append");
        }
    }

    fn give_up(&self, may_have_taken_effect: bool, error: &KeyValueError) -> AppendError {
        if may_have_taken_effect {
            return AppendError::Unknown {
                change: self.change.to_string(),
                cause: error.to_string(),
            };
        }
        AppendError::NotAppended(error.to_string())
    }
}

/// Between half and all of `wait`, so that many writers do not retry together.
pub fn jittered(wait: Duration, random: &mut ChaCha8Rng) -> Duration {
    wait.mul_f64(random.random_range(0.5..=1.0))
}
