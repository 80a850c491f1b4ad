//! Routing tables come into force in time, as a whole or not at all.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::{
    relay::{LinkFault, Relay},
    worker::WorkerMode,
};
use gateway_env::{GatewayProcess, TestDeployment, route};
use hyper::Method;
use serde_json::{Value, json};

/// Time within which a change must be in force (`configApplyS`).
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Routes of a table that fills most of the largest response of the users' store, 1 MB.
const LARGE_TABLE_ROUTES: usize = 3_200;

fn large_table(added: &str) -> Vec<Value> {
    let prefixes = (0..LARGE_TABLE_ROUTES).map(|number| format!("/padding-{number}/"));
    let mut routes = prefixes.map(|p| route("padding", &p, "idempotent", "plan", 2_000)).collect::<Vec<_>>();
    routes.push(route("read", "/read/", "idempotent", "plan", 2_000));
    routes.push(route("added", added, "idempotent", "plan", 2_000));
    routes
}

async fn status(deployment: &TestDeployment, gateway: &GatewayProcess, path: &str) -> u16 {
    let response = deployment.send(gateway.callers, Method::GET, path, "a1").await;
    response.map_or(0, |response| response.status)
}

/// Waits until a route is served, and returns how long that took since `since`.
async fn served_after(
    deployment: &TestDeployment,
    gateway: &GatewayProcess,
    prefix: &str,
    since: Instant,
) -> Duration {
    let is_served = || async { status(deployment, gateway, prefix).await == 200 };
    deployment.wait_until(&format!("{prefix} is served"), is_served).await;
    since.elapsed()
}

// Guards against an instance that never reads a large routing table to its end, since it arrives more slowly than a
// poll may take, and asks for it again from the start.
#[tokio::test]
async fn a_large_routing_table_over_a_slow_link_is_in_force_in_time() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    relay.set_fault(LinkFault::Limited);
    let gateway = deployment.gateway("one", &json!({"store_address": relay.address})).await;
    for number in 0..6 {
        let prefix = format!("/added-{number}/");
        // The change comes at different moments of a poll, which lasts 0.6 s.
        tokio::time::sleep(Duration::from_millis(100 * number)).await;
        deployment.put_routes(&large_table(&prefix));
        let took = served_after(&deployment, &gateway, &prefix, Instant::now()).await;
        assert!(took < MAX_DELAY, "version {number}: {took:?}");
    }
}

// Guards against an instance that gets all versions of the routing table which it has missed in one response, and
// refuses that for its size again and again.
#[tokio::test]
async fn versions_missed_in_an_outage_are_caught_up_with_in_time() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let gateway = deployment.gateway("one", &json!({"store_address": relay.address})).await;
    deployment.put_routes(&large_table("/before/"));
    served_after(&deployment, &gateway, "/before/", Instant::now()).await;
    relay.set_fault(LinkFault::Down);
    for _ in 0..8 {
        deployment.put_routes(&large_table("/missed/"));
    }
    deployment.put_routes(&large_table("/last/"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    relay.set_fault(LinkFault::None);
    let took = served_after(&deployment, &gateway, "/last/", Instant::now()).await;
    assert!(took < MAX_DELAY, "it took {took:?}");
}

// Guards against instances that stay with a seed which reads the targets from the store but not the routing table, and
// so hear of no change of the routes although others could read it.
#[tokio::test]
async fn a_seed_that_cannot_read_the_routing_table_keeps_no_other_from_it() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let seed = deployment.gateway("seed", &json!({"store_address": relay.address})).await;
    let seeds = json!({"peer_seeds": [seed.peers]});
    let followers = [deployment.gateway("one", &seeds).await, deployment.gateway("two", &seeds).await];
    for follower in &followers {
        deployment
            .wait_until("it follows the seed", || async { follower.logged(&["event=source", "distance=1"]) })
            .await;
    }
    deployment.store.set_delay_at(relay.address, "op", Duration::from_mins(1));
    // Longer than a poll that began before.
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.put_routes(&[route("added", "/added/", "idempotent", "plan", 2_000)]);
    let since = Instant::now();
    for follower in &followers {
        let took = served_after(&deployment, follower, "/added/", since).await;
        assert!(took < MAX_DELAY, "it took {took:?}");
    }
}

// Guards against followers that all read the store as soon as their seed can't read the routing table, although another
// seed can.
#[tokio::test]
async fn followers_turn_to_a_seed_that_reads_the_routing_table() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let mut seeds = Vec::new();
    for name in ["s-1", "s-2"] {
        let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
        let seed = deployment.gateway(name, &json!({"store_address": relay.address})).await;
        seeds.push((seed, relay));
    }
    let addresses = json!({"peer_seeds": seeds.iter().map(|(seed, _)| seed.peers).collect::<Vec<_>>()});
    let follower = deployment.gateway("f-1", &addresses).await;
    let follows = || async { follower.logged(&["event=source ", "distance=1"]) };
    deployment.wait_until("it follows a seed", follows).await;
    let is_followed = |seed: &GatewayProcess| follower.logged(&[&format!("source={}", seed.peers)]);
    let (_followed, relay) = seeds.iter().find(|(seed, _)| is_followed(seed)).expect("a seed is followed");
    deployment.store.set_delay_at(relay.address, "op", Duration::from_mins(1));
    deployment.put_routes(&[route("added", "/added/", "idempotent", "plan", 2_000)]);
    let took = served_after(&deployment, &follower, "/added/", Instant::now()).await;
    assert!(took < MAX_DELAY, "it took {took:?}");
    assert!(!follower.logged(&["event=source", "source=store"]), "{:#?}", follower.log());
}

/// Time for which a routing table that nobody can read is watched, in which followers check for other sources at least
/// twice.
const UNREADABLE_TIME: Duration = Duration::from_secs(5);

// Guards against followers that leave their seed for the store while nobody can read the routing table, and make their
// calls for the targets, too; and against ones that then never ask again, while the seed alone still can't read it.
#[tokio::test]
async fn followers_stay_while_nobody_can_read_the_routing_table_and_leave_when_they_can() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let seed = deployment.gateway("seed", &json!({"store_address": relay.address})).await;
    let follower = deployment.gateway("one", &json!({"peer_seeds": [seed.peers]})).await;
    let follows = || async { follower.logged(&["event=source ", "distance=1"]) };
    deployment.wait_until("it follows the seed", follows).await;
    deployment.store.set_delay_at(relay.address, "op", Duration::from_mins(1));
    deployment.store.set_delay("op", Duration::from_mins(1));
    tokio::time::sleep(UNREADABLE_TIME).await;
    assert!(!follower.logged(&["event=source-lost"]), "{:#?}", follower.log());
    deployment.store.set_delay("op", Duration::ZERO);
    deployment.put_routes(&[route("added", "/added/", "idempotent", "plan", 2_000)]);
    let since = Instant::now();
    let took = served_after(&deployment, &follower, "/added/", since).await;
    // The follower learns by its own next check that the store answers again.
    assert!(took < MAX_DELAY * 2, "it took {took:?}");
}

/// Returns a route with one fault, by the name of the fault.
fn invalid_routes() -> Vec<(&'static str, Value)> {
    let with = |field: &str, value: Value| {
        let mut route = route("good", "/good/", "idempotent", "plan", 2_000);
        route["spec"][field] = value;
        route
    };
    let mut without_attempts = route("good", "/good/", "idempotent", "plan", 2_000);
    without_attempts["spec"].as_object_mut().expect("a route").remove("maxAttempts");
    let no_weight = json!([{"service": "plan", "weight": 0}]);
    let unknown_backend = json!([{"service": "plan", "weight": 1}, {"service": "elsewhere", "weight": 1}]);
    vec![
        ("prefix without closing slash", with("prefix", json!("/good"))),
        ("no prefix", with("prefix", json!(""))),
        ("no attempts", with("maxAttempts", json!(0))),
        ("attempts missing", without_attempts),
        ("no weight", with("backends", no_weight)),
        ("no backend", with("backends", json!([]))),
        ("unknown service", with("service", json!("elsewhere"))),
        ("unknown service of a backend", with("backends", unknown_backend)),
        ("time-out below zero", with("timeoutS", json!(-1))),
        ("not a route", json!({"resourceKind": "routes", "metadata": {"name": "good"}, "spec": 7})),
    ]
}

// Guards against a routing table that is put in force in part: with one faulty route in it, callers of that route got
// 404 from all instances although it was in force before, and the other routes changed.
#[tokio::test]
async fn an_invalid_routing_table_changes_nothing() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let added = |name: &str| route("added", name, "idempotent", "plan", 2_000);
    for (number, (fault, invalid)) in invalid_routes().into_iter().enumerate() {
        let prefix = format!("/valid-{number}/");
        deployment.put_routes(&[route("good", "/good/", "idempotent", "plan", 2_000), added(&prefix)]);
        let took = served_after(&deployment, &gateway, &prefix, Instant::now()).await;
        assert!(took < MAX_DELAY, "the valid table before {fault:?} took {took:?}");
        let version = deployment.put_routes(&[invalid, added("/in-part/")]);
        let words = ["event=routing-invalid", &format!("version={version:08x}")];
        deployment.wait_until(&format!("{fault:?} is logged"), || async { gateway.logged(&words) }).await;
        for (path, expected) in [("/good/x", 200), (prefix.as_str(), 200), ("/in-part/x", 404)] {
            assert_eq!(status(&deployment, &gateway, path).await, expected, "{fault:?}: {path}");
        }
    }
    deployment.store.put_bytes("op", "config", b"{\"version\": ");
    deployment
        .wait_until("the fault is logged", || async {
            gateway.logged(&["event=routing-invalid", "version=none"])
        })
        .await;
    assert_eq!(status(&deployment, &gateway, "/good/x").await, 200);
}

// Guards against a valid version that is skipped because an invalid one came right after it, in the same response.
#[tokio::test]
async fn a_valid_routing_table_before_an_invalid_one_is_in_force() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let gateway = deployment.gateway("one", &json!({"store_address": relay.address})).await;
    relay.set_fault(LinkFault::Down);
    deployment.wait_until("the store is lost", || async { gateway.logged(&["event=store-lost"]) }).await;
    deployment.put_routes(&[route("added", "/added/", "idempotent", "plan", 2_000)]);
    deployment.put_routes(&[route("bad", "/bad", "idempotent", "plan", 2_000)]);
    relay.set_fault(LinkFault::None);
    let took = served_after(&deployment, &gateway, "/added/", Instant::now()).await;
    assert!(took < MAX_DELAY, "it took {took:?}");
}

// Guards against an instance that starts while the store has an invalid routing table only, and answers 404 for
// what other instances serve.
#[tokio::test]
async fn an_instance_that_starts_beside_an_invalid_routing_table_gets_the_valid_one_or_is_not_ready() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let seed = deployment.gateway("seed", &json!({})).await;
    let version = deployment.put_routes(&[route("bad", "/bad", "idempotent", "plan", 2_000)]);
    let words = ["event=routing-invalid", &format!("version={version:08x}")];
    deployment.wait_until("the fault is logged", || async { seed.logged(&words) }).await;
    let follower = deployment.gateway("follower", &json!({"peer_seeds": [seed.peers]})).await;
    assert_eq!(status(&deployment, &follower, "/read/x").await, 200);
    assert_eq!(status(&deployment, &seed, "/read/x").await, 200);
    let alone = deployment.start_gateway("alone", &json!({"peer_seeds": []}));
    deployment.wait_until("the fault is logged", || async { alone.logged(&words) }).await;
    for path in ["/read/x", "/bad/x"] {
        assert_eq!(status(&deployment, &alone, path).await, 503, "{path}");
    }
    let ready = deployment.caller.get(alone.ready, "/ready").await.expect("an answer");
    assert_eq!(ready.status, 503);
    deployment.put_routes(&[route("added", "/added/", "idempotent", "plan", 2_000)]);
    let since = Instant::now();
    for gateway in [&seed, &follower, &alone] {
        let took = served_after(&deployment, gateway, "/added/", since).await;
        assert!(took < MAX_DELAY, "it took {took:?}");
    }
}

// Guards against a valid table of a later release of the platform that is refused for what this release doesn't know.
#[tokio::test]
async fn what_a_later_release_adds_is_no_fault() {
    let deployment = TestDeployment::start().await;
    let workers = [deployment.worker("i-1").await, deployment.worker("i-2").await];
    let gateway = deployment.gateway("one", &json!({})).await;
    let mut with_field = route("field", "/field/", "idempotent", "plan", 2_000);
    with_field["spec"]["compressionLevel"] = json!(3);
    with_field["annotations"] = json!({"team": "archive"});
    let quota = json!({"resourceKind": "quotas", "metadata": {"name": "q"}, "spec": {"perS": 7}});
    let unknown_kind = route("kind", "/kind/", "streaming", "plan", 2_000);
    deployment.put_routes(&[with_field, quota, unknown_kind]);
    let took = served_after(&deployment, &gateway, "/field/x", Instant::now()).await;
    assert!(took < MAX_DELAY, "it took {took:?}");
    deployment
        .wait_until("there is a budget for repeats", || async {
            gateway.logged(&["event=instances-counted"])
        })
        .await;
    // Nothing is known of what requests of an unknown kind allow, so they run at most once.
    for worker in &workers {
        worker.set_mode(WorkerMode::ResetConnection);
    }
    let runs = || workers.iter().map(|worker| worker.executed_requests().len()).sum::<usize>();
    for (path, expected) in [("/field/x", 2), ("/kind/x", 1)] {
        let before = runs();
        assert_eq!(status(&deployment, &gateway, path).await, 502, "{path}");
        assert_eq!(runs() - before, expected, "{path}");
    }
    assert!(!gateway.logged(&["event=routing-invalid"]));
}
