//! Roll-ups and burn report: the figures must equal those computed directly from the calls, although uploads
//! are lost, duplicated or delayed and instances disappear.

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

/// Start of the simulated time, at the start of an hour, in seconds since the Unix epoch.
const START_S: u64 = 1_765_000_800;

/// Share of store writes per second of one instance; roll-ups may use a twentieth of it.
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

fn run_key(instance: &str, run_id: u64) -> RunKey {
    RunKey { instance: instance.parse().expect("the name is valid"), run_id: run_id.into() }
}

fn call(service: &str, outcome: Outcome, cause: Option<ErrorKind>, latency_us: u64) -> CompletedCall {
    CompletedCall {
        service: Some(service.parse().expect("the name is valid")),
        kind: RequestKind::Idempotent,
        outcome,
        cause,
        useful: cause.is_none() && latency_us < 100_000,
        latency: Duration::from_micros(latency_us),
        queue_wait: Duration::from_micros(latency_us / 2),
        head_of_line: Duration::from_micros(latency_us / 4),
    }
}

fn random_below(random: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(random) % limit
}

fn random_call(random: &mut Gen) -> CompletedCall {
    let service = if bool::arbitrary(random) { "hallenplan" } else { "mietkasse" };
    let latency_us = 500 + random_below(random, 20_000) * (1 + random_below(random, 10));
    match random_below(random, 20) {
        0 => call(service, Outcome::NotRun, Some(ErrorKind::Overloaded), latency_us),
        1 => call(service, Outcome::Unknown, Some(ErrorKind::AnswerTimeout), latency_us),
        2 => call(service, Outcome::NotRun, Some(ErrorKind::KeyMissing), latency_us),
        _ => call(service, Outcome::Ran, None, latency_us),
    }
}

/// Fault that the store injects into one write.
#[derive(Debug, Clone, Copy)]
enum WriteFault {
    None,
    Refused,
    ReplyLost,
    Lost,
    Delayed,
    Doubled,
}

/// Object store whose writes are refused, lost, delayed or duplicated.
#[derive(Default)]
struct FaultyStore {
    store: embedded::SharedStore,
    delayed: Vec<(u64, Upload)>,
}

impl FaultyStore {
    fn apply(&self, upload: &Upload) -> WriteResult {
        let mut store = self.store.lock().expect("no test panics while it holds the lock");
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

    fn apply_delayed(&mut self, now_s: u64) {
        for (at_s, upload) in std::mem::take(&mut self.delayed) {
            if at_s <= now_s {
                self.apply(&upload);
            } else {
                self.delayed.push((at_s, upload));
            }
        }
    }
}

async fn read_store(store: &embedded::SharedStore, now_s: u64) -> ReportInput {
    let platform = embedded::driver(store);
    let mut cache = roll_up_reader::ObjectCache::default();
    roll_up_reader::read_last_day(&platform, &mut cache, UnixMinute::from_unix_s(now_s), 10_000.0).await
}

fn build_report(plan: &Plan, input: &ReportInput, now_s: u64) -> Report {
    report::build(&"kremsau-01".parse().expect("the name is valid"), plan, input, now_s)
}

/// Checks the counts, burn rates and quantiles of every window against values computed from the calls.
fn assert_report_matches_calls(
    report: &Report,
    calls: &[(UnixMinute, CompletedCall)],
    now_s: u64,
    case: &str,
) {
    let now = UnixMinute::from_unix_s(now_s);
    for service in &report.services {
        for window in &service.windows {
            let window_calls = calls.iter().filter(|(minute, call)| {
                minute.0 + window.window.minutes() > now.0 && call.service.as_ref() == Some(&service.service)
            });
            let window_calls = window_calls.map(|(_, call)| call).collect::<Vec<_>>();
            let case = format!("{case} {} {}", service.service, window.window);
            assert_eq!(window.calls, window_calls.len() as u64, "calls, {case}");
            let eligible = window_calls.iter().filter(|c| c.cause != Some(ErrorKind::KeyMissing));
            let eligible = eligible.collect::<Vec<_>>();
            let useful = eligible.iter().filter(|c| c.useful).count();
            assert_eq!(window.eligible, eligible.len() as u64, "eligible calls, {case}");
            if eligible.is_empty() {
                continue;
            }
            let failed_share = 1.0 - useful as f64 / eligible.len() as f64;
            let burn = failed_share / (1.0 - service.objective.useful_share);
            assert!((window.burn - burn).abs() < 1e-9, "burn rate {}, expected {burn}, {case}", window.burn);
            let answered = eligible.iter().filter(|c| c.outcome != Outcome::NotRun);
            let mut latencies = answered.map(|c| c.latency).collect::<Vec<_>>();
            latencies.sort();
            let rank = (latencies.len() as f64 * 0.99).ceil() as usize - 1;
            let exact_ms = latencies[rank].as_secs_f64() * 1_000.0;
            let p99_ms = window.latency.expect("there are answered calls").p99_ms;
            assert!(
                (p99_ms / exact_ms - 1.0).abs() < 0.011,
                "p99 {p99_ms} ms, expected {exact_ms} ms, {case}"
            );
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

/// Simulated instance and the calls that it counted.
struct ReplayedInstance {
    roll_ups: RollUpRecorder,
    calls: Vec<(UnixMinute, CompletedCall)>,
    /// Minute of the replay at which the instance crashes; none if it shuts down at the end.
    lost_at_minute: Option<u64>,
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
    let minutes = 75 + random_below(random, 90);
    let mut faulty_store = FaultyStore::default();
    let mut instances = (0..5)
        .map(|i| ReplayedInstance {
            roll_ups: RollUpRecorder::new(run_key(&format!("kremsau-0{}", i + 1), 100 + i)),
            calls: Vec::new(),
            lost_at_minute: (i == 3).then_some(40 + random_below(random, 30)),
        })
        .collect::<Vec<_>>();
    for step in 0..minutes * 4 {
        let now_s = START_S + step * 15;
        faulty_store.apply_delayed(now_s);
        for instance in &mut instances {
            if instance.lost_at_minute.is_some_and(|at| step / 4 >= at) {
                continue;
            }
            instance.roll_ups.advance(now_s, &plan, ControlCost::default());
            let calls = (0..random_below(random, 6)).map(|_| random_call(random)).collect::<Vec<_>>();
            instance.roll_ups.count_calls(&calls);
            instance.calls.extend(calls.into_iter().map(|call| (UnixMinute::from_unix_s(now_s), call)));
            let Some(upload) = instance.roll_ups.next_upload(now_s) else { continue };
            let faults = [
                WriteFault::None,
                WriteFault::None,
                WriteFault::Refused,
                WriteFault::ReplyLost,
                WriteFault::Lost,
                WriteFault::Delayed,
                WriteFault::Doubled,
            ];
            let fault = faults[random_below(random, faults.len() as u64) as usize];
            let result = faulty_store.write(now_s, &upload, fault);
            instance.roll_ups.record_upload(&upload, &result, now_s, WRITES_PER_S);
        }
    }
    let end_s = START_S + minutes * 60;
    for instance in instances.iter_mut().filter(|i| i.lost_at_minute.is_none()) {
        instance.roll_ups.finish(&plan, ControlCost::default());
        for step in 0..600 {
            let Some(upload) = instance.roll_ups.next_upload(end_s + step) else { continue };
            let result = faulty_store.write(end_s, &upload, WriteFault::None);
            instance.roll_ups.record_upload(&upload, &result, end_s + step, WRITES_PER_S);
        }
    }
    faulty_store.apply_delayed(u64::MAX);
    let now_s = end_s - 1;
    let mut input = read_store(&faulty_store.store, now_s).await;
    assert_eq!(input.store_fault, None);
    // Only those minutes of the crashed instance that reached the store are expected in the report.
    let lost_run = run_key("kremsau-04", 103);
    let names = faulty_store
        .store
        .lock()
        .expect("no test panics while it holds the lock")
        .list_objects("rollup/minute/");
    let lost_run_minutes =
        names.iter().filter_map(|n| rollup::parse_minute_name(n)).filter(|(_, run)| *run == lost_run);
    let mut stored_minutes = lost_run_minutes.map(|(minute, _)| minute).collect::<Vec<_>>();
    let hours = input.hours.iter().filter(|h| h.run == lost_run);
    stored_minutes.extend(hours.flat_map(|h| h.minutes.iter().map(|m| m.minute)));
    let expected_calls = instances.iter().flat_map(|i| {
        let is_complete = i.lost_at_minute.is_none();
        let stored_minutes = &stored_minutes;
        i.calls.iter().filter(move |(minute, _)| is_complete || stored_minutes.contains(minute)).cloned()
    });
    let expected_calls = expected_calls.collect::<Vec<_>>();
    // Duplicate roll-ups in any order must count once.
    input.minutes.extend(input.minutes.clone());
    input.hours.extend(input.hours.clone());
    input.minutes.reverse();
    let report = build_report(&plan, &input, now_s);
    assert_report_matches_calls(&report, &expected_calls, now_s, &format!("seed {seed}"));
    let state = |instance: &str| {
        let found = report.coverage.iter().find(|c| c.instance.as_str() == instance);
        found.map(|c| c.state)
    };
    assert_eq!(state("kremsau-01"), Some(RunState::Left), "seed {seed}");
    assert_eq!(state("kremsau-04"), Some(RunState::Lost), "seed {seed}");
}

/// Records one successful call per minute while the store refuses all writes.
fn record_while_store_is_down(roll_ups: &mut RollUpRecorder, plan: &Plan, minutes: std::ops::Range<u64>) {
    for minute in minutes {
        let now_s = START_S + minute * 60;
        roll_ups.advance(now_s, plan, ControlCost::default());
        roll_ups.count_calls(&[call("hallenplan", Outcome::Ran, None, 1_000)]);
        if let Some(upload) = roll_ups.next_upload(now_s) {
            roll_ups.record_upload(&upload, &WriteResult::Refused, now_s, WRITES_PER_S);
        }
    }
}

fn upload_all(roll_ups: &mut RollUpRecorder, store: &embedded::SharedStore, from_s: u64) {
    for now_s in from_s..from_s + 3_600 {
        let Some(upload) = roll_ups.next_upload(now_s) else { continue };
        let mut store = store.lock().expect("no test panics while it holds the lock");
        let result = store.put_object(&upload.name, upload.content.clone(), &ObjectCondition::Absent);
        roll_ups.record_upload(&upload, &result, now_s, WRITES_PER_S);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_five_hours_is_bridged_from_bounded_memory() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    record_while_store_is_down(&mut roll_ups, &plan, 0..300);
    assert!(roll_ups.pending_minute_count() <= KEPT_MINUTES);
    assert!(roll_ups.minutes(&plan, ControlCost::default()).len() <= KEPT_MINUTES + 1);
    let now_s = START_S + 299 * 60;
    roll_ups.finish(&plan, ControlCost::default());
    let store = embedded::SharedStore::default();
    upload_all(&mut roll_ups, &store, now_s);
    let report = build_report(&plan, &read_store(&store, now_s).await, now_s);
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
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    record_while_store_is_down(&mut roll_ups, &plan, 0..60 * 60);
    assert!(roll_ups.dropped_minutes() > 0);
    let now_s = START_S + (60 * 60 - 1) * 60;
    let minutes = roll_ups.minutes(&plan, ControlCost::default());
    let input = ReportInput { minutes, ..ReportInput::default() };
    let report = build_report(&plan, &input, now_s);
    let gap = report.coverage[0].gaps[0];
    assert_eq!(gap.to.0 - gap.from.0 + 1, Window::Day.minutes() - KEPT_MINUTES as u64 - 1);
    assert_eq!(roll_ups.hours().len(), arbutusshelf::observe::recorder::KEPT_HOURS);
}

#[test]
fn minutes_in_which_the_process_was_paused_are_a_gap_and_a_clock_set_back_is_not() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    for minute in [0, 1, 2, 12, 11, 10, 13] {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        roll_ups.count_calls(&[call("hallenplan", Outcome::Ran, None, 1_000)]);
    }
    let input =
        ReportInput { minutes: roll_ups.minutes(&plan, ControlCost::default()), ..ReportInput::default() };
    let report = build_report(&plan, &input, START_S + 13 * 60);
    let first = START_S / 60;
    let gaps = report.coverage[0].gaps.iter().map(|g| (g.from.0 - first, g.to.0 - first));
    assert_eq!(gaps.collect::<Vec<_>>(), [(3, 11)]);
    assert_eq!(report.services[0].window(Window::Hour).map(|w| w.calls), Some(7));
}

#[test]
fn writes_stay_within_their_share() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    record_while_store_is_down(&mut roll_ups, &plan, 0..100);
    let mut writes = 0;
    let from_s = START_S + 100 * 60;
    let writes_per_s = 2.0;
    for now_s in from_s..from_s + 200 {
        if let Some(upload) = roll_ups.next_upload(now_s) {
            roll_ups.record_upload(&upload, &WriteResult::TookEffect(Vec::new()), now_s, writes_per_s);
            writes += 1;
        }
    }
    assert!((19..=20).contains(&writes), "{writes} writes in 200 s at a share of 0.1 writes/s");
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
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    record_while_store_is_down(&mut roll_ups, &plan, 0..2);
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
    let name = rollup::minute_name(UnixMinute::from_unix_s(START_S), &run_key("kremsau-01", 1));
    let content = Bytes::from_static(b"\x07of a later version");
    store.lock().expect("no test panics while it holds the lock").put_object(
        &name,
        content,
        &ObjectCondition::Any,
    );
    let report = build_report(&plan, &read_store(&store, START_S).await, START_S);
    assert!(report.store_fault.expect("the fault is reported").contains("1 have another format"));

    let mut platform = embedded::driver(&store);
    let down = || Box::pin(std::future::ready(Err(arbutusshelf::store::ReadError::Unavailable)));
    platform.list_objects = Arc::new(move |_| down());
    let mut cache = roll_up_reader::ObjectCache::default();
    let input =
        roll_up_reader::read_last_day(&platform, &mut cache, UnixMinute::from_unix_s(START_S), 1_000.0).await;
    assert!(input.store_fault.expect("the fault is reported").contains("lists"));
}

#[tokio::test(start_paused = true)]
async fn objects_are_read_once_and_within_the_share_of_reads() {
    let plan = plan();
    let store = embedded::SharedStore::default();
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    for minute in 0..=50 {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        upload_all(&mut roll_ups, &store, START_S + minute * 60);
    }
    let platform = embedded::driver(&store);
    let mut cache = roll_up_reader::ObjectCache::default();
    let now = UnixMinute::from_unix_s(START_S + 50 * 60);
    let mut seconds = Vec::new();
    for _ in 0..2 {
        let started = tokio::time::Instant::now();
        let input = roll_up_reader::read_last_day(&platform, &mut cache, now, 50.0).await;
        assert_eq!(input.minutes.len(), 50);
        seconds.push(started.elapsed().as_secs());
    }
    // The report may use a fifth of 50 reads/s. Each report makes 48 to 50 list calls; the 50 objects are
    // read only for the first.
    assert!((9..=10).contains(&seconds[0]) && (4..=5).contains(&seconds[1]), "{seconds:?} s");
}

/// Builds a report of `minutes` minutes with 1,000 calls each, of which `failed_calls` fail in each of the
/// `failing_minutes`.
fn report_with_failures(minutes: u64, failing_minutes: std::ops::Range<u64>, failed_calls: usize) -> Report {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    let mut all = BTreeMap::new();
    for minute in 0..minutes {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        let failed_calls = if failing_minutes.contains(&minute) { failed_calls } else { 0 };
        let failed = std::iter::repeat_n(
            call("hallenplan", Outcome::NotRun, Some(ErrorKind::Overloaded), 9),
            failed_calls,
        );
        let useful = std::iter::repeat_n(call("hallenplan", Outcome::Ran, None, 1_000), 1_000 - failed_calls);
        let calls = failed.chain(useful).collect::<Vec<_>>();
        roll_ups.count_calls(&calls);
        for roll_up in roll_ups.minutes(&plan, ControlCost::default()) {
            all.insert(roll_up.minute, roll_up);
        }
    }
    let input = ReportInput { minutes: all.into_values().collect(), ..ReportInput::default() };
    build_report(&plan, &input, START_S + (minutes - 1) * 60)
}

fn alarms(report: &Report) -> String {
    let names = report.services[0].alarms.iter().map(ToString::to_string).collect::<Vec<_>>();
    names.join(" ")
}

#[test]
fn alarms_follow_both_of_their_windows() {
    // The objective is 99%, so a burn rate of 13.44, which is the fast threshold for 28 days, means 134.4
    // failures in 1,000 calls.
    assert_eq!(alarms(&report_with_failures(120, 60..120, 140)), "fast-burn slow-burn");
    assert_eq!(alarms(&report_with_failures(120, 60..120, 130)), "slow-burn");
    assert_eq!(
        alarms(&report_with_failures(120, 50..114, 300)),
        "slow-burn",
        "the last five minutes have no failures"
    );
    assert_eq!(
        alarms(&report_with_failures(120, 115..120, 140)),
        "",
        "the burn rate of the hour is below the threshold"
    );
    assert_eq!(
        alarms(&report_with_failures(120, 0..120, 20)),
        "",
        "a burn rate of 2 is below the threshold of 2.8"
    );
    assert_eq!(alarms(&report_with_failures(120, 0..120, 29)), "slow-burn");
}

#[test]
fn few_calls_and_faulty_requests_raise_no_alarm() {
    let plan = plan();
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    roll_ups.advance(START_S, &plan, ControlCost::default());
    let caller_error = call("hallenplan", Outcome::NotRun, Some(ErrorKind::KeyMissing), 9);
    roll_ups.count_calls(&vec![caller_error; 10_000]);
    roll_ups.count_calls(&vec![call("mietkasse", Outcome::NotRun, Some(ErrorKind::Overloaded), 9); 9]);
    let minutes = roll_ups.minutes(&plan, ControlCost::default());
    let report = build_report(&plan, &ReportInput { minutes, ..ReportInput::default() }, START_S);
    assert!(report.services.iter().all(|s| s.alarms.is_empty()));
    let hour = report.services[0].window(Window::Hour).expect("the report has all windows");
    assert_eq!((hour.calls, hour.eligible, hour.burn), (10_000, 0, 0.0));
}

#[test]
fn crests_are_found_by_plan_and_by_demand() {
    let sheet =
        format!("{SHEET}[intentions]\nat,action,subject,factor\n2025-12-06T06:20Z,crest,mietkasse,3\n");
    let plan = sheet::parse(sheet.as_bytes()).expect("the sheet is valid");
    let planned_s = plan.intentions[0].at_unix_s;
    assert!((START_S..START_S + 3_600).contains(&planned_s), "the crest is planned within the replayed hour");
    let mut roll_ups = RollUpRecorder::new(run_key("kremsau-01", 1));
    for minute in 0..60 {
        roll_ups.advance(START_S + minute * 60, &plan, ControlCost::default());
        let calls = if (30..33).contains(&minute) { 400 } else { 100 };
        roll_ups.count_calls(&vec![call("hallenplan", Outcome::Ran, None, 1_000); calls]);
        roll_ups.count_calls(&vec![call("mietkasse", Outcome::Ran, None, 1_000); 100]);
    }
    let minutes = roll_ups.minutes(&plan, ControlCost::default());
    let report = build_report(&plan, &ReportInput { minutes, ..ReportInput::default() }, START_S + 59 * 60);
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
        let mut roll_ups = RollUpRecorder::new(run_key(&format!("kremsau-0{instance}"), instance));
        roll_ups.advance(START_S, &plan, ControlCost::default());
        roll_ups.annotate(START_S + instance, AnnotationKind::PlanInForce, "7".to_owned());
        roll_ups.annotate(START_S + instance, AnnotationKind::Started, format!("kremsau-0{instance}"));
        minutes.extend(roll_ups.minutes(&plan, ControlCost::default()));
    }
    let report = build_report(&plan, &ReportInput { minutes, ..ReportInput::default() }, START_S);
    let of_kind = |kind| report.annotations.iter().filter(|a| a.kind == kind).count();
    assert_eq!((of_kind(AnnotationKind::PlanInForce), of_kind(AnnotationKind::Started)), (1, 4));
}

#[test]
fn the_picture_shows_services_marks_and_gaps() {
    let mut report = report_with_failures(60, 20..40, 100);
    let burn_lines = |report: &Report| {
        let svg_text = arbutusshelf::observe::svg::draw(report).expect("the plot can be drawn");
        assert!(svg_text.starts_with("<svg") && svg_text.trim_end().ends_with("</svg>"));
        assert!(svg_text.contains("hallenplan: burn"));
        svg_text.matches("stroke=\"#B22222\"").count()
    };
    let unbroken = burn_lines(&report);
    report.services[0].series.remove(30);
    assert_eq!(burn_lines(&report), unbroken + 1, "the burn line is broken at the gap");
}
