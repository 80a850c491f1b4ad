//! At-most-once execution: one call's claim on its idempotency key, as a pure state machine.
//!
//! A claim is a conditional write of the key's row in the shared table, with a token unique to the claim.
//! The request is sent only after the table has confirmed that the row is open under that token. Rows change
//! in place: an abandoned claim is marked as *released* and its row is kept, so that an insert which the
//! table applies late cannot reopen the key.
//!
//! An open claim is never taken over, however long it lasts: its holder may be paused and unaware of the
//! time that has passed.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutusshelf::{
//!     decide::claim::{
//!         Action, Claim, ClaimSpec, ClaimToken, Event, Fingerprint, RowVersion, WriteOutcome,
//!     },
//!     units::MonoTime,
//! };
//!
//! let now = MonoTime::default();
//! let mut claim = Claim::new(ClaimSpec {
//!     token: ClaimToken { run: 7.into(), number: 1 },
//!     fingerprint: Fingerprint::from("POST /mietkasse/charges".to_owned()),
//!     deadline: now + Duration::from_secs(5),
//!     repeated: false,
//!     written_hour: 0,
//! });
//! let mut actions = Vec::new();
//! claim.handle(now, Event::Start, &mut actions);
//! assert!(matches!(actions[..], [Action::Write(_)]));
//!
//! // The reply is lost, so the row must be read back before anything is sent.
//! actions.clear();
//! claim.handle(now, Event::WriteFinished(WriteOutcome::Unknown), &mut actions);
//! assert_eq!(actions, [Action::Read]);
//!
//! // There is no row: the insert is tried again after a pause, and this time its reply arrives.
//! claim.handle(now, Event::ReadFinished(Ok(None)), &mut actions);
//! let now = claim.next_wake().expect("the pause ends");
//! actions.clear();
//! claim.handle(now, Event::Tick, &mut actions);
//! assert!(matches!(actions[..], [Action::Write(_)]));
//! actions.clear();
//! claim.handle(now, Event::WriteFinished(WriteOutcome::TookEffect(RowVersion(1))), &mut actions);
//! assert_eq!(actions, [Action::Send]);
//! ```

mod message;
mod phase;
mod retention;
mod row;
mod rules;

use std::time::Duration;

use self::phase::{KeyKnowledge, Phase, Step};
pub use self::{
    message::{
        Action, ClaimSpec, ClaimWrite, Event, ReadFailed, Reply, RowCondition, SendOutcome, VersionedRow,
        WriteOutcome,
    },
    retention::{HourCounter, RETENTION_MARGIN_H, is_expired},
    row::{
        ClaimRow, ClaimState, ClaimToken, ClaimTokenError, Fingerprint, RowVersion, StoredAnswer, StoredBody,
    },
    rules::Rules,
};
use crate::{error::ErrorKind, units::MonoTime};

/// Delay before the first retry of a table operation; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum delay while a caller waits.
const MAX_BACKOFF: Duration = Duration::from_millis(320);

/// Maximum delay once the caller has its reply.
const MAX_BACKGROUND_BACKOFF: Duration = Duration::from_secs(5);

/// One call's claim on its idempotency key.
#[derive(Debug, Clone)]
pub struct Claim {
    spec: ClaimSpec,
    rules: Rules,
    phase: Phase,
    /// Condition of the next or latest write.
    condition: RowCondition,
    /// Whether a claim written under `condition` may have taken effect, or may do so later. Claims under
    /// earlier conditions can't, since the row has changed since.
    in_doubt: bool,
    in_progress: Option<Step>,
    /// Next step and its time; `None` while a table operation is in progress.
    scheduled_step: Option<(MonoTime, Step)>,
    backoff: Duration,
    knowledge: KeyKnowledge,
}

impl Claim {
    /// Creates a claim that has done nothing yet.
    pub fn new(spec: ClaimSpec) -> Self {
        Self::with_rules(spec, Rules::default())
    }

    /// Creates a claim with relaxed rules, for tests that must detect the relaxation.
    pub fn with_rules(spec: ClaimSpec, rules: Rules) -> Self {
        Self {
            spec,
            rules,
            phase: Phase::Claiming,
            condition: RowCondition::Absent,
            in_doubt: false,
            in_progress: None,
            scheduled_step: None,
            backoff: INITIAL_BACKOFF,
            knowledge: KeyKnowledge::Nothing,
        }
    }

    /// Returns the claim's token.
    pub fn token(&self) -> ClaimToken {
        self.spec.token
    }

    /// Returns whether the claim is finished.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Returns the time by which [`Event::Tick`] must be sent; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let deadline = self.wants_row().then_some(self.spec.deadline);
        let scheduled_step = self.scheduled_step.map(|(at, _)| at);
        deadline.into_iter().chain(scheduled_step).min()
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            // A repeated key most likely has a row already, and a read is cheaper than a write that
            // conflicts.
            Event::Start if self.spec.repeated => self.start_step(Step::Read, actions),
            Event::Start => self.start_step(Step::Claim, actions),
            Event::WriteFinished(result) => self.write_finished(now, result, actions),
            Event::ReadFinished(result) => self.read_finished(now, result, actions),
            Event::SendFinished(end) => self.send_finished(end, actions),
            Event::CallerDisconnected => self.caller_disconnected(actions),
            Event::RowSettled => self.row_settled(actions),
            Event::Tick => {}
        }
        self.check_deadline(now, actions);
        self.run_due_step(now, actions);
    }

    fn wants_row(&self) -> bool {
        matches!(self.phase, Phase::Claiming | Phase::Waiting(..))
    }

    fn write_finished(&mut self, now: MonoTime, result: WriteOutcome, actions: &mut Vec<Action>) {
        match self.in_progress.take() {
            Some(Step::Claim) => self.claim_write_finished(now, result, actions),
            Some(Step::Settle) => self.settle_write_finished(now, result, actions),
            Some(Step::Read) | None => {}
        }
    }

    fn claim_write_finished(&mut self, now: MonoTime, result: WriteOutcome, actions: &mut Vec<Action>) {
        let is_abandoned = self.phase == Phase::Releasing;
        match result {
            WriteOutcome::TookEffect(version) => self.claim_acquired(now, version, actions),
            // If the network duplicates a write, the second copy conflicts with the first, so only the row
            // itself tells which claim holds it.
            WriteOutcome::Conflict => {
                self.in_doubt = true;
                self.knowledge = KeyKnowledge::MayHaveRun;
                self.start_step(Step::Read, actions);
            }
            WriteOutcome::Unknown => {
                self.in_doubt = true;
                self.start_step(Step::Read, actions);
            }
            WriteOutcome::Refused if !is_abandoned => self.retry(now, Step::Claim),
            WriteOutcome::Refused if self.in_doubt => self.start_step(Step::Read, actions),
            WriteOutcome::Refused => self.finish(actions),
        }
    }

    fn settle_write_finished(&mut self, now: MonoTime, result: WriteOutcome, actions: &mut Vec<Action>) {
        match result {
            WriteOutcome::TookEffect(_) => self.finish(actions),
            WriteOutcome::Conflict => self.start_step(Step::Read, actions),
            WriteOutcome::Refused => self.retry(now, Step::Settle),
            WriteOutcome::Unknown => self.retry(now, Step::Read),
        }
    }

    /// Handles the confirmation that the row is open under this claim's token.
    fn claim_acquired(&mut self, now: MonoTime, version: RowVersion, actions: &mut Vec<Action>) {
        self.condition = RowCondition::VersionIs(version);
        self.in_doubt = false;
        let is_abandoned = self.phase == Phase::Releasing;
        if is_abandoned && !self.rules.send_after_release {
            self.start_step(Step::Settle, actions);
            return;
        }
        if now >= self.spec.deadline && !is_abandoned {
            actions.push(Action::Reply(Reply::Error(self.abandon_error())));
            self.phase = Phase::Releasing;
            self.start_step(Step::Settle, actions);
            return;
        }
        self.phase = Phase::Sending;
        actions.push(Action::Send);
    }

    fn read_finished(
        &mut self,
        now: MonoTime,
        result: Result<Option<VersionedRow>, ReadFailed>,
        actions: &mut Vec<Action>,
    ) {
        if self.in_progress != Some(Step::Read) {
            return;
        }
        self.in_progress = None;
        let Ok(found) = result else {
            self.retry(now, Step::Read);
            return;
        };
        match self.phase {
            Phase::Claiming | Phase::Waiting(..) => self.row_read_while_claiming(now, found, actions),
            Phase::Settling(_) => self.row_read_while_settling(found, actions),
            Phase::Releasing => self.row_read_while_releasing(found, actions),
            Phase::Sending | Phase::Finished => {}
        }
    }

    fn row_read_while_claiming(
        &mut self,
        now: MonoTime,
        found: Option<VersionedRow>,
        actions: &mut Vec<Action>,
    ) {
        let Some(found) = found else {
            self.claim_if(now, RowCondition::Absent, actions);
            return;
        };
        if found.row.is_open_for(self.spec.token) {
            self.claim_acquired(now, found.version, actions);
            return;
        }
        if self.condition != RowCondition::VersionIs(found.version) {
            self.in_doubt = false;
        }
        if found.row.state == ClaimState::Released {
            self.claim_if(now, RowCondition::VersionIs(found.version), actions);
            return;
        }
        if found.row.fingerprint != self.spec.fingerprint {
            self.finish_with(Reply::Error(ErrorKind::KeyReused), actions);
            return;
        }
        match found.row.state {
            ClaimState::Done(answer) => self.finish_with(Reply::Stored(answer), actions),
            ClaimState::Unsettled => {
                self.finish_with(Reply::Error(ErrorKind::KeyUnsettled), actions);
            }
            ClaimState::Open | ClaimState::Released => self.wait(now, found.version, actions),
        }
    }

    /// Writes the claim under a condition; first pauses if an earlier claim under the same condition may
    /// still take effect.
    fn claim_if(&mut self, now: MonoTime, condition: RowCondition, actions: &mut Vec<Action>) {
        self.in_doubt &= self.condition == condition;
        self.condition = condition;
        self.knowledge = KeyKnowledge::Free;
        self.phase = Phase::Claiming;
        if self.in_doubt {
            self.retry(now, Step::Claim);
        } else {
            self.start_step(Step::Claim, actions);
        }
    }

    /// Waits for the claim that has the row open, and reads the row again after a pause.
    fn wait(&mut self, now: MonoTime, version: RowVersion, actions: &mut Vec<Action>) {
        self.knowledge = KeyKnowledge::MayHaveRun;
        let since = match self.phase {
            Phase::Waiting(seen, since) if seen == version => since,
            _ => now,
        };
        if self.rules.takeover_after.is_some_and(|limit| now.since(since) >= limit) {
            self.claim_if(now, RowCondition::VersionIs(version), actions);
            return;
        }
        self.phase = Phase::Waiting(version, since);
        self.retry(now, Step::Read);
    }

    fn row_read_while_settling(&mut self, found: Option<VersionedRow>, actions: &mut Vec<Action>) {
        match found {
            Some(found) if found.row.is_open_for(self.spec.token) => {
                self.condition = RowCondition::VersionIs(found.version);
                self.start_step(Step::Settle, actions);
            }
            _ => self.finish(actions),
        }
    }

    /// Continues or ends a release. When it ends, the row is in a state in which no write of this claim can
    /// take effect any more.
    fn row_read_while_releasing(&mut self, found: Option<VersionedRow>, actions: &mut Vec<Action>) {
        let seen = found.as_ref().map_or(RowCondition::Absent, |f| RowCondition::VersionIs(f.version));
        if found.is_some_and(|f| f.row.is_open_for(self.spec.token)) {
            self.condition = seen;
            self.in_doubt = false;
            self.start_step(Step::Settle, actions);
            return;
        }
        if self.in_doubt && self.condition == seen {
            // The claim may still be applied, so the row must first change to another version.
            self.start_step(Step::Settle, actions);
            return;
        }
        self.finish(actions);
    }

    fn send_finished(&mut self, end: SendOutcome, actions: &mut Vec<Action>) {
        if self.phase != Phase::Sending {
            return;
        }
        let (reply, phase) = match end {
            SendOutcome::Answered(answer) => (Reply::Forward, Phase::Settling(ClaimState::Done(answer))),
            SendOutcome::Unsent(kind) => (Reply::Error(kind), Phase::Releasing),
            SendOutcome::MaybeSent(_) if self.rules.not_run_after_send => {
                (Reply::Error(ErrorKind::Unsent), Phase::Releasing)
            }
            SendOutcome::MaybeSent(kind) => (Reply::Error(kind), Phase::Settling(ClaimState::Unsettled)),
        };
        actions.push(Action::Reply(reply));
        self.phase = phase;
        self.start_step(Step::Settle, actions);
    }

    fn caller_disconnected(&mut self, actions: &mut Vec<Action>) {
        if self.wants_row() {
            self.abandon(actions);
        }
    }

    fn row_settled(&mut self, actions: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Waiting(..)) && self.in_progress.is_none() {
            self.start_step(Step::Read, actions);
        }
    }

    fn check_deadline(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.wants_row() && now >= self.spec.deadline {
            actions.push(Action::Reply(Reply::Error(self.abandon_error())));
            self.abandon(actions);
        }
    }

    /// Returns the error of an abandoned claim, which depends on whether a request with the key may have run.
    fn abandon_error(&self) -> ErrorKind {
        match self.knowledge {
            KeyKnowledge::MayHaveRun => ErrorKind::KeyUnsettled,
            KeyKnowledge::Nothing if self.spec.repeated => ErrorKind::KeyUnsettled,
            KeyKnowledge::Nothing | KeyKnowledge::Free => ErrorKind::StoreUnavailable,
        }
    }

    /// Gives up the claim; from here on nothing is sent under its token.
    fn abandon(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Releasing;
        match self.in_progress {
            Some(Step::Claim) => {}
            Some(Step::Read) if self.in_doubt => {}
            None if self.in_doubt => self.start_step(Step::Read, actions),
            _ => self.finish(actions),
        }
    }

    fn retry(&mut self, now: MonoTime, step: Step) {
        self.scheduled_step = Some((now + self.backoff, step));
        let max_backoff = if self.wants_row() { MAX_BACKOFF } else { MAX_BACKGROUND_BACKOFF };
        self.backoff = max_backoff.min(self.backoff * 2);
    }

    fn run_due_step(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if let Some((_, step)) = self.scheduled_step.filter(|(at, _)| *at <= now) {
            self.start_step(step, actions);
        }
    }

    fn start_step(&mut self, step: Step, actions: &mut Vec<Action>) {
        self.scheduled_step = None;
        self.in_progress = Some(step);
        let state = match (step, &self.phase) {
            (Step::Read, _) => {
                actions.push(Action::Read);
                return;
            }
            (Step::Claim, _) => ClaimState::Open,
            (Step::Settle, Phase::Settling(state)) => state.clone(),
            (Step::Settle, _) => ClaimState::Released,
        };
        let ClaimSpec { token, fingerprint, written_hour, .. } = &self.spec;
        let row =
            ClaimRow { token: *token, fingerprint: fingerprint.clone(), state, written_hour: *written_hour };
        actions.push(Action::Write(ClaimWrite { condition: self.condition, row }));
    }

    fn finish_with(&mut self, reply: Reply, actions: &mut Vec<Action>) {
        actions.push(Action::Reply(reply));
        self.finish(actions);
    }

    fn finish(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Finished;
        self.scheduled_step = None;
        self.in_progress = None;
        actions.push(Action::Finish);
    }
}
