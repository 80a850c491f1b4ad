//! Accepting a change as a pure state machine: results of reads and writes in, the next step out.
//!
//! The commit point is one transaction: the head row under the version that was read, and the row of the
//! change id under its absence. A write whose reply was lost is settled by reading back and, while the rows
//! are unchanged, by sending the same write again: its conditions let it take effect at most once.

use std::time::Duration;

use bytes::Bytes;

use super::{
    Plan,
    record::{
        BODY_OBJECT_PREFIX, ChangeRecord, MAX_INLINE_BYTES, PlanBody, PlanHead, change_key, digest, head_key,
        to_value,
    },
};
use crate::{
    store::{Condition, RowChange, RowWrite, WriteResult},
    units::{ChangeId, MonoTime, PlanVersion},
};

/// Pause before the next try after a failed one.
pub const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What an operator submits.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The sheet's plan; version and change id are set on the way.
    pub plan: Plan,
    /// The operator's id of the change.
    pub change_id: ChangeId,
    /// Version that the operator's change builds on; `None` for the one found first.
    pub base: Option<PlanVersion>,
    /// Unique to this submission.
    pub token: u64,
    /// When it was submitted, in seconds since the Unix epoch; `now` in the sheet means this.
    pub submitted_unix_s: u64,
}

/// Both rows as read.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlanRows {
    /// PlanHead with its row's version.
    pub head: Option<(PlanHead, u64)>,
    /// Record of the submitted change id.
    pub change: Option<ChangeRecord>,
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Both rows were read, or could not be.
    Read(Option<PlanRows>),
    /// The body's object was written.
    BodyPut(WriteResult),
    /// The body's object was looked for; `None` when the store did not answer.
    BodyChecked(Option<bool>),
    /// The transaction was tried.
    Wrote(WriteResult),
    /// The pause has passed.
    Paused,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the head row, then the change's row.
    ///
    /// In this order, a head that has moved on and a change that is absent show that no earlier submission
    /// of the change took effect or will.
    Read,
    /// Put the plan into the object store if no object has the name.
    PutBody {
        /// Name, unique to the submission.
        name: String,
        /// The plan as JSON.
        content: Bytes,
    },
    /// Look whether the object is there, since the reply to its write was lost.
    CheckBody(String),
    /// Try the transaction.
    Write(Vec<RowWrite>),
    /// Wait, then send [`Event::Paused`].
    Pause(Duration),
    /// Tell the operator.
    Done(SubmissionOutcome),
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmissionOutcome {
    /// The change is committed.
    Committed {
        /// Version that the change made.
        version: PlanVersion,
        /// Whether an earlier submission of the same change id made it.
        repeated: bool,
    },
    /// Another change was first; nothing of this one took effect.
    Conflict(Option<PlanHead>),
    /// The change id made a version with another sheet; nothing took effect.
    ChangeIdReused(PlanVersion),
    /// The store could not be reached or refused; nothing of this submission took effect.
    ///
    /// An earlier one of the same change id that ended as [`SubmissionOutcome::Unknown`] is not settled by this.
    NothingWritten,
    /// The change may have taken effect or may yet; submitting it again settles it.
    Unknown,
    /// The plan has no JSON form.
    Unencodable(String),
}

/// One submission on its way.
///
/// ```
/// use arbutusshelf::{
///     plan::{Plan, accept::{Acceptance, Event, PlanRows, Step, Submission, SubmissionOutcome}},
///     store::WriteResult,
///     units::MonoTime,
/// };
///
/// let submission = Submission {
///     plan: Plan::default(),
///     change_id: "first".parse()?,
///     base: None,
///     token: 7,
///     submitted_unix_s: 0,
/// };
/// let (now, deadline) = (MonoTime::from(0), MonoTime::from(1_000_000));
/// let mut acceptance = Acceptance::new(submission, deadline);
/// assert_eq!(acceptance.start(), Step::Read);
/// let step = acceptance.handle(now, Event::Read(Some(PlanRows::default())));
/// assert!(matches!(step, Step::Write(writes) if writes.len() == 2));
/// let step = acceptance.handle(now, Event::Wrote(WriteResult::TookEffect(vec![1, 2])));
/// assert_eq!(step, Step::Done(SubmissionOutcome::Committed { version: 1.into(), repeated: false }));
/// # Ok::<(), arbutusshelf::units::NameError>(())
/// ```
#[derive(Debug)]
pub struct Acceptance {
    submission: Submission,
    digest: String,
    deadline: MonoTime,
    /// PlanRows as last read.
    rows: PlanRows,
    /// Whether some try of the transaction may have taken effect or may yet.
    maybe_written: bool,
    /// Whether the store told that another write came first.
    lost: bool,
    body: Option<BodyObject>,
}

#[derive(Debug)]
struct BodyObject {
    name: String,
    content: Bytes,
    stored: bool,
}

impl Acceptance {
    /// Creates the machine; after `deadline` it gives up as soon as a step fails.
    pub fn new(submission: Submission, deadline: MonoTime) -> Self {
        let digest = digest(&submission.plan);
        let rows = PlanRows::default();
        Self { submission, digest, deadline, rows, maybe_written: false, lost: false, body: None }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// Returns the plan as committed, once its version is known.
    pub fn plan(&self) -> &Plan {
        &self.submission.plan
    }

    /// Takes what came of the last step and returns the next one.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Step {
        match event {
            Event::Read(Some(rows)) => self.take_rows(rows),
            Event::BodyPut(WriteResult::TookEffect(_) | WriteResult::Conflict(_))
            | Event::BodyChecked(Some(true)) => {
                // The name is unique to this submission, so a conflict is an earlier try that took effect.
                if let Some(body) = &mut self.body {
                    body.stored = true;
                }
                self.write()
            }
            Event::BodyPut(WriteResult::Unknown) => self.check_body(now),
            Event::Read(None) | Event::BodyPut(WriteResult::Refused) | Event::BodyChecked(_) => {
                self.retry(now)
            }
            Event::Wrote(result) => self.wrote(now, &result),
            Event::Paused => Step::Read,
        }
    }

    fn check_body(&self, now: MonoTime) -> Step {
        match &self.body {
            Some(body) => Step::CheckBody(body.name.clone()),
            None => self.retry(now),
        }
    }

    fn wrote(&mut self, now: MonoTime, result: &WriteResult) -> Step {
        match result {
            WriteResult::TookEffect(_) => {
                let version = self.submission.plan.version;
                Step::Done(SubmissionOutcome::Committed { version, repeated: false })
            }
            WriteResult::Conflict(rows) => {
                // The change's own row is there if an earlier submission of it took effect.
                let repeated = rows.contains(&change_key(&self.submission.change_id));
                self.maybe_written |= repeated;
                self.lost |= !repeated;
                if now >= self.deadline { self.give_up() } else { Step::Read }
            }
            WriteResult::Refused => self.retry(now),
            WriteResult::Unknown => {
                self.maybe_written = true;
                self.retry(now)
            }
        }
    }

    fn retry(&self, now: MonoTime) -> Step {
        if now >= self.deadline { self.give_up() } else { Step::Pause(RETRY_PAUSE) }
    }

    fn give_up(&self) -> Step {
        Step::Done(match (self.maybe_written, self.lost) {
            (true, _) => SubmissionOutcome::Unknown,
            (false, true) => SubmissionOutcome::Conflict(None),
            (false, false) => SubmissionOutcome::NothingWritten,
        })
    }

    fn take_rows(&mut self, rows: PlanRows) -> Step {
        if let Some(record) = &rows.change {
            return Step::Done(self.judge_record(record));
        }
        let found = rows.head.as_ref().map_or_else(PlanVersion::default, |(head, _)| head.version);
        let base = *self.submission.base.get_or_insert(found);
        if base != found {
            // A write under the base's conditions can't take effect any more.
            return Step::Done(SubmissionOutcome::Conflict(rows.head.map(|(head, _)| head)));
        }
        self.rows = rows;
        self.prepare(base.next())
    }

    fn judge_record(&self, record: &ChangeRecord) -> SubmissionOutcome {
        if record.digest != self.digest {
            return SubmissionOutcome::ChangeIdReused(record.version);
        }
        let repeated = record.token != self.submission.token;
        SubmissionOutcome::Committed { version: record.version, repeated }
    }

    /// Gives the plan its version and stores its body first if it is large.
    fn prepare(&mut self, version: PlanVersion) -> Step {
        if self.submission.plan.version != version {
            self.submission.plan.version = version;
            self.submission.plan.change_id = Some(self.submission.change_id.clone());
            self.submission.plan.set_accepted_at(self.submission.submitted_unix_s);
            match to_value(&self.submission.plan) {
                Ok(content) if content.len() > MAX_INLINE_BYTES => {
                    let name = format!("{BODY_OBJECT_PREFIX}{version}-{:016x}", self.submission.token);
                    self.body = Some(BodyObject { name, content, stored: false });
                }
                Ok(_) => {}
                Err(e) => return Step::Done(SubmissionOutcome::Unencodable(e.message)),
            }
        }
        match &self.body {
            Some(body) if !body.stored => {
                Step::PutBody { name: body.name.clone(), content: body.content.clone() }
            }
            _ => self.write(),
        }
    }

    fn write(&self) -> Step {
        let Submission { plan, change_id, token, .. } = &self.submission;
        let body = match &self.body {
            Some(body) => PlanBody::Object(body.name.clone()),
            None => PlanBody::Inline(Box::new(plan.clone())),
        };
        let head = PlanHead { version: plan.version, change_id: change_id.clone(), body };
        let record = ChangeRecord { version: plan.version, digest: self.digest.clone(), token: *token };
        let (head, record) = match (to_value(&head), to_value(&record)) {
            (Ok(head), Ok(record)) => (head, record),
            (Err(e), _) | (_, Err(e)) => return Step::Done(SubmissionOutcome::Unencodable(e.message)),
        };
        let row_version = self.rows.head.as_ref().map(|(_, row_version)| *row_version);
        let condition = row_version.map_or(Condition::Absent, Condition::VersionIs);
        let change_key = change_key(change_id);
        Step::Write(vec![
            RowWrite { key: head_key(), condition, change: RowChange::Put(head) },
            RowWrite { key: change_key, condition: Condition::Absent, change: RowChange::Put(record) },
        ])
    }
}
