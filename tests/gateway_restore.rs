//! Gateway processes meet a store that comes back from an older copy.

mod gateway_env;

use arbutusshelf_bench::rows::RowStoreFault;
use gateway_env::{GatewayProcess, HOST, TestDeployment, entry, route};
use hyper::Method;
use serde_json::{Value, json};

/// Returns two loopback addresses in ascending order. They depend on the process id, so that parallel test
/// runs do not collide, and use a port outside the ephemeral range.
fn seed_addresses(port: u16) -> [std::net::SocketAddr; 2] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    [1, 2].map(|host| ([127, 200 + high % 50, low, host], port).into())
}

fn entry_with_sequence(
    worker: &arbutusshelf_bench::worker::WorkerStandIn,
    state: &str,
    sequence: u64,
) -> Value {
    let mut entry = entry(worker.address, "plan", state);
    entry["status"]["seq"] = json!(sequence);
    entry
}

async fn status(deployment: &TestDeployment, gateway: &GatewayProcess, path: &str, id: &str) -> u16 {
    let response = deployment.send(gateway.callers, Method::GET, path, id).await;
    response.unwrap_or_else(|e| panic!("no answer from {HOST}: {e:?}")).status
}

#[tokio::test]
async fn a_drained_target_stays_unused_and_new_ones_are_known_after_a_restore() {
    let deployment = TestDeployment::start().await;
    let (leaving, staying) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
    let gateway = deployment.gateway("one", &json!({})).await;
    let copy = deployment.store.copy();
    deployment.store.put_json("servers", "i-1", &entry_with_sequence(&leaving, "draining", 2));
    deployment.wait_until("the drain is known", || async { gateway.logged(&["draining=true"]) }).await;
    let before = leaving.executed_requests().len();
    deployment.store.restore(copy);
    deployment
        .wait_until("the restore is seen", || async { gateway.logged(&["event=store-restored"]) })
        .await;
    // Versions are still lower than before the restore.
    let added = deployment.worker("i-3").await;
    deployment
        .wait_until("the new target is known", || async {
            gateway.logged(&["event=target-added", "target=i-3"])
        })
        .await;
    for number in 0..20 {
        assert_eq!(status(&deployment, &gateway, "/read/x", &format!("a{number}")).await, 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
    assert!(staying.executed_requests().len() + added.executed_requests().len() >= 20);
    // What the target writes from now on counts again.
    deployment.store.put_json("servers", "i-1", &entry_with_sequence(&leaving, "ready", 4));
    deployment.wait_until("it is back", || async { gateway.logged(&["target=i-1", "draining=false"]) }).await;
}

#[tokio::test]
async fn an_instance_that_starts_after_a_restore_takes_the_newest_routes_from_a_seed() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let [seed_address, _] = seed_addresses(8_131);
    let seeds = json!([seed_address]);
    let seed = deployment.gateway("one", &json!({"peers_address": seed_address, "peer_seeds": seeds})).await;
    let copy = deployment.store.copy();
    deployment.put_routes(&[route("new", "/new/", "idempotent", "plan", 2_000)]);
    deployment
        .wait_until("the new route is in force", || async {
            status(&deployment, &seed, "/new/x", "a1").await == 200
        })
        .await;
    deployment.store.restore(copy);
    deployment
        .wait_until("the older table is kept out", || async { seed.logged(&["event=routing-kept"]) })
        .await;
    assert_eq!(status(&deployment, &seed, "/new/x", "a2").await, 200);
    let follower = deployment.gateway("two", &json!({"peer_seeds": seeds})).await;
    assert_eq!(status(&deployment, &follower, "/new/x", "a3").await, 200);
    assert_eq!(status(&deployment, &follower, "/read/x", "a4").await, 404);
}

#[tokio::test]
async fn an_instance_that_can_only_read_the_store_asks_the_seeds_for_their_routes_first() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let [seed_address, _] = seed_addresses(8_132);
    let seeds = json!([seed_address]);
    let seed = deployment.gateway("one", &json!({"peers_address": seed_address, "peer_seeds": seeds})).await;
    let copy = deployment.store.copy();
    deployment.put_routes(&[route("new", "/new/", "idempotent", "plan", 2_000)]);
    deployment
        .wait_until("the new route is in force", || async {
            status(&deployment, &seed, "/new/x", "a1").await == 200
        })
        .await;
    // The seed has lost the store for so long that it can't be followed.
    deployment.store.set_fault(RowStoreFault::Down);
    let outdated = json!({"peers_address": "127.0.0.1:0", "peer_seeds": seeds});
    let waiting = deployment.start_gateway("two", &outdated);
    deployment
        .wait_until("it reads the store", || async { waiting.logged(&["event=source source=store"]) })
        .await;
    seed.signal("STOP");
    deployment.store.restore(copy);
    seed.signal("CONT");
    deployment.store.set_fault(RowStoreFault::None);
    deployment
        .wait_until("it is ready", || async {
            deployment.caller.get(waiting.ready, "/ready").await.is_ok_and(|r| r.status == 200)
        })
        .await;
    assert_eq!(status(&deployment, &waiting, "/new/x", "a2").await, 200);
    assert!(!waiting.logged(&["event=routing-in-force", "version=00000003"]));
}

// Guards against targets that are used after they have left, by an instance that starts once the store has come back from
// a copy which still lists them: the seeds know better, and passed the copy's rows on.
#[tokio::test]
async fn an_instance_that_starts_after_a_restore_does_not_use_a_target_that_has_left() {
    let deployment = TestDeployment::start().await;
    let (leaving, _staying) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
    let [seed_address, _] = seed_addresses(8_133);
    let seeds = json!([seed_address]);
    let seed = deployment.gateway("one", &json!({"peers_address": seed_address, "peer_seeds": seeds})).await;
    let knows = || async { seed.logged(&["event=target-added", "target=i-1"]) };
    deployment.wait_until("the target is known", knows).await;
    let copy = deployment.store.copy();
    deployment.store.remove("servers", "i-1");
    let is_removed = || async { seed.logged(&["event=target-removed", "target=i-1"]) };
    deployment.wait_until("the target is removed", is_removed).await;
    let before = leaving.executed_requests().len();
    deployment.store.restore(copy);
    let is_restored = || async { seed.logged(&["event=store-restored"]) };
    deployment.wait_until("the restore is seen", is_restored).await;
    let started = deployment.gateway("two", &json!({"peer_seeds": seeds})).await;
    let follows = || async { started.logged(&["event=source ", "distance=1"]) };
    deployment.wait_until("it follows the seed", follows).await;
    for number in 0..20 {
        assert_eq!(status(&deployment, &started, "/read/x", &format!("a{number}")).await, 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
    // What the target writes from now on counts again, there, too.
    deployment.store.put_json("servers", "i-1", &entry_with_sequence(&leaving, "ready", 4));
    let is_back = || async { started.logged(&["event=target-added", "target=i-1"]) };
    deployment.wait_until("it is back", is_back).await;
}
