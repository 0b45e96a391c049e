use std::sync::Arc;

use super::Holders;

fn of(holders: &Holders, model: &str) -> Vec<Arc<str>> {
    holders.of(model).cloned().collect()
}

fn models(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn a_runner_stands_with_the_models_that_it_was_last_said_to_hold() {
    let mut holders = Holders::default();
    let (one, two) = ("one".into(), "two".into());
    holders.change(&two, &[], &models(&["a"]));
    holders.change(&one, &[], &models(&["a", "b"]));
    assert_eq!(of(&holders, "a"), ["one".into(), "two".into()]);
    holders.change(&one, &models(&["a", "b"]), &models(&["b", "c"]));
    assert_eq!(of(&holders, "a"), ["two".into()]);
    assert_eq!(of(&holders, "c"), ["one".into()]);
    holders.change(&one, &models(&["b", "c"]), &[]);
    assert_eq!(of(&holders, "b"), Vec::<Arc<str>>::new());
}
