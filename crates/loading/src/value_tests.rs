use super::{ReplicaValue, rank_weight};
use crate::demand::ModelDemand;

const SLOTS: u32 = 64;

fn demand(waiting: u32, rate: f64, priority: u8) -> ModelDemand {
    ModelDemand {
        waiting,
        priority,
        in_flight: 0,
        rate,
    }
}

#[test]
fn each_replica_adds_less_than_the_one_before() {
    let value = ReplicaValue::new(&demand(3, 4.0, 1), rank_weight(1), 0.0, 8, SLOTS);
    let gains: Vec<f64> = (0..12).map(|replicas| value.gain(replicas)).collect();
    assert!(gains.windows(2).all(|pair| pair[0] > pair[1]), "{gains:?}");
}

#[test]
fn what_one_adds_is_what_its_loss_costs() {
    let value = ReplicaValue::new(&demand(3, 4.0, 1), rank_weight(1), 2.0, 3, SLOTS);
    for replicas in 0..6 {
        let difference = value.gain(replicas) - value.loss(replicas + 1);
        assert!(difference.abs() < 1e-9, "{replicas}: {difference}");
    }
}

#[test]
fn replicas_beyond_those_needed_are_worth_little() {
    let few = ReplicaValue::new(&demand(0, 4.0, 0), rank_weight(0), 0.0, 2, SLOTS);
    let many = ReplicaValue::new(&demand(0, 4.0, 0), rank_weight(0), 0.0, 9, SLOTS);
    assert!(few.gain(2) < many.gain(2) / 5.0);
    assert!(few.gain(2) > 0.0);
}

#[test]
fn an_urgent_request_counts_more_and_many_count_more_still() {
    let urgent = ReplicaValue::new(&demand(1, 0.0, 0), rank_weight(0), 0.0, 1, SLOTS);
    let other = ReplicaValue::new(&demand(1, 0.0, 1), rank_weight(1), 0.0, 1, SLOTS);
    let many = ReplicaValue::new(&demand(20, 0.0, 1), rank_weight(1), 0.0, 1, SLOTS);
    assert!(urgent.gain(0) > other.gain(0));
    assert!(many.gain(0) > urgent.gain(0));
}

#[test]
fn a_model_that_nobody_was_served_of_gains() {
    let fresh = ReplicaValue::new(&demand(1, 0.1, 1), rank_weight(1), 0.0, 1, SLOTS);
    let starved = ReplicaValue::new(&demand(1, 0.1, 1), rank_weight(1), 5.0, 1, SLOTS);
    assert!(starved.gain(0) > 2.0 * fresh.gain(0));
}

/// Found on a played day: the busiest model, full on three runners of twelve slots,
/// had 557 waits in 14 s and got no further replica, since a single request of a rare
/// model was thought to gain more.
#[test]
fn a_further_replica_of_a_full_model_serves_those_that_wait() {
    let full = ModelDemand {
        waiting: 20,
        in_flight: 36,
        priority: 1,
        rate: 16.0,
    };
    let value = |slots| ReplicaValue::new(&full, rank_weight(1), 0.0, 20, slots);
    let rare = ReplicaValue::new(&demand(1, 0.1, 1), rank_weight(1), 1.0, 1, 12);
    assert!(value(12).gain(3) > 5.0 * rare.gain(0));
    assert!(
        value(12).gain(3) > 2.0 * value(64).gain(3),
        "others have slots"
    );
}
