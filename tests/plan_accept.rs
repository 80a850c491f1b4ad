//! Commit of a submitted plan under faults of the store.

use std::time::Duration;

use arbutusshelf::{
    plan::{
        IntendedAction, Intention, Plan,
        accept::{Acceptance, Event, PlanRows, RETRY_PAUSE, Step, Submission, SubmissionOutcome},
        record::{
            CHANGE_ROW_PREFIX, ChangeRecord, HEAD_ROW, PlanBody, PlanHead, change_key, digest, head_key,
        },
    },
    store::{Condition, RowWrite, WriteResult},
    units::{ChangeId, MonoTime, PlanVersion},
};

/// Token of the submission under test.
const OWN_TOKEN: u64 = 7;
/// Token of an earlier submission.
const OTHER_TOKEN: u64 = 8;

fn change(id: &str) -> ChangeId {
    id.parse().expect("the name is valid")
}

fn submission(base: Option<u64>) -> Submission {
    Submission {
        plan: Plan::default(),
        change_id: change("mine"),
        base: base.map(PlanVersion::from),
        token: OWN_TOKEN,
        submitted_unix_s: 1_800_000_000,
    }
}

/// Returns a head row of a version that the change `by` created, with its row version.
fn head(version: u64, by: &str) -> (PlanHead, u64) {
    let body = PlanBody::Object(format!("plan/{version}"));
    (PlanHead { version: version.into(), change_id: change(by), body }, version * 10)
}

fn record(version: u64, token: u64, plan: &Plan) -> ChangeRecord {
    ChangeRecord { version: version.into(), digest: digest(plan), token }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from(ms * 1_000)
}

const DEADLINE_MS: u64 = 1_000;

/// Content of the store when it is read.
#[derive(Debug, Clone, Copy)]
enum ReadBack {
    /// No plan has been committed yet.
    Empty,
    /// The head row is the one from before the submission.
    Unchanged,
    /// The submission under test is committed.
    OwnChange,
    /// Another change is committed.
    OtherChange,
    /// The rows cannot be read.
    Unreadable,
}

impl ReadBack {
    fn rows(self) -> Option<PlanRows> {
        match self {
            Self::Empty => Some(PlanRows::default()),
            Self::Unchanged => Some(PlanRows { head: Some(head(4, "before")), change: None }),
            Self::OwnChange => Some(PlanRows {
                head: Some(head(5, "mine")),
                change: Some(record(5, OWN_TOKEN, &Plan::default())),
            }),
            Self::OtherChange => Some(PlanRows { head: Some(head(5, "theirs")), change: None }),
            Self::Unreadable => None,
        }
    }
}

/// Expected step after the rows are read back.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Expected {
    Committed,
    Conflict,
    /// The transaction is sent again.
    WriteAgain,
    /// The rows are read again after a delay.
    ReadAgain,
}

fn committed() -> Step {
    Step::Done(SubmissionOutcome::Committed { version: 5.into(), repeated: false })
}

fn classify(step: &Step) -> Expected {
    match step {
        step if *step == committed() => Expected::Committed,
        Step::Done(SubmissionOutcome::Conflict(Some(other))) if other.change_id.as_str() == "theirs" => {
            Expected::Conflict
        }
        Step::Write(_) => Expected::WriteAgain,
        Step::Pause(RETRY_PAUSE) => Expected::ReadAgain,
        other => panic!("unexpected step {other:?}"),
    }
}

#[test]
fn every_write_result_and_read_back_is_settled() {
    use Expected::{Committed, Conflict, ReadAgain, WriteAgain};
    use ReadBack::{OtherChange, OwnChange, Unchanged, Unreadable};
    let took_effect = || WriteResult::TookEffect(vec![50, 51]);
    let conflict = || WriteResult::Conflict(vec![head_key()]);
    let table = [
        (took_effect(), Unreadable, Committed),
        (conflict(), OtherChange, Conflict),
        (conflict(), OwnChange, Committed),
        (conflict(), Unreadable, ReadAgain),
        (WriteResult::Refused, Unchanged, WriteAgain),
        (WriteResult::Refused, OtherChange, Conflict),
        (WriteResult::Refused, Unreadable, ReadAgain),
        (WriteResult::Unknown, Unchanged, WriteAgain),
        (WriteResult::Unknown, OwnChange, Committed),
        (WriteResult::Unknown, OtherChange, Conflict),
        (WriteResult::Unknown, Unreadable, ReadAgain),
    ];
    for (written, read_back, expected) in table {
        let case = format!("{written:?} then {read_back:?}");
        let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
        assert_eq!(acceptance.start(), Step::Read);
        let first = acceptance.handle(at(0), Event::Read(Unchanged.rows()));
        assert!(matches!(first, Step::Write(_)), "{case}: {first:?}");
        let mut step = acceptance.handle(at(10), Event::Wrote(written));
        if matches!(step, Step::Pause(_)) {
            step = acceptance.handle(at(210), Event::Paused);
        }
        if step == Step::Read {
            step = acceptance.handle(at(220), Event::Read(read_back.rows()));
        }
        assert_eq!(classify(&step), expected, "{case}");
    }
}

#[test]
fn a_settled_write_keeps_its_conditions() {
    let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
    let Step::Write(first) = acceptance.handle(at(0), Event::Read(ReadBack::Unchanged.rows())) else {
        panic!("expected a write");
    };
    acceptance.handle(at(0), Event::Wrote(WriteResult::Unknown));
    acceptance.handle(at(200), Event::Paused);
    let again = acceptance.handle(at(210), Event::Read(ReadBack::Unchanged.rows()));
    assert_eq!(again, Step::Write(first.clone()), "so that both can take effect at most once");
    let conditions = first.iter().map(|w| (w.key.0.clone(), w.condition)).collect::<Vec<_>>();
    let head = (HEAD_ROW.to_owned(), Condition::VersionIs(40));
    let change = (format!("{CHANGE_ROW_PREFIX}mine"), Condition::Absent);
    assert_eq!(conditions, [head, change]);
}

#[test]
fn the_first_plan_needs_the_head_row_absent() {
    let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
    let step = acceptance.handle(at(0), Event::Read(ReadBack::Empty.rows()));
    let Step::Write(writes) = step else { panic!("expected a write, found {step:?}") };
    assert!(writes.iter().all(|w| w.condition == Condition::Absent));
}

#[test]
fn the_outcome_at_the_deadline_is_true() {
    let table = [
        (WriteResult::Refused, SubmissionOutcome::NothingWritten),
        (WriteResult::Unknown, SubmissionOutcome::Unknown),
        (WriteResult::Conflict(vec![head_key()]), SubmissionOutcome::Conflict(None)),
        (WriteResult::Conflict(vec![head_key(), change_key(&change("mine"))]), SubmissionOutcome::Unknown),
    ];
    for (written, expected) in table {
        let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
        acceptance.handle(at(0), Event::Read(ReadBack::Unchanged.rows()));
        let mut step = acceptance.handle(at(10), Event::Wrote(written.clone()));
        let mut now = 10;
        while !matches!(step, Step::Done(_)) {
            now += 100;
            assert!(now < 3 * DEADLINE_MS, "the submission does not end after its deadline");
            let event = if step == Step::Read { Event::Read(None) } else { Event::Paused };
            step = acceptance.handle(at(now), event);
        }
        assert_eq!(step, Step::Done(expected), "{written:?}");
    }
}

#[test]
fn a_refusal_after_an_unknown_write_stays_unknown() {
    let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
    acceptance.handle(at(0), Event::Read(ReadBack::Unchanged.rows()));
    acceptance.handle(at(10), Event::Wrote(WriteResult::Unknown));
    acceptance.handle(at(210), Event::Paused);
    acceptance.handle(at(220), Event::Read(ReadBack::Unchanged.rows()));
    let step = acceptance.handle(at(DEADLINE_MS), Event::Wrote(WriteResult::Refused));
    assert_eq!(step, Step::Done(SubmissionOutcome::Unknown));
}

#[test]
fn a_change_id_is_one_change_also_after_later_versions() {
    let repeated =
        PlanRows { head: Some(head(9, "later")), change: Some(record(5, OTHER_TOKEN, &Plan::default())) };
    let mut acceptance = Acceptance::new(submission(Some(4)), at(DEADLINE_MS));
    let step = acceptance.handle(at(0), Event::Read(Some(repeated)));
    assert_eq!(step, Step::Done(SubmissionOutcome::Committed { version: 5.into(), repeated: true }));
}

#[test]
fn a_change_id_with_another_sheet_is_refused() {
    let other = Plan { version: 1.into(), ..Plan::default() };
    let rows = PlanRows { head: Some(head(5, "mine")), change: Some(record(5, OTHER_TOKEN, &other)) };
    let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
    let step = acceptance.handle(at(0), Event::Read(Some(rows)));
    assert_eq!(step, Step::Done(SubmissionOutcome::ChangeIdReused(5.into())));
}

#[test]
fn a_change_that_builds_on_an_old_version_learns_the_winner() {
    let mut acceptance = Acceptance::new(submission(Some(3)), at(DEADLINE_MS));
    let step = acceptance.handle(at(0), Event::Read(ReadBack::OtherChange.rows()));
    assert_eq!(classify(&step), Expected::Conflict);
}

/// Returns a plan that is too large for the head row.
fn large_plan() -> Plan {
    let drain = |n: u32| Intention {
        at_unix_s: u64::from(n),
        action: IntendedAction::Drain(format!("target-{n}").parse().expect("the name is valid")),
    };
    Plan { intentions: (1..500).map(drain).collect(), ..Plan::default() }
}

/// Starts the submission of a large plan; returns it with the name of the plan's object.
fn start_large() -> (Acceptance, String) {
    let submission = Submission { plan: large_plan(), ..submission(None) };
    let mut acceptance = Acceptance::new(submission, at(DEADLINE_MS));
    let step = acceptance.handle(at(0), Event::Read(ReadBack::Unchanged.rows()));
    let Step::PutBody { name, .. } = step else { panic!("expected the write of the object, found {step:?}") };
    (acceptance, name)
}

#[test]
fn a_large_plan_is_stored_before_its_version() {
    let stored = [WriteResult::TookEffect(Vec::new()), WriteResult::Conflict(Vec::new())];
    for put in stored {
        let (mut acceptance, name) = start_large();
        let step = acceptance.handle(at(5), Event::BodyPut(put));
        let Step::Write(writes) = step else { panic!("expected a write, found {step:?}") };
        let value = writes.iter().find_map(|w: &RowWrite| match &w.change {
            arbutusshelf::store::RowChange::Put(value) if w.key.0 == HEAD_ROW => Some(value.clone()),
            _ => None,
        });
        let head = serde_json::from_slice::<PlanHead>(&value.expect("the head is written"))
            .expect("the value is a head");
        assert_eq!(head.body, PlanBody::Object(name));
    }
}

#[test]
fn an_object_whose_reply_was_lost_is_looked_for() {
    let (mut acceptance, name) = start_large();
    let step = acceptance.handle(at(5), Event::BodyPut(WriteResult::Unknown));
    assert_eq!(step, Step::CheckBody(name));
    let step = acceptance.handle(at(10), Event::BodyChecked(Some(true)));
    assert!(matches!(step, Step::Write(_)), "{step:?}");
}

#[test]
fn an_object_that_may_be_missing_is_put_again_under_its_name() {
    let table = [
        (Event::BodyPut(WriteResult::Refused), "refused"),
        (Event::BodyChecked(Some(false)), "not found"),
        (Event::BodyChecked(None), "unknown"),
    ];
    for (event, case) in table {
        let (mut acceptance, name) = start_large();
        assert_eq!(acceptance.handle(at(5), event), Step::Pause(RETRY_PAUSE), "{case}");
        assert_eq!(acceptance.handle(at(205), Event::Paused), Step::Read);
        let step = acceptance.handle(at(210), Event::Read(ReadBack::Unchanged.rows()));
        assert!(matches!(&step, Step::PutBody { name: again, .. } if *again == name), "{step:?}");
    }
}

#[test]
fn now_in_the_sheet_is_the_time_of_submission() {
    let now =
        Intention { at_unix_s: 0, action: IntendedAction::Return("a".parse().expect("the name is valid")) };
    let plan = Plan { intentions: vec![now], ..Plan::default() };
    let mut acceptance = Acceptance::new(Submission { plan, ..submission(None) }, at(DEADLINE_MS));
    acceptance.handle(at(0), Event::Read(ReadBack::Unchanged.rows()));
    assert_eq!(acceptance.plan().intentions[0].at_unix_s, 1_800_000_000);
    assert_eq!(acceptance.plan().accepted_unix_s, 1_800_000_000);
}

#[test]
fn a_store_that_is_out_from_the_start_changes_nothing() {
    let mut acceptance = Acceptance::new(submission(None), at(DEADLINE_MS));
    let step = acceptance.handle(at(10), Event::Read(None));
    assert_eq!(step, Step::Pause(Duration::from_millis(200)));
    acceptance.handle(at(210), Event::Paused);
    let step = acceptance.handle(at(DEADLINE_MS), Event::Read(None));
    assert_eq!(step, Step::Done(SubmissionOutcome::NothingWritten));
}
