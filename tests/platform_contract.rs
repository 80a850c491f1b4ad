//! Contract of the platform drivers, and tests of the store budget shares and the circuit breaker.

use std::{collections::BTreeMap, time::Duration};

use arbutusshelf::{
    plan::Budgets,
    store::{
        Condition, ListedInstance, ObjectCondition, Platform, ReadError, RowChange, RowKey, RowWrite,
        WriteResult,
        breaker::{CallResult, CircuitBreaker},
        embedded::{self, SharedStore},
        guard::GuardedPlatform,
        http,
        rate_limit::{Access, Purpose, StoreRateLimiter},
    },
    units::{MonoTime, RunId},
};
use arbutusshelf_bench::{
    deployment::ANY_PORT,
    platform::{Faults, PlatformStandIn},
};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};

/// Timeout of requests to the stand-in.
const TIMEOUT: Duration = Duration::from_secs(2);

fn put(key: &str, condition: Condition, value: &str) -> RowWrite {
    let change = RowChange::Put(Bytes::from(value.to_owned()));
    RowWrite { key: RowKey(key.to_owned()), condition, change }
}

async fn value(platform: &Platform, key: &str) -> Option<String> {
    let row = (platform.get)(RowKey(key.to_owned())).await.expect("the table answers")?;
    Some(String::from_utf8(row.value.to_vec()).expect("values are text"))
}

fn listed_instance(name: &str) -> ListedInstance {
    ListedInstance {
        id: name.parse().expect("a valid name"),
        run_id: RunId::from(7),
        data_centre: "ost-a".parse().expect("a valid name"),
        peer_address: ANY_PORT,
        caller_address: ANY_PORT,
        leaving: false,
    }
}

/// Checks what every driver must do, whatever store is behind it.
async fn check_contract(platform: &Platform) {
    let first_write =
        (platform.write)(vec![put("c/a", Condition::Absent, "1"), put("c/b", Condition::Absent, "2")]);
    let WriteResult::TookEffect(versions) = first_write.await else { panic!("the first write takes effect") };
    assert_eq!(versions.len(), 2);

    let conflicting =
        (platform.write)(vec![put("c/a", Condition::Absent, "3"), put("c/c", Condition::Absent, "4")]);
    assert_eq!(conflicting.await, WriteResult::Conflict(vec![RowKey("c/a".to_owned())]));
    assert_eq!(value(platform, "c/c").await, None, "a transaction takes effect whole or not at all");

    let stale = (platform.write)(vec![put("c/a", Condition::VersionIs(versions[0] + 100), "5")]);
    assert!(matches!(stale.await, WriteResult::Conflict(_)));
    let fresh = (platform.write)(vec![put("c/a", Condition::VersionIs(versions[0]), "6 & \"ü\"")]);
    assert!(matches!(fresh.await, WriteResult::TookEffect(_)));
    assert_eq!(value(platform, "c/a").await.as_deref(), Some("6 & \"ü\""));

    let rows = (platform.scan)("c/".to_owned()).await.expect("the table answers");
    assert_eq!(rows.iter().map(|r| r.key.0.as_str()).collect::<Vec<_>>(), ["c/a", "c/b"]);
    let delete = RowWrite {
        key: RowKey("c/b".to_owned()),
        condition: Condition::VersionIs(versions[1]),
        change: RowChange::Delete,
    };
    assert!(matches!((platform.write)(vec![delete]).await, WriteResult::TookEffect(_)));
    assert_eq!(value(platform, "c/b").await, None);

    let name = "plan/a b".to_owned();
    let absent = (platform.put_object)((name.clone(), Bytes::from_static(b"x"), ObjectCondition::Absent));
    assert!(matches!(absent.await, WriteResult::TookEffect(_)));
    let second = (platform.put_object)((name.clone(), Bytes::from_static(b"y"), ObjectCondition::Absent));
    assert!(matches!(second.await, WriteResult::Conflict(_)));
    let object = (platform.get_object)(name.clone()).await.expect("the store answers").expect("it is there");
    assert_eq!(&object.content[..], b"x");
    let matching = ObjectCondition::Match(object.etag);
    let matched = (platform.put_object)((name.clone(), Bytes::from_static(b"z"), matching.clone()));
    assert!(matches!(matched.await, WriteResult::TookEffect(_)));
    let outdated = (platform.put_object)((name.clone(), Bytes::from_static(b"w"), matching));
    assert!(matches!(outdated.await, WriteResult::Conflict(_)));
    assert_eq!((platform.list_objects)("plan/".to_owned()).await.expect("the store answers"), [name]);

    (platform.register)(listed_instance("kremsau-01")).await.expect("the list answers");
    (platform.register)(listed_instance("kremsau-01")).await.expect("the list answers");
    assert_eq!(
        (platform.list_instances)(()).await.expect("the list answers"),
        [listed_instance("kremsau-01")]
    );
}

#[tokio::test]
async fn embedded_driver_keeps_the_contract() {
    check_contract(&embedded::driver(&SharedStore::default())).await;
}

#[tokio::test]
async fn http_driver_keeps_the_contract() {
    let stand_in = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
    check_contract(&http::driver(stand_in.server.address, TIMEOUT)).await;
}

/// For each fault, checks the result of a write, whether the row exists afterwards, and the error of a read.
#[tokio::test]
async fn http_driver_tells_faults_apart() {
    let lost = Faults { lose_write_replies: 1.0, ..Faults::default() };
    let refused = Faults { refuse_writes: 1.0, ..Faults::default() };
    let throttled = Faults { max_writes_per_s: 0, max_reads_per_s: 0, ..Faults::default() };
    let down = Faults { down: true, ..Faults::default() };
    let slow = Faults { slow_ms: 10_000, ..Faults::default() };
    let cases = [
        ("reply lost", lost, TIMEOUT, WriteResult::Unknown, Some("v"), None),
        ("refused", refused, TIMEOUT, WriteResult::Refused, None, None),
        ("throttled", throttled, TIMEOUT, WriteResult::Refused, None, Some(ReadError::Throttled)),
        ("down", down, TIMEOUT, WriteResult::Unknown, None, Some(ReadError::Unavailable)),
        ("slow", slow, Duration::from_millis(50), WriteResult::Unknown, None, Some(ReadError::Unavailable)),
    ];
    for (name, faults, timeout, expected, row, read_error) in cases {
        let stand_in = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
        let platform = http::driver(stand_in.server.address, timeout);
        stand_in.set_faults(faults);
        let result = (platform.write)(vec![put("k", Condition::Absent, "v")]).await;
        assert_eq!(result, expected, "{name}");
        let read = (platform.get)(RowKey("k".to_owned())).await;
        assert_eq!(read.err(), read_error, "{name}");
        stand_in.set_faults(Faults::default());
        assert_eq!(
            value(&http::driver(stand_in.server.address, TIMEOUT), "k").await.as_deref(),
            row,
            "{name}"
        );
    }
}

#[tokio::test]
async fn a_write_without_connection_is_refused() {
    let listener = std::net::TcpListener::bind(ANY_PORT).expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    drop(listener);
    let result = (http::driver(address, TIMEOUT).write)(vec![put("k", Condition::Absent, "v")]).await;
    assert_eq!(result, WriteResult::Refused);
}

/// A store request of one of several instances, some time after the previous request.
#[derive(Debug, Clone, Copy)]
struct Request {
    instance: usize,
    purpose: Purpose,
    pause_us: u64,
}

impl Arbitrary for Request {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % INSTANCES;
        let purpose = *g.choose(&Purpose::ALL).expect("there are purposes");
        Self { instance, purpose, pause_us: u64::arbitrary(g) % 2_000 }
    }
}

const INSTANCES: usize = 18;

#[test]
fn shares_hold_the_budget_in_any_second() {
    let budgets = Budgets { store_writes_per_s: 100, ..Budgets::default() };
    let mut total_sent = 0;
    for seed in 0..30 {
        let mut g = Gen::from_size_and_seed(8_000, seed);
        let requests = Vec::<Request>::arbitrary(&mut g);
        let mut shares = vec![StoreRateLimiter::new(&budgets); INSTANCES];
        let mut now = MonoTime::default();
        let mut sent = Vec::new();
        for request in requests {
            now = now + Duration::from_micros(request.pause_us);
            if shares[request.instance].acquire(request.purpose, Access::Write, now).is_ok() {
                sent.push(now);
            }
        }
        for (index, start) in sent.iter().enumerate() {
            let in_second = sent[index..].iter().take_while(|at| at.since(*start) < Duration::from_secs(1));
            assert!(in_second.count() <= budgets.store_writes_per_s as usize, "seed {seed}");
        }
        total_sent += sent.len();
    }
    assert!(total_sent > 1_000, "the shares let requests through: {total_sent}");
}

#[test]
fn no_purpose_takes_the_reserve_of_another() {
    let mut shares = StoreRateLimiter::new(&Budgets::default());
    let now = MonoTime::default();
    let spent = |shares: &mut StoreRateLimiter, purpose| {
        (0..1_000).filter(|_| shares.acquire(purpose, Access::Write, now).is_ok()).count()
    };
    let mut counts = BTreeMap::new();
    counts.insert("report", spent(&mut shares, Purpose::Report));
    counts.insert("claim", spent(&mut shares, Purpose::Claim));
    counts.insert("plan", spent(&mut shares, Purpose::Plan));
    // An instance's share is 400 / 18 = 22 writes: 13 reserved for claims, 3 for the plan, 1 for reports, and 5
    // shared by all.
    assert_eq!(counts, BTreeMap::from([("claim", 13), ("plan", 3), ("report", 6)]));
}

#[test]
fn breakers_return_spread_out_and_one_trial_at_a_time() {
    let outage_end = MonoTime::from(20_000_000);
    let step = Duration::from_millis(1);
    let mut trials = Vec::new();
    for seed in 0..INSTANCES as u64 {
        let mut breaker = CircuitBreaker::new(seed);
        let mut now = MonoTime::default();
        let mut sent_during_outage = 0;
        while now < outage_end {
            if breaker.admit(now) {
                sent_during_outage += 1;
                breaker.record(CallResult::Unanswered, now);
            }
            now = now + step;
        }
        assert!(sent_during_outage < 40, "seed {seed}: {sent_during_outage} requests in 20 s of outage");
        while !breaker.admit(now) {
            now = now + step;
        }
        assert!(!breaker.admit(now), "seed {seed}: a second request during the trial");
        breaker.record(CallResult::Answered, now);
        assert!(breaker.admit(now) && breaker.admit(now), "seed {seed}: open after a good trial");
        trials.push(now);
    }
    let last = trials.iter().max().expect("there are trials");
    assert!(last.since(outage_end) <= Duration::from_secs(3), "the longest pause bounds the return");
    let in_one_step = trials.iter().map(|at| trials.iter().filter(|other| *other == at).count()).max();
    assert!(in_one_step <= Some(3), "{in_one_step:?} instances returned in the same millisecond");
}

#[tokio::test(start_paused = true)]
async fn guard_fails_fast_during_an_outage() {
    let clock = arbutusshelf::kernel::clock::Clock::start();
    let mut driver = embedded::driver(&SharedStore::default());
    driver.get = std::sync::Arc::new(|_| {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            Err(ReadError::Unavailable)
        })
    });
    let guarded = GuardedPlatform::new(driver, clock, 1);
    let platform = guarded.for_purpose(Purpose::Plan);
    for _ in 0..100 {
        assert_eq!((platform.get)(RowKey("k".to_owned())).await, Err(ReadError::Unavailable));
    }
    let counts = guarded.counts();
    assert_eq!(counts.reads + counts.breaker_open, 100);
    assert!(counts.breaker_open > 80, "{counts:?}");
    assert!(guarded.is_breaker_open());
}
