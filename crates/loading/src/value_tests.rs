use super::{ReplicaValue, rank_weight};
use crate::demand::ModelDemand;

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
    let value = ReplicaValue::new(&demand(3, 4.0, 1), rank_weight(1), 0.0, 8);
    let gains: Vec<f64> = (0..12).map(|replicas| value.gain(replicas)).collect();
    assert!(gains.windows(2).all(|pair| pair[0] > pair[1]), "{gains:?}");
}

#[test]
fn what_one_adds_is_what_its_loss_costs() {
    let value = ReplicaValue::new(&demand(3, 4.0, 1), rank_weight(1), 2.0, 3);
    for replicas in 0..6 {
        let difference = value.gain(replicas) - value.loss(replicas + 1);
        assert!(difference.abs() < 1e-9, "{replicas}: {difference}");
    }
}

#[test]
fn replicas_beyond_those_needed_are_worth_little() {
    let few = ReplicaValue::new(&demand(0, 4.0, 0), rank_weight(0), 0.0, 2);
    let many = ReplicaValue::new(&demand(0, 4.0, 0), rank_weight(0), 0.0, 9);
    assert!(few.gain(2) < many.gain(2) / 5.0);
    assert!(few.gain(2) > 0.0);
}

#[test]
fn an_urgent_request_counts_more_and_many_count_more_still() {
    let urgent = ReplicaValue::new(&demand(1, 0.0, 0), rank_weight(0), 0.0, 1);
    let other = ReplicaValue::new(&demand(1, 0.0, 1), rank_weight(1), 0.0, 1);
    let many = ReplicaValue::new(&demand(20, 0.0, 1), rank_weight(1), 0.0, 1);
    assert!(urgent.gain(0) > other.gain(0));
    assert!(many.gain(0) > urgent.gain(0));
}

#[test]
fn a_model_that_nobody_was_served_of_gains() {
    let fresh = ReplicaValue::new(&demand(1, 0.1, 1), rank_weight(1), 0.0, 1);
    let starved = ReplicaValue::new(&demand(1, 0.1, 1), rank_weight(1), 5.0, 1);
    assert!(starved.gain(0) > 2.0 * fresh.gain(0));
}
