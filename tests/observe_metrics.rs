//! Metrics: the counts, the bound on the number of label sets, and that the documentation lists every metric.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arbutusshelf::{
    error::{ErrorKind, Outcome},
    observe::{
        metrics::{Metrics, QueueGauges, Snapshot, TargetGauges},
        store_calls::{StoreCallMetrics, with_call_metrics},
        tally::{CompletedCall, Tally},
    },
    plan::{Plan, RequestKind, sheet},
    store::{Condition, RowChange, RowKey, RowWrite, embedded},
};
use bytes::Bytes;

fn call(service: &str, outcome: Outcome, cause: Option<ErrorKind>) -> CompletedCall {
    CompletedCall {
        service: Some(service.parse().expect("the name is valid")),
        kind: RequestKind::Idempotent,
        outcome,
        cause,
        useful: cause.is_none(),
        latency: Duration::from_millis(3),
        queue_wait: Duration::from_millis(1),
        head_of_line: Duration::ZERO,
    }
}

fn plan(services: &[&str]) -> Plan {
    let sheet = format!("[services]\nname\n{}\n", services.join("\n"));
    sheet::parse(sheet.as_bytes()).expect("the sheet is valid")
}

fn metrics_page(metrics: &Metrics, snapshot: &Snapshot) -> String {
    metrics.encode(snapshot).expect("the page can be encoded")
}

/// Returns name, type and unit of each metric, from the `# TYPE` and `# UNIT` lines.
fn metric_descriptions(page: &str) -> BTreeSet<(String, String, String)> {
    let mut all = BTreeSet::new();
    for line in page.lines().filter_map(|l| l.strip_prefix("# TYPE ")) {
        let (name, kind) = line.split_once(' ').expect("a type line has name and type");
        let prefix = format!("# UNIT {name} ");
        let unit = page.lines().find_map(|l| l.strip_prefix(&prefix)).unwrap_or_default();
        all.insert((name.to_owned(), kind.to_owned(), unit.to_owned()));
    }
    all
}

#[tokio::test]
async fn the_page_of_documentation_lists_every_metric() {
    let calls = Arc::new(StoreCallMetrics::default());
    let metrics = Metrics::new(&calls);
    metrics.count(&[call("hallenplan", Outcome::Ran, None)]);
    let platform = with_call_metrics(embedded::driver(&embedded::SharedStore::default()), &calls);
    let _row = (platform.get)(RowKey("a".to_owned())).await;
    let service = "hallenplan".to_owned();
    let target = TargetGauges {
        service: service.clone(),
        target: "hallenplan-01".to_owned(),
        in_flight: 0,
        limit: 3,
        ejected: false,
        draining: false,
    };
    let queues = vec![QueueGauges { service, waiting: 0 }];
    // A metric family without label sets is not on the page, so each family gets one.
    let served = metric_descriptions(&metrics_page(
        &metrics,
        &Snapshot { targets: vec![target], queues, ..Snapshot::default() },
    ));
    let documentation = include_str!("../docs/METRICS.md");
    let rows = documentation.lines().filter(|l| l.starts_with("| `arbutusshelf_"));
    let mut listed = BTreeSet::new();
    for row in rows {
        let columns = row.trim_matches('|').split('|').map(|c| c.trim().replace('`', "")).collect::<Vec<_>>();
        assert_eq!(columns.len(), 5, "{row}");
        assert!(!columns[4].is_empty(), "the last column (what to do) is empty in {row}");
        let unit = if matches!(columns[2].as_str(), "seconds" | "bytes") {
            columns[2].clone()
        } else {
            String::new()
        };
        listed.insert((columns[0].clone(), columns[1].clone(), unit));
    }
    assert_eq!(listed, served);
}

#[test]
fn calls_are_counted_by_service_kind_outcome_and_cause() {
    let metrics = Metrics::new(&StoreCallMetrics::default());
    let mut calls = vec![call("hallenplan", Outcome::Ran, None); 3];
    calls.push(call("hallenplan", Outcome::NotRun, Some(ErrorKind::Overloaded)));
    calls.push(CompletedCall {
        service: None,
        ..call("none", Outcome::NotRun, Some(ErrorKind::UnknownService))
    });
    metrics.count(&calls);
    let page = metrics_page(&metrics, &Snapshot::default());
    for line in [
        "arbutusshelf_calls_total{service=\"hallenplan\",kind=\"idempotent\",outcome=\"ran\",cause=\"\"} 3",
        "arbutusshelf_calls_total{service=\"hallenplan\",kind=\"idempotent\",outcome=\"not-run\",cause=\"overloaded\"} 1",
        "arbutusshelf_calls_total{service=\"none\",kind=\"idempotent\",outcome=\"not-run\",cause=\"unknown-service\"} 1",
        "arbutusshelf_call_latency_seconds_count{service=\"hallenplan\"} 3",
        "arbutusshelf_queue_wait_seconds_count{service=\"hallenplan\"} 4",
    ] {
        assert!(page.contains(line), "{line} is missing in {page}");
    }
    assert!(page.ends_with("# EOF\n"));
}

#[test]
fn services_and_targets_that_left_the_plan_leave_the_page() {
    let metrics = Metrics::new(&StoreCallMetrics::default());
    for number in 0..200 {
        let service = format!("service-{number}");
        metrics.retain_services_of(&plan(&[&service, "hallenplan"]));
        metrics.count(&[call(&service, Outcome::Ran, None), call("hallenplan", Outcome::Ran, None)]);
        let target = |n: u32| TargetGauges {
            service: service.clone(),
            target: format!("{service}-{n}"),
            in_flight: n,
            limit: 3,
            ejected: false,
            draining: false,
        };
        metrics_page(&metrics, &Snapshot { targets: (0..3).map(target).collect(), ..Snapshot::default() });
    }
    metrics.retain_services_of(&plan(&["hallenplan"]));
    let page = metrics_page(&metrics, &Snapshot::default());
    assert!(!page.contains("service-"), "{page}");
    assert!(page.contains("arbutusshelf_calls_total{service=\"hallenplan\""));
}

#[tokio::test]
async fn calls_of_the_platform_are_counted_by_result() {
    let calls = Arc::new(StoreCallMetrics::default());
    let platform = with_call_metrics(embedded::driver(&embedded::SharedStore::default()), &calls);
    let change = RowChange::Put(Bytes::new());
    let write = RowWrite { key: RowKey("a".to_owned()), condition: Condition::Absent, change };
    for _ in 0..3 {
        (platform.write)(vec![write.clone()]).await;
    }
    let _row = (platform.get)(RowKey("a".to_owned())).await;
    let page = metrics_page(&Metrics::new(&calls), &Snapshot::default());
    for line in [
        "arbutusshelf_store_calls_total{operation=\"write\",result=\"ok\"} 1",
        "arbutusshelf_store_calls_total{operation=\"write\",result=\"conflict\"} 2",
        "arbutusshelf_store_calls_total{operation=\"get\",result=\"ok\"} 1",
        "arbutusshelf_store_call_seconds_count{operation=\"write\"} 3",
    ] {
        assert!(page.contains(line), "{line} is missing in {page}");
    }
    assert_eq!((calls.reads(), calls.writes()), (1, 3));
}

#[test]
fn a_flood_of_ends_is_bounded_and_the_loss_is_counted() {
    let tally = Tally::default();
    for _ in 0..200_000 {
        tally.record(call("hallenplan", Outcome::Ran, None));
    }
    let kept = tally.drain().len() as u64;
    assert_eq!(kept + tally.dropped(), 200_000);
    assert!(kept <= 8 * 16_384);
    assert!(tally.drain().is_empty());
}
