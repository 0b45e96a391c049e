//! The traffic of a route follows the weights of its backends.

use std::time::Duration;

use barleyspar_catalog::{Backend, RequestKind, Route};
use barleyspar_dispatch::Splitter;

fn route(weights: &[(&str, u32)]) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        target_latency: None,
        target_gap: None,
        stream_patience: None,
        priority: 0,
        backends: weights
            .iter()
            .map(|(service, weight)| Backend {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        maximum_attempts: 1,
        resumable: false,
        public: false,
        regions: Vec::new(),
    }
}

#[test]
fn any_ten_requests_follow_the_weights() {
    let mut splitter = Splitter::default();
    let route = route(&[("a", 90), ("b", 10)]);
    let picked: Vec<bool> = (0..200).map(|_| &*splitter.pick(&route) == "b").collect();
    for window in picked.windows(10) {
        assert_eq!(window.iter().filter(|is_b| **is_b).count(), 1);
    }
}

#[test]
fn new_backends_replace_the_old_ones() {
    let mut splitter = Splitter::default();
    splitter.pick(&route(&[("a", 1), ("b", 1)]));
    let changed = route(&[("c", 1), ("d", 1)]);
    let picked: Vec<_> = (0..4).map(|_| splitter.pick(&changed)).collect();
    assert!(picked.iter().all(|service| matches!(&**service, "c" | "d")));
}
