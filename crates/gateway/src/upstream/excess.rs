//! The limit on bytes from a peer that belong to no body.
//!
//! An HTTP parser bounds the length of one head or one line, not how many of them follow each
//! other: interim answers, digits of a chunk's length, chunk extensions and trailers may go on
//! without end. What counts here is only that the bytes read do not run far ahead of the bodies
//! taken from them, whatever they are.

/// Bytes that may be read beyond the bodies taken: the head of an answer, the framing of its
/// chunks, and what the connection reads ahead.
const MAX_EXCESS_BYTES: u64 = 256 * 1024;
/// Bytes of framing that are accepted for each byte of a body. A chunk of a single byte has five.
const FRAMING_PER_BODY_BYTE: u64 = 8;

/// Numbers of bytes on one connection, and the limit that follows from them.
#[derive(Debug, Default)]
pub struct ExcessLimit {
    /// Bytes read so far.
    read: u64,
    /// Number up to which bytes may be read.
    accepted: u64,
}

impl ExcessLimit {
    /// Records that an answer may begin, so that its head and framing are accepted anew.
    pub fn expect_answer(&mut self) {
        self.accepted = self.read + MAX_EXCESS_BYTES;
    }

    /// Records that `bytes` were read.
    pub fn record_read(&mut self, bytes: u64) {
        self.read += bytes;
    }

    /// Records that `bytes` of a body were taken from what was read. They, and their framing, no
    /// longer count as excess, but a long body does not earn more excess than a short one.
    pub fn record_body(&mut self, bytes: u64) {
        let earned = bytes.saturating_mul(1 + FRAMING_PER_BODY_BYTE);
        let accepted = self.accepted.saturating_add(earned);
        self.accepted = accepted.min(self.read + MAX_EXCESS_BYTES);
    }

    /// Returns whether more bytes were read than are accepted.
    pub fn is_exceeded(&self) -> bool {
        self.read > self.accepted
    }
}

#[cfg(test)]
#[path = "excess_tests.rs"]
mod tests;
