//! Models that change their size, or are no longer listed, while runners hold them.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, EngineSpec, RequestKind};
use barleyspar_standin::{World, engine_service, names, one_second_model, route};

const SECOND: Duration = Duration::from_secs(1);
/// An engine has room for two models of 45 MB; or, if they were as small when they were
/// loaded, for three of this size in megabytes.
const SMALL_MB: f64 = 32.0;
const GATEWAYS: std::ops::RangeInclusive<u8> = 1..=2;

/// Changes what the configuration lists for the engines.
fn change_engine(configuration: &mut Configuration, change: impl FnOnce(&mut EngineSpec)) {
    let service = configuration.services.get_mut("engine");
    let service = Arc::make_mut(service.expect("the service exists"));
    change(service.engine.as_mut().expect("the service has an engine"));
}

/// No longer lists these models.
fn retire(world: &mut World, models: &[&str]) {
    world.configure(|configuration| {
        change_engine(configuration, |engine| {
            engine.models.retain(|name, _| !models.contains(&&**name));
        });
    });
}

/// Lists these models with weights of `weights_mb`.
fn list(world: &mut World, models: &[&str], weights_mb: f64) {
    world.configure(|configuration| {
        change_engine(configuration, |engine| {
            for name in models {
                let mut spec = one_second_model();
                spec.weights_mb = weights_mb;
                engine.models.insert((*name).into(), spec);
            }
        });
    });
}

/// Two engines that hold two models each, and two gateways.
async fn world() -> World {
    world_of(&["engine-1", "engine-2"]).await
}

/// These engines, which hold two models each, and two gateways.
async fn world_of(engines: &[&str]) -> World {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b", "c", "d"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    for id in engines {
        world.start_runner(id, "engine", &["a", "b"]);
    }
    world.start_gateways(GATEWAYS).await;
    world.run_for(3 * SECOND).await;
    world
}

/// Kills all gateways, and starts them again after the lease of their leader has ended.
async fn restart_gateways(world: &mut World) {
    for number in GATEWAYS {
        world.kill_gateway(number);
    }
    world.run_for(SECOND).await;
    world.start_gateways(GATEWAYS).await;
    world.run_for(10 * SECOND).await;
}

/// Asks for these models and checks that they are served and that no engine was ordered to
/// load more than it holds.
async fn assert_served_within_memory(world: &World, models: &[&str]) {
    for (number, model) in models.iter().enumerate() {
        let answer = world
            .request(1, "/stream/x", &format!("{model}-{number}"), Some(model))
            .await;
        assert_eq!((answer.code(), answer.complete), (200, true), "{model}");
    }
    for (id, runner) in &world.runners {
        assert!(!runner.overcommitted(), "{id} was ordered over its memory");
    }
}

#[tokio::test(start_paused = true)]
async fn retired_models_that_runners_hold_keep_their_memory() {
    let mut world = world().await;
    retire(&mut world, &["b"]);
    world.run_for(SECOND).await;
    assert_served_within_memory(&world, &["a", "c", "d", "a"]).await;
}

#[tokio::test(start_paused = true)]
async fn retired_models_keep_their_memory_after_all_gateways_have_restarted() {
    let mut world = world().await;
    retire(&mut world, &["b"]);
    world.run_for(SECOND).await;
    restart_gateways(&mut world).await;
    assert_served_within_memory(&world, &["a", "c", "d", "a"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_retired_model_that_is_listed_again_smaller_keeps_the_memory_of_its_copies() {
    let mut world = world().await;
    retire(&mut world, &["b"]);
    world.run_for(SECOND).await;
    list(&mut world, &["b"], 5.0);
    world.run_for(SECOND).await;
    assert_served_within_memory(&world, &["a", "c", "d", "b", "a"]).await;
}

#[tokio::test(start_paused = true)]
async fn models_that_become_smaller_keep_the_memory_of_their_copies() {
    let mut world = world().await;
    list(&mut world, &["a", "b", "c", "d"], SMALL_MB);
    world.run_for(SECOND).await;
    assert_served_within_memory(&world, &["c", "d", "a", "b"]).await;
}

#[tokio::test(start_paused = true)]
async fn smaller_models_keep_the_memory_of_their_copies_after_all_gateways_have_restarted() {
    let mut world = world().await;
    list(&mut world, &["a", "b", "c", "d"], SMALL_MB);
    world.run_for(SECOND).await;
    restart_gateways(&mut world).await;
    assert_served_within_memory(&world, &["c", "d", "a", "b"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_model_that_is_retired_while_it_is_loaded_takes_its_memory() {
    let mut world = world().await;
    let loading = world.spawn_request((1, "/stream/x", Some("c")), "loading");
    world.run_for(SECOND).await;
    retire(&mut world, &["b", "c"]);
    world.run_for(4 * SECOND).await;
    assert_served_within_memory(&world, &["a", "d", "a", "d"]).await;
    loading.abort();
}

#[tokio::test(start_paused = true)]
async fn a_model_that_becomes_smaller_while_it_is_loaded_takes_the_memory_of_its_order() {
    let mut world = world().await;
    let loading = world.spawn_request((1, "/stream/x", Some("c")), "loading");
    world.run_for(SECOND).await;
    list(&mut world, &["a", "b", "c", "d"], SMALL_MB);
    world.run_for(4 * SECOND).await;
    assert_served_within_memory(&world, &["d", "a", "b", "c"]).await;
    loading.abort();
}

#[tokio::test(start_paused = true)]
async fn adapters_that_become_smaller_keep_the_memory_of_those_loaded() {
    let mut world = world_of(&["engine-1"]).await;
    let spec = |adapter_mb| {
        let mut spec = one_second_model();
        spec.adapter_mb = adapter_mb;
        spec
    };
    let list_adapters = |world: &mut World, adapter_mb| {
        world.configure(|configuration| {
            change_engine(configuration, |engine| {
                let listed = engine.models.values_mut();
                listed.for_each(|model| *model = spec(adapter_mb));
            });
        });
    };
    list_adapters(&mut world, 3.0);
    world.run_for(SECOND).await;
    let ask = async |world: &World, adapter: &str| {
        let headers = [(names::ADAPTER, adapter)];
        world
            .request_with_headers(1, "/stream/x", adapter, Some("a"), &headers)
            .await
            .code()
    };
    for adapter in ["a1", "a2", "a3"] {
        assert_eq!(ask(&world, adapter).await, 200, "{adapter}");
    }
    list_adapters(&mut world, 1.0);
    world.run_for(SECOND).await;
    for adapter in ["a4", "a5", "a6", "a7", "a8"] {
        assert_eq!(ask(&world, adapter).await, 200, "{adapter}");
    }
    assert_served_within_memory(&world, &["a"]).await;
}

#[tokio::test(start_paused = true)]
async fn engines_whose_memory_is_listed_smaller_than_what_they_hold_get_room_before_a_load() {
    let mut world = world().await;
    world.configure(|configuration| {
        change_engine(configuration, |engine| engine.memory_mb = 60.0);
    });
    world.run_for(SECOND).await;
    assert_served_within_memory(&world, &["c", "a"]).await;
    for runner in world.runners.values() {
        let models = ["a", "b", "c", "d"];
        let held = models.iter().filter(|model| runner.has_loaded(model));
        assert!(held.count() <= 2);
    }
}

#[tokio::test(start_paused = true)]
async fn engines_that_started_with_less_memory_than_is_listed_now_do_not_get_more() {
    let mut world = world().await;
    world.configure(|configuration| {
        change_engine(configuration, |engine| {
            (engine.memory_mb, engine.adapter_capacity) = (200.0, 20);
        });
    });
    world.run_for(SECOND).await;
    assert_served_within_memory(&world, &["c", "d", "a"]).await;
    let started_since = world.start_runner("engine-3", "engine", &[]);
    world.run_for(3 * SECOND).await;
    started_since.publish_entry();
    assert_served_within_memory(&world, &["a", "b", "c", "d"]).await;
}

#[tokio::test(start_paused = true)]
async fn a_retired_model_that_callers_still_ask_for_is_unloaded_for_others() {
    let mut world = world().await;
    retire(&mut world, &["b"]);
    world.run_for(SECOND).await;
    let stale: Vec<_> = (0..4)
        .map(|number| world.spawn_request((1, "/stream/x", Some("b")), &format!("stale-{number}")))
        .collect();
    assert_served_within_memory(&world, &["c", "d"]).await;
    stale.iter().for_each(|request| request.abort());
}

#[tokio::test(start_paused = true)]
async fn models_of_which_no_size_is_on_record_are_unloaded_before_a_load() {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b", "c"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    world.start_runner("engine-1", "engine", &["a", "b"]);
    retire(&mut world, &["b"]);
    world.start_gateways(GATEWAYS).await;
    world.run_for(3 * SECOND).await;
    assert_served_within_memory(&world, &["c", "a"]).await;
}
