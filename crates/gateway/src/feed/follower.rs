//! Follows a peer: the parent that the feed tree names or, while the store is
//! unreachable from this node, any peer that may have a newer copy.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::context::Context;
use crate::feed::copy::FeedCopy;
use crate::feed::frame_gaps::FrameGaps;
use crate::feed::parent_stream::{ParentStream, ReceivedFrame};
use crate::feed::state::FeedState;
use crate::feed::tree::{self, OwnNode, Parent};
use crate::peers::{SeenPeer, peer_timeout};

/// Time for which a peer is not followed again after this node's copy became stale
/// while following it.
const STALE_AVOIDED_FOR: Duration = Duration::from_secs(5);
/// Time for which a peer is not followed again after its connection failed.
const BROKEN_AVOIDED_FOR: Duration = Duration::from_secs(2);
/// Time for which the feed tree must name another parent before this node leaves its
/// present one, so that short changes of the membership cause no reconnects.
const PARENT_SWITCH_DELAY: Duration = Duration::from_secs(2);

/// Time from a node's first data until it may conclude that it has no parent: by then
/// the members that it read have reached the list of peers.
const MEMBERS_APPLY_TIME: Duration = Duration::from_millis(100);
/// Time between two checks for a parent during [`MEMBERS_APPLY_TIME`].
const MEMBERS_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// What the follower does next.
enum Choice {
    /// Follow this peer.
    Follow(Parent),
    /// Follow nobody and watch the store on behalf of the other nodes.
    Watch,
    /// Follow nobody for now: either the store reader fetches the changes that this
    /// node may have missed, or the members that the node has read are not in the list
    /// of peers yet.
    Wait,
}

/// Why this node stopped following a peer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// This node's copy became stale while it followed the peer, or the peer sent no
    /// newer copy within its trial.
    Stale,
    /// The peer could not be reached, the connection broke, or a frame could not be
    /// decoded.
    Broken,
}

/// A peer that this node stopped following.
struct AbandonedPeer {
    at: Instant,
    fault: Fault,
}

impl AbandonedPeer {
    /// Whether it is too early to follow the peer again.
    fn is_avoided(&self) -> bool {
        let avoided_for = match self.fault {
            Fault::Stale => STALE_AVOIDED_FOR,
            Fault::Broken => BROKEN_AVOIDED_FOR,
        };
        self.at.elapsed() < avoided_for
    }
}

/// Chooses which peer this node follows, and follows it.
pub struct Follower<'a> {
    copy: &'a FeedCopy,
    context: &'a Context,
    seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
    state: watch::Receiver<FeedState>,
    /// Set to true while this node is to watch the store on behalf of the other nodes.
    is_watcher: watch::Sender<bool>,
    /// Whether the store is unreachable from this node.
    unreachable: watch::Receiver<bool>,
    abandoned: HashMap<Arc<str>, AbandonedPeer>,
    /// When this node's copy first had data; `None` before.
    has_data_since: Option<Instant>,
    /// Whether the peer that this node followed last was abandoned, and no other one has sent
    /// a frame since.
    is_searching: bool,
}

impl<'a> Follower<'a> {
    /// Creates a follower that updates `copy` from one of the peers in `seen_peers`,
    /// and reports in `is_watcher` when this node is to watch the store instead.
    pub fn new(
        copy: &'a FeedCopy,
        context: &'a Context,
        seen_peers: watch::Receiver<HashMap<Arc<str>, SeenPeer>>,
        is_watcher: watch::Sender<bool>,
        unreachable: watch::Receiver<bool>,
    ) -> Self {
        Self {
            copy,
            context,
            seen_peers,
            state: copy.subscribe(),
            is_watcher,
            unreachable,
            abandoned: HashMap::new(),
            has_data_since: None,
            is_searching: false,
        }
    }

    /// Chooses and follows peers until the feed ends and drops this future.
    pub async fn run(mut self) {
        loop {
            let choice = self.choose();
            match choice {
                // A peer that has sent no frame yet may be silent like the last one.
                Choice::Follow(_) => self.watch_store(self.is_searching),
                Choice::Watch => self.watch_store(true),
                Choice::Wait => self.watch_store(false),
            }
            match choice {
                Choice::Follow(parent) => self.follow(parent).await,
                Choice::Watch | Choice::Wait => self.wait().await,
            }
        }
    }

    /// Sets whether this node watches the store.
    fn watch_store(&self, watches: bool) {
        self.is_watcher
            .send_if_modified(|former| std::mem::replace(former, watches) != watches);
    }

    fn choose(&mut self) -> Choice {
        if self.copy.has_data() {
            self.has_data_since.get_or_insert_with(Instant::now);
        }
        let seen_peers = self.seen_peers.borrow();
        self.abandoned
            .retain(|name, _| seen_peers.contains_key(name));
        let own_node = OwnNode::of(&self.context.settings);
        let max_silence = peer_timeout(self.context.dispatch.member_count());
        if self.copy.is_stale() && self.copy.peers_first_until().is_none() {
            let unreachable = *self.unreachable.borrow();
            let peer = unreachable
                .then(|| self.least_recently_tried_peer(&own_node, &seen_peers, max_silence));
            return peer.flatten().map_or(Choice::Wait, Choice::Follow);
        }
        let is_avoided = |name: &str| {
            self.abandoned
                .get(name)
                .is_some_and(AbandonedPeer::is_avoided)
        };
        match tree::parent(&own_node, &seen_peers, max_silence, is_avoided) {
            Some(parent) => Choice::Follow(parent),
            // If each starting node watched the store until it knows its peers, 985
            // polls at once would fill the store's link for a second.
            None if self.awaits_members() => Choice::Wait,
            None => Choice::Watch,
        }
    }

    /// Whether the members that this node has read may not have reached the list of
    /// peers yet.
    fn awaits_members(&self) -> bool {
        self.has_data_since
            .is_some_and(|since| since.elapsed() < MEMBERS_APPLY_TIME)
    }

    fn least_recently_tried_peer(
        &self,
        own_node: &OwnNode,
        seen_peers: &HashMap<Arc<str>, SeenPeer>,
        max_silence: Duration,
    ) -> Option<Parent> {
        let is_broken = |peer: &AbandonedPeer| peer.fault == Fault::Broken && peer.is_avoided();
        let is_usable = |name: &str| !self.abandoned.get(name).is_some_and(is_broken);
        let abandoned_at = |name: &str| self.abandoned.get(name).map(|peer| peer.at);
        tree::least_recently_tried_peer(own_node, seen_peers, max_silence, is_usable, abandoned_at)
    }

    /// Waits until the choice of a parent may have changed.
    async fn wait(&mut self) {
        let check_pause = if self.awaits_members() {
            MEMBERS_CHECK_PERIOD
        } else {
            self.copy.times.poll_wait
        };
        let next_check = Instant::now() + check_pause;
        tokio::select! {
            () = sleep_until(next_check) => {}
            Ok(()) = self.state.changed() => {}
            Ok(()) = self.unreachable.changed() => {}
        }
    }

    /// Follows `parent` until this node's copy is stale, the connection fails, or the
    /// feed tree names another parent; a peer on trial only until the store answers.
    async fn follow(&mut self, parent: Parent) {
        let mut trial_end = self.trial_end();
        let revision = self.copy.revision();
        let connected = ParentStream::connect(&*self.context.network, &parent, revision).await;
        let name = parent.name;
        let mut stream = match connected {
            Ok(stream) => stream,
            Err(error) => return self.abandon(name, Fault::Broken, &error.to_string()),
        };
        tracing::info!(
            event = "feed_followed",
            parent = &*name,
            era = revision.era,
            revision = revision.number
        );
        let mut other_parent_since = None;
        let mut gaps = FrameGaps::new(&self.copy.times);
        loop {
            let received = tokio::select! {
                // Frames that wait to be read come before the conclusion that none came.
                biased;
                received = self.next_frame(&mut stream, &gaps) => received,
                () = self.until_stale(trial_end) => {
                    return self.abandon(name, Fault::Stale, "its copy of the store is stale");
                }
                () = self.until_store_answers(), if trial_end.is_some() => return,
            };
            let received = match received {
                Some(Ok(received)) => received,
                Some(Err(error)) => return self.abandon(name, Fault::Broken, &error.to_string()),
                None => return self.abandon(name, Fault::Stale, "it sends nothing"),
            };
            gaps.record_frame(Instant::now());
            self.is_searching = false;
            self.watch_store(false);
            if let Err(error) = self.copy.apply_frame(received).await {
                return self.abandon(name, Fault::Broken, &error.to_string());
            }
            if self.copy.is_stale() {
                // The peer knows nothing newer; another one may.
                let end = Instant::now() + self.copy.times.outdated_peer_trial;
                trial_end = trial_end.map(|trial_end| trial_end.min(end));
            }
            if self.should_switch_parent(&name, &mut other_parent_since) {
                return;
            }
        }
    }

    /// Returns the parent's next frame; `None` if it has sent nothing for so long that it is to
    /// be abandoned. Watches the store while the parent is late.
    async fn next_frame(
        &self,
        stream: &mut ParentStream,
        gaps: &FrameGaps,
    ) -> Option<io::Result<ReceivedFrame>> {
        let frame = stream.next_frame();
        tokio::pin!(frame);
        let steps = self.state.borrow().depth().saturating_sub(1);
        let late_at = gaps.late_at() + self.copy.times.age_of_steps(steps);
        if let Ok(received) = timeout_at(late_at, frame.as_mut()).await {
            return Some(received);
        }
        self.watch_store(self.copy.has_data());
        timeout_at(gaps.silent_at(), frame).await.ok()
    }

    /// Returns the time by which a peer on trial must have sent a newer copy; `None` if
    /// this node's copy is current, so that the next peer is not on trial.
    fn trial_end(&self) -> Option<Instant> {
        if let Some(until) = self.copy.peers_first_until() {
            return Some(until);
        }
        let until = Instant::now() + self.copy.times.peer_trial;
        self.copy.is_stale().then_some(until)
    }

    /// Waits until this node's copy is stale and the trial, if any, is over.
    async fn until_stale(&self, trial_end: Option<Instant>) {
        loop {
            let stale_at = self.copy.stale_at();
            let until = trial_end.map_or(stale_at, |end| stale_at.max(end));
            sleep_until(until).await;
            if self.copy.is_stale() {
                return;
            }
        }
    }

    /// Waits until an answer of the store itself has made this node's copy current;
    /// from then on the feed tree names the parent again.
    async fn until_store_answers(&self) {
        let store_answered = |state: &FeedState| {
            state.depth() == 0 && !state.is_stale(&self.copy.times, Instant::now())
        };
        if self.state.clone().wait_for(store_answered).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn abandon(&mut self, name: Arc<str>, fault: Fault, cause: &str) {
        self.is_searching = self.copy.has_data();
        tracing::info!(event = "feed_left", parent = &*name, cause);
        let at = Instant::now();
        self.abandoned.insert(name, AbandonedPeer { at, fault });
    }

    /// Whether to stop following `followed`: for more than [`PARENT_SWITCH_DELAY`] the
    /// choice has been another peer, or none. `since` holds the time when `followed`
    /// ceased to be the choice; `None` while it is the choice.
    fn should_switch_parent(&mut self, followed: &str, since: &mut Option<Instant>) -> bool {
        let choice = self.choose();
        if matches!(choice, Choice::Follow(parent) if &*parent.name == followed) {
            *since = None;
            return false;
        }
        since.get_or_insert_with(Instant::now).elapsed() > PARENT_SWITCH_DELAY
    }
}
