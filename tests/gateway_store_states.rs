//! What an instance that reads the store states about it to its followers.

mod follower_env;
mod gateway_env;

use std::time::Duration;

use arbutusshelf::peer::frame::Frame;
use arbutusshelf_bench::relay::{LinkFault, Relay};
use follower_env::{MAX_DELAY, Subscriber};
use gateway_env::TestDeployment;
use serde_json::json;
use tokio::time::timeout;

// Guards against live targets that followers remove after an outage of the store, because they learn too late that it
// is back: a seed that reads the targets again must say so, although it can't read the routing table yet.
#[tokio::test]
async fn that_the_targets_are_read_is_told_before_the_routing_table_is_read() {
    let deployment = TestDeployment::start().await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let seed = deployment.gateway("seed", &json!({"store_address": relay.address})).await;
    let mut subscriber = Subscriber::open(seed.peers, false).await;
    subscriber.frames_until(|state| !state.is_store_lost && state.confirmed_age_ms.is_some()).await;
    deployment.store.set_delay_at(relay.address, "op", Duration::from_mins(1));
    relay.set_fault(LinkFault::Down);
    subscriber.frames_until(|state| state.is_store_lost).await;
    // The first call for each table may have failed at another moment.
    tokio::time::sleep(Duration::from_secs(1)).await;
    relay.set_fault(LinkFault::None);
    let frames = subscriber.frames_until(|state| !state.is_store_lost).await;
    let is_unread = |frame: &Frame| matches!(frame, Frame::RoutingUnreadFor(Some(_)));
    assert!(frames.iter().any(is_unread), "{frames:?}");
    let last_two = &frames[frames.len() - 2..];
    assert!(matches!(last_two, [Frame::StoreAnsweredFor(_), Frame::StoreState(_)]), "{frames:?}");
}

// Guards against followers that leave a seed for good which could not read the routing table for a while.
#[tokio::test]
async fn that_the_routing_table_is_read_again_is_told() {
    let deployment = TestDeployment::start().await;
    let relay = Relay::start(deployment.store.server.address).await.expect("the relay starts");
    let seed = deployment.gateway("seed", &json!({"store_address": relay.address})).await;
    let mut subscriber = Subscriber::open(seed.peers, false).await;
    let is_stated = |frames: &[Frame], is_unread: bool| {
        let stated = |f: &Frame| matches!(f, Frame::RoutingUnreadFor(time) if time.is_some() == is_unread);
        frames.iter().any(stated)
    };
    for (delay, is_unread) in [(Duration::from_mins(1), true), (Duration::ZERO, false)] {
        deployment.store.set_delay_at(relay.address, "op", delay);
        let stated = async {
            loop {
                let frames = subscriber.frames_until(|state| !state.is_store_lost).await;
                if is_stated(&frames, is_unread) {
                    return;
                }
            }
        };
        timeout(MAX_DELAY, stated).await.expect("it is stated in time");
    }
}

// Guards against instances of an earlier build that get no routing table from one of this build: they skip frames that
// they don't know.
#[tokio::test]
async fn who_takes_no_patches_gets_whole_rows() {
    let deployment = TestDeployment::start().await;
    let seed = deployment.gateway("seed", &json!({})).await;
    let in_force = || async { seed.logged(&["event=routing-in-force"]) };
    deployment.wait_until("routes are in force", in_force).await;
    let mut subscriber = Subscriber::open(seed.peers, true).await;
    let is_routing = |frame: &Frame| matches!(frame, Frame::StoreRows(rows) if !rows.of_targets);
    let received = async {
        loop {
            let frame = subscriber.next_frame().await;
            assert!(!matches!(frame, Frame::RoutingRowPatch(_)), "{frame:?}");
            if is_routing(&frame) {
                return;
            }
        }
    };
    timeout(MAX_DELAY, received).await.expect("the routing table comes in time");
}
