//! Roll-ups through loss, doubling and delay: the report's figures equal those worked out directly.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arbutusshelf::{
    error::{ErrorKind, Outcome},
    observe::{
        coverage::RunState,
        recorder::{KEPT_MINUTES, RollUpRecorder, Upload},
        report::{self, Report, ReportInput},
        roll_up_reader,
        rollup::{self, AnnotationKind, ControlCost, HourRollUp, MinuteRollUp, RunKey, UnixMinute},
        tally::CompletedCall,
        window::Window,
    },
    plan::{Plan, RequestKind, sheet},
    store::{ObjectCondition, WriteResult, embedded},
};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};

/// First second of the replays: the start of an hour.
const START_S: u64 = 1_765_000_800;

/// Store writes a second of one instance; roll-ups may use a twentieth.
const WRITES_PER_S: f64 = 400.0 / 18.0;

const SHEET: &str = "\
[services]
name,useful_share,latency_ms,window_days
hallenplan,0.99,100,28
mietkasse,0.999,200,28
[targets]
service,id,address,data_centre,slots,max_connections
hallenplan,h-01,127.0.0.1:1,ost-a,3,200
mietkasse,m-01,127.0.0.1:2,ost-a,3,200
";

fn plan() -> Plan {
    sheet::parse(SHEET.as_bytes()).expect("the sheet is valid")
}

fn run(instance: &str, run_id: u64) -> RunKey {
    RunKey { instance: instance.parse().expect("a name"), run_id: run_id.into() }
}

fn end(service: &str, outcome: Outcome, cause: Option<ErrorKind>, latency_us: u64) -> CompletedCall {
    CompletedCall {
        service: Some(service.parse().expect("a name")),
        kind: RequestKind::Idempotent,
        outcome,
        cause,
        useful: cause.is_none() && latency_us < 100_000,
        latency: Duration::from_micros(latency_us),
        queue_wait: Duration::from_micros(latency_us / 2),
        head_of_line: Duration::from_micros(latency_us / 4),
    }
}

fn below(random: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(random) % limit
}

fn random_end(random: &mut Gen) -> CompletedCall {
    let service = if bool::arbitrary(random) { "hallenplan" } else { "mietkasse" };
    let latency_us = 500 + below(random, 20_000) * (1 + below(random, 10));
    match below(random, 20) {
        0 => end(service, Outcome::NotRun, Some(ErrorKind::Overloaded), latency_us),
        1 => end(service, Outcome::Unknown, Some(ErrorKind::AnswerTimeout), latency_us),
        2 => end(service, Outcome::NotRun, Some(ErrorKind::KeyMissing), latency_us),
        _ => end(service, Outcome::Ran, None, latency_us),
    }
}

/// What a faulty store makes of one write.
#[derive(Debug, Clone, Copy)]
enum WriteFault {
    None,
    Refused,
    ReplyLost,
    Lost,
    Delayed,
    Doubled,
}

/// An object store whose writes are refused, lost, delayed and doubled.
#[derive(Default)]
struct FaultyStore {
    store: embedded::SharedStore,
    delayed: Vec<(u64, Upload)>,
}

impl FaultyStore {
    fn apply(&self, upload: &Upload) -> WriteResult {
        let mut store = self.store.lock().expect("no test panics with the lock");
        store.put_object(&upload.name, upload.content.clone(), &ObjectCondition::Absent)
    }

    fn write(&mut self, now_s: u64, upload: &Upload, fault: WriteFault) -> WriteResult {
        match fault {
            WriteFault::None => self.apply(upload),
            WriteFault::Refused => WriteResult::Refused,
            WriteFault::Lost => WriteResult::Unknown,
            WriteFault::ReplyLost => {
                self.apply(upload);
                WriteResult::Unknown
            }
            WriteFault::Delayed => {
                self.delayed.push((now_s + 150, upload.clone()));
                WriteResult::Unknown
            }
            WriteFault::Doubled => {
                self.delayed.push((now_s + 30, upload.clone()));
                self.apply(upload)
            }
        }
    }

    fn tick(&mut self, now_s: u64) {
        for (at_s, upload) in std::mem::take(&mut self.delayed) {
            if at_s <= now_s {
                self.apply(&upload);
            } else {
                self.delayed.push((at_s, upload));
            }
        }
    }
}

async fn read(store: &embedded::SharedStore, now_s: u64) -> ReportInput {
    let platform = embedded::driver(store);
    let mut cache = roll_up_reader::ObjectCache::default();
    roll_up_reader::read_last_day(&platform, &mut cache, UnixMinute::from_unix_s(now_s), 10_000.0).await
}

fn make(plan: &Plan, gathered: &ReportInput, now_s: u64) -> Report {
    report::build(&"kremsau-01".parse().expect("a name"), plan, gathered, now_s)
}

/// Checks counts, burn and quantiles of every window against the calls themselves.
fn assert_equal_to_direct(report: &Report, calls: &[(UnixMinute, CompletedCall)], now_s: u64, case: &str) {
    let now = UnixMinute::from_unix_s(now_s);
    for service in &report.services {
        for window in &service.windows {
            let of_window = calls.iter().filter(|(minute, call)| {
                minute.0 + window.window.minutes() > now.0 && call.service.as_ref() == Some(&service.service)
            });
            let of_window = of_window.map(|(_, call)| call).collect::<Vec<_>>();
            let case = format!("{case} {} {}", service.service, window.window);
            assert_eq!(window.calls, of_window.len() as u64, "calls, {case}");
            let eligible = of_window.iter().filter(|c| c.cause != Some(ErrorKind::KeyMissing));
            let eligible = eligible.collect::<Vec<_>>();
            let useful = eligible.iter().filter(|c| c.useful).count();
            assert_eq!(window.eligible, eligible.len() as u64, "judged, {case}");
            if eligible.is_empty() {
                continue;
            }
            let bad_share = 1.0 - useful as f64 / eligible.len() as f64;
            let burn = bad_share / (1.0 - service.objective.useful_share);
            assert!((window.burn - burn).abs() < 1e-9, "burn {} is not {burn}, {case}", window.burn);
            let answered = eligible.iter().filter(|c| c.outcome != Outcome::NotRun);
            let mut latencies = answered.map(|c| c.latency).collect::<Vec<_>>();
            latencies.sort();
            let rank = (latencies.len() as f64 * 0.99).ceil() as usize - 1;
            let exact_ms = latencies[rank].as_secs_f64() * 1_000.0;
            let p99_ms = window.latency.expect("there were answers").p99_ms;
            assert!((p99_ms / exact_ms - 1.0).abs() < 0.011, "p99 {p99_ms} is not {exact_ms}, {case}");
        }
        let day = service.window(Window::Day).map(|w| w.eligible);
        assert_eq!(day, Some(service.series.iter().map(|p| p.eligible).sum()), "series, {case}");
        let mut causes = BTreeMap::new();
        for (_, call) in calls.iter().filter(|(_, c)| c.service.as_ref() == Some(&service.service)) {
            let name = call.cause.map(|c| c.to_string()).unwrap_or_default();
            *causes.entry((call.outcome.to_string(), name)).or_insert(0_u64) += 1;
        }
        let reported = service.causes.iter().map(|c| ((c.outcome.clone(), c.cause.clone()), c.calls));
        assert_eq!(reported.collect::<BTreeMap<_, _>>(), causes, "causes, {case}");
    }
}

/// One instance of a replay.
struct Replayed {
    roll_ups: RollUpRecorder,
    calls: Vec<(UnixMinute, CompletedCall)>,
    /// Minute from which on it is gone without a word.
    lost_at: Option<u64>,
}

#[tokio::test(start_paused = true)]
async fn figures_equal_direct_ones_with_instances_lost_and_writes_faulty() {
    for seed in 1..=12 {
        replay(seed).await;
    }
}

async fn replay(seed: u64) {
    let random = &mut Gen::from_size_and_seed(100, seed);
    let plan = plan();
    let minutes = 75 + below(random, 90);
    let mut faulty = FaultyStore::default();
    let mut instances = (0..5)
        .map(|i| Replayed {
            roll_ups: RollUpRecorder::new(run(&format!("kremsau-0{}", i + 1), 100 + i)),
            calls: Vec::new(),
            lost_at: (i == 3).then_some(40 + below(random, 30)),
        })
        .collect::<Vec<_>>();
    for step in 0..minutes * 4 {
        let now_s = START_S + step * 15;
        faulty.tick(now_s);
        for instance in &mut instances {
            if instance.lost_at.is_some_and(|at| step / 4 >= at) {
                continue;
            }
            instance.roll_ups.advance(now_s, &plan, ControlCost::default());
            let ends = (0..below(random, 6)).map(|_| random_end(random)).collect::<Vec<_>>();
            instance.roll_ups.count_calls(&ends);
            instance.calls.extend(ends.into_iter().map(|e| (UnixMinute::from_unix_s(now_s), e)));
            let Some(upload) = instance.roll_ups.next_upload(now_s) else { continue };
            let kinds = [
                WriteFault::None,
                WriteFault::None,
                WriteFault::Refused,
                WriteFault::ReplyLost,
                WriteFault::Lost,
                WriteFault::Delayed,
                WriteFault::Doubled,
            ];
            let fault = kinds[below(random, kinds.len() as u64) as usize];
            let result = faulty.write(now_s, &upload, fault);
            instance.roll_ups.record_upload(&upload, &result, now_s, WRITES_PER_S);
        }
    }
    let end_s = START_S + minutes * 60;
    for instance in instances.iter_mut().filter(|i| i.lost_at.is_none()) {
        instance.roll_ups.finish(&plan, ControlCost::default());
        for step in 0..600 {
            let Some(upload) = instance.roll_ups.next_upload(end_s + step) else { continue };
            let result = faulty.write(end_s, &upload, WriteFault::None);
            instance.roll_ups.record_upload(&upload, &result, end_s + step, WRITES_PER_S);
        }
    }
    faulty.tick(u64::MAX);
    let now_s = end_s - 1;
    let mut gathered = read(&faulty.store, now_s).await;
    assert_eq!(gathered.store_fault, None);
    // Of the lost instance, what reached the store is known; which minutes those are is told by their names.
    let lost = run("kremsau-04", 103);
    let names = faulty.store.lock().expect("no test panics with the lock").list_objects("rollup/minute/");
    let of_lost = names.iter().filter_map(|n| rollup::parse_minute_name(n)).filter(|(_, run)| *run == lost);
    let mut survived = of_lost.map(|(minute, _)| minute).collect::<Vec<_>>();
    let hours = gathered.hours.iter().filter(|h| h.run == lost);
    survived.extend(hours.flat_map(|h| h.minutes.iter().map(|m| m.minute)));
    let direct = instances.iter().flat_map(|i| {
        let whole = i.lost_at.is_none();
        let survived = &survived;
        i.calls.iter().filter(move |(minute, _)| whole || survived.contains(minute)).cloned()
    });
    let direct = direct.collect::<Vec<_>>();
    // Every object counts once however often it is handed in.
    gathered.minutes.extend(gathered.minutes.clone());
    gathered.hours.extend(gathered.hours.clone());
    gathered.minutes.reverse();
    let report = make(&plan, &gathered, now_s);
    assert_equal_to_direct(&report, &direct, now_s, &format!("seed {seed}"));
    let state = |instance: &str| {
        let found = report.coverage.iter().find(|c| c.instance.as_str() == instance);
        found.map(|c| c.state)
    };
    assert_eq!(state("kremsau-01"), Some(RunState::Left), "seed {seed}");
    assert_eq!(state("kremsau-04"), Some(RunState::Lost), "seed {seed}");
}

/// Runs one instance with one useful call a minute while the store refuses all writes.
fn run_alone(roll_ups: &mut RollUpRecorder, plan: &Plan, minutes: std::ops::Range<u64>) {
    for minute in minutes {
        let now_s = START_S + minute * 60;
        roll_ups.advance(now_s, plan, ControlCost::default());
        roll_ups.count_calls(&[end("hallenplan", Outcome::Ran, None, 1_000)]);
        if let Some(upload) = roll_ups.next_upload(now_s) {
            roll_ups.record_upload(&upload, &WriteResult::Refused, now_s, WRITES_PER_S);
        }
    }
}

fn upload_all(roll_ups: &mut RollUpRecorder, store: &embedded::SharedStore, from_s: u64) {
    for now_s in from_s..from_s + 3_600 {
        let Some(upload) = roll_ups.next_upload(now_s) else { continue };
        let mut store = store.lock().expect("no test panics with the lock");
        let result = store.put_object(&upload.name, upload.content.clone(), &ObjectCondition::Absent);
        roll_ups.record_upload(&upload, &result, now_s, WRITES_PER_S);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_five_hours_is_bridged_from_bounded_memory() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    run_alone(&mut roll_ups, &plan, 0..300);
    assert!(roll_ups.pending_minute_count() <= KEPT_MINUTES);
    assert!(roll_ups.minutes(&plan, ControlCost::default()).len() <= KEPT_MINUTES + 1);
    let now_s = START_S + 299 * 60;
    roll_ups.finish(&plan, ControlCost::default());
    let store = embedded::SharedStore::default();
    upload_all(&mut roll_ups, &store, now_s);
    let report = make(&plan, &read(&store, now_s).await, now_s);
    assert_eq!(report.services[0].window(Window::Day).map(|w| w.calls), Some(300));
    assert_eq!(report.services[0].window(Window::Hour).map(|w| w.calls), Some(60));
    assert_eq!(report.coverage[0].gaps, []);
    let series = &report.services[0].series;
    assert_eq!(series.len(), 60, "five hours in steps of 5 minutes");
    assert!(series.iter().all(|p| p.p99_ms.is_some_and(|p99| (p99 - 1.0).abs() < 0.01)));
}

#[test]
fn an_outage_beyond_what_is_kept_is_shown_as_a_gap() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    run_alone(&mut roll_ups, &plan, 0..60 * 60);
    assert!(roll_ups.dropped_minutes() > 0);
    let now_s = START_S + (60 * 60 - 1) * 60;
    let minutes = roll_ups.minutes(&plan, ControlCost::default());
    let gathered = ReportInput { minutes, ..ReportInput::default() };
    let report = make(&plan, &gathered, now_s);
    let gap = report.coverage[0].gaps[0];
    assert_eq!(gap.to.0 - gap.from.0 + 1, Window::Day.minutes() - KEPT_MINUTES as u64 - 1);
    assert_eq!(roll_ups.hours().len(), arbutusshelf::observe::recorder::KEPT_HOURS);
}

#[test]
fn minutes_in_which_the_process_was_paused_are_a_gap_and_a_clock_set_back_is_not() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    for minute in [0, 1, 2, 12, 11, 10, 13] {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        roll_ups.count_calls(&[end("hallenplan", Outcome::Ran, None, 1_000)]);
    }
    let gathered =
        ReportInput { minutes: roll_ups.minutes(&plan, ControlCost::default()), ..ReportInput::default() };
    let report = make(&plan, &gathered, START_S + 13 * 60);
    let first = START_S / 60;
    let gaps = report.coverage[0].gaps.iter().map(|g| (g.from.0 - first, g.to.0 - first));
    assert_eq!(gaps.collect::<Vec<_>>(), [(3, 11)]);
    assert_eq!(report.services[0].window(Window::Hour).map(|w| w.calls), Some(7));
}

#[test]
fn writes_stay_within_their_share() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    run_alone(&mut roll_ups, &plan, 0..100);
    let mut writes = 0;
    let from_s = START_S + 100 * 60;
    let writes_per_s = 2.0;
    for now_s in from_s..from_s + 200 {
        if let Some(upload) = roll_ups.next_upload(now_s) {
            roll_ups.record_upload(&upload, &WriteResult::TookEffect(Vec::new()), now_s, writes_per_s);
            writes += 1;
        }
    }
    assert!((19..=20).contains(&writes), "{writes} writes in 200 s at a share of 0.1 a second");
}

#[test]
fn arbitrary_bytes_are_no_roll_up_and_whole_ones_come_back() {
    for seed in 0..300 {
        let random = &mut Gen::from_size_and_seed(200, seed);
        let bytes = Vec::<u8>::arbitrary(random);
        let _none_or_some = rollup::decode::<MinuteRollUp>(&bytes);
        let mut damaged = vec![1];
        damaged.extend(bytes);
        let _none_or_some = rollup::decode::<HourRollUp>(&damaged);
    }
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    run_alone(&mut roll_ups, &plan, 0..2);
    let minute = roll_ups.minutes(&plan, ControlCost::default()).remove(0);
    assert_eq!(rollup::decode::<MinuteRollUp>(&rollup::encode(&minute)).as_ref(), Some(&minute));
    assert_eq!(
        rollup::parse_minute_name(&rollup::minute_name(minute.minute, &minute.run)),
        Some((minute.minute, minute.run.clone()))
    );
}

#[tokio::test(start_paused = true)]
async fn foreign_objects_and_a_store_that_is_down_are_told() {
    let plan = plan();
    let store = embedded::SharedStore::default();
    let name = rollup::minute_name(UnixMinute::from_unix_s(START_S), &run("kremsau-01", 1));
    let content = Bytes::from_static(b"\x07of a later version");
    store.lock().expect("no test panics with the lock").put_object(&name, content, &ObjectCondition::Any);
    let report = make(&plan, &read(&store, START_S).await, START_S);
    assert!(report.store_fault.expect("it is told").contains("1 have another format"));

    let mut platform = embedded::driver(&store);
    let down = || Box::pin(std::future::ready(Err(arbutusshelf::store::ReadError::Unavailable)));
    platform.list_objects = Arc::new(move |_| down());
    let mut cache = roll_up_reader::ObjectCache::default();
    let gathered =
        roll_up_reader::read_last_day(&platform, &mut cache, UnixMinute::from_unix_s(START_S), 1_000.0).await;
    assert!(gathered.store_fault.expect("it is told").contains("lists"));
}

#[tokio::test(start_paused = true)]
async fn objects_are_read_once_and_within_the_share_of_reads() {
    let plan = plan();
    let store = embedded::SharedStore::default();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    for minute in 0..=50 {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        upload_all(&mut roll_ups, &store, START_S + minute * 60);
    }
    let platform = embedded::driver(&store);
    let mut cache = roll_up_reader::ObjectCache::default();
    let now = UnixMinute::from_unix_s(START_S + 50 * 60);
    let mut took = Vec::new();
    for _ in 0..2 {
        let started = tokio::time::Instant::now();
        let gathered = roll_up_reader::read_last_day(&platform, &mut cache, now, 50.0).await;
        assert_eq!(gathered.minutes.len(), 50);
        took.push(started.elapsed().as_secs());
    }
    // A fifth of 50 reads a second: 48 to 50 lists each time, 50 objects the first time only.
    assert!((9..=10).contains(&took[0]) && (4..=5).contains(&took[1]), "{took:?} s");
}

/// Makes a report of `minutes` minutes with `bad` useless calls among 1,000 in each of the last `for_minutes`.
fn burning(minutes: u64, for_minutes: std::ops::Range<u64>, bad: usize) -> Report {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    let mut all = BTreeMap::new();
    for minute in 0..minutes {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        let bad = if for_minutes.contains(&minute) { bad } else { 0 };
        let useless =
            std::iter::repeat_n(end("hallenplan", Outcome::NotRun, Some(ErrorKind::Overloaded), 9), bad);
        let useful = std::iter::repeat_n(end("hallenplan", Outcome::Ran, None, 1_000), 1_000 - bad);
        let ends = useless.chain(useful).collect::<Vec<_>>();
        roll_ups.count_calls(&ends);
        for known in roll_ups.minutes(&plan, ControlCost::default()) {
            all.insert(known.minute, known);
        }
    }
    let gathered = ReportInput { minutes: all.into_values().collect(), ..ReportInput::default() };
    make(&plan, &gathered, START_S + (minutes - 1) * 60)
}

fn alarms(report: &Report) -> String {
    let names = report.services[0].alarms.iter().map(ToString::to_string).collect::<Vec<_>>();
    names.join(" ")
}

#[test]
fn alarms_follow_both_of_their_windows() {
    // The objective is 99%, so a burn of 13.44 (the fast threshold of 28 days) is 134.4 of 1,000 calls.
    assert_eq!(alarms(&burning(120, 60..120, 140)), "fast-burn slow-burn");
    assert_eq!(alarms(&burning(120, 60..120, 130)), "slow-burn");
    assert_eq!(alarms(&burning(120, 50..114, 300)), "slow-burn", "the five minutes are over the cause");
    assert_eq!(alarms(&burning(120, 115..120, 140)), "", "the hour has not burnt enough");
    assert_eq!(alarms(&burning(120, 0..120, 20)), "", "twice the budget is below 2.8");
    assert_eq!(alarms(&burning(120, 0..120, 29)), "slow-burn");
}

#[test]
fn few_calls_and_faulty_requests_raise_no_alarm() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    roll_ups.advance(START_S, &plan, ControlCost::default());
    let faulty = end("hallenplan", Outcome::NotRun, Some(ErrorKind::KeyMissing), 9);
    roll_ups.count_calls(&vec![faulty; 10_000]);
    roll_ups.count_calls(&vec![end("mietkasse", Outcome::NotRun, Some(ErrorKind::Overloaded), 9); 9]);
    let minutes = roll_ups.minutes(&plan, ControlCost::default());
    let report = make(&plan, &ReportInput { minutes, ..ReportInput::default() }, START_S);
    assert!(report.services.iter().all(|s| s.alarms.is_empty()));
    let hour = report.services[0].window(Window::Hour).expect("all windows are there");
    assert_eq!((hour.calls, hour.eligible, hour.burn), (10_000, 0, 0.0));
}

#[test]
fn crests_are_found_by_plan_and_by_demand() {
    let sheet =
        format!("{SHEET}[intentions]\nat,action,subject,factor\n2025-12-06T06:20Z,crest,mietkasse,3\n");
    let plan = sheet::parse(sheet.as_bytes()).expect("the sheet is valid");
    let planned_s = plan.intentions[0].at_unix_s;
    assert!((START_S..START_S + 3_600).contains(&planned_s), "the crest is planned within the replay");
    let mut roll_ups = RollUpRecorder::new(run("kremsau-01", 1));
    for minute in 0..60 {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        let calls = if (30..33).contains(&minute) { 400 } else { 100 };
        roll_ups.count_calls(&vec![end("hallenplan", Outcome::Ran, None, 1_000); calls]);
        roll_ups.count_calls(&vec![end("mietkasse", Outcome::Ran, None, 1_000); 100]);
    }
    let minutes = roll_ups.minutes(&plan, ControlCost::default());
    let report = make(&plan, &ReportInput { minutes, ..ReportInput::default() }, START_S + 59 * 60);
    let (timetable, rent) = (&report.services[0].crest, &report.services[1].crest);
    assert_eq!((timetable.planned_minutes, timetable.demand_minutes, timetable.eligible), (0, 3, 1_200));
    let left_minutes = 60 - (planned_s - START_S) / 60;
    assert_eq!((rent.planned_minutes, rent.demand_minutes), (left_minutes, 0));
}

#[test]
fn the_same_event_seen_by_all_instances_is_one_mark() {
    let plan = plan();
    let mut minutes = Vec::new();
    for instance in 0..4 {
        let mut roll_ups = RollUpRecorder::new(run(&format!("kremsau-0{instance}"), instance));
        roll_ups.advance(START_S, &plan, ControlCost::default());
        roll_ups.annotate(START_S + instance, AnnotationKind::PlanInForce, "7".to_owned());
        roll_ups.annotate(START_S + instance, AnnotationKind::Started, format!("kremsau-0{instance}"));
        minutes.extend(roll_ups.minutes(&plan, ControlCost::default()));
    }
    let report = make(&plan, &ReportInput { minutes, ..ReportInput::default() }, START_S);
    let of_kind = |kind| report.annotations.iter().filter(|m| m.kind == kind).count();
    assert_eq!((of_kind(AnnotationKind::PlanInForce), of_kind(AnnotationKind::Started)), (1, 4));
}

#[test]
fn the_picture_shows_services_marks_and_gaps() {
    let mut report = burning(60, 20..40, 100);
    let burn_lines = |report: &Report| {
        let picture = arbutusshelf::observe::svg::draw(report).expect("it can be drawn");
        assert!(picture.starts_with("<svg") && picture.trim_end().ends_with("</svg>"));
        assert!(picture.contains("hallenplan: burn"));
        picture.matches("stroke=\"#B22222\"").count()
    };
    let whole = burn_lines(&report);
    report.services[0].series.remove(30);
    assert_eq!(burn_lines(&report), whole + 1, "the burn line is broken at the gap");
}
