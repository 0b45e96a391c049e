use barleyspar_catalog::HeaderOwner;
use http::{HeaderMap, HeaderName, HeaderValue};
use quickcheck::{Gen, QuickCheck};

use super::{to_caller, to_runner};

const OWNERS: [(&str, HeaderOwner); 5] = [
    ("own", HeaderOwner::Caller),
    ("hold", HeaderOwner::System),
    ("tenant", HeaderOwner::System),
    ("close", HeaderOwner::Hop),
    ("signature", HeaderOwner::Runner),
];

fn owner(name: &HeaderName) -> HeaderOwner {
    let known = OWNERS.iter().find(|(known, _)| *known == name.as_str());
    known.map_or(HeaderOwner::Caller, |(_, owner)| *owner)
}

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().expect("it is a name");
        headers.append(name, HeaderValue::from_str(value).expect("it is a value"));
    }
    headers
}

#[test]
fn only_the_callers_own_headers_reach_a_runner() {
    let sent = headers(&[
        ("own", "1"),
        ("own", "2"),
        ("unheard-of", "3"),
        ("hold", "4"),
        ("tenant", "5"),
        ("close", "6"),
        ("signature", "7"),
    ]);
    let expected = headers(&[("own", "1"), ("own", "2"), ("unheard-of", "3")]);
    assert_eq!(to_runner(owner, &sent), expected);
}

#[test]
fn what_a_sender_names_as_its_connections_goes_no_further() {
    let sent = headers(&[("connection", "close, private"), ("private", "1")]);
    let kept = to_runner(owner, &sent);
    assert!(!kept.contains_key("private"));
    assert!(!to_caller(owner, &sent).contains_key("private"));
}

#[test]
fn a_runners_signature_reaches_the_caller() {
    let sent = headers(&[("signature", "1"), ("close", "2")]);
    assert_eq!(to_caller(owner, &sent), headers(&[("signature", "1")]));
}

/// Whatever a head looks like, nothing of the system's, the runner's or the
/// connection's passes, and each of the caller's own that the head does not name
/// as its connection's does.
fn boundary_holds(picks: Vec<(u8, u8)>, named: Vec<u8>) -> bool {
    let names = ["own", "other", "hold", "tenant", "close", "signature"];
    let name = |number: u8| names[usize::from(number) % names.len()];
    let mut sent = HeaderMap::new();
    for (number, value) in &picks {
        let name = HeaderName::from_static(name(*number));
        sent.append(name, HeaderValue::from(u64::from(*value)));
    }
    let named: Vec<&str> = named.into_iter().map(name).collect();
    let list = HeaderValue::from_str(&named.join(", ")).expect("names are values");
    sent.append("connection", list);
    let kept = to_runner(owner, &sent);
    let may_cross = |name: &str| matches!(name, "own" | "other") && !named.contains(&name);
    let whole = |name: &&str| {
        let values = |headers: &HeaderMap| Vec::from_iter(headers.get_all(*name).iter().cloned());
        values(&sent) == values(&kept)
    };
    kept.keys()
        .all(|name| name == "connection" || may_cross(name.as_str()))
        && names.iter().filter(|name| may_cross(name)).all(whole)
}

#[test]
fn the_trust_boundary_holds_for_arbitrary_heads() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 1))
        .tests(500)
        .quickcheck(boundary_holds as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
}
