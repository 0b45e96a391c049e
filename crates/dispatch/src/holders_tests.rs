use std::sync::Arc;

use super::Holders;

fn of(holders: &Holders, model: &str) -> Vec<Arc<str>> {
    holders.of(model).cloned().collect()
}

#[test]
fn a_runner_stands_with_the_models_that_it_was_last_said_to_hold() {
    let mut holders = Holders::default();
    holders.set(&"two".into(), vec!["a".into()]);
    holders.set(&"one".into(), vec!["a".into(), "b".into()]);
    assert_eq!(of(&holders, "a"), ["one".into(), "two".into()]);
    holders.set(&"one".into(), vec!["b".into(), "c".into()]);
    assert_eq!(of(&holders, "a"), ["two".into()]);
    assert_eq!(of(&holders, "c"), ["one".into()]);
    holders.remove("one");
    assert_eq!(of(&holders, "b"), Vec::<Arc<str>>::new());
}
