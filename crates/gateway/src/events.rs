//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event that is taken.
const LONGEST_EVENT: usize = 1 << 20;

/// A whole event, its empty last line included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<String>,
}

/// The stream cannot be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > LONGEST_EVENT {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Bytes that belong to no whole event yet.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Where the first event ends: behind its empty line.
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

fn event_id(event: &[u8]) -> Option<String> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
        .next_back()
}
