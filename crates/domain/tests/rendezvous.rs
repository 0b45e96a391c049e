//! Rendezvous hashing reassigns only the keys of a lost member, and epochs and fences are
//! ordered so that an engine refuses orders of an outdated keeper.

use barleyspar_domain::{Epoch, Fence, by_rendezvous_weight};
use quickcheck::{Gen, QuickCheck};

fn check(property: fn(Vec<u16>, Vec<u16>) -> bool) {
    let random = Gen::from_size_and_seed(40, 7);
    QuickCheck::new()
        .rng(random)
        .tests(200)
        .quickcheck(property as fn(_, _) -> _);
}

fn only_keys_of_the_lost_member_move(members: Vec<u16>, keys: Vec<u16>) -> bool {
    let mut members = members;
    members.sort_unstable();
    members.dedup();
    let Some(lost) = members.first().copied() else {
        return true;
    };
    let remaining: Vec<u16> = members.iter().copied().filter(|m| *m != lost).collect();
    keys.iter().all(|key| {
        let before = by_rendezvous_weight(key, members.iter().copied())[0];
        let after = by_rendezvous_weight(key, remaining.iter().copied())
            .first()
            .copied();
        before == lost || after == Some(before)
    })
}

#[test]
fn losing_a_member_moves_only_its_keys() {
    check(only_keys_of_the_lost_member_move);
}

#[test]
fn a_raised_log_floor_beats_a_later_term() {
    let keeper = Epoch {
        log_floor: 4,
        term: 2,
        holder: 1,
    };
    let raised = keeper.with_log_floor(9);
    let successor_without_raise = keeper.successor(7);
    assert!(
        raised > successor_without_raise,
        "a takeover with an outdated log position must be refused"
    );
    let successor_of_raised = raised.successor(7);
    assert_eq!(
        successor_of_raised.log_floor, 9,
        "a successor inherits the log floor"
    );
    assert!(
        Fence {
            epoch: successor_of_raised,
            sequence: 0
        } > Fence {
            epoch: raised,
            sequence: 50
        }
    );
}
