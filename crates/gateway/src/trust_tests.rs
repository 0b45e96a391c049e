use barleyspar_catalog::HeaderOwner;
use http::{HeaderMap, HeaderName, HeaderValue};
use quickcheck::{Gen, QuickCheck};

use super::{headers_to_caller, headers_to_runner};

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
        let name: HeaderName = name.parse().expect("the name is valid");
        headers.append(
            name,
            HeaderValue::from_str(value).expect("the value is valid"),
        );
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
    assert_eq!(headers_to_runner(owner, &sent), expected);
}

#[test]
fn headers_named_in_the_connection_header_are_dropped() {
    let sent = headers(&[("connection", "close, private"), ("private", "1")]);
    let forwarded = headers_to_runner(owner, &sent);
    assert!(!forwarded.contains_key("private"));
    assert!(!headers_to_caller(owner, &sent).contains_key("private"));
}

#[test]
fn a_runners_signature_reaches_the_caller() {
    let sent = headers(&[("signature", "1"), ("close", "2")]);
    assert_eq!(
        headers_to_caller(owner, &sent),
        headers(&[("signature", "1")])
    );
}

/// Checks for an arbitrary head that no header owned by the system, the runner or the
/// connection reaches a runner, and that each header that callers own does, unless the
/// `Connection` header names it.
fn boundary_holds(picks: Vec<(u8, u8)>, hop_by_hop: Vec<u8>) -> bool {
    let names = ["own", "other", "hold", "tenant", "close", "signature"];
    let name = |number: u8| names[usize::from(number) % names.len()];
    let mut sent = HeaderMap::new();
    for (number, value) in &picks {
        let name = HeaderName::from_static(name(*number));
        sent.append(name, HeaderValue::from(u64::from(*value)));
    }
    let hop_by_hop: Vec<&str> = hop_by_hop.into_iter().map(name).collect();
    let list =
        HeaderValue::from_str(&hop_by_hop.join(", ")).expect("header names are valid values");
    sent.append("connection", list);
    let forwarded = headers_to_runner(owner, &sent);
    let may_cross = |name: &str| matches!(name, "own" | "other") && !hop_by_hop.contains(&name);
    let is_unchanged = |name: &&str| {
        let values = |headers: &HeaderMap| Vec::from_iter(headers.get_all(*name).iter().cloned());
        values(&sent) == values(&forwarded)
    };
    forwarded
        .keys()
        .all(|name| name == "connection" || may_cross(name.as_str()))
        && names
            .iter()
            .filter(|name| may_cross(name))
            .all(is_unchanged)
}

#[test]
fn the_trust_boundary_holds_for_arbitrary_heads() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 1))
        .tests(500)
        .quickcheck(boundary_holds as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
}
