//! The connection of the instance that reads the store is reset, while a target leaves.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::relay::{LinkFault, Relay};
use gateway_env::TestDeployment;
use serde_json::json;

/// Half of the time within which an instance must have stopped to send requests to a target that has left (`drainS`).
const MAX_DELAY: Duration = Duration::from_secs(1);

// Guards against a target that is kept as if the store had been away and had let its entry lapse: the whole of the
// time in which a removal must be in force is used up before the other instances hear of it.
#[tokio::test]
async fn a_removal_during_a_reset_of_the_readers_connection_is_not_held_back() {
    let deployment = TestDeployment::start().await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let _stays = deployment.worker("i-stays").await;
    let reader = deployment.gateway("reader", &json!({"store_address": relay.address})).await;
    let follower = deployment.gateway("follower", &json!({"peer_seeds": [reader.peers]})).await;
    for round in 0..4 {
        let leaver = deployment.worker(&format!("i-{round}")).await;
        let target = format!("target={}", leaver.id);
        for instance in [&reader, &follower] {
            let added = || async { instance.logged(&["event=target-added", &target]) };
            deployment.wait_until("the target is known", added).await;
        }
        // The reader pauses after each change, and waits for the next one then.
        tokio::time::sleep(Duration::from_millis(400)).await;
        relay.set_fault(LinkFault::Reset);
        // The answer that would report it is lost with the connection.
        deployment.store.remove("servers", &leaver.id);
        let removed = Instant::now();
        tokio::time::sleep(Duration::from_millis(30) * (round + 1)).await;
        relay.set_fault(LinkFault::None);
        for instance in [&reader, &follower] {
            let forgotten = || async { instance.logged(&["event=target-removed", &target]) };
            deployment.wait_until("the target is removed", forgotten).await;
        }
        assert!(removed.elapsed() < MAX_DELAY, "round {round}: {:?}", removed.elapsed());
        assert!(reader.logged(&["event=store-lost"]), "the reset was not noticed");
    }
}
