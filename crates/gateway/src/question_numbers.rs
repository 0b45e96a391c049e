//! Numbers of the questions that a node asks others, by which it knows their answers.

/// Bits of a first number, which leave room for all questions of a process above it.
const FIRST_NUMBER_BITS: u32 = 62;

/// Returns the number before a process's first question. It is another one in each life of the
/// process: a peer that stood still may answer a question of the former life, and its answer must
/// not pass for one to a question of this life.
pub fn number_before_first() -> u64 {
    rand::random::<u64>() >> (u64::BITS - FIRST_NUMBER_BITS)
}
