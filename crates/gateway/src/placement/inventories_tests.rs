use barleyspar_catalog::HeldModel;
use barleyspar_dispatch::Inventory;

use super::{MESSAGE_BYTES, parts};
use crate::messages::Message;

/// A packet of an ordinary network without its heads.
const PACKET_BYTES: usize = 1460;

fn inventory(number: usize) -> Inventory {
    let held = |model: usize| HeldModel {
        model: format!("model-{number}-{model}").into(),
        version: 3,
        adapters: vec!["a7".into(), "a12".into()],
    };
    Inventory {
        runner: format!("i-{number:010x}").into(),
        sequence: number as u64,
        models: (0..3).map(held).collect(),
        unloading: vec!["model-that-goes".into()],
        loading: None,
    }
}

fn bytes(part: &[Inventory]) -> usize {
    let message = Message::Held {
        inventories: part.to_vec(),
        passed_on: false,
    };
    message.encode().len()
}

#[test]
fn inventories_of_many_runners_go_in_few_full_packets() {
    let inventories: Vec<Inventory> = (0..245).map(inventory).collect();
    let parts = parts(inventories.clone());
    assert!(parts.iter().all(|part| bytes(part) <= PACKET_BYTES));
    let all: usize = parts.iter().map(|part| bytes(part)).sum();
    assert!(parts.len() <= all.div_ceil(MESSAGE_BYTES / 2), "half empty");
    assert_eq!(parts.concat(), inventories);
}

#[test]
fn nothing_to_tell_makes_no_message() {
    assert!(parts(Vec::new()).is_empty());
}
