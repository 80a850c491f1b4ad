//! What instances know of each other without network: their number, and how often they ask a store that fails.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use arbutusshelf::{
    collections::HashMap,
    gateway::{backoff::Backoff, known_instances::KnownInstances, seeds},
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
    let mut roster = KnownInstances::new(name(0));
    roster.add(at(1), [name(0)]);
    assert_eq!(roster.count(at(1)), 0);
    roster.add(at(2), [name(1)]);
    assert_eq!(roster.count(at(2)), 2);
}

/// Pattern: a cut sends followers to another seed and back; links of before the cut linger.
#[test]
fn an_instance_that_links_twice_counts_once() {
    let mut roster = KnownInstances::new(name(0));
    for second in 0..5 {
        roster.add(at(second), [name(1), name(2)]);
    }
    assert_eq!(roster.count(at(5)), 3);
    assert_eq!(roster.revision(), 2);
}

/// Pattern: a seed restarts, and only a few link to it at first.
#[test]
fn a_larger_count_of_another_instance_goes_before_the_own_until_it_is_old() {
    let mut roster = KnownInstances::new(name(0));
    roster.add(at(1), [name(1)]);
    roster.record_reported_count(at(1), 122);
    roster.record_reported_count(at(2), 3);
    assert_eq!(roster.count(at(2)), 122);
    roster.add(at(650), [name(1)]);
    assert_eq!(roster.count(at(650)), 2);
}

/// Pattern: hundreds of instances follow three seeds with thin links.
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
    // A third of 256 each, give or take.
    assert!(all.iter().all(|seed| (60..=115).contains(&followers[seed])), "{followers:?}");
    assert_eq!(seeds::follow_order(&all, address(1), &name(1)), []);
    assert_eq!(seeds::follow_order(&all, address(3), &name(3)), [address(1), address(2)]);
    assert_eq!(seeds::follow_order(&[], address(1), &name(1)), []);
}

/// Calls to a store that is down for a time.
fn failed_calls(mut pauses: Backoff, outage: Duration) -> usize {
    let mut at = Duration::ZERO;
    let mut calls = 0;
    while at < outage {
        calls += 1;
        at += pauses.next_pause(1.0);
    }
    calls
}

/// Pattern: the store is down for many seconds under a deployment of more than a hundred instances.
#[test]
fn an_outage_of_the_store_costs_few_calls_however_many_instances_there_are() {
    let outage = Duration::from_secs(20);
    for instances in [13, 30, 122, 300] {
        let calls = failed_calls(Backoff::for_follower(instances), outage);
        // Besides one call each at the start, a tenth of the 250 requests a second of the smallest deployment.
        assert!((calls - 1) * instances as usize <= 20 * 25, "{instances}: {calls}");
    }
    assert!(failed_calls(Backoff::for_seed(), outage) >= 20, "a return must be noticed within a second");
}

quickcheck! {
    /// However names spread over links and messages, all that were heard of count.
    fn every_name_counts(heard: Vec<Vec<u8>>) -> bool {
        let mut roster = KnownInstances::new(name(0));
        for (second, names) in heard.iter().enumerate() {
            roster.add(at(second as u64), names.iter().map(|n| name(*n)));
        }
        let others = heard.iter().flatten().filter(|n| **n != 0).collect::<BTreeSet<_>>().len();
        let expected = if others == 0 { 0 } else { others + 1 };
        roster.count(at(heard.len() as u64)) as usize == expected && roster.names().len() == others + 1
    }
}
