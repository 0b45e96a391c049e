//! Whether this node may still act on its copy of the log.
//!
//! The others take a node that does not answer for dead and then no longer wait
//! for it when they say that a change is in force. So a node that was frozen,
//! or that nobody answers, must stop acting on what it knows before they do
//! so, and read the log to its end before it goes on. Invariant: a node is
//! current only while some other node answered it, or the key-value service
//! did, within the last [`ControlLogConfig::contact_time`](crate::ControlLogConfig),
//! which is shorter than the time after which a silent member is declared dead.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_kernel::Stage;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::follow::{catch_up, read_to_end};
use crate::handle::Shared;
use crate::service::Message;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// Runs the task that watches over this node's freshness.
pub async fn run_freshness(shared: Arc<Shared>, random: ChaCha8Rng) {
    let stop = shared.kernel.stop_signal(Stage::Control);
    tokio::select! {
        biased;
        () = stop.raised() => {}
        () = watch_over(&shared, random) => {}
    }
}

async fn watch_over(shared: &Shared, random: ChaCha8Rng) {
    let limit = shared.config.contact_time;
    catch_up(shared, random.clone()).await;
    shared.watched_at.send_replace(Instant::now());
    let mut last_read = Instant::now();
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let frozen = shared.watched_at.borrow().elapsed() > limit;
        let contact = shared.membership.last_contact().max(last_read);
        if frozen {
            tracing::warn!("this node was frozen; it reads the control log before it goes on");
            let _ = shared.service.send(Message::NotCurrent).await;
            catch_up(shared, random.clone()).await;
        } else if contact.elapsed() > limit {
            let _ = shared.service.send(Message::NotCurrent).await;
            if read_to_end(shared).await.is_ok() {
                last_read = Instant::now();
                let _ = shared.service.send(Message::Current).await;
            }
        } else if !shared.view.borrow().current {
            catch_up(shared, random.clone()).await;
        }
        shared.watched_at.send_replace(Instant::now());
    }
}
