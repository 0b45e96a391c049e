//! Follows a peer: the parent that the tree names or, while the store leaves this
//! node's calls without an answer, any peer that may know more.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::context::Context;
use crate::feed::copy::FeedCopy;
use crate::feed::follow::Following;
use crate::feed::state::FeedState;
use crate::feed::tree::{self, Myself, Parent};
use crate::peers::{Heard, longest_silence};

/// Time for which a parent whose knowledge grew too old is not followed.
const STALE_AVOIDED_FOR: Duration = Duration::from_secs(5);
/// Time for which a parent that cannot be reached is not followed.
const BROKEN_AVOIDED_FOR: Duration = Duration::from_secs(2);
/// Time for which another parent must be the right one before it is followed.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Time from a node's first knowledge until it may find that nobody is to be followed:
/// the members that it read are then known to its other parts.
const MEMBERS_TAKEN_IN: Duration = Duration::from_millis(100);
/// Time between two looks meanwhile.
const MEMBERS_LOOK: Duration = Duration::from_millis(10);

/// What to do next.
enum Choice {
    /// Follow this peer.
    Follow(Parent),
    /// Watch the store for the others.
    Watch,
    /// Wait for the store, which was asked for what this node may have missed.
    Wait,
}

/// Why a peer was left.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// It knew nothing newer in time.
    Stale,
    /// It cannot be reached, or understood.
    Broken,
}

/// A peer that was left.
struct Left {
    at: Instant,
    fault: Fault,
}

impl Left {
    /// Whether the peer is not to be relied on yet.
    fn is_avoided(&self) -> bool {
        let time = match self.fault {
            Fault::Stale => STALE_AVOIDED_FOR,
            Fault::Broken => BROKEN_AVOIDED_FOR,
        };
        self.at.elapsed() < time
    }
}

/// Follows peers.
pub struct Follower<'a> {
    copy: &'a FeedCopy,
    context: &'a Context,
    heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
    state: watch::Receiver<FeedState>,
    /// Whether this node is the one that watches the store for others.
    watches: watch::Sender<bool>,
    /// Whether the store leaves this node's calls without an answer.
    unserved: watch::Receiver<bool>,
    left: HashMap<Arc<str>, Left>,
    /// When this node knew anything first.
    known_since: Option<Instant>,
}

impl<'a> Follower<'a> {
    /// Follows those that are `heard` on behalf of `copy`, and says when this node
    /// is to watch the store instead.
    pub fn new(
        copy: &'a FeedCopy,
        context: &'a Context,
        heard: watch::Receiver<HashMap<Arc<str>, Heard>>,
        watches: watch::Sender<bool>,
        unserved: watch::Receiver<bool>,
    ) -> Self {
        Self {
            copy,
            context,
            heard,
            state: copy.subscribe(),
            watches,
            unserved,
            left: HashMap::new(),
            known_since: None,
        }
    }

    /// Runs until the feed ends.
    pub async fn run(mut self) {
        loop {
            let choice = self.choose();
            let watches = matches!(choice, Choice::Watch);
            self.watches
                .send_if_modified(|former| std::mem::replace(former, watches) != watches);
            match choice {
                Choice::Follow(parent) => self.follow(parent).await,
                Choice::Watch | Choice::Wait => self.wait().await,
            }
        }
    }

    fn choose(&mut self) -> Choice {
        if self.copy.is_known() {
            self.known_since.get_or_insert_with(Instant::now);
        }
        let heard = self.heard.borrow();
        self.left.retain(|name, _| heard.contains_key(name));
        let myself = Myself::of(&self.context.settings);
        let silence = longest_silence(self.context.dispatch.nodes());
        if self.copy.is_overdue() && self.copy.peers_first_until().is_none() {
            let unserved = *self.unserved.borrow();
            let peer = unserved.then(|| self.any_peer(&myself, &heard, silence));
            return peer.flatten().map_or(Choice::Wait, Choice::Follow);
        }
        let avoided = |name: &str| self.left.get(name).is_some_and(Left::is_avoided);
        match tree::parent(&myself, &heard, silence, avoided) {
            Some(parent) => Choice::Follow(parent),
            // A node that watched the store until it knows its peers would do so with
            // all others that start: 985 polls at once fill the store's link for a second.
            None if self.is_settling() => Choice::Wait,
            None => Choice::Watch,
        }
    }

    /// Whether the members that this node has read may not be taken in yet.
    fn is_settling(&self) -> bool {
        self.known_since
            .is_some_and(|since| since.elapsed() < MEMBERS_TAKEN_IN)
    }

    fn any_peer(
        &self,
        myself: &Myself,
        heard: &HashMap<Arc<str>, Heard>,
        silence: Duration,
    ) -> Option<Parent> {
        let is_broken = |left: &Left| left.fault == Fault::Broken && left.is_avoided();
        let usable = |name: &str| !self.left.get(name).is_some_and(is_broken);
        let left_at = |name: &str| self.left.get(name).map(|left| left.at);
        tree::any_peer(myself, heard, silence, usable, left_at)
    }

    /// Waits until another choice may be right.
    async fn wait(&mut self) {
        let pause = if self.is_settling() {
            MEMBERS_LOOK
        } else {
            self.copy.times.poll
        };
        let look_again = Instant::now() + pause;
        tokio::select! {
            () = sleep_until(look_again) => {}
            Ok(()) = self.state.changed() => {}
            Ok(()) = self.unserved.changed() => {}
        }
    }

    /// Follows `parent` until it is of no more use or not the right one.
    async fn follow(&mut self, parent: Parent) {
        let trial = self.trial();
        let revision = self.copy.revision();
        let begun = Following::begin(&*self.context.network, &parent, revision).await;
        let name = parent.name;
        let mut following = match begun {
            Ok(following) => following,
            Err(error) => return self.leave(name, Fault::Broken, &error.to_string()),
        };
        tracing::info!(
            event = "feed_followed",
            parent = &*name,
            era = revision.era,
            revision = revision.number
        );
        let mut unsettled_since = None;
        loop {
            let arrived = tokio::select! {
                arrived = following.next() => arrived,
                () = self.knowledge_is_old(trial) => {
                    return self.leave(name, Fault::Stale, "its knowledge is old");
                }
                () = self.store_served(), if trial.is_some() => return,
            };
            let taken = match arrived {
                Ok(arrived) => self.copy.take_frame(arrived).await,
                Err(error) => return self.leave(name, Fault::Broken, &error.to_string()),
            };
            if let Err(error) = taken {
                return self.leave(name, Fault::Broken, &error.to_string());
            }
            if self.has_settled_elsewhere(&name, &mut unsettled_since) {
                return;
            }
        }
    }

    /// Until when a peer may show that it knows more; `None` for a parent on
    /// which this node relies.
    fn trial(&self) -> Option<Instant> {
        if let Some(until) = self.copy.peers_first_until() {
            return Some(until);
        }
        let until = Instant::now() + self.copy.times.peer_trial;
        self.copy.is_overdue().then_some(until)
    }

    /// Waits until this node's knowledge is too old and `trial` is over.
    async fn knowledge_is_old(&self, trial: Option<Instant>) {
        loop {
            let deadline = self.copy.deadline();
            let until = trial.map_or(deadline, |trial| deadline.max(trial));
            sleep_until(until).await;
            if self.copy.is_overdue() {
                return;
            }
        }
    }

    /// Waits until the store itself has made this node's knowledge current: then
    /// the tree names whom to follow.
    async fn store_served(&self) {
        let served = |state: &FeedState| {
            state.depth() == 0 && !state.is_overdue(&self.copy.times, Instant::now())
        };
        if self.state.clone().wait_for(served).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn leave(&mut self, name: Arc<str>, fault: Fault, cause: &str) {
        tracing::info!(event = "feed_left", parent = &*name, cause);
        let at = Instant::now();
        self.left.insert(name, Left { at, fault });
    }

    /// Whether another parent than `followed` has been the right one for a while.
    fn has_settled_elsewhere(&mut self, followed: &str, since: &mut Option<Instant>) -> bool {
        let choice = self.choose();
        if matches!(choice, Choice::Follow(parent) if &*parent.name == followed) {
            *since = None;
            return false;
        }
        since.get_or_insert_with(Instant::now).elapsed() > SETTLED_AFTER
    }
}
