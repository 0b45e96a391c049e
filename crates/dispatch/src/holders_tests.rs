use std::sync::Arc;

use super::Holders;

fn possible_holders(holders: &Holders, model: &str) -> Vec<Arc<str>> {
    holders.possible_holders(model).cloned().collect()
}

fn models(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn a_runner_is_listed_under_its_last_models() {
    let mut holders = Holders::default();
    let (one, two) = ("one".into(), "two".into());
    holders.replace_models(&two, &[], &models(&["a"]));
    holders.replace_models(&one, &[], &models(&["a", "b"]));
    assert_eq!(
        possible_holders(&holders, "a"),
        ["one".into(), "two".into()]
    );
    holders.replace_models(&one, &models(&["a", "b"]), &models(&["b", "c"]));
    assert_eq!(possible_holders(&holders, "a"), ["two".into()]);
    assert_eq!(possible_holders(&holders, "c"), ["one".into()]);
    holders.replace_models(&one, &models(&["b", "c"]), &[]);
    assert_eq!(possible_holders(&holders, "b"), Vec::<Arc<str>>::new());
}
