//! Tests of the memory for answers.

use super::*;

fn memory_of_units(units: u64) -> AnswerMemory {
    AnswerMemory::new(units * UNIT_BYTES as u64 * MEMORY_DIVISOR)
}

#[test]
fn answers_do_not_take_more_memory_together_than_the_node_has_for_them() {
    let memory = memory_of_units(10);
    let mut reserved: Vec<ReservedMemory> = (0..4).map(|_| memory.reserve_none()).collect();
    let covered = reserved
        .iter_mut()
        .filter_map(|answer| answer.grow_to(3 * UNIT_BYTES).then_some(()));
    assert_eq!(covered.count(), 3);
}

#[test]
fn an_answer_that_grows_reserves_only_what_is_missing() {
    let memory = memory_of_units(4);
    let mut reserved = memory.reserve_none();
    assert!((1..=4 * UNIT_BYTES).all(|bytes| reserved.grow_to(bytes)));
    assert!(!reserved.grow_to(4 * UNIT_BYTES + 1));
}

#[test]
fn memory_is_free_again_only_once_no_copy_of_the_answer_is_left() {
    let memory = memory_of_units(1);
    let mut reserved = memory.reserve_none();
    assert!(reserved.grow_to(1));
    let answer = reserved.attach_to(Bytes::from_static(b"x"));
    let part = answer.slice(..);
    drop(answer);
    assert!(!memory.reserve_none().grow_to(1));
    drop(part);
    assert!(memory.reserve_none().grow_to(1));
}
