use barleyspar_catalog::LoadedModel;
use barleyspar_dispatch::Inventory;

use super::{MAX_MESSAGE_BYTES, split_into_messages};
use crate::messages::Message;

/// The payload of a packet of an ordinary network.
const PACKET_BYTES: usize = 1460;

fn inventory(number: usize) -> Inventory {
    let replica = |model: usize| LoadedModel {
        model: format!("model-{number}-{model}").into(),
        version: 3,
        adapters: vec!["a7".into(), "a12".into()],
    };
    Inventory {
        runner: format!("i-{number:010x}").into(),
        sequence: number as u64,
        models: (0..3).map(replica).collect(),
        unloading: vec!["model-that-goes".into()],
        loading: None,
    }
}

fn encoded_bytes(inventories: &[Inventory]) -> usize {
    let message = Message::Held {
        inventories: inventories.to_vec(),
        passed_on: false,
    };
    message.encode().len()
}

#[test]
fn inventories_of_many_runners_go_in_few_full_packets() {
    let inventories: Vec<Inventory> = (0..245).map(inventory).collect();
    let messages = split_into_messages(inventories.clone());
    assert!(
        messages
            .iter()
            .all(|message| encoded_bytes(message) <= PACKET_BYTES)
    );
    let total_bytes: usize = messages.iter().map(|message| encoded_bytes(message)).sum();
    assert!(
        messages.len() <= total_bytes.div_ceil(MAX_MESSAGE_BYTES / 2),
        "half empty"
    );
    assert_eq!(messages.concat(), inventories);
}

#[test]
fn no_inventories_make_no_message() {
    assert!(split_into_messages(Vec::new()).is_empty());
}
