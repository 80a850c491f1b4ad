//! Runs one claim: carries its actions to the table and the caller, and the replies back.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use tokio::sync::{mpsc, oneshot};

use super::{
    ClaimResult, Held, RunEnd, Shared,
    answer::{Recordable, object_name, put_object, recordable},
    commit::Entry,
};
use crate::{
    decide::claim::{
        Action, Claim, ClaimRow, ClaimSpec, ClaimState, ClaimWrite, Event, FoundRow, NotRead, RowCondition,
        SendEnd, Verdict, Version,
    },
    logging::escape::Redacted,
    plan::Priority,
    store::{Condition, Row, RowChange, RowKey, RowWrite},
    units::MonoTime,
};

/// Time after which a claim that waits for nothing is looked at again.
const IDLE: Duration = Duration::from_hours(1);

/// What reaches a claim besides replies of the table.
#[derive(Debug)]
pub(super) enum Input {
    /// The send ended.
    RunEnded(RunEnd),
    /// The caller left.
    CallerGone,
}

/// What a drive is made from.
#[derive(Debug)]
pub(super) struct DriveSpec {
    pub claim: ClaimSpec,
    pub key: RowKey,
    pub priority: Priority,
    pub verdict: oneshot::Sender<ClaimResult>,
}

/// One claim with what it waits for.
pub(super) struct Drive {
    shared: Arc<Shared>,
    claim: Claim,
    deadline: MonoTime,
    key: RowKey,
    priority: Priority,
    /// Takes the first answer; `None` once it has been given.
    verdict: Option<oneshot::Sender<ClaimResult>>,
    inbox: mpsc::UnboundedReceiver<Input>,
    sender: mpsc::UnboundedSender<Input>,
    /// Large body to store before the row refers to it.
    object: Option<Bytes>,
    /// Operation on the table; pending for ever when there is none.
    operation: BoxFuture<'static, Event>,
}

impl Drive {
    pub fn new(shared: Arc<Shared>, spec: DriveSpec) -> (Self, mpsc::UnboundedSender<Input>) {
        let (sender, inbox) = mpsc::unbounded_channel();
        let drive = Self {
            shared,
            deadline: spec.claim.deadline,
            claim: Claim::new(spec.claim),
            key: spec.key,
            priority: spec.priority,
            verdict: Some(spec.verdict),
            inbox,
            sender: sender.clone(),
            object: None,
            operation: pending().boxed(),
        };
        (drive, sender)
    }

    /// Runs until the row's fate is certain; the caller has its answer before.
    pub async fn run(mut self) {
        let settled = self.shared.watch(&self.key);
        self.take(Event::Start);
        while !self.claim.is_finished() {
            let now = self.shared.clock.now();
            let wake = self.shared.clock.instant(self.claim.next_wake().unwrap_or(now + IDLE));
            let event = tokio::select! {
                event = &mut self.operation => self.operation_ended(event),
                Some(input) = self.inbox.recv() => self.receive(input),
                () = settled.notified() => Event::Wake,
                () = tokio::time::sleep_until(wake) => Event::Tick,
            };
            self.take(event);
        }
        self.shared.unwatch(&self.key);
    }

    fn operation_ended(&mut self, event: Event) -> Event {
        self.operation = pending().boxed();
        event
    }

    fn receive(&mut self, input: Input) -> Event {
        match input {
            Input::CallerGone => Event::CallerGone,
            Input::RunEnded(RunEnd::Unsent(kind)) => Event::SendEnded(SendEnd::Unsent(kind)),
            Input::RunEnded(RunEnd::MaybeSent(kind)) => {
                log::warn!("event=key-unsettled row={} cause={kind}", Redacted(&self.key.0));
                Event::SendEnded(SendEnd::MaybeSent(kind))
            }
            Input::RunEnded(RunEnd::Answered(answer)) => {
                let Recordable { stored, object } = recordable(answer, self.claim.token());
                self.object = object;
                Event::SendEnded(SendEnd::Answered(stored))
            }
        }
    }

    fn take(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.claim.handle(self.shared.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(write) => self.operation = self.write(&write),
            Action::Read => self.operation = read(Arc::clone(&self.shared), self.key.clone()).boxed(),
            Action::Send => {
                let held = Held::new(self.sender.clone(), self.shared.clock, self.deadline);
                self.answer(ClaimResult::Won(held));
            }
            Action::Answer(Verdict::Stored(stored)) => self.answer(ClaimResult::Stored(stored)),
            Action::Answer(Verdict::Refused(kind)) => self.answer(ClaimResult::Refused(kind)),
            // The holder passes on the answer that it has.
            Action::Answer(Verdict::PassOn) | Action::Finish => {}
        }
    }

    /// Gives the first answer; later ones are the holder's own, which it has already passed on.
    fn answer(&mut self, result: ClaimResult) {
        if let Some(verdict) = self.verdict.take() {
            // A caller that has just left no longer listens; a claim it won comes back as unsent.
            let _left = verdict.send(result);
        }
    }

    fn write(&mut self, write: &ClaimWrite) -> BoxFuture<'static, Event> {
        let object = if matches!(write.row.state, ClaimState::Done(_)) { self.object.clone() } else { None };
        let is_claim = write.row.state == ClaimState::Open;
        let entry = Entry {
            write: row_write(&self.key, write),
            priority: self.priority,
            expires_at: is_claim.then(|| self.shared.clock.instant(self.deadline)),
        };
        let (shared, name) = (Arc::clone(&self.shared), object_name(self.claim.token()));
        async move {
            if let Some(body) = object {
                put_object(shared.platform.clone(), name, body).await;
            }
            Event::Wrote(shared.commit.write(entry).await)
        }
        .boxed()
    }
}

async fn read(shared: Arc<Shared>, key: RowKey) -> Event {
    let found = (shared.platform.get)(key).await;
    Event::Read(found.map_err(|_failed| NotRead).and_then(|row| row.map(|r| decode(&r)).transpose()))
}

/// Reads a row; one that is not a claim's can't be told from an open one, so it counts as not read.
pub(super) fn decode(row: &Row) -> Result<FoundRow, NotRead> {
    let content = serde_json::from_slice::<ClaimRow>(&row.value).map_err(|_malformed| NotRead)?;
    Ok(FoundRow { version: Version(row.version), row: content })
}

fn row_write(key: &RowKey, write: &ClaimWrite) -> RowWrite {
    let condition = match write.condition {
        RowCondition::Absent => Condition::Absent,
        RowCondition::VersionIs(version) => Condition::VersionIs(version.0),
    };
    let value = serde_json::to_vec(&write.row).expect("a claim's row has no map with keys that are not text");
    RowWrite { key: key.clone(), condition, change: RowChange::Put(Bytes::from(value)) }
}
