//! Fault table of claims: every way in which store, holder or caller can fail around the one send.

mod claim_table;

use std::time::Duration;

use arbutusshelf::{
    claims::{BufferedAnswer, ClaimResult, SendResult},
    decide::claim::{RETENTION_MARGIN_H, StoredBody},
    error::ErrorKind,
    store::{Condition, RowChange, RowWrite, embedded::SharedStore},
};
use bytes::Bytes;
use claim_table::{DEADLINE, Fate, Instance, RowState, answered, request, row_state, service, settled};
use tokio::time::{sleep, timeout};

const MINUTES: Duration = Duration::from_mins(7);
const BUCKETS: u32 = 1 << 16;

/// What the first call is told.
#[derive(Debug, PartialEq, Eq)]
enum First {
    Won,
    Refused(ErrorKind),
}

/// One row: how the first writes go, what the call is told, and what is left of the row if it did not send.
struct Case {
    name: &'static str,
    writes: &'static [Fate],
    told: First,
    left: RowState,
}

const DOWN: [Fate; 64] = [Fate::Refused; 64];

const VANISHING: [Fate; 64] = [Fate::Vanished; 64];

const CASES: &[Case] = &[
    Case { name: "nothing fails", writes: &[], told: First::Won, left: RowState::Released },
    Case {
        name: "reply to the claim lost after it took effect",
        writes: &[Fate::Lost],
        told: First::Won,
        left: RowState::Released,
    },
    Case { name: "claim lost", writes: &[Fate::Vanished], told: First::Won, left: RowState::Released },
    Case { name: "claim doubled", writes: &[Fate::Doubled], told: First::Won, left: RowState::Released },
    Case {
        name: "claim applied late, after a second try took effect",
        writes: &[Fate::Late(MINUTES)],
        told: First::Won,
        left: RowState::Released,
    },
    Case {
        name: "429 from the store, then none",
        writes: &[Fate::Refused, Fate::Refused, Fate::Refused],
        told: First::Won,
        left: RowState::Released,
    },
    Case {
        name: "store down before the claim",
        writes: &DOWN,
        told: First::Refused(ErrorKind::StoreUnavailable),
        left: RowState::Absent,
    },
    Case {
        name: "every claim lost until the deadline",
        writes: &VANISHING,
        told: First::Refused(ErrorKind::StoreUnavailable),
        left: RowState::Released,
    },
    Case {
        name: "reply to the claim later than the deadline",
        writes: &[Fate::SlowReply(MINUTES)],
        told: First::Refused(ErrorKind::StoreUnavailable),
        left: RowState::Released,
    },
    Case {
        name: "release lost after it took effect",
        writes: &[Fate::Good, Fate::Lost],
        told: First::Won,
        left: RowState::Released,
    },
    Case {
        name: "release lost",
        writes: &[Fate::Good, Fate::Vanished, Fate::Vanished, Fate::Refused],
        told: First::Won,
        left: RowState::Released,
    },
];

#[tokio::test(start_paused = true)]
async fn every_fault_of_the_table_ends_as_stated() {
    for case in CASES {
        let store = SharedStore::default();
        let first = Instance::new(&store, 1);
        first.faults.set_writes(case.writes);
        let told = match first.claim().await {
            ClaimResult::Acquired(held) => {
                held.end(SendResult::Unsent(ErrorKind::NoTarget));
                First::Won
            }
            ClaimResult::Refused(kind) => First::Refused(kind),
            ClaimResult::Stored(answer) => panic!("{}: {answer:?}", case.name),
        };
        assert_eq!(told, case.told, "{}", case.name);
        assert_eq!(settled(&store).await, case.left, "{}", case.name);
        // Nothing ran, so the key is free for another instance.
        Instance::new(&store, 2).win().await.end(answered("paid"));
        assert_eq!(settled(&store).await, RowState::Done, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_applied_after_it_was_given_up_is_never_open() {
    let store = SharedStore::default();
    let first = Instance::new(&store, 1);
    // Nothing of the first claim gets through before its deadline, and then it is applied.
    first.faults.set_writes(&[Fate::Late(DEADLINE + Duration::from_secs(1)), Fate::Refused]);
    let down = async {
        sleep(Duration::from_millis(3)).await;
        first.faults.set_down(true);
    };
    let (told, ()) = tokio::join!(first.claim(), down);
    assert!(matches!(told, ClaimResult::Refused(ErrorKind::StoreUnavailable)), "{told:?}");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(row_state(&store), RowState::Open, "the late claim was applied");
    first.faults.set_down(false);
    assert_eq!(settled(&store).await, RowState::Released);
}

#[tokio::test(start_paused = true)]
async fn another_instance_claims_between_giving_up_and_the_late_insert() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    first.faults.set_writes(&[Fate::Late(MINUTES)]);
    let leave = timeout(Duration::from_millis(3), first.claim()).await;
    assert!(leave.is_err(), "the caller left before the claim was known");
    second.win().await.end(answered("paid"));
    assert_eq!(settled(&store).await, RowState::Done);
    let ClaimResult::Stored(answer) = first.claim().await else { panic!("it ran") };
    assert_eq!(answer.body, StoredBody::Text("paid".to_owned()));
}

#[tokio::test(start_paused = true)]
async fn two_instances_with_one_key_at_once_send_once() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    let send = |claimed| async move {
        match claimed {
            ClaimResult::Acquired(held) => {
                sleep(Duration::from_millis(300)).await;
                held.end(answered("paid"));
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
    let held = instance.win().await;
    let claims = std::sync::Arc::clone(&instance.claims);
    let again = tokio::spawn({
        let request = request(instance.clock, "a", false);
        async move { claims.claim(request, ()).await }
    });
    sleep(Duration::from_millis(1_200)).await;
    held.end(answered("paid"));
    let answered_at = instance.clock.now();
    let ClaimResult::Stored(_) = again.await.expect("the claim does not panic") else { panic!("it ran") };
    assert!(instance.clock.now().since(answered_at) < Duration::from_millis(20));
}

#[tokio::test(start_paused = true)]
async fn the_same_key_with_another_body_is_refused() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    instance.win().await.end(answered("paid"));
    assert_eq!(settled(&store).await, RowState::Done);
    let told = instance.claims.claim(request(instance.clock, "b", false), ()).await;
    let ClaimResult::Refused(kind) = told else { panic!("{told:?}") };
    assert_eq!((kind, kind.answer().status), (ErrorKind::KeyReused, 422));
}

/// Step before which a holder dies.
#[derive(Debug, Clone, Copy)]
enum Death {
    Send,
    Answer,
    Record,
}

#[tokio::test(start_paused = true)]
async fn the_key_of_a_killed_holder_is_told_unknown_and_never_sent_again() {
    for death in [Death::Send, Death::Answer, Death::Record] {
        let store = SharedStore::default();
        let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
        let ClaimResult::Acquired(mut held) = first.claim().await else { panic!("nothing fails") };
        if !matches!(death, Death::Send) {
            assert!(held.begin());
        }
        first.faults.kill();
        match death {
            Death::Send | Death::Answer => std::mem::forget(held),
            Death::Record => held.end(answered("paid")),
        }
        for _ in 0..3 {
            let told = second.claim().await;
            assert!(matches!(told, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{death:?}: {told:?}");
            sleep(MINUTES).await;
        }
        assert_eq!(row_state(&store), RowState::Open, "{death:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_wakes_after_minutes_does_not_send() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    let ClaimResult::Acquired(mut held) = first.claim().await else { panic!("nothing fails") };
    let told = second.claim().await;
    assert!(matches!(told, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{told:?}");
    sleep(MINUTES).await;
    assert!(!held.begin(), "the deadline has passed");
    drop(held);
    assert_eq!(settled(&store).await, RowState::Released);
    second.win().await.end(answered("paid"));
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_recorded_when_the_store_returns() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let held = instance.win().await;
    instance.faults.set_down(true);
    held.end(answered("paid"));
    sleep(MINUTES).await;
    assert_eq!(row_state(&store), RowState::Open);
    instance.faults.set_down(false);
    assert_eq!(settled(&store).await, RowState::Done);
}

#[tokio::test(start_paused = true)]
async fn a_result_whose_reply_is_lost_is_recorded_once() {
    for fate in [Fate::Lost, Fate::Vanished, Fate::Doubled, Fate::Late(MINUTES), Fate::Refused] {
        let store = SharedStore::default();
        let instance = Instance::new(&store, 1);
        let held = instance.win().await;
        instance.faults.set_writes(&[fate]);
        held.end(answered("paid"));
        assert_eq!(settled(&store).await, RowState::Done, "{fate:?}");
        assert!(matches!(instance.claim().await, ClaimResult::Stored(_)), "{fate:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeated_key_is_not_told_not_run_while_the_store_is_down() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    first.win().await.end(answered("paid"));
    assert_eq!(settled(&store).await, RowState::Done);
    second.faults.set_down(true);
    let told = second.claim_again().await;
    assert!(matches!(told, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{told:?}");
    second.faults.set_down(false);
    assert!(matches!(second.claim_again().await, ClaimResult::Stored(_)));
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_unsettled_and_told_at_once() {
    let store = SharedStore::default();
    let (first, second) = (Instance::new(&store, 1), Instance::new(&store, 2));
    first.win().await.end(SendResult::MaybeSent(ErrorKind::ConnectionLost));
    assert_eq!(settled(&store).await, RowState::Unsettled);
    let asked_at = second.clock.now();
    let told = second.claim().await;
    assert!(matches!(told, ClaimResult::Refused(ErrorKind::KeyUnsettled)), "{told:?}");
    assert!(second.clock.now().since(asked_at) < Duration::from_millis(100));
}

#[tokio::test(start_paused = true)]
async fn a_large_answer_is_kept_in_the_object_store() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    let body = Bytes::from((0..1_000_000_u32).map(|n| n as u8).collect::<Vec<_>>());
    let answer = BufferedAnswer { status: 201, content_type: Some("audio/ogg".to_owned()), body };
    let held = instance.win().await;
    // The object's write is lost and tried again before the row refers to it.
    instance.faults.set_writes(&[Fate::Vanished, Fate::Refused, Fate::Lost]);
    held.end(SendResult::Answered(answer.clone()));
    assert_eq!(settled(&store).await, RowState::Done);
    let other = Instance::new(&store, 2);
    let ClaimResult::Stored(stored) = other.claim().await else { panic!("it ran") };
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
    instance.win().await.end(SendResult::Answered(answer.clone()));
    assert_eq!(settled(&store).await, RowState::Done);
    let ClaimResult::Stored(stored) = instance.claim().await else { panic!("it ran") };
    assert!(matches!(stored.body, StoredBody::Hex(_)));
    let fetched = instance.claims.fetch(stored, instance.clock.now() + DEADLINE).await;
    assert_eq!(fetched, Ok(answer));
}

/// Writes the row's state as an operator does: the rest stays, under the version that was read.
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
    instance.win().await.end(SendResult::MaybeSent(ErrorKind::AnswerTimeout));
    assert_eq!(settled(&store).await, RowState::Unsettled);
    settle_by_hand(&store, "\"released\"");
    instance.win().await.end(SendResult::MaybeSent(ErrorKind::AnswerTimeout));
    assert_eq!(settled(&store).await, RowState::Unsettled);
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
    assert!(bucket < BUCKETS);
    instance.claims.sweep_bucket(&service(), retention_h, bucket).await
}

#[tokio::test(start_paused = true)]
async fn a_settled_row_is_removed_only_after_its_retention() {
    let store = SharedStore::default();
    let instance = Instance::new(&store, 1);
    set_hour(&store, 1_000);
    instance.win().await.end(answered("paid"));
    assert_eq!(settled(&store).await, RowState::Done);
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
    let held = instance.win().await;
    set_hour(&store, 1_000_000);
    assert_eq!(sweep(&instance, 1).await, 0);
    assert_eq!(row_state(&store), RowState::Open);
    held.end(answered("paid"));
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
            let asked_at = clock.now();
            (claims.claim(request, ()).await, clock.now().since(asked_at))
        }
    });
    let told = futures::future::join_all(calls).await;
    let at_once =
        told.iter().filter(|(result, _)| matches!(result, ClaimResult::Refused(ErrorKind::Overloaded)));
    assert!(at_once.clone().all(|(_, waited)| waited.is_zero()));
    assert_eq!(at_once.count(), 3_000 - 2_048);
    let waited = told.iter().filter(|(r, _)| matches!(r, ClaimResult::Refused(ErrorKind::StoreUnavailable)));
    assert_eq!(waited.count(), 2_048);
}
