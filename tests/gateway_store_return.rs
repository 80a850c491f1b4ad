//! The store is away for so long that no instance's copy counts as current, and a new routing table is accepted
//! right after its return: it must be in force everywhere within two seconds, however many instances there are.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf::{
    decide::directory::STORE_RETURN_GRACE,
    gateway::{
        backoff::{Backoff, JITTER},
        follow::MAX_CURRENT_AGE,
        replication_client::OPEN_TIMEOUT,
        seed_links::{MAX_PAUSE_WITHOUT_SEED, SeedLinks},
    },
    platform::CHANGES_TIMEOUT,
};
use arbutusshelf_bench::rows::RowStoreFault;
use gateway_env::{TestDeployment, route};
use hyper::Method;
use serde_json::json;

/// Time within which an accepted routing table must be in force everywhere.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Time after the end of a disturbance from which an instance is held to what the store says.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

/// Time of the store and the network for one answer that is not held up: more than ten times the stated 4 ms.
const ANSWER: Duration = Duration::from_millis(50);

#[test]
fn the_longest_way_of_a_change_after_an_outage_is_shorter_than_the_bound() {
    // Followers hold links to all seeds, so they hear of it at once. The first seed that they try may be dead.
    let sum = noticed_by_seed() + OPEN_TIMEOUT + OPEN_TIMEOUT;
    assert!(sum < MAX_DELAY, "{sum:?}");
}

/// Time of the largest response of the store, 1 MB, over the slowest link of the users' platform, 10 Mbit/s.
const LARGEST_TRANSFER: Duration = Duration::from_millis(800);

// Guards against an instance that reaches no seed and pauses for longer the more instances there are: it had a change
// up to 6 s after the return of the store.
#[test]
fn the_longest_way_of_a_change_to_an_instance_without_seeds_is_shorter_than_the_bound() {
    // Its last call of the outage starts just before the return and gets no answer.
    let pause = MAX_PAUSE_WITHOUT_SEED.mul_f64(JITTER.end);
    let sum = CHANGES_TIMEOUT + pause + ANSWER + LARGEST_TRANSFER;
    assert!(sum < IN_TOUCH_AFTER, "{sum:?}");
}

// Guards against the same, also if the last link to a seed ends within a pause.
#[tokio::test(start_paused = true)]
async fn a_pause_between_failed_calls_is_long_only_while_a_seed_is_reached() {
    let length = Duration::from_secs(6);
    let links = SeedLinks::default();
    let timed = |link_time: Option<Duration>| {
        let links = &links;
        async move {
            let start = tokio::time::Instant::now();
            let hold = async {
                let link = link_time.map(|time| (links.track(), time));
                if let Some((_link, time)) = &link {
                    tokio::time::sleep(*time).await;
                }
            };
            tokio::join!(hold, links.pause(length, JITTER.end));
            start.elapsed()
        }
    };
    let limit = MAX_PAUSE_WITHOUT_SEED.mul_f64(JITTER.end) + Duration::from_millis(5);
    let without = timed(None).await;
    assert!(without <= limit, "{without:?}");
    let with = timed(Some(length * 2)).await;
    assert!(with >= length, "{with:?}");
    let lost = timed(Some(Duration::from_millis(3_200))).await;
    assert!(lost <= Duration::from_millis(3_200) + limit, "{lost:?}");
}

/// Returns the longest time from the return of the store until a seed knows of it: its last call of the outage
/// starts just before the return and gets no answer.
fn noticed_by_seed() -> Duration {
    CHANGES_TIMEOUT.max(Backoff::for_seed().max_interval().mul_f64(JITTER.end)) + ANSWER
}

#[test]
fn a_target_that_did_not_register_again_is_removed_before_the_instance_counts_as_in_touch() {
    let sum = noticed_by_seed() + STORE_RETURN_GRACE;
    assert!(sum < IN_TOUCH_AFTER, "{sum:?}");
}

#[tokio::test]
async fn a_follower_without_the_store_gets_a_change_as_soon_as_its_seed() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let seed_address = std::net::SocketAddr::from(([127, 200 + high % 50, low, 3], 8_133));
    let seeds = json!([seed_address]);
    let _seed = deployment.gateway("one", &json!({"peers_address": seed_address, "peer_seeds": seeds})).await;
    let cut_off = json!({"peer_seeds": seeds, "store_address": "127.0.0.1:1"});
    let follower = deployment.gateway("two", &cut_off).await;
    for round in 0..4 {
        deployment.store.set_fault(RowStoreFault::Down);
        let lost = format!("event=source-lost source={seed_address}");
        let losses = || follower.log().iter().filter(|line| line.contains(&lost)).count();
        let losses_before = losses();
        deployment.wait_until("the seed is lost", || async { losses() > losses_before }).await;
        // The age at which the loss was noticed differs between rounds from here on.
        tokio::time::sleep(MAX_CURRENT_AGE * round / 4).await;
        deployment.store.set_fault(RowStoreFault::None);
        let prefix = format!("/new{round}/");
        deployment.put_routes(&[route("new", &prefix, "idempotent", "plan", 2_000)]);
        let returned = Instant::now();
        let path = format!("{prefix}x");
        deployment
            .wait_until("the new route is in force at the follower", || async {
                let answer = deployment.send(follower.callers, Method::GET, &path, "a1").await;
                answer.is_ok_and(|r| r.status == 200)
            })
            .await;
        assert!(returned.elapsed() < MAX_DELAY, "round {round}: {:?}", returned.elapsed());
    }
}
