//! Large routing tables reach the followers of a seed in time, and hold up nothing else.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf::gateway::replication_server::MAX_UPDATE_BYTES;
use arbutusshelf_bench::relay::{LinkFault, Relay};
use gateway_env::{GatewayProcess, TestDeployment, route};
use serde_json::{Value, json};

/// Time within which a change must be in force (`configApplyS`, `drainS`).
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Time that the store takes to return the table.
const READ_TIME: Duration = Duration::from_secs(2);

/// Time after which a small change has reached a follower; the seed gathers changes for 0.2 s.
const SMALL_CHANGE_DELAY: Duration = Duration::from_millis(900);

/// A seed, and a follower with a way of its own to the store.
struct Follower {
    deployment: TestDeployment,
    relay: Relay,
    _seed: GatewayProcess,
    process: GatewayProcess,
}

impl Follower {
    async fn start() -> Self {
        let deployment = TestDeployment::start().await;
        let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
        let seed = deployment.gateway("seed", &json!({})).await;
        let settings = json!({"peer_seeds": [seed.peers], "store_address": relay.address});
        let follower = deployment.gateway("follower", &settings).await;
        let follows = || async { follower.logged(&["event=source ", "distance=1"]) };
        deployment.wait_until("it follows the seed", follows).await;
        Self { deployment, relay, _seed: seed, process: follower }
    }

    /// Waits until the follower has logged a line, and returns how long it took since `since`.
    async fn logged_after(&self, words: &[&str], since: Instant) -> Duration {
        let logged = || async { self.process.logged(words) };
        self.deployment.wait_until(&words.join(" "), logged).await;
        since.elapsed()
    }
}

/// Routes whose names can't be compressed to [`MAX_UPDATE_BYTES`].
fn large_table() -> Vec<Value> {
    let part = |_| format!("{:016x}", rand::random::<u64>());
    let name = |_| (0..125).map(part).collect::<Vec<_>>().concat();
    let routes = (0..400).map(name).enumerate();
    let routes = routes.map(|(i, name)| route(&name, &format!("/r{i}/"), "idempotent", "plan", 2_000));
    let routes = routes.collect::<Vec<_>>();
    assert!(json!(routes).to_string().len() > MAX_UPDATE_BYTES * 2);
    routes
}

// Guards against targets that are used after they have left, and instances that are taken for current, because a large
// routing table on its way holds up everything else that the followed instance sends.
#[tokio::test]
async fn a_large_table_holds_up_no_change_of_the_targets() {
    let instances = Follower::start().await;
    let deployment = &instances.deployment;
    let _stays = deployment.worker("i-stays").await;
    let leaver = deployment.worker("i-leaves").await;
    instances.logged_after(&["event=target-added", "target=i-leaves"], Instant::now()).await;
    deployment.store.set_delay_at(instances.relay.address, "op", READ_TIME);
    deployment.put_routes(&large_table());
    // The seed has passed the version on, and the follower has begun to read it.
    tokio::time::sleep(Duration::from_millis(800)).await;
    deployment.store.remove("servers", &leaver.id);
    let took = instances.logged_after(&["event=target-removed", "target=i-leaves"], Instant::now()).await;
    assert!(took < SMALL_CHANGE_DELAY, "it took {took:?}");
    assert!(!instances.process.logged(&["event=routing-in-force", "routes=400"]), "nothing was on its way");
    instances.logged_after(&["event=routing-in-force", "routes=400"], Instant::now()).await;
}

// Guards against followers that leave their seed, each for the store, because the store failed them in one read.
#[tokio::test]
async fn a_large_table_that_cannot_be_read_ends_no_link() {
    for fault in [LinkFault::Reset, LinkFault::Down] {
        let instances = Follower::start().await;
        let deployment = &instances.deployment;
        let _stays = deployment.worker("i-stays").await;
        instances.relay.set_fault(fault);
        deployment.put_routes(&large_table());
        // The seed has passed the version on, and the follower has tried to read it.
        tokio::time::sleep(Duration::from_millis(800)).await;
        let leaver = deployment.worker("i-leaves").await;
        instances.logged_after(&["event=target-added", "target=i-leaves"], Instant::now()).await;
        deployment.store.remove("servers", &leaver.id);
        instances.logged_after(&["event=target-removed", "target=i-leaves"], Instant::now()).await;
        instances.relay.set_fault(LinkFault::None);
        let took = instances.logged_after(&["event=routing-in-force", "routes=400"], Instant::now()).await;
        assert!(took < MAX_DELAY, "{fault:?}: it took {took:?}");
        assert!(!instances.process.logged(&["event=source-lost"]), "{:#?}", instances.process.log());
    }
}

// Guards against a replica that skips a large version, since a smaller change came while it was read.
#[tokio::test]
async fn a_change_while_a_large_table_is_read_does_not_replace_it() {
    let instances = Follower::start().await;
    let deployment = &instances.deployment;
    let _stays = deployment.worker("i-stays").await;
    deployment.store.set_delay_at(instances.relay.address, "op", Duration::from_millis(600));
    for round in 0..3 {
        let mut routes = large_table();
        deployment.put_routes(&routes);
        tokio::time::sleep(Duration::from_millis(400 + 200 * round)).await;
        routes.push(route("last", &format!("/last-{round}/"), "idempotent", "plan", 2_000));
        let version = deployment.put_routes(&routes);
        let words = ["event=routing-in-force", &format!("version={version:08x}"), "routes=401"];
        let took = instances.logged_after(&words, Instant::now()).await;
        assert!(took < MAX_DELAY, "round {round}: it took {took:?}");
    }
}

/// Returns a table of real size, most of which can be compressed.
fn real_table(routes: usize, added: &str) -> Vec<Value> {
    let prefixes = (0..routes).map(|number| format!("/padding-{number}/"));
    let mut routes = prefixes.map(|p| route("padding", &p, "idempotent", "plan", 2_000)).collect::<Vec<_>>();
    routes.push(route("added", added, "idempotent", "plan", 2_000));
    assert!(json!(routes).to_string().len() > MAX_UPDATE_BYTES);
    routes
}

// Guards against followers that each read every version of a large routing table from the store, and so get it late or,
// while the store turns them away, not at all.
#[tokio::test]
async fn followers_get_large_tables_from_their_seed() {
    let instances = Follower::start().await;
    let deployment = &instances.deployment;
    let _stays = deployment.worker("i-stays").await;
    instances.relay.set_fault(LinkFault::Down);
    for (version, routes) in [1_600, 3_200, 3_200].into_iter().enumerate() {
        let version = deployment.put_routes(&real_table(routes, &format!("/added-{version}/")));
        let words = ["event=routing-in-force", &format!("version={version:08x}")];
        let took = instances.logged_after(&words, Instant::now()).await;
        assert!(took < MAX_DELAY, "{routes} routes: it took {took:?}");
    }
    assert!(!instances.process.logged(&["event=source-lost"]), "{:#?}", instances.process.log());
}

/// Time between two versions of a series.
const STORM_PERIOD: Duration = Duration::from_millis(330);

// Guards against versions that come late when many follow each other and the link to the seed has little bandwidth.
#[tokio::test]
async fn a_series_of_large_tables_is_in_force_in_time_over_a_slow_link() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let seed = deployment.gateway("seed", &json!({})).await;
    let slow = Relay::start(seed.peers).await.expect("the relay starts");
    slow.set_fault(LinkFault::Limited);
    let store = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let settings = json!({"peer_seeds": [slow.address], "store_address": store.address});
    let follower = deployment.gateway("follower", &settings).await;
    let follows = || async { follower.logged(&["event=source ", "distance=1"]) };
    deployment.wait_until("it follows the seed", follows).await;
    store.set_fault(LinkFault::Limited);
    let mut last = (0, Instant::now());
    for number in 0..12 {
        tokio::time::sleep(STORM_PERIOD).await;
        let routes = real_table(3_200, &format!("/added-{number}/"));
        last = (deployment.put_routes(&routes), Instant::now());
    }
    let words = ["event=routing-in-force", &format!("version={:08x}", last.0)];
    deployment.wait_until("the last version is in force", || async { follower.logged(&words) }).await;
    let took = last.1.elapsed();
    assert!(took < MAX_DELAY, "it took {took:?}");
}
