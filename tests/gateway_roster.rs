//! Unit tests, without network, of the count of known instances, the order of seeds, and the back-off for a
//! failing store.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use arbutusshelf::{
    collections::HashMap,
    gateway::{Gateway, backoff::Backoff, config::Config, known_instances::KnownInstances, seeds},
    units::{InstanceId, MonoTime},
};
use quickcheck::quickcheck;

fn at(s: u64) -> MonoTime {
    MonoTime::from(s * 1_000_000)
}

fn name(number: u8) -> InstanceId {
    format!("i-{number}").parse().expect("a name")
}

#[test]
fn an_instance_that_heard_of_no_other_cannot_count() {
    let mut known_instances = KnownInstances::new(name(0));
    known_instances.add(at(1), [name(0)]);
    assert_eq!(known_instances.count(at(1)), 0);
    known_instances.add(at(2), [name(1)]);
    assert_eq!(known_instances.count(at(2)), 2);
}

/// Guards against counting an instance twice when a network partition makes it switch to another seed and
/// back while its old links are still open.
#[test]
fn an_instance_that_links_twice_counts_once() {
    let mut known_instances = KnownInstances::new(name(0));
    for second in 0..5 {
        known_instances.add(at(second), [name(1), name(2)]);
    }
    assert_eq!(known_instances.count(at(5)), 3);
    assert_eq!(known_instances.revision(), 2);
}

/// Guards against too low a count after a seed restarts, when only a few instances have connected to it
/// again.
#[test]
fn a_larger_count_of_another_instance_goes_before_the_own_until_it_is_old() {
    let mut known_instances = KnownInstances::new(name(0));
    known_instances.add(at(1), [name(1)]);
    known_instances.record_reported_count(at(1), 122);
    known_instances.record_reported_count(at(2), 3);
    assert_eq!(known_instances.count(at(2)), 122);
    known_instances.add(at(650), [name(1)]);
    assert_eq!(known_instances.count(at(650)), 2);
}

/// Guards against more connections than a target accepts: instances that have just started don't count themselves
/// yet, and each took the share of one in 32, also where 120 share the target.
#[test]
fn an_instance_that_has_just_started_shares_with_all_that_it_has_heard_of() {
    let settings = serde_json::json!({
        "instance": "i-0", "data_centre": "ost-a", "callers_address": "127.0.0.1:0",
        "ready_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0", "peers_address": "127.0.0.1:0",
        "place": "stadtwerke", "store_address": "127.0.0.1:1", "grace_s": 6.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0, "repeat_extra": 56.0, "probes_per_target_per_s": 60.0,
    });
    let config = Config::parse(settings.to_string().as_bytes()).expect("valid settings");
    let gateway = Gateway::open(config).expect("a known platform");
    assert_eq!(gateway.instance_count_or_default(), 32, "nothing is known");
    gateway.known_instances().record_reported_count(gateway.now(), 13);
    assert_eq!(gateway.instance_count_or_default(), 32, "others may not have been counted yet");
    gateway.known_instances().record_reported_count(gateway.now(), 120);
    assert_eq!(gateway.instance_count_or_default(), 120);
    gateway.set_instance_count(13);
    assert_eq!(gateway.instance_count_or_default(), 13);
}

/// Guards against overloading the network link of one seed when hundreds of instances follow three seeds.
#[test]
fn instances_spread_over_the_seeds_and_seeds_follow_earlier_ones() {
    let address = |host: u8| SocketAddr::from(([10, 0, host, 1], 8_122));
    let all = [address(3), address(1), address(2)];
    let mut followers = HashMap::<SocketAddr, u32>::default();
    for number in 0..=u8::MAX {
        let order = seeds::follow_order(&all, address(200), &name(number));
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 3, "each may follow any seed");
        *followers.entry(order[0]).or_default() += 1;
    }
    // About a third of 256 each.
    assert!(all.iter().all(|seed| (60..=115).contains(&followers[seed])), "{followers:?}");
    assert_eq!(seeds::follow_order(&all, address(1), &name(1)), []);
    assert_eq!(seeds::follow_order(&all, address(3), &name(3)), [address(1), address(2)]);
    assert_eq!(seeds::follow_order(&[], address(1), &name(1)), []);
}

/// Returns the number of calls that one instance makes to a store that is down for `outage`.
fn failed_calls(mut pauses: Backoff, outage: Duration) -> usize {
    let mut at = Duration::ZERO;
    let mut calls = 0;
    while at < outage {
        calls += 1;
        at += pauses.next_pause(Duration::ZERO, 1.0);
    }
    calls
}

/// Guards against the cost of many failed calls when the store is down for many seconds and more than a
/// hundred instances retry.
#[test]
fn an_outage_of_the_store_costs_few_calls_however_many_instances_there_are() {
    let outage = Duration::from_secs(20);
    for instances in [13, 30, 122, 300] {
        let calls = failed_calls(Backoff::for_follower(instances), outage);
        // After one call each at the start, at most 25 calls/s: a tenth of the 250 requests/s of the smallest
        // deployment.
        assert!((calls - 1) * instances as usize <= 20 * 25, "{instances}: {calls}");
    }
    assert!(
        failed_calls(Backoff::for_seed(), outage) >= 20,
        "a recovered store must be noticed within a second"
    );
}

quickcheck! {
    /// Every instance that was mentioned counts once, however the names are spread over links and messages.
    fn every_name_counts(mentioned: Vec<Vec<u8>>) -> bool {
        let mut known_instances = KnownInstances::new(name(0));
        for (second, names) in mentioned.iter().enumerate() {
            known_instances.add(at(second as u64), names.iter().map(|n| name(*n)));
        }
        let others = mentioned.iter().flatten().filter(|n| **n != 0).collect::<BTreeSet<_>>().len();
        let expected = if others == 0 { 0 } else { others + 1 };
        known_instances.count(at(mentioned.len() as u64)) as usize == expected
            && known_instances.names().len() == others + 1
    }
}
