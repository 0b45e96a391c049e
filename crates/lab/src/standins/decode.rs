//! Continuous batching of one engine: how fast prompts are read and tokens come.

use std::collections::VecDeque;
use std::time::Duration;

/// Bytes of a prompt that share one cache block.
const BLOCK_BYTES: usize = 64;

/// Speeds of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeeds {
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_second: f64,
    /// Tokens a second of a stream that runs alone.
    pub tokens_per_second: f64,
    /// Batch size at which a stream runs at half that speed.
    pub half_speed_batch: f64,
    /// Streams that run at once.
    pub maximum_batch: usize,
    /// Streams that may wait for a place in the batch.
    pub maximum_waiting: usize,
    /// Cache blocks that prefixes may take.
    pub prefix_blocks: usize,
    /// Bytes a second from host memory to the accelerator.
    pub memory_gib_per_second: f64,
    /// Bytes a second from disk.
    pub disk_gib_per_second: f64,
}

impl Default for EngineSpeeds {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 8_000.0,
            tokens_per_second: 60.0,
            half_speed_batch: 64.0,
            maximum_batch: 64,
            maximum_waiting: 256,
            prefix_blocks: 4096,
            memory_gib_per_second: 20.0,
            disk_gib_per_second: 5.0,
        }
    }
}

impl EngineSpeeds {
    /// Time between two tokens of one stream while `batch` streams run.
    pub fn token_time(&self, batch: usize) -> Duration {
        let slowdown = 1.0 + batch as f64 / self.half_speed_batch;
        Duration::from_secs_f64(slowdown / self.tokens_per_second)
    }

    /// Time to read `tokens` of a prompt.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_second)
    }
}

/// Which prompt prefixes are cached; the least recently used go first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: VecDeque<u64>,
}

impl PrefixCache {
    /// A cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: VecDeque::new(),
        }
    }

    /// Bytes of `prompt` that are cached; caches the rest.
    pub fn touch(&mut self, target: &str, prompt: &str) -> usize {
        let mut hit = 0;
        let mut missed = false;
        let bytes = prompt.as_bytes();
        for end in (BLOCK_BYTES..=bytes.len()).step_by(BLOCK_BYTES) {
            let block = block_hash(target, &bytes[..end]);
            match self.blocks.iter().position(|known| *known == block) {
                Some(at) => {
                    self.blocks.remove(at);
                    if !missed {
                        hit = end;
                    }
                }
                None => missed = true,
            }
            self.blocks.push_back(block);
        }
        while self.blocks.len() > self.capacity {
            self.blocks.pop_front();
        }
        hit
    }
}

fn block_hash(target: &str, prefix: &[u8]) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::hash::DefaultHasher::new();
    (target, prefix).hash(&mut hasher);
    hasher.finish()
}
