//! A gate that freezes every task of a node, as a stopped process or a long
//! pause of the machine would.
//!
//! Invariant: while the gate is closed no task behind it is polled, so a frozen
//! node neither sends nor notices time passing until it is opened again.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use crate::BusyTime;

#[derive(Debug, Default)]
struct State {
    closed: bool,
    waiting: Vec<Waker>,
}

/// Freezes and thaws the tasks spawned behind it.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

impl Gate {
    /// Stops polling the tasks behind the gate.
    pub fn close(&self) {
        self.lock().closed = true;
    }

    /// Polls the tasks behind the gate again.
    pub fn open(&self) {
        let waiting = {
            let mut state = self.lock();
            state.closed = false;
            std::mem::take(&mut state.waiting)
        };
        waiting.into_iter().for_each(Waker::wake);
    }

    /// Puts `future` behind the gate and adds its processor time to `busy`.
    pub fn guard<F: Future>(
        &self,
        future: F,
        busy: BusyTime,
    ) -> impl Future<Output = F::Output> + use<F> {
        Guarded {
            gate: self.clone(),
            busy,
            inner: Box::pin(future),
        }
    }

    fn admits(&self, waker: &Waker) -> bool {
        let mut state = self.lock();
        if state.closed {
            state.waiting.push(waker.clone());
        }
        !state.closed
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

struct Guarded<F> {
    gate: Gate,
    busy: BusyTime,
    inner: Pin<Box<F>>,
}

impl<F: Future> Future for Guarded<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        if !self.gate.admits(context.waker()) {
            return Poll::Pending;
        }
        let this = &mut *self;
        let inner = this.inner.as_mut();
        this.busy.measure(|| inner.poll(context))
    }
}
