//! The store turns the seeds away and serves the other instances, which follow the seeds.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::relay::{LinkFault, Relay};
use gateway_env::{GatewayProcess, TestDeployment, route};
use serde_json::json;

/// Time within which an instance that the store serves must have stopped to send requests to a target that has left
/// (`drainS`), and must have a changed route in force (`configApplyS`).
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Time between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Two seeds, whose way to the store can be cut, and two instances that follow them.
struct RefusedSeeds {
    deployment: TestDeployment,
    relay: Relay,
    _seeds: Vec<GatewayProcess>,
    followers: Vec<GatewayProcess>,
}

impl RefusedSeeds {
    async fn start() -> Self {
        let deployment = TestDeployment::start().await;
        let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
        let refused = json!({"store_address": relay.address});
        let seeds =
            vec![deployment.gateway("s-1", &refused).await, deployment.gateway("s-2", &refused).await];
        let addresses = json!({"peer_seeds": seeds.iter().map(|s| s.peers).collect::<Vec<_>>()});
        let followers =
            vec![deployment.gateway("f-1", &addresses).await, deployment.gateway("f-2", &addresses).await];
        for follower in &followers {
            let follows = || async { follower.logged(&["event=source ", "distance=1"]) };
            deployment.wait_until("it follows a seed", follows).await;
        }
        Self { deployment, relay, _seeds: seeds, followers }
    }

    /// Waits until all followers have logged a line, and returns how long it took since `since`.
    async fn logged_after(&self, words: &[&str], since: Instant) -> Duration {
        for follower in &self.followers {
            let logged = || async { follower.logged(words) };
            self.deployment.wait_until(&words.join(" "), logged).await;
        }
        since.elapsed()
    }
}

// Guards against targets that are kept for two seconds after the store was heard again, although it has been there all
// the time and only the seeds were turned away: that an instance has not heard of the store for a heartbeat lets no
// entry lapse.
#[tokio::test]
async fn a_removal_while_the_seeds_are_turned_away_is_in_force_in_time() {
    for fault in [LinkFault::Reset, LinkFault::Blackhole, LinkFault::Down] {
        let instances = RefusedSeeds::start().await;
        let deployment = &instances.deployment;
        let _stays = deployment.worker("i-stays").await;
        let leavers =
            [deployment.worker("i-1").await, deployment.worker("i-2").await, deployment.worker("i-3").await];
        for leaver in &leavers {
            let target = format!("target={}", leaver.id);
            instances.logged_after(&["event=target-added", &target], Instant::now()).await;
        }
        // The seeds pause after each change.
        tokio::time::sleep(Duration::from_millis(500)).await;
        instances.relay.set_fault(fault);
        for leaver in &leavers {
            tokio::time::sleep(Duration::from_millis(300)).await;
            deployment.store.remove("servers", &leaver.id);
            let (words, removed_at) =
                (["event=target-removed", &format!("target={}", leaver.id)], Instant::now());
            let took = instances.logged_after(&words, removed_at).await;
            assert!(took < MAX_DELAY, "{fault:?}: {} was used for {took:?}", leaver.id);
        }
    }
}

/// Time after which an instance hears of a change by another source, once the store turns its seeds away: their poll
/// (0.6 s) and the delay before it looks for another source (0.375 s at most), with some time for a busy machine.
const MAX_TURN_TIME: Duration = Duration::from_millis(1_200);

// Guards against instances that wait until the copy of their seed is too old, although it says that it has lost the
// store: up to 2.4 s passed until they read the store themselves.
#[tokio::test]
async fn an_instance_turns_to_the_store_when_its_seed_says_that_it_has_lost_it() {
    let instances = RefusedSeeds::start().await;
    let deployment = &instances.deployment;
    let _stays = deployment.worker("i-stays").await;
    for round in 0..6 {
        let leaver = deployment.worker(&format!("i-{round}")).await;
        let target = format!("target={}", leaver.id);
        instances.logged_after(&["event=target-added", &target], Instant::now()).await;
        tokio::time::sleep(Duration::from_millis(500 + 90 * round)).await;
        instances.relay.set_fault(LinkFault::Down);
        deployment.store.remove("servers", &leaver.id);
        let took = instances.logged_after(&["event=target-removed", &target], Instant::now()).await;
        assert!(took < MAX_TURN_TIME, "round {round}: {took:?}");
        instances.relay.set_fault(LinkFault::None);
        for follower in &instances.followers {
            let sources = |words: &'static str| follower.log().iter().filter(|l| l.contains(words)).count();
            let follows = || async { sources("distance=1") > sources("source=store") };
            deployment.wait_until("it follows a seed again", follows).await;
        }
    }
}

// Guards against routes that come into force late at instances that the store serves, because they rely on seeds which
// it turns away.
#[tokio::test]
async fn a_route_while_the_seeds_are_turned_away_is_in_force_in_time() {
    for fault in [LinkFault::Reset, LinkFault::Blackhole, LinkFault::Down] {
        let instances = RefusedSeeds::start().await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        instances.relay.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(50)).await;
        instances.deployment.put_routes(&[route("new", "/new/", "idempotent", "plan", 2_000)]);
        let took = instances.logged_after(&["event=routing-in-force", "routes=1"], Instant::now()).await;
        assert!(took < MAX_DELAY, "{fault:?}: it took {took:?}");
    }
}

// Guards against the opposite: targets that are alive, and whose entries have lapsed in an outage of the whole store,
// must be kept until they can have registered again.
#[tokio::test]
async fn a_target_whose_entry_lapsed_while_the_store_was_away_is_kept() {
    let instances = RefusedSeeds::start().await;
    let deployment = &instances.deployment;
    let worker = deployment.worker("i-1").await;
    instances.logged_after(&["event=target-added", "target=i-1"], Instant::now()).await;
    deployment.store.set_fault(arbutusshelf_bench::rows::RowStoreFault::Down);
    // An entry lapses after three heartbeats of silence, the first of which may have begun before the outage.
    tokio::time::sleep(HEARTBEAT * 3).await;
    deployment.store.remove("servers", &worker.id);
    deployment.store.set_fault(arbutusshelf_bench::rows::RowStoreFault::None);
    instances.logged_after(&["event=source ", "distance=1"], Instant::now()).await;
    tokio::time::sleep(HEARTBEAT).await;
    deployment.register(&worker, "ready");
    tokio::time::sleep(HEARTBEAT).await;
    for follower in &instances.followers {
        assert!(!follower.logged(&["event=target-removed", "target=i-1"]), "{:#?}", follower.log());
    }
}
