//! Requests under which targets end, at many instances that tell each other what they have seen, without network.

use std::time::Duration;

use arbutusshelf::{
    decide::{
        directory::{DirectoryChange, Listing},
        suspects::{
            Admission, MAX_SUSPECTS, QUARANTINE_ENDS, RequestIdentity, SuspectRecord, SuspectTable, TargetEnd,
        },
        unconfirmed_ends::{ProcessState, UnconfirmedEnds},
    },
    units::MonoTime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time after the third target has ended from which on the users count further sends (`contactS`).
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Sends that the users allow after that.
const ALLOWED_SENDS: usize = 3;

/// Targets to which one attempt may be sent.
const MAX_ATTEMPTS: usize = 2;

/// Time that a target takes before it ends.
const RUN_TIME: std::ops::Range<u64> = 40..160;

/// Time in milliseconds until an instance has sent on what it knows, over three links.
const BATCH_TIME: std::ops::Range<u64> = 0..60;

/// Time in milliseconds that messages take over three links.
const NETWORK_TIME: std::ops::Range<u64> = 1..10;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// What one request has in common with the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Varied {
    /// Everything.
    Nothing,
    /// All but the query.
    Query,
    /// All but the address of the caller.
    Address,
    /// All but query and address.
    QueryAndAddress,
}

impl Varied {
    const ALL: [Self; 4] = [Self::Nothing, Self::Query, Self::Address, Self::QueryAndAddress];

    fn identity(self, variant: u128) -> RequestIdentity {
        let other_query = if matches!(self, Self::Nothing) { 0 } else { variant };
        let other_address = if matches!(self, Self::Nothing | Self::Query) { 0 } else { variant };
        RequestIdentity {
            exact: (1_000 + other_query).into(),
            path: (1_000_000 + other_address).into(),
            content: 7.into(),
        }
    }
}

/// Instances that pass on each change to all others.
struct Instances {
    tables: Vec<SuspectTable>,
    sent_revisions: Vec<u64>,
    /// Records on their way, with the time of their arrival and the receiver.
    on_the_way: Vec<(MonoTime, usize, SuspectRecord)>,
    rng: SmallRng,
}

impl Instances {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            tables: (0..count).map(|_| SuspectTable::default()).collect(),
            sent_revisions: vec![0; count],
            on_the_way: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Delivers what has arrived, and sends what has changed.
    fn exchange(&mut self, now: MonoTime) {
        let (arrived, left) = self.on_the_way.drain(..).partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.on_the_way = left;
        for (at, to, record) in arrived {
            self.tables[to].merge(at, &record);
        }
        for from in 0..self.tables.len() {
            let records = self.tables[from].records_since(now, self.sent_revisions[from]);
            self.sent_revisions[from] = self.tables[from].revision();
            for (to, record) in (0..self.tables.len()).flat_map(|to| records.iter().map(move |r| (to, *r))) {
                if to != from {
                    let batch_time = ms(self.rng.random_range(BATCH_TIME));
                    let sent = SuspectRecord { age: record.age + batch_time, ..record };
                    let network_time = ms(self.rng.random_range(NETWORK_TIME));
                    self.on_the_way.push((now + batch_time + network_time, to, sent));
                }
            }
        }
    }
}

/// How a request comes.
#[derive(Debug, Clone, Copy)]
struct Pattern {
    varied: Varied,
    /// Whether each attempt is varied, rather than each series of attempts.
    varies_each_attempt: bool,
    /// Attempts of a series, one right after the other.
    attempts: usize,
    /// Time between two series.
    gap: Duration,
    /// Whether an instance may repeat it.
    is_idempotent: bool,
    /// Time from the loss of a send until the end of its target is known, if not at once.
    check_time: Duration,
}

/// Returns the times at which targets began to execute the request while it came for `length`.
fn play(pattern: &Pattern, instance_count: usize, length: Duration, seed: u64) -> Vec<MonoTime> {
    let mut instances = Instances::new(instance_count, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut now = MonoTime::default() + Duration::from_secs(5);
    let until = now + length;
    let mut starts = Vec::new();
    let mut variant = 0;
    while now < until {
        variant += 1;
        for _ in 0..pattern.attempts {
            variant += u128::from(pattern.varies_each_attempt);
            let identity = pattern.varied.identity(variant);
            let at = rng.random_range(0..instance_count);
            for send in 0..MAX_ATTEMPTS {
                instances.exchange(now);
                let table = &mut instances.tables[at];
                let is_harmful_repeat = send > 0 && !(pattern.is_idempotent && table.may_repeat(identity));
                if is_harmful_repeat || table.admission(now, identity) != Admission::Send {
                    break;
                }
                let watched = table.start_send(now, identity);
                starts.push(now);
                let ended_at = now + ms(rng.random_range(RUN_TIME));
                now = ended_at + pattern.check_time;
                instances.exchange(now);
                let table = &mut instances.tables[at];
                table.record_end(now, &watched, exactly(ended_at));
                table.finish_send(watched);
                instances.exchange(now);
            }
            now = now + ms(rng.random_range(20..200));
        }
        now = now + pattern.gap;
    }
    starts
}

/// Guards against a request that ends target after target, however it is varied and however often it comes.
#[test]
fn a_request_that_ends_its_targets_soon_reaches_none_any_more() {
    for varied in Varied::ALL {
        for (varies_each_attempt, attempts, is_idempotent) in
            [(false, 3, true), (false, 3, false), (true, 3, true), (true, 1, false), (false, 1, true)]
        {
            for gap_ms in [100, 1_000, 4_000, 20_000] {
                for check_ms in [0, 25] {
                    let pattern = Pattern {
                        varied,
                        varies_each_attempt,
                        attempts,
                        gap: ms(gap_ms),
                        is_idempotent,
                        check_time: ms(check_ms),
                    };
                    for (seed, instance_count) in (0..10).zip([1, 5, 13, 40, 117].into_iter().cycle()) {
                        let starts = play(&pattern, instance_count, Duration::from_mins(2), seed);
                        let third = starts.get(2).copied().unwrap_or(MonoTime::MAX);
                        let settled = third + ms(RUN_TIME.end) + SETTLE_TIME;
                        let late = starts.iter().filter(|at| **at > settled).count();
                        let count = starts.len();
                        assert!(
                            late <= ALLOWED_SENDS,
                            "{late} late sends of {count}, {instance_count} instances, seed {seed}, {pattern:?}"
                        );
                        assert!(count >= usize::from(QUARANTINE_ENDS), "{count} sends, {pattern:?}");
                    }
                }
            }
        }
    }
}

/// Guards against an end that is lost because the next send, at another instance, began while the first one was still
/// checking its target.
#[test]
fn a_send_that_began_during_the_check_of_the_end_before_it_counts() {
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    let send = first.start_send(at(0), request(1));
    first.record_end(at(130), &send, exactly(at(100)));
    let next = second.start_send(at(124), request(1));
    for record in first.records_since(at(131), 0) {
        second.merge(at(132), &record);
    }
    second.record_end(at(135), &next, TargetEnd { lost_at: at(135), is_exact: false });
    assert_eq!(second.ends(request(1)), 2);
}

fn exactly(lost_at: MonoTime) -> TargetEnd {
    TargetEnd { lost_at, is_exact: true }
}

fn request(number: u128) -> RequestIdentity {
    let digest = |kind: u128| (number * 10 + kind).into();
    RequestIdentity { exact: digest(1), path: digest(2), content: digest(3) }
}

fn at(milliseconds: u64) -> MonoTime {
    MonoTime::default() + ms(milliseconds)
}

/// Sends a request to a target that ends 50 ms later.
fn send_to_ending_target(table: &mut SuspectTable, from: MonoTime, identity: RequestIdentity) {
    let send = table.start_send(from, identity);
    let ended_at = from + ms(50);
    table.record_end(ended_at, &send, exactly(ended_at));
    table.finish_send(send);
}

/// Quarantines a request with three ends, the last one at `from` + 250 ms.
fn quarantine(table: &mut SuspectTable, from: MonoTime, identity: RequestIdentity) {
    for number in 0..3 {
        assert_eq!(table.admission(from + ms(100 * number), identity), Admission::Send);
        send_to_ending_target(table, from + ms(100 * number), identity);
    }
}

/// Guards against a retry that ends the third target: one end may be chance, two are hardly.
#[test]
fn a_request_is_not_repeated_after_two_ends() {
    let mut table = SuspectTable::default();
    send_to_ending_target(&mut table, at(0), request(1));
    assert!(table.may_repeat(request(1)));
    send_to_ending_target(&mut table, at(100), request(1));
    assert!(!table.may_repeat(request(1)));
    assert_eq!(table.admission(at(200), request(1)), Admission::Send);
}

/// Guards against a quarantine of requests that many callers behind one address send at the same time, when a rack
/// loses power.
#[test]
fn targets_that_end_at_once_count_as_one_end() {
    let mut table = SuspectTable::default();
    let sends = (0..20).map(|number| table.start_send(at(number), request(1))).collect::<Vec<_>>();
    for (number, send) in sends.into_iter().enumerate() {
        let ended_at = at(100 + number as u64 / 2);
        table.record_end(ended_at, &send, exactly(ended_at));
        table.finish_send(send);
    }
    assert_eq!(table.ends(request(1)), 1);
    assert_eq!(table.admission(at(120), request(1)), Admission::Send);
}

/// Guards against a quarantine of them when the ends become known one after the other, as their entries lapse.
#[test]
fn targets_that_fell_silent_at_once_count_as_one_end() {
    let mut table = SuspectTable::default();
    let sends = (0..20).map(|number| table.start_send(at(number), request(1))).collect::<Vec<_>>();
    for (number, send) in sends.into_iter().enumerate() {
        let end = TargetEnd { lost_at: at(100 + 150 * number as u64), is_exact: false };
        table.record_end(at(4_000 + 100 * number as u64), &send, end);
    }
    assert_eq!(table.ends(request(1)), 1);
}

/// Guards against a caller that sends many copies of a request at the same moment.
#[test]
fn copies_that_end_their_targets_one_after_the_other_count() {
    let mut table = SuspectTable::default();
    let sends = (0..4).map(|_| table.start_send(at(0), request(1))).collect::<Vec<_>>();
    for (number, send) in sends.into_iter().enumerate() {
        let ended_at = at(60 + 30 * number as u64);
        table.record_end(ended_at, &send, exactly(ended_at));
    }
    assert!(matches!(table.admission(at(200), request(1)), Admission::Quarantined(_)));
}

/// Guards against the quarantine of a request that was on the targets by chance: it is answered in the end.
#[test]
fn an_answer_clears_the_count_at_all_instances_in_whatever_order_it_is_heard_of() {
    let mut seen = SuspectTable::default();
    let mut records = Vec::new();
    let mut known = 0;
    for number in 0..2 {
        send_to_ending_target(&mut seen, at(100 * number), request(1));
        records.extend(seen.records_since(at(300), known));
        known = seen.revision();
    }
    seen.record_answer(at(300), request(1));
    records.extend(seen.records_since(at(300), known));
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..200 {
        let mut other = SuspectTable::default();
        let mut order = (0..records.len()).chain(0..records.len()).collect::<Vec<_>>();
        for index in (1..order.len()).rev() {
            order.swap(index, rng.random_range(0..=index));
        }
        for index in order {
            other.merge(at(400), &records[index]);
        }
        assert_eq!(other.ends(request(1)), 0);
    }
}

/// Guards against a restarted instance that sends the request again.
#[test]
fn an_instance_that_starts_later_or_was_cut_off_refuses_a_quarantined_request() {
    let mut seen = SuspectTable::default();
    quarantine(&mut seen, at(1_000), request(1));
    let mut other = SuspectTable::default();
    // Its clock starts with its process.
    for record in seen.records_since(at(500_000), 0) {
        other.merge(at(10), &record);
    }
    let Admission::Quarantined(remaining) = other.admission(at(10), request(1)) else {
        panic!("not quarantined");
    };
    assert!(remaining > Duration::from_secs(100) && remaining < Duration::from_secs(102), "{remaining:?}");
}

#[test]
fn a_quarantine_ends_with_one_send_at_a_time_and_grows_with_each_further_end() {
    let mut table = SuspectTable::default();
    quarantine(&mut table, at(0), request(1));
    let mut now = at(250);
    for minutes in [10, 40, 160] {
        let before_end = now + Duration::from_mins(minutes) - at(1);
        assert!(matches!(
            table.admission(MonoTime::default() + before_end, request(1)),
            Admission::Quarantined(_)
        ));
        now = now + Duration::from_mins(minutes);
        assert_eq!(table.admission(now, request(1)), Admission::Send);
        assert!(!table.may_repeat(request(1)));
        let send = table.start_send(now, request(1));
        assert_eq!(table.admission(now, request(1)), Admission::Wait);
        table.record_end(now, &send, exactly(now));
        table.finish_send(send);
    }
    now = now + Duration::from_mins(640);
    table.start_send(now, request(1));
    table.record_answer(now, request(1));
    assert_eq!(table.admission(now, request(1)), Admission::Send);
    assert!(table.may_repeat(request(1)));
}

/// Guards against memory without bound when targets end under ever new requests.
#[test]
fn a_flood_of_requests_that_end_targets_takes_bounded_memory_and_keeps_the_quarantined() {
    let mut table = SuspectTable::default();
    quarantine(&mut table, at(0), request(0));
    for number in 1..20_000 {
        send_to_ending_target(&mut table, at(1_000 + number), request(u128::from(number)));
        assert!(table.len() <= MAX_SUSPECTS);
    }
    assert!(matches!(table.admission(at(30_000), request(0)), Admission::Quarantined(_)));
    table.expire(at(0) + Duration::from_hours(48));
    assert!(table.is_empty());
}

fn listing(id: &str, port: u16, started_unix_ms: u64) -> Listing {
    Listing {
        id: id.parse().expect("a name"),
        service: "plan".parse().expect("a name"),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "ost-a".parse().expect("a name"),
        slots: 3,
        draining: false,
        warm_up: Duration::ZERO,
        started_unix_ms: Some(started_unix_ms),
        sequence: 1,
    }
}

/// Guards against lost answers that count as ends, and against ends that only the directory shows.
#[test]
fn the_directory_confirms_an_end_by_another_process_or_by_the_lapse_of_a_silent_target() {
    let lost_at_target = listing("i-1", 1, 100);
    let removed = DirectoryChange::Removed(lost_at_target.id.clone());
    let restarted = DirectoryChange::Added(listing("i-1", 1, 200));
    let replaced = DirectoryChange::Added(listing("i-2", 1, 200));
    let elsewhere = DirectoryChange::Added(listing("i-2", 2, 200));
    let updated = DirectoryChange::Updated(lost_at_target.clone());
    let cases = [
        (ProcessState::Listening, &removed, false),
        (ProcessState::Unknown, &removed, true),
        (ProcessState::Listening, &restarted, true),
        (ProcessState::Listening, &replaced, true),
        (ProcessState::Unknown, &elsewhere, false),
        (ProcessState::Unknown, &updated, false),
    ];
    for (process, change, is_end) in cases {
        for (after_ms, is_in_time) in [(500, true), (11_000, false)] {
            let send = SuspectTable::default().start_send(at(0), request(1));
            let mut unconfirmed = UnconfirmedEnds::default();
            assert!(unconfirmed.add(at(50), &lost_at_target, process, send));
            let confirmed = unconfirmed.confirm(at(50 + after_ms), std::slice::from_ref(change));
            assert_eq!(confirmed.len(), usize::from(is_end && is_in_time), "{process} {change:?}");
        }
    }
}

/// Guards against sends of ten seconds ago that leave no room for others.
#[test]
fn unconfirmed_ends_make_room_after_a_while() {
    let mut unconfirmed = UnconfirmedEnds::default();
    let send = SuspectTable::default().start_send(at(0), request(1));
    for _ in 0..1_000 {
        unconfirmed.add(at(50), &listing("i-1", 1, 100), ProcessState::Listening, send);
    }
    assert!(unconfirmed.is_full(at(60)));
    assert!(!unconfirmed.is_full(at(11_000)));
}
