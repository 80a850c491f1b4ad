//! Claims under faults of the store, the instance or the caller before, during and after the send.

mod claim_table;

use std::time::Duration;

use arbutusshelf::{
    claims::{BufferedAnswer, ClaimResult, SendResult},
    decide::claim::{RETENTION_MARGIN_H, StoredBody},
    error::ErrorKind,
    store::{Condition, RowChange, RowWrite, embedded::SharedStore},
};
use bytes::Bytes;
use claim_table::{
    DEADLINE, Delivery, Instance, RowState, answered, request, row_state, service, settled_row_state,
};
use tokio::time::{sleep, timeout};

/// Delay that is longer than every deadline and retry delay of a claim.
const LONG_DELAY: Duration = Duration::from_mins(7);
const BUCKET_COUNT: u32 = 1 << 16;

/// Result of the first claim.
#[derive(Debug, PartialEq, Eq)]
enum FirstResult {
    Acquired,
    Refused(ErrorKind),
}

/// One fault pattern and its expected effects.
struct Case {
    name: &'static str,
    /// Deliveries of the first writes.
    deliveries: &'static [Delivery],
    /// Result of the claim.
    expected: FirstResult,
    /// Final state of the row, if the request is not sent.
    row_state: RowState,
}

const ALL_REFUSED: [Delivery; 64] = [Delivery::Refused; 64];

const ALL_LOST: [Delivery; 64] = [Delivery::RequestLost; 64];

const CASES: &[Case] = &[
    Case {
        name: "nothing fails",
        deliveries: &[],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "claim applied, reply lost",
        deliveries: &[Delivery::ReplyLost],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "claim lost on the way to the store",
        deliveries: &[Delivery::RequestLost],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "claim duplicated",
        deliveries: &[Delivery::Duplicated],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "claim applied late, after a retry took effect",
        deliveries: &[Delivery::Delayed(LONG_DELAY)],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "claim refused with 429, later accepted",
        deliveries: &[Delivery::Refused, Delivery::Refused, Delivery::Refused],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "store unavailable before the claim",
        deliveries: &ALL_REFUSED,
        expected: FirstResult::Refused(ErrorKind::StoreUnavailable),
        row_state: RowState::Absent,
    },
    Case {
        name: "every claim lost until the deadline",
        deliveries: &ALL_LOST,
        expected: FirstResult::Refused(ErrorKind::StoreUnavailable),
        row_state: RowState::Released,
    },
    Case {
        name: "reply to the claim later than the deadline",
        deliveries: &[Delivery::SlowReply(LONG_DELAY)],
        expected: FirstResult::Refused(ErrorKind::StoreUnavailable),
        row_state: RowState::Released,
    },
    Case {
        name: "release applied, reply lost",
        deliveries: &[Delivery::Normal, Delivery::ReplyLost],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
    Case {
        name: "release lost on the way to the store",
        deliveries: &[Delivery::Normal, Delivery::RequestLost, Delivery::RequestLost, Delivery::Refused],
        expected: FirstResult::Acquired,
        row_state: RowState::Released,
    },
];

#[tokio::test(start_paused = true)]
async fn every_fault_of_the_table_ends_as_stated() {
    for case in CASES {
        let store = SharedStore::default();
        let first = Instance::new(&store, 1);
        first.faults.set_writes(case.deliveries);
        let result = match first.claim().await {
            ClaimResult::Acquired(permit) => {
                permit.end(SendResult::Unsent(ErrorKind::NoTarget));
                FirstResult::Acquired
            }
            ClaimResult::Refused(kind) => FirstResult::Refused(kind),
            ClaimResult::Stored(answer) => panic!("{}: {answer:?}", case.name),
        };
        assert_eq!(result, case.expected, "{}", case.name);
        assert_eq!(settled_row_state(&store).await, case.row_state, "{}", case.name);
        // The request was not executed, so another instance can claim the key.
        Instance::new(&store, 2).acquire().await.end(answered("paid"));
        assert_eq!(settled_row_state(&store).await, RowState::Done, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_applied_after_it_was_given_up_is_never_open() {
    let store = SharedStore::default();
    let first = Instance::new(&store, 1);
    // The claim is delayed until after its deadline, and the store is unreachable when it is given up.
    first.faults.set_writes(&[Delivery::Delayed(DEADLINE + Duration::from_secs(1)), Delivery::Refused]);
    let down = async {
        sleep(Duration::from_millis(3)).await;
        first.faults.set_down(true);
    };
    let (result, ()) = tokio::join!(first.claim(), down);
    assert!(matches!(result, ClaimResult::Refused(ErrorKind::StoreUnavailable)), "{result:?}");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(row_state(&store), RowState::Open, "the late claim was applied");
    first.faults.set_down(false);
    assert_eq!(settled_row_state(&store).await, RowState::Released);
}

#[tokio::test(start_paused = true)]
async fn another_instance_claims_between_giving_up_and_the_late_insert() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    first.faults.set_writes(&[Delivery::Delayed(LONG_DELAY)]);
    let timed_out = timeout(Duration::from_millis(3), first.claim()).await;
    assert!(timed_out.is_err(), "the caller disconnects before the claim has a result");
    second.acquire().await.end(answered("paid"));
    assert_eq!(settled_row_state(&store).await, RowState::Done);
    let ClaimResult::Stored(answer) = first.claim().await else { panic!("expected the stored answer") };
    assert_eq!(answer.body, StoredBody::Text("paid".to_owned()));
}

#[tokio::test(start_paused = true)]
async fn two_instances_with_one_key_at_once_send_once() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    let send = |claimed| async move {
        match claimed {
            ClaimResult::Acquired(permit) => {
                sleep(Duration::from_millis(300)).await;
                permit.end(answered("paid"));
                "sent"
            }
            ClaimResult::Stored(_) => "stored",
            ClaimResult::Refused(kind) => panic!("{kind}"),
        }
    };
    let run = |instance: Instance| async move { send(instance.claim().await).await };
    let (one, other) = tokio::join!(run(first), run(second));
    assert!([one, other] == ["sent", "stored"] || [one, other] == ["stored", "sent"], "{one} {other}");
}

#[tokio::test(start_paused = true)]
async fn a_second_call_on_the_same_instance_is_woken_at_once() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let permit = instance.acquire().await;
    let claims = std::sync::Arc::clone(&instance.claims);
    let again = tokio::spawn({
        let request = request(instance.clock, "a", false);
        async move { claims.claim(request, ()).await }
    });
    sleep(Duration::from_millis(1_200)).await;
    permit.end(answered("paid"));
    let answered_at = instance.clock.now();
    let ClaimResult::Stored(_) = again.await.expect("the claim does not panic") else {
        panic!("expected the stored answer")
    };
    assert!(instance.clock.now().since(answered_at) < Duration::from_millis(20));
}

#[tokio::test(start_paused = true)]
async fn the_same_key_with_another_body_is_refused() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    instance.acquire().await.end(answered("paid"));
    assert_eq!(settled_row_state(&store).await, RowState::Done);
    let result = instance.claims.claim(request(instance.clock, "b", false), ()).await;
    let ClaimResult::Refused(kind) = result else { panic!("{result:?}") };
    assert_eq!((kind, kind.answer().status), (ErrorKind::KeyReused, 422));
}

/// Step before which the holder of a claim is killed.
#[derive(Debug, Clone, Copy)]
enum KilledBefore {
    Send,
    Answer,
    Record,
}

#[tokio::test(start_paused = true)]
async fn the_key_of_a_killed_holder_is_told_unknown_and_never_sent_again() {
    for killed_before in [KilledBefore::Send, KilledBefore::Answer, KilledBefore::Record] {
        let store = SharedStore::default();
        let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
        let ClaimResult::Acquired(mut permit) = first.claim().await else { panic!("nothing fails") };
        if !matches!(killed_before, KilledBefore::Send) {
            assert!(permit.begin());
        }
        first.faults.kill();
        match killed_before {
            KilledBefore::Send | KilledBefore::Answer => std::mem::forget(permit),
            KilledBefore::Record => permit.end(answered("paid")),
        }
        for _ in 0..3 {
            let result = second.claim().await;
            assert!(
                matches!(result, ClaimResult::Refused(ErrorKind::KeyUnsettled)),
                "{killed_before:?}: {result:?}"
            );
            sleep(LONG_DELAY).await;
        }
        assert_eq!(row_state(&store), RowState::Open, "{killed_before:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_wakes_after_minutes_does_not_send() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    let ClaimResult::Acquired(mut permit) = first.claim().await else { panic!("nothing fails") };
    let result = second.claim().await;
    assert!(matches!(result, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{result:?}");
    sleep(LONG_DELAY).await;
    assert!(!permit.begin(), "the deadline has passed");
    drop(permit);
    assert_eq!(settled_row_state(&store).await, RowState::Released);
    second.acquire().await.end(answered("paid"));
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_recorded_when_the_store_returns() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let permit = instance.acquire().await;
    instance.faults.set_down(true);
    permit.end(answered("paid"));
    sleep(LONG_DELAY).await;
    assert_eq!(row_state(&store), RowState::Open);
    instance.faults.set_down(false);
    assert_eq!(settled_row_state(&store).await, RowState::Done);
}

#[tokio::test(start_paused = true)]
async fn a_result_whose_reply_is_lost_is_recorded_once() {
    for delivery in [
        Delivery::ReplyLost,
        Delivery::RequestLost,
        Delivery::Duplicated,
        Delivery::Delayed(LONG_DELAY),
        Delivery::Refused,
    ] {
        let store = SharedStore::default();
        let instance = Instance::new(&store, 1);
        let permit = instance.acquire().await;
        instance.faults.set_writes(&[delivery]);
        permit.end(answered("paid"));
        assert_eq!(settled_row_state(&store).await, RowState::Done, "{delivery:?}");
        assert!(matches!(instance.claim().await, ClaimResult::Stored(_)), "{delivery:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeated_key_is_not_told_not_run_while_the_store_is_down() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    first.acquire().await.end(answered("paid"));
    assert_eq!(settled_row_state(&store).await, RowState::Done);
    second.faults.set_down(true);
    let result = second.claim_repeated().await;
    assert!(matches!(result, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{result:?}");
    second.faults.set_down(false);
    assert!(matches!(second.claim_repeated().await, ClaimResult::Stored(_)));
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_unsettled_and_told_at_once() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    first.acquire().await.end(SendResult::MaybeSent(ErrorKind::ConnectionLost));
    assert_eq!(settled_row_state(&store).await, RowState::Unsettled);
    let called_at = second.clock.now();
    let result = second.claim().await;
    assert!(matches!(result, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{result:?}");
    assert!(second.clock.now().since(called_at) < Duration::from_millis(100));
}

#[tokio::test(start_paused = true)]
async fn a_large_answer_is_kept_in_the_object_store() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let body = Bytes::from((0..1_000_000_u32).map(|n| n as u8).collect::<Vec<_>>());
    let answer = BufferedAnswer { status: 201, content_type: Some("audio/ogg".to_owned()), body };
    let permit = instance.acquire().await;
    // The write of the object is lost and must be retried before the row refers to it.
    instance.faults.set_writes(&[Delivery::RequestLost, Delivery::Refused, Delivery::ReplyLost]);
    permit.end(SendResult::Answered(answer.clone()));
    assert_eq!(settled_row_state(&store).await, RowState::Done);
    let other = Instance::new(&store, 2);
    let ClaimResult::Stored(stored) = other.claim().await else { panic!("expected the stored answer") };
    assert!(matches!(stored.body, StoredBody::Object(_)));
    let fetched = other.claims.fetch(stored.clone(), other.clock.now() + DEADLINE).await;
    assert_eq!(fetched, Ok(answer));
    other.faults.set_down(true);
    let fetched = other.claims.fetch(stored, other.clock.now() + DEADLINE).await;
    assert_eq!(fetched, Err(ErrorKind::KeyUnsettled));
}

#[tokio::test(start_paused = true)]
async fn a_binary_answer_is_kept_in_the_row() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let body = Bytes::from_static(&[0xff, 0x00, 0x80, 0x0a]);
    let answer = BufferedAnswer { status: 200, content_type: None, body };
    instance.acquire().await.end(SendResult::Answered(answer.clone()));
    assert_eq!(settled_row_state(&store).await, RowState::Done);
    let ClaimResult::Stored(stored) = instance.claim().await else { panic!("expected the stored answer") };
    assert!(matches!(stored.body, StoredBody::Hex(_)));
    let fetched = instance.claims.fetch(stored, instance.clock.now() + DEADLINE).await;
    assert_eq!(fetched, Ok(answer));
}

/// Changes the row's state as an operator would: keeps the other fields and requires the version that was
/// read.
fn settle_by_hand(store: &SharedStore, state: &str) {
    let mut store = store.lock().unwrap();
    let found = store.get(&arbutusshelf::claims::row_key(&service(), "rent-17")).expect("the row is there");
    let mut row = serde_json::from_slice::<serde_json::Value>(&found.value).expect("the row is JSON");
    row["state"] = serde_json::from_str(state).expect("the state is JSON");
    let change = RowChange::Put(Bytes::from(row.to_string()));
    store.write(&[RowWrite { key: found.key, condition: Condition::VersionIs(found.version), change }]);
}

#[tokio::test(start_paused = true)]
async fn an_operator_settles_a_key_by_hand() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    instance.acquire().await.end(SendResult::MaybeSent(ErrorKind::AnswerTimeout));
    assert_eq!(settled_row_state(&store).await, RowState::Unsettled);
    settle_by_hand(&store, "\"released\"");
    instance.acquire().await.end(SendResult::MaybeSent(ErrorKind::AnswerTimeout));
    assert_eq!(settled_row_state(&store).await, RowState::Unsettled);
    let done = r#"{"done":{"status":200,"content_type":"application/json","body":{"text":"{}"}}}"#;
    settle_by_hand(&store, done);
    let ClaimResult::Stored(answer) = instance.claim().await else { panic!("it was settled as done") };
    assert_eq!((answer.status, answer.body), (200, StoredBody::Text("{}".to_owned())));
}

fn set_hour(store: &SharedStore, hour: u64) {
    let mut store = store.lock().unwrap();
    let key = arbutusshelf::claims::hour_counter::hour_counter_key();
    let condition = store.get(&key).map_or(Condition::Absent, |r| Condition::VersionIs(r.version));
    store.write(&[RowWrite { key, condition, change: RowChange::Put(Bytes::from(hour.to_string())) }]);
}

async fn sweep(instance: &Instance, retention_h: u32) -> usize {
    instance.claims.refresh_hour_counter().await;
    let key = arbutusshelf::claims::row_key(&service(), "rent-17").0;
    let digits = key.split('/').nth(2).expect("the bucket is the third part");
    let bucket = u32::from_str_radix(digits, 16).expect("the bucket is a number");
    assert!(bucket < BUCKET_COUNT);
    instance.claims.sweep_bucket(&service(), retention_h, bucket).await
}

#[tokio::test(start_paused = true)]
async fn a_settled_row_is_removed_only_after_its_retention() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    set_hour(&store, 1_000);
    instance.acquire().await.end(answered("paid"));
    assert_eq!(settled_row_state(&store).await, RowState::Done);
    set_hour(&store, 1_072 + RETENTION_MARGIN_H);
    assert_eq!(sweep(&instance, 72).await, 0);
    set_hour(&store, 1_073 + RETENTION_MARGIN_H);
    assert_eq!(sweep(&instance, 72).await, 1);
    assert_eq!(row_state(&store), RowState::Absent);
}

#[tokio::test(start_paused = true)]
async fn an_open_row_outlasts_every_retention() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let permit = instance.acquire().await;
    set_hour(&store, 1_000_000);
    assert_eq!(sweep(&instance, 1).await, 0);
    assert_eq!(row_state(&store), RowState::Open);
    permit.end(answered("paid"));
}

#[tokio::test(start_paused = true)]
async fn the_count_of_hours_rises_once_an_hour_whoever_watches() {
    let store = SharedStore::default();
    let instances = [Instance::new(&store, 1), Instance::new(&store, 2)];
    for _ in 0..10 * 60 {
        for instance in &instances {
            instance.claims.refresh_hour_counter().await;
        }
        sleep(Duration::from_mins(1)).await;
    }
    let row = store.lock().unwrap().get(&arbutusshelf::claims::hour_counter::hour_counter_key());
    let hour = row.and_then(|r| std::str::from_utf8(&r.value).ok()?.parse::<u64>().ok());
    assert!(matches!(hour, Some(8..=10)), "{hour:?}");
}

#[tokio::test(start_paused = true)]
async fn calls_beyond_the_bounded_queue_are_refused_at_once() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    instance.claims.refresh_hour_counter().await;
    instance.faults.set_down(true);
    let calls = (0..3_000).map(|n| {
        let mut request = request(instance.clock, "a", false);
        request.key = format!("rent-{n}");
        let claims = std::sync::Arc::clone(&instance.claims);
        let clock = instance.clock;
        async move {
            let called_at = clock.now();
            (claims.claim(request, ()).await, clock.now().since(called_at))
        }
    });
    let results = futures::future::join_all(calls).await;
    let at_once =
        results.iter().filter(|(result, _)| matches!(result, ClaimResult::Refused(ErrorKind::Overloaded)));
    assert!(at_once.clone().all(|(_, waited)| waited.is_zero()));
    assert_eq!(at_once.count(), 3_000 - 2_048);
    let waited =
        results.iter().filter(|(r, _)| matches!(r, ClaimResult::Refused(ErrorKind::StoreUnavailable)));
    assert_eq!(waited.count(), 2_048);
}
