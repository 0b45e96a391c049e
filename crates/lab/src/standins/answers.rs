//! The answers that stand-in models give: a pure function of the request, so
//! that a caller can tell a whole and right answer from any other.

use std::hash::{Hash, Hasher};

use barleyspar_platform::engine::FinishReason;

/// Characters of a prompt that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// The answer of one target to one prompt.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    seed: u64,
    /// Tokens it has.
    pub tokens: u32,
    /// Why it ends.
    pub reason: FinishReason,
}

impl Answer {
    /// The answer of `target`, a model or adapter, to `prompt`.
    pub fn new(target: &str, prompt: &str, maximum_tokens: u32) -> Self {
        let seed = hash((target, prompt));
        let natural = 1 + (seed % 97) as u32;
        let (tokens, reason) = match natural <= maximum_tokens {
            true => (natural, FinishReason::Stop),
            false => (maximum_tokens, FinishReason::Length),
        };
        Self {
            seed,
            tokens,
            reason,
        }
    }

    /// Its token number `index`.
    pub fn token(&self, index: u32) -> String {
        format!(" w{}", hash((self.seed, index)) % 100_000)
    }

    /// The whole text.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(CHARACTERS_PER_TOKEN) as u32
}
