//! State machine that commits a submitted plan: takes results of reads and writes, returns the next step.
//!
//! A plan is committed by one transaction that writes two rows: the head row, on condition that it has the
//! version that was read, and the row of the change id, on condition that it does not exist. If the reply to
//! the transaction is lost, the rows are read again; if they are unchanged, the same transaction is sent
//! again, since its conditions let it take effect at most once.

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

/// Delay before the rows are read again after a failed step.
pub const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A plan that an operator submits.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Plan of the sheet; its version and change id are set by [`Acceptance`].
    pub plan: Plan,
    /// Id that the operator gave to the change; the same id never commits twice.
    pub change_id: ChangeId,
    /// Version that the change is based on; another current version is a conflict. `None` for the version
    /// that the first read returns.
    pub base: Option<PlanVersion>,
    /// Random number that identifies this submission of the change id.
    pub token: u64,
    /// Time of the submission, in seconds since the Unix epoch; replaces `now` in the sheet.
    pub submitted_unix_s: u64,
}

/// The rows that the transaction writes, as read.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlanRows {
    /// Content and row version of the head row; absent before the first plan.
    pub head: Option<(PlanHead, u64)>,
    /// Record of the submitted change id; absent if no submission of it was committed.
    pub change: Option<ChangeRecord>,
}

/// Result of a [`Step`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Result of [`Step::Read`]; `None` if the rows could not be read.
    Read(Option<PlanRows>),
    /// Result of [`Step::PutBody`].
    BodyPut(WriteResult),
    /// Result of [`Step::CheckBody`]: whether the object exists, or `None` if the store did not answer.
    BodyChecked(Option<bool>),
    /// Result of [`Step::Write`].
    Wrote(WriteResult),
    /// The delay of [`Step::Pause`] has passed.
    Paused,
}

/// Operation to perform next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the head row, then the row of the change id.
    ///
    /// In this order, a changed head row together with an absent change row proves that no earlier submission
    /// of the change took effect or will.
    Read,
    /// Put the plan into the object store, on condition that the name is unused.
    PutBody {
        /// Object name, unique to the submission.
        name: String,
        /// The plan as JSON.
        content: Bytes,
    },
    /// Check whether the object with this name exists, because the reply to its write was lost.
    CheckBody(String),
    /// Write these rows in one transaction.
    Write(Vec<RowWrite>),
    /// Wait for this time, then report [`Event::Paused`].
    Pause(Duration),
    /// Return the outcome to the operator; there is no further step.
    Done(SubmissionOutcome),
}

/// Outcome of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmissionOutcome {
    /// The change is committed.
    Committed {
        /// Plan version that the change created.
        version: PlanVersion,
        /// Whether an earlier submission of the same change id created the version.
        repeated: bool,
    },
    /// Another change was committed first, with this head row if it could be read; this change had no effect.
    Conflict(Option<PlanHead>),
    /// The change id was used earlier with another sheet, which created this version; this submission had no
    /// effect.
    ChangeIdReused(PlanVersion),
    /// The store was unreachable or refused the writes; this submission had no effect.
    ///
    /// Says nothing about an earlier submission of the same change id that ended as
    /// [`SubmissionOutcome::Unknown`].
    NothingWritten,
    /// The change may have been committed or may still be; a repeated submission finds out.
    Unknown,
    /// The plan could not be encoded as JSON, for this reason.
    Unencodable(String),
}

/// State machine of one submission.
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
    /// Digest of the submitted plan.
    digest: String,
    deadline: MonoTime,
    /// Rows as read last.
    rows: PlanRows,
    /// Whether an attempt of the transaction may have taken effect or may still.
    maybe_written: bool,
    /// Whether the store reported a conflict on the head row.
    conflicted: bool,
    /// Object with the plan; absent if the plan fits into the head row.
    body: Option<BodyObject>,
}

/// Object that contains a plan too large for the head row.
#[derive(Debug)]
struct BodyObject {
    name: String,
    content: Bytes,
    stored: bool,
}

impl Acceptance {
    /// Creates the state machine. After `deadline` it ends as soon as a step fails.
    pub fn new(submission: Submission, deadline: MonoTime) -> Self {
        let digest = digest(&submission.plan);
        let rows = PlanRows::default();
        Self { submission, digest, deadline, rows, maybe_written: false, conflicted: false, body: None }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// Returns the plan; it has its version and change id from the first [`Step::Write`] on.
    pub fn plan(&self) -> &Plan {
        &self.submission.plan
    }

    /// Processes the result of the latest step and returns the next step.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Step {
        match event {
            Event::Read(Some(rows)) => self.on_rows_read(rows),
            Event::BodyPut(WriteResult::TookEffect(_) | WriteResult::Conflict(_))
            | Event::BodyChecked(Some(true)) => {
                // The name is unique to this submission, so a conflict means that an earlier attempt took
                // effect.
                if let Some(body) = &mut self.body {
                    body.stored = true;
                }
                self.write()
            }
            Event::BodyPut(WriteResult::Unknown) => self.check_body(now),
            Event::Read(None) | Event::BodyPut(WriteResult::Refused) | Event::BodyChecked(_) => {
                self.retry(now)
            }
            Event::Wrote(result) => self.on_transaction_result(now, &result),
            Event::Paused => Step::Read,
        }
    }

    fn check_body(&self, now: MonoTime) -> Step {
        match &self.body {
            Some(body) => Step::CheckBody(body.name.clone()),
            None => self.retry(now),
        }
    }

    fn on_transaction_result(&mut self, now: MonoTime, result: &WriteResult) -> Step {
        match result {
            WriteResult::TookEffect(_) => {
                let version = self.submission.plan.version;
                Step::Done(SubmissionOutcome::Committed { version, repeated: false })
            }
            WriteResult::Conflict(rows) => {
                // The change row exists if an earlier submission or attempt took effect.
                let repeated = rows.contains(&change_key(&self.submission.change_id));
                self.maybe_written |= repeated;
                self.conflicted |= !repeated;
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
        Step::Done(match (self.maybe_written, self.conflicted) {
            (true, _) => SubmissionOutcome::Unknown,
            (false, true) => SubmissionOutcome::Conflict(None),
            (false, false) => SubmissionOutcome::NothingWritten,
        })
    }

    fn on_rows_read(&mut self, rows: PlanRows) -> Step {
        if let Some(record) = &rows.change {
            return Step::Done(self.recorded_outcome(record));
        }
        let found = rows.head.as_ref().map_or_else(PlanVersion::default, |(head, _)| head.version);
        let base = *self.submission.base.get_or_insert(found);
        if base != found {
            // The transaction requires the base version in the head row, so it cannot take effect any more.
            return Step::Done(SubmissionOutcome::Conflict(rows.head.map(|(head, _)| head)));
        }
        self.rows = rows;
        self.prepare(base.next())
    }

    /// Returns the outcome for a change id that has a record already.
    fn recorded_outcome(&self, record: &ChangeRecord) -> SubmissionOutcome {
        if record.digest != self.digest {
            return SubmissionOutcome::ChangeIdReused(record.version);
        }
        let repeated = record.token != self.submission.token;
        SubmissionOutcome::Committed { version: record.version, repeated }
    }

    /// Sets the plan's version and returns the next step: the write of the plan's object if the plan is large
    /// and not stored yet, otherwise the transaction.
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
