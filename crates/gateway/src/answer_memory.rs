//! Bounds the memory that answers of all runners take together while this node keeps them.
//!
//! Each answer has a limit of its own, but many that are long at the same time, from one faulty
//! runner for example, must not take the memory that other requests need.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of bytes that one permit of an [`AnswerMemory`] reserves.
const UNIT_BYTES: usize = 1024;
/// All kept answers together may take the memory of the process divided by this number.
const MEMORY_DIVISOR: u64 = 8;

/// The memory for answers of one node; clones share it.
#[derive(Debug, Clone)]
pub struct AnswerMemory(Arc<Semaphore>);

impl AnswerMemory {
    /// Creates the memory for answers of a process with `memory_bytes` of memory.
    pub fn new(memory_bytes: u64) -> Self {
        let units = (memory_bytes / MEMORY_DIVISOR) as usize / UNIT_BYTES;
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Returns a reservation of no memory yet.
    pub fn reserve_none(&self) -> ReservedMemory {
        ReservedMemory {
            memory: self.0.clone(),
            permit: None,
        }
    }
}

/// Memory that is reserved for a part of an answer, until this is dropped.
#[derive(Debug)]
pub struct ReservedMemory {
    memory: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl ReservedMemory {
    /// Reserves more, so that the reservation covers `bytes`. Returns false if this node has no
    /// more memory for answers.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.div_ceil(UNIT_BYTES).saturating_sub(self.units());
        if missing == 0 {
            return true;
        }
        let Ok(more) = self.memory.clone().try_acquire_many_owned(missing as u32) else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        true
    }

    /// Returns `bytes`, which keep the reservation until the last copy of them is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        let Some(permit) = self.permit else {
            return bytes;
        };
        Bytes::from_owner(ReservedBytes {
            bytes,
            _permit: permit,
        })
    }

    fn units(&self) -> usize {
        self.permit
            .as_ref()
            .map_or(0, |permit| permit.num_permits())
    }
}

/// Bytes of an answer with the memory that is reserved for them.
struct ReservedBytes {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
#[path = "answer_memory_tests.rs"]
mod tests;
