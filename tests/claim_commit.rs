//! Group commit: which rows share a write call, and which result each row gets.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use arbutusshelf::{
    claims::commit::{CommitSettings, GroupCommit, WriteRequest},
    decide::claim::{RowVersion, WriteOutcome},
    plan::Priority,
    store::{Condition, RowChange, RowKey, RowWrite, WriteResult},
};
use bytes::Bytes;
use futures::future::join_all;
use tokio::time::{Instant, sleep};

/// Duration of every write call to the fake table.
const CALL_DURATION: Duration = Duration::from_millis(10);

/// Recorded write calls of the fake table and the results of the next ones.
#[derive(Debug, Default)]
struct Log {
    /// Row keys of each call.
    calls: Vec<Vec<String>>,
    /// Results of the next calls; without one a call takes effect.
    results: VecDeque<WriteResult>,
}

fn group_commit(settings: CommitSettings, results: Vec<WriteResult>) -> (GroupCommit, Arc<Mutex<Log>>) {
    let log = Arc::new(Mutex::new(Log { calls: Vec::new(), results: results.into() }));
    let shared = Arc::clone(&log);
    let write = move |writes: Vec<RowWrite>| {
        let mut log = shared.lock().unwrap();
        log.calls.push(writes.iter().map(|w| w.key.0.clone()).collect());
        let versions = (1..=writes.len() as u64).collect();
        let result = log.results.pop_front().unwrap_or(WriteResult::TookEffect(versions));
        let reply = async move {
            sleep(CALL_DURATION).await;
            result
        };
        Box::pin(reply) as futures::future::BoxFuture<'static, WriteResult>
    };
    (GroupCommit::new(Arc::new(write), settings), log)
}

fn write_request(key: &str, priority: Priority) -> WriteRequest {
    let write = RowWrite {
        key: RowKey(key.to_owned()),
        condition: Condition::Absent,
        change: RowChange::Put(Bytes::from_static(b"{}")),
    };
    WriteRequest { write, priority, expires_at: None }
}

async fn write_all(commit: &GroupCommit, keys: &[&str]) -> Vec<WriteOutcome> {
    join_all(keys.iter().map(|k| commit.write(write_request(k, Priority::Critical)))).await
}

/// Settings with at most one call in flight.
fn one_call() -> CommitSettings {
    CommitSettings { max_in_flight: 1, ..CommitSettings::default() }
}

#[tokio::test(start_paused = true)]
async fn an_idle_instance_writes_at_once() {
    let (commit, log) = group_commit(CommitSettings::default(), Vec::new());
    let started_at = Instant::now();
    assert_eq!(write_all(&commit, &["a"]).await, [WriteOutcome::TookEffect(RowVersion(1))]);
    assert_eq!(started_at.elapsed(), CALL_DURATION);
    assert_eq!(log.lock().unwrap().calls, [["a"]]);
}

#[tokio::test(start_paused = true)]
async fn rows_that_come_during_a_call_share_the_next_one() {
    let (commit, log) = group_commit(CommitSettings::default(), Vec::new());
    let first = tokio::spawn({
        let commit = commit.clone();
        async move { write_all(&commit, &["a"]).await }
    });
    sleep(Duration::from_millis(1)).await;
    let rest = write_all(&commit, &["b", "c", "d"]).await;
    assert_eq!(rest, [1, 2, 3].map(|v| WriteOutcome::TookEffect(RowVersion(v))));
    first.await.expect("the write does not panic");
    let calls = log.lock().unwrap().calls.clone();
    assert_eq!(calls, [vec!["a"], vec!["b", "c", "d"]]);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_drops_the_named_rows_and_tries_the_rest_again() {
    let conflict = WriteResult::Conflict(vec![RowKey("b".to_owned())]);
    let (commit, log) = group_commit(one_call(), vec![conflict]);
    let results = write_all(&commit, &["a", "b", "c"]).await;
    assert_eq!(
        results,
        [
            WriteOutcome::TookEffect(RowVersion(1)),
            WriteOutcome::Conflict,
            WriteOutcome::TookEffect(RowVersion(2))
        ]
    );
    assert_eq!(log.lock().unwrap().calls, [vec!["a", "b", "c"], vec!["a", "c"]]);
    let counts = commit.counts();
    assert_eq!((counts.calls, counts.rows), (2, 5));
}

#[tokio::test(start_paused = true)]
async fn every_row_of_a_group_gets_the_result_of_the_call() {
    for (result, expected) in
        [(WriteResult::Unknown, WriteOutcome::Unknown), (WriteResult::Refused, WriteOutcome::Refused)]
    {
        let (commit, _) = group_commit(one_call(), vec![result]);
        assert_eq!(write_all(&commit, &["a", "b"]).await, [expected, expected]);
    }
}

#[tokio::test(start_paused = true)]
async fn a_conflict_that_names_no_row_of_the_group_wrote_nothing() {
    let conflict = WriteResult::Conflict(vec![RowKey("x".to_owned())]);
    let (commit, _) = group_commit(one_call(), vec![conflict]);
    assert_eq!(write_all(&commit, &["a", "b"]).await, [WriteOutcome::Refused, WriteOutcome::Refused]);
}

#[tokio::test(start_paused = true)]
async fn one_key_is_in_a_group_once() {
    let (commit, log) = group_commit(one_call(), Vec::new());
    write_all(&commit, &["a", "a", "b"]).await;
    assert_eq!(log.lock().unwrap().calls, [vec!["a", "b"], vec!["a"]]);
}

#[tokio::test(start_paused = true)]
async fn bookings_and_charges_go_before_the_rest() {
    let settings = CommitSettings { max_rows: 2, ..one_call() };
    let (commit, log) = group_commit(settings, Vec::new());
    let priorities = [Priority::Low, Priority::Normal, Priority::High, Priority::Critical];
    let writes = priorities.map(|p| {
        let commit = commit.clone();
        async move { commit.write(write_request(&p.to_string(), p)).await }
    });
    join_all(writes).await;
    assert_eq!(log.lock().unwrap().calls, [["critical", "high"], ["normal", "low"]]);
}

#[tokio::test(start_paused = true)]
async fn a_claim_past_its_deadline_is_refused_unsent() {
    let (commit, log) = group_commit(one_call(), Vec::new());
    let late = async {
        sleep(Duration::from_millis(1)).await;
        let expires_at = Some(Instant::now() + CALL_DURATION / 2);
        commit.write(WriteRequest { expires_at, ..write_request("late", Priority::Critical) }).await
    };
    let (_, late_result) = tokio::join!(write_all(&commit, &["a"]), late);
    assert_eq!(late_result, WriteOutcome::Refused);
    assert_eq!(log.lock().unwrap().calls, [["a"]]);
}

#[tokio::test(start_paused = true)]
async fn calls_are_spaced_once_a_burst_is_spent() {
    let (commit, log) = group_commit(one_call(), Vec::new());
    commit.set_rate(10.0);
    let started = Instant::now();
    for key in ["a", "b", "c", "d", "e", "f", "g"] {
        write_all(&commit, &[key]).await;
    }
    assert_eq!(log.lock().unwrap().calls.len(), 7);
    let took = started.elapsed();
    assert!((Duration::from_millis(300)..=Duration::from_millis(400)).contains(&took), "{took:?}");
    sleep(Duration::from_secs(1)).await;
    let idle = Instant::now();
    write_all(&commit, &["h"]).await;
    assert_eq!(idle.elapsed(), CALL_DURATION);
}

#[tokio::test(start_paused = true)]
async fn a_group_is_bounded_in_rows_and_bytes() {
    let settings = CommitSettings { max_rows: 3, max_bytes: 4, ..one_call() };
    let (commit, log) = group_commit(settings, Vec::new());
    write_all(&commit, &["a", "b", "c"]).await;
    assert_eq!(log.lock().unwrap().calls, [vec!["a", "b"], vec!["c"]]);
}
