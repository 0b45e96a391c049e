//! The task that owns this node's copy of the log.

use std::sync::Arc;

use barleyspar_kernel::{Inbox, StopSignal};
use tokio::sync::{oneshot, watch};

use crate::handle::LogView;
use crate::messages::Answer;
use crate::retained::Copy;
use crate::{ControlState, Entry};

/// Messages of the task.
pub enum Message {
    /// Take in entries; the reply tells the position reached.
    Ingest(Vec<Entry>, Option<oneshot::Sender<u64>>),
    /// Take in a whole state.
    Replace(Box<ControlState>),
    /// What follows a position.
    Since(u64, oneshot::Sender<Answer>),
    /// The copy has been compared with the end of the log.
    Current,
    /// The copy may be older than what the system has accepted.
    NotCurrent,
}

/// Runs the task.
pub async fn run_service(
    inbox: Inbox<Message>,
    view: Arc<watch::Sender<LogView>>,
    position: Arc<watch::Sender<u64>>,
    retained_entries: usize,
    stop: StopSignal,
) {
    let mut copy = Copy::new(retained_entries);
    let known = view.borrow().state.as_ref().clone();
    copy.replace(known);
    loop {
        let message = tokio::select! {
            biased;
            () = stop.raised() => return,
            message = inbox.receive() => message,
        };
        match message {
            None => return,
            Some(Message::Ingest(entries, reply)) => {
                if copy.ingest(entries) > 0 {
                    publish(&copy, &view, &position);
                }
                if let Some(reply) = reply {
                    let _ = reply.send(copy.state().position());
                }
            }
            Some(Message::Replace(state)) => {
                if copy.replace(*state) {
                    publish(&copy, &view, &position);
                }
            }
            Some(Message::Since(from, reply)) => {
                let answer = copy.since(from).map_or_else(
                    || Answer::State(Box::new(copy.state().clone())),
                    Answer::Entries,
                );
                let _ = reply.send(answer);
            }
            Some(Message::Current) => set_current(&view, true),
            Some(Message::NotCurrent) => set_current(&view, false),
        }
    }
}

fn set_current(view: &watch::Sender<LogView>, current: bool) {
    view.send_if_modified(|view| std::mem::replace(&mut view.current, current) != current);
}

fn publish(copy: &Copy, view: &watch::Sender<LogView>, position: &watch::Sender<u64>) {
    view.send_modify(|view| view.state = Arc::new(copy.state().clone()));
    position.send_replace(copy.state().position());
}
