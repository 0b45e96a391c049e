//! Bounded mailboxes: the only way tasks of one node talk to each other.

use std::sync::Arc;

use thiserror::Error;
use tokio::sync::{Mutex, mpsc, oneshot};

/// Why a message was not delivered or not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MailboxError {
    /// The mailbox holds as many messages as it may; the message was not taken.
    #[error("mailbox is full")]
    Full,
    /// The service behind the mailbox has ended; the message was not taken.
    #[error("mailbox is closed")]
    Closed,
    /// The message was taken, but the service ended before it replied.
    #[error("service ended before replying")]
    NoReply,
}

/// The sending side of a mailbox. Cheap to clone.
#[derive(Debug)]
pub struct Address<M> {
    sender: mpsc::Sender<M>,
}

impl<M> Clone for Address<M> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<M> Address<M> {
    /// Waits for room and delivers `message`.
    pub async fn send(&self, message: M) -> Result<(), MailboxError> {
        self.sender
            .send(message)
            .await
            .map_err(|_| MailboxError::Closed)
    }

    /// Delivers `message` if there is room now.
    pub fn try_send(&self, message: M) -> Result<(), MailboxError> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => MailboxError::Full,
            mpsc::error::TrySendError::Closed(_) => MailboxError::Closed,
        })
    }

    /// Delivers the message built around a reply channel and waits for the reply.
    pub async fn ask<R>(
        &self,
        build: impl FnOnce(oneshot::Sender<R>) -> M,
    ) -> Result<R, MailboxError> {
        let (reply, answer) = oneshot::channel();
        self.send(build(reply)).await?;
        answer.await.map_err(|_| MailboxError::NoReply)
    }
}

/// The receiving side of a mailbox. It outlives a restart of its service, so
/// messages queued at the time of a panic are still handled.
#[derive(Debug)]
pub struct Inbox<M> {
    receiver: Arc<Mutex<mpsc::Receiver<M>>>,
}

impl<M> Clone for Inbox<M> {
    fn clone(&self) -> Self {
        Self {
            receiver: Arc::clone(&self.receiver),
        }
    }
}

impl<M> Inbox<M> {
    /// The next message, or `None` once every address is gone.
    pub async fn receive(&self) -> Option<M> {
        self.receiver.lock().await.recv().await
    }
}

/// A mailbox that holds at most `capacity` messages.
pub fn mailbox<M>(capacity: usize) -> (Address<M>, Inbox<M>) {
    let (sender, receiver) = mpsc::channel(capacity);
    let inbox = Inbox {
        receiver: Arc::new(Mutex::new(receiver)),
    };
    (Address { sender }, inbox)
}
