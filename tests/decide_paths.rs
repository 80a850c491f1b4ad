//! When a path to targets counts as closed, and which other instance gets the requests.

use std::{collections::BTreeMap, time::Duration};

use arbutusshelf::{
    collections::HashSet,
    decide::{
        peer_paths::{PathStatement, PeerPaths},
        target_paths::{PathChange, TargetPaths},
    },
    units::{InstanceId, MonoTime, ServiceName, TargetId},
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{SeedableRng, rngs::SmallRng};

fn at_ms(ms: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(ms)
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("a name")
}

fn target(number: usize) -> TargetId {
    format!("t-{number}").parse().expect("a name")
}

fn instance(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn services(names: &[&str]) -> HashSet<ServiceName> {
    names.iter().map(|name| service(name)).collect()
}

fn checked(results: &[(&str, bool)]) -> Vec<(ServiceName, bool)> {
    results.iter().map(|(name, is_reached)| (service(name), *is_reached)).collect()
}

fn closed(changes: &[PathChange]) -> Vec<String> {
    let closed = changes.iter().filter(|change| !change.is_open);
    let mut closed = closed.map(|change| change.service.to_string()).collect::<Vec<_>>();
    closed.sort_unstable();
    closed
}

// Guards against checks because of a single target, whose own fault a failure usually is.
#[test]
fn failures_at_two_targets_start_a_check() {
    let (plan, mut paths) = (service("plan"), TargetPaths::default());
    assert!(!paths.record_failure(at_ms(1_000), &plan, &target(1), 4));
    assert!(!paths.record_failure(at_ms(1_010), &plan, &target(1), 4), "the same target");
    assert!(paths.record_failure(at_ms(1_020), &plan, &target(2), 4));
    assert!(!paths.record_failure(at_ms(1_030), &plan, &target(3), 4), "a check is in progress");
    let mut single = TargetPaths::default();
    assert!(single.record_failure(at_ms(1_000), &plan, &target(1), 1), "the only target");
    let mut rare = TargetPaths::default();
    assert!(!rare.record_failure(at_ms(1_000), &plan, &target(1), 4));
    assert!(!rare.record_failure(at_ms(2_500), &plan, &target(2), 4), "failures far apart");
    let mut recovered = TargetPaths::default();
    assert!(!recovered.record_failure(at_ms(1_000), &plan, &target(1), 4));
    recovered.record_response(at_ms(1_001), &plan, &target(3), true);
    assert!(
        !recovered.record_failure(at_ms(1_300), &plan, &target(2), 4),
        "another one was reached in between"
    );
}

// Guards against a flood of checks while some targets of a busy service are gone.
#[test]
fn a_service_that_responds_is_not_checked() {
    let (plan, mut paths) = (service("plan"), TargetPaths::default());
    let mut checks = 0;
    for ms in 1_000..4_000 {
        if ms % 100 == 0 {
            paths.record_response(at_ms(ms), &plan, &target(9), false);
        }
        checks += u32::from(paths.record_failure(at_ms(ms), &plan, &target(ms as usize % 4), 14));
    }
    assert_eq!(checks, 0);
}

#[test]
fn an_instance_that_reaches_no_target_at_all_has_all_its_paths_closed() {
    let (plan, mut paths) = (service("plan"), TargetPaths::default());
    paths.record_failure(at_ms(1_000), &plan, &target(1), 1);
    let all = services(&["plan", "rent", "quiet"]);
    let changes = paths.finish_check(at_ms(1_200), &checked(&[("plan", false), ("rent", false)]), &all);
    assert_eq!(closed(&changes), ["plan", "quiet", "rent"]);
    assert!(paths.is_closed(&service("quiet")), "its targets were not checked, but nothing else is reached");
}

// Guards against an instance that gives up on targets that are full: they reset new connections, and respond on open
// ones.
#[test]
fn a_service_is_closed_alone_only_if_none_of_its_targets_responds() {
    let (plan, all) = (service("plan"), services(&["plan", "rent"]));
    for (responded_at, expected) in [(None, vec!["plan"]), (Some(500), vec!["plan"]), (Some(900), vec![])] {
        let mut paths = TargetPaths::default();
        if let Some(ms) = responded_at {
            paths.record_response(at_ms(ms), &plan, &target(1), false);
        }
        paths.record_failure(at_ms(1_100), &plan, &target(1), 1);
        let changes = paths.finish_check(at_ms(1_200), &checked(&[("plan", false), ("rent", true)]), &all);
        assert_eq!(closed(&changes), expected, "{responded_at:?}");
        assert!(!paths.is_closed(&service("rent")));
    }
}

#[test]
fn a_closed_path_opens_once_a_target_is_reached() {
    let (plan, mut paths) = (service("plan"), TargetPaths::default());
    paths.record_failure(at_ms(1_000), &plan, &target(1), 1);
    paths.finish_check(at_ms(1_200), &checked(&[("plan", false)]), &services(&["plan", "rent"]));
    assert!(paths.start_rechecks());
    assert!(!paths.start_rechecks(), "they are in progress");
    assert_eq!(paths.next_recheck(), Some(services(&["plan", "rent"])));
    let none = paths.finish_recheck(at_ms(1_300), &checked(&[("plan", false), ("rent", false)]));
    assert_eq!(none, []);
    let opened = paths.finish_recheck(at_ms(1_400), &checked(&[("plan", true), ("rent", false)]));
    let expected =
        PathChange { service: plan.clone(), is_open: true, closed_for: Duration::from_millis(200) };
    assert_eq!(opened, [expected]);
    assert!(!paths.is_closed(&plan) && paths.is_closed(&service("rent")));
    paths.finish_recheck(at_ms(1_500), &checked(&[("rent", true)]));
    assert_eq!(paths.next_recheck(), None);
    assert!(paths.start_rechecks(), "the earlier ones have ended");
}

fn statement(name: &str, version: u32, is_accepting: bool, closed: &[&str]) -> PathStatement {
    PathStatement {
        instance: instance(name),
        started_unix_ms: 1_000,
        version,
        address: ([127, 0, 0, 1], 7_620).into(),
        is_accepting,
        closed: closed.iter().map(|name| service(name)).collect(),
    }
}

// Guards against requests that are passed to an instance that can't serve them, and against loops.
#[test]
fn only_other_instances_with_a_path_are_chosen() {
    let now = at_ms(1_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut peers = PeerPaths::new(instance("own"));
    assert!(peers.state_own(now, statement("own", 0, true, &[])));
    assert!(peers.merge(now, statement("closed", 0, true, &["plan"])));
    assert!(peers.merge(now, statement("leaving", 0, false, &[])));
    assert_eq!(peers.choose(now, &service("plan"), &[], &mut rng), None);
    assert!(peers.merge(now, statement("good", 0, true, &["rent"])));
    let chosen = peers.choose(now, &service("plan"), &[], &mut rng).map(|(name, _)| name);
    assert_eq!(chosen, Some(instance("good")));
    assert_eq!(peers.choose(now, &service("plan"), &[instance("good")], &mut rng), None);
    peers.record_unreachable(now, &instance("good"));
    assert_eq!(peers.choose(now, &service("plan"), &[], &mut rng), None, "it could not be reached");
    assert!(peers.has_path(at_ms(2_001), &service("plan")), "a second later it is tried again");
    assert!(!peers.has_path(at_ms(300_000), &service("plan")), "it was not heard of for minutes");
}

// Guards against an overload of single instances by those that are cut off.
#[test]
fn requests_are_spread_over_the_instances_with_a_path() {
    let now = at_ms(1_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut peers = PeerPaths::new(instance("own"));
    for number in 0..8 {
        peers.merge(now, statement(&format!("peer-{number}"), 0, true, &[]));
    }
    let mut in_progress = BTreeMap::<InstanceId, u32>::new();
    for _ in 0..80 {
        let (name, _) = peers.choose(now, &service("plan"), &[], &mut rng).expect("an instance");
        *in_progress.entry(name).or_default() += 1;
    }
    assert_eq!(in_progress.len(), 8);
    assert!(in_progress.values().all(|count| (6..=14).contains(count)), "{in_progress:?}");
}

// Guards against statements of an earlier process that outlast it, also when the host's clock was set back meanwhile.
#[test]
fn a_restarted_instance_is_believed_whatever_its_clock_says() {
    let now = at_ms(1_000);
    let earlier = PathStatement { started_unix_ms: 9_000, ..statement("one", 7, true, &["plan"]) };
    let mut other = PeerPaths::new(instance("other"));
    other.merge(now, earlier.clone());
    let mut restarted = PeerPaths::new(instance("one"));
    restarted.state_own(now, statement("one", 0, true, &[]));
    assert!(!other.merge(now, restarted.statements_since(0)[0].clone()), "it seems to be older");
    assert!(restarted.merge(now, earlier.clone()), "it hears of its earlier statement and goes beyond it");
    assert!(other.merge(now, restarted.statements_since(0)[0].clone()));
    assert!(other.has_path(now, &service("plan")));
    let mut heard_first = PeerPaths::new(instance("one"));
    heard_first.merge(now, earlier);
    assert!(heard_first.state_own(now, statement("one", 0, true, &[])));
    let PathStatement { started_unix_ms, version, .. } = heard_first.statements_since(0)[0].clone();
    assert!((started_unix_ms, version) > (9_000, 7));
}

#[derive(Debug, Clone)]
struct AnyStatement(PathStatement);

impl Arbitrary for AnyStatement {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = ["a", "b", "c"][usize::arbitrary(g) % 3];
        let version = u32::arbitrary(g) % 4;
        let started_unix_ms = u64::arbitrary(g) % 2;
        // Whoever hears the same order from the same instance hears the same content.
        let is_accepting = version % 2 == 0;
        let closed: &[&str] = if (u64::from(version) + started_unix_ms) % 3 == 0 { &["plan"] } else { &[] };
        Self(PathStatement { started_unix_ms, ..statement(name, version, is_accepting, closed) })
    }
}

quickcheck! {
    // Guards against instances that disagree for ever because they heard the same statements in another order.
    fn statements_in_any_order_lead_to_the_same_table(statements: Vec<AnyStatement>, seed: u64) -> bool {
        use rand::seq::SliceRandom;
        let table = |statements: &[AnyStatement]| {
            let mut peers = PeerPaths::new(instance("own"));
            for AnyStatement(statement) in statements {
                peers.merge(at_ms(0), statement.clone());
            }
            let mut known = peers.statements_since(0);
            known.sort_by(|a, b| a.instance.cmp(&b.instance));
            known
        };
        let mut shuffled = statements.clone();
        shuffled.shuffle(&mut SmallRng::seed_from_u64(seed));
        table(&statements) == table(&shuffled)
    }
}
