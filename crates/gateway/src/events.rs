//! Splits the bytes of an event stream (`text/event-stream`) into complete events.

use bytes::{Bytes, BytesMut};

/// Longest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event as received, with the empty line that ends it.
    pub bytes: Bytes,
    /// The event's id; `None` if it has no `id` field.
    pub id: Option<String>,
}

/// Error of [`EventSplitter::push`]: the bytes not yet returned as events exceed the maximum
/// length of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects the bytes of an event stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first line that has not been searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the number of bytes that are not returned as events yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Removes and returns the bytes that do not make up a complete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the position behind the empty line that ends the first event; `None` if the
    /// event is not complete.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut line_start = self.searched;
        while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &bytes[line_start..line_start + length];
            line_start += length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(line_start);
            }
        }
        self.searched = line_start;
        None
    }
}

/// Returns the value of the event's last `id` field.
fn event_id(event: &[u8]) -> Option<String> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
        .next_back()
}
