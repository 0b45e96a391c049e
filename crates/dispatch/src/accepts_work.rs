//! Whether a runner accepts new work, as granted attempts see it until they are sent.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// State of a runner that its granted attempts share with the dispatcher.
#[derive(Debug, Default)]
pub struct AcceptsWork {
    state: Mutex<State>,
}

#[derive(Debug, Default, Clone, Copy)]
enum State {
    #[default]
    Open,
    /// The runner's zone is evacuated: nothing may be sent from this time on.
    OpenUntil(Instant),
    Closed,
}

impl AcceptsWork {
    /// Returns whether an attempt may still be sent at `now`. It may not once the runner
    /// drains, is replaced or removed, or the deadline of its evacuation has passed.
    pub fn is_open(&self, now: Instant) -> bool {
        match *self.state.lock().unwrap_or_else(PoisonError::into_inner) {
            State::Open => true,
            State::OpenUntil(deadline) => now < deadline,
            State::Closed => false,
        }
    }

    /// Sets the time from which on nothing may be sent; `None` if there is none. A closed runner
    /// stays closed.
    pub(crate) fn set_deadline(&self, deadline: Option<Instant>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !matches!(*state, State::Closed) {
            *state = deadline.map_or(State::Open, State::OpenUntil);
        }
    }

    /// Closes the runner for good.
    pub(crate) fn close(&self) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = State::Closed;
    }
}
