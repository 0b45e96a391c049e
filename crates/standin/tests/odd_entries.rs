//! One odd entry among those of the runners harms nobody: it is refused, or only itself unusable.

use std::net::SocketAddr;
use std::time::Duration;

use barleyspar_catalog::{Runner, incarnation_id};
use barleyspar_standin::World;
use bytes::Bytes;

const SECOND: Duration = Duration::from_secs(1);
/// Number of requests of each kind.
const REQUESTS: usize = 20;

fn encode(runner: &Runner) -> Bytes {
    let bytes = rmp_serde::to_vec_named(runner).expect("a runner is serializable");
    bytes.into()
}

fn entry(world: &World, name: &str) -> Runner {
    let value = world.store.get(&format!("runner/{name}"));
    rmp_serde::from_slice(&value.expect("the entry exists")).expect("the entry is readable")
}

/// Replaces the number that follows `field` in an encoded entry by the largest one of 32 bits.
fn with_largest_number(entry: &Bytes, field: &str) -> Bytes {
    let name_length = 0xa0 | u8::try_from(field.len()).expect("the name is short");
    let name = [&[name_length], field.as_bytes()].concat();
    let is_name = |window: &[u8]| window == name;
    let found = entry.windows(name.len()).position(is_name);
    let number = found.expect("the entry has the field") + name.len();
    let rest = &entry[number + 1..];
    [&entry[..number], &[0xce, 0xff, 0xff, 0xff, 0xff], rest]
        .concat()
        .into()
}

/// A runner like `like` under a name and at an address of its own.
fn another(world: &World, like: &str) -> Runner {
    let mut runner = entry(world, like);
    runner.name = "odd".into();
    runner.id = incarnation_id(&runner.name, runner.born);
    runner.address = "10.9.9.9:7000".parse().expect("the address is valid");
    runner
}

/// Odd entries beside one like `like`, each with a label.
fn odd_entries(world: &World, like: &str) -> Vec<(&'static str, Bytes)> {
    const FAR: Duration = Duration::from_secs(1_000_000_000);
    let changed = |change: &dyn Fn(&mut Runner)| {
        let mut runner = another(world, like);
        change(&mut runner);
        encode(&runner)
    };
    let store: SocketAddr = World::store_address();
    vec![
        ("nested arrays", vec![0x91; 200_000].into()),
        ("nested maps", [0x81, 0xa1, 0x61].repeat(60_000).into()),
        ("bytes", vec![0xff; 1000].into()),
        ("slots", with_largest_number(&changed(&|_| {}), "slots")),
        ("heartbeat", changed(&|runner| runner.heartbeat = u64::MAX)),
        ("born", changed(&|runner| runner.born = Some(u64::MAX))),
        ("warming", changed(&|runner| runner.warming = FAR)),
        ("remaining", changed(&|runner| runner.remaining = Some(FAR))),
        ("port", changed(&|runner| runner.address.set_port(0))),
        ("store's address", changed(&|runner| runner.address = store)),
        (
            "long name",
            changed(&|runner| runner.id = "n".repeat(60_000).into()),
        ),
        (
            "model version",
            changed(&|runner| {
                let models = runner.models.iter_mut();
                models.for_each(|model| model.version = u64::MAX);
            }),
        ),
    ]
}

/// Number of the requests that are served, of reads, writes and streams.
async fn served(world: &World) -> [usize; 3] {
    let kinds = [
        ("/read/x", None),
        ("/write/x", None),
        ("/stream/x", Some("a")),
    ];
    let mut served = [0; 3];
    for number in 0..REQUESTS {
        for (kind, (path, model)) in kinds.iter().enumerate() {
            let id = format!("r-{kind}-{number}");
            let gateway = 1 + (number % 2) as u8;
            let answer = world.request(gateway, path, &id, *model);
            let answer = tokio::time::timeout(30 * SECOND, answer).await;
            let is_served = answer.is_ok_and(|answer| answer.code() == 200 && answer.complete);
            served[kind] += usize::from(is_served);
        }
    }
    served
}

async fn serve_beside_odd_entries_like(like: &str) {
    let labels: Vec<&str> = odd_entries(&World::two_of_each(1..=2).await, like)
        .into_iter()
        .map(|(label, _)| label)
        .collect();
    for (index, label) in labels.into_iter().enumerate() {
        let world = World::two_of_each(1..=2).await;
        let (_, value) = odd_entries(&world, like).swap_remove(index);
        world.store.put("runner/odd", value);
        world.run_for(3 * SECOND).await;
        let served = served(&world).await;
        // A write that reached the address of the odd entry may not be sent again.
        let lost = if like.starts_with("plain") { 2 } else { 0 };
        assert_eq!((served[0], served[2]), (REQUESTS, REQUESTS), "{label}");
        assert!(served[1] + lost >= REQUESTS, "{label}: {served:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_odd_entry_of_a_plain_runner_stops_no_gateway() {
    serve_beside_odd_entries_like("plain-1").await;
}

#[tokio::test(start_paused = true)]
async fn an_odd_entry_of_an_engine_stops_no_gateway() {
    serve_beside_odd_entries_like("engine-1").await;
}

/// Whether gateways use plain-1 again, the only runner left, after an odd entry under its own key.
async fn is_used_after(make_odd: impl Fn(&Runner) -> Bytes) -> bool {
    let world = World::two_of_each(1..=2).await;
    world.store.remove("runner/plain-2");
    world.runners["plain-2"].crash(&world.network);
    let odd = make_odd(&entry(&world, "plain-1"));
    world.store.put("runner/plain-1", odd);
    world.run_for(2 * SECOND).await;
    // The runner finds another entry in place of its own, and writes its own again.
    world.runners["plain-1"].publish_entry();
    world.run_for(10 * SECOND).await;
    let mut answers = Vec::new();
    for gateway in 1..=2 {
        let id = format!("after-{gateway}");
        answers.push(world.request(gateway, "/write/x", &id, None).await.code());
    }
    answers == [200, 200]
}

#[tokio::test(start_paused = true)]
async fn a_runner_is_used_again_after_an_entry_of_its_name_that_states_a_far_start() {
    let odd = |runner: &Runner| {
        let mut runner = runner.clone();
        runner.born = Some(u64::MAX);
        runner.id = incarnation_id(&runner.name, runner.born);
        runner.address.set_port(1);
        encode(&runner)
    };
    assert!(is_used_after(odd).await);
}

#[tokio::test(start_paused = true)]
async fn a_runner_is_used_again_after_an_entry_of_its_name_with_a_far_heartbeat() {
    let odd = |runner: &Runner| {
        let mut runner = runner.clone();
        runner.heartbeat = u64::MAX;
        runner.address.set_port(1);
        encode(&runner)
    };
    assert!(is_used_after(odd).await);
}

#[tokio::test(start_paused = true)]
async fn a_runner_is_used_again_after_an_unreadable_entry_of_its_name() {
    let odd = |runner: &Runner| with_largest_number(&encode(runner), "slots");
    assert!(is_used_after(odd).await);
}
