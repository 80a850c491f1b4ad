//! Runs one claim: performs the actions of its state machine on the table and the caller, and feeds the
//! results back into the state machine.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use tokio::sync::{mpsc, oneshot};

use super::{
    ClaimResult, SendPermit, SendResult, Shared,
    answer::{StorableAnswer, object_name, prepare_for_storage, put_object},
    commit::WriteRequest,
};
use crate::{
    decide::claim::{
        Action, Claim, ClaimRow, ClaimSpec, ClaimState, ClaimWrite, Event, ReadFailed, Reply, RowCondition,
        RowVersion, SendOutcome, VersionedRow,
    },
    logging::escape::Redacted,
    plan::Priority,
    store::{Condition, Row, RowChange, RowKey, RowWrite},
    units::MonoTime,
};

/// Interval of [`Event::Tick`] for a claim that has no timer set.
const IDLE_TICK_INTERVAL: Duration = Duration::from_hours(1);

/// Input of a claim from the call that it belongs to.
#[derive(Debug)]
pub(super) enum ClaimInput {
    /// The holder of the permit reports how the send to the target ended.
    SendEnded(SendResult),
    /// The caller disconnected or no longer waits for the claim.
    CallerDisconnected,
}

/// Parameters of a [`ClaimDriver`].
#[derive(Debug)]
pub(super) struct ClaimDriverSpec {
    pub claim: ClaimSpec,
    pub key: RowKey,
    pub priority: Priority,
    pub result_sender: oneshot::Sender<ClaimResult>,
}

/// State machine of one claim, with the channels and the table operation that it waits for.
pub(super) struct ClaimDriver {
    shared: Arc<Shared>,
    claim: Claim,
    deadline: MonoTime,
    key: RowKey,
    priority: Priority,
    /// Receives the result of the claim; `None` once the result has been sent.
    result_sender: Option<oneshot::Sender<ClaimResult>>,
    inputs: mpsc::UnboundedReceiver<ClaimInput>,
    input_sender: mpsc::UnboundedSender<ClaimInput>,
    /// Large response body to put into the object store before the row is written; absent if the row contains
    /// the body.
    object: Option<Bytes>,
    /// Operation on the table in progress; a future that never completes if there is none.
    operation: BoxFuture<'static, Event>,
}

impl ClaimDriver {
    pub fn new(shared: Arc<Shared>, spec: ClaimDriverSpec) -> (Self, mpsc::UnboundedSender<ClaimInput>) {
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let driver = Self {
            shared,
            deadline: spec.claim.deadline,
            claim: Claim::new(spec.claim),
            key: spec.key,
            priority: spec.priority,
            result_sender: Some(spec.result_sender),
            inputs,
            input_sender: input_sender.clone(),
            object: None,
            operation: pending().boxed(),
        };
        (driver, input_sender)
    }

    /// Runs until the claim has finished with its row; the caller gets its result earlier.
    pub async fn run(mut self) {
        let key_settled = self.shared.watch(&self.key);
        self.handle_event(Event::Start);
        while !self.claim.is_finished() {
            let now = self.shared.clock.now();
            let wake = self.shared.clock.instant(self.claim.next_wake().unwrap_or(now + IDLE_TICK_INTERVAL));
            let event = tokio::select! {
                event = &mut self.operation => self.operation_ended(event),
                Some(input) = self.inputs.recv() => self.input_event(input),
                () = key_settled.notified() => Event::RowSettled,
                () = tokio::time::sleep_until(wake) => Event::Tick,
            };
            self.handle_event(event);
        }
        self.shared.unwatch(&self.key);
    }

    fn operation_ended(&mut self, event: Event) -> Event {
        self.operation = pending().boxed();
        event
    }

    /// Converts an input into an event of the state machine; keeps a large response body for the object
    /// store.
    fn input_event(&mut self, input: ClaimInput) -> Event {
        match input {
            ClaimInput::CallerDisconnected => Event::CallerDisconnected,
            ClaimInput::SendEnded(SendResult::Unsent(kind)) => Event::SendFinished(SendOutcome::Unsent(kind)),
            ClaimInput::SendEnded(SendResult::MaybeSent(kind)) => {
                log::warn!("event=key-unsettled row={} cause={kind}", Redacted(&self.key.0));
                Event::SendFinished(SendOutcome::MaybeSent(kind))
            }
            ClaimInput::SendEnded(SendResult::Answered(answer)) => {
                let StorableAnswer { stored, object } = prepare_for_storage(answer, self.claim.token());
                self.object = object;
                Event::SendFinished(SendOutcome::Answered(stored))
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.claim.handle(self.shared.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Write(write) => self.operation = self.write(&write),
            Action::Read => self.operation = read(Arc::clone(&self.shared), self.key.clone()).boxed(),
            Action::Send => {
                let permit = SendPermit::new(self.input_sender.clone(), self.shared.clock, self.deadline);
                self.deliver_result(ClaimResult::Acquired(permit));
            }
            Action::Reply(Reply::Stored(stored)) => self.deliver_result(ClaimResult::Stored(stored)),
            Action::Reply(Reply::Error(kind)) => self.deliver_result(ClaimResult::Refused(kind)),
            // The holder of the permit forwards the target's answer itself.
            Action::Reply(Reply::Forward) | Action::Finish => {}
        }
    }

    /// Sends the result of the claim to the call, if it has not been sent yet.
    ///
    /// After [`ClaimResult::Acquired`] the holder of the permit answers the caller itself, so further results
    /// are dropped.
    fn deliver_result(&mut self, result: ClaimResult) {
        if let Some(sender) = self.result_sender.take() {
            // The send fails if the caller has just disconnected; a dropped permit is reported as unsent.
            let _caller_disconnected = sender.send(result);
        }
    }

    fn write(&mut self, write: &ClaimWrite) -> BoxFuture<'static, Event> {
        let object = if matches!(write.row.state, ClaimState::Done(_)) { self.object.clone() } else { None };
        let is_claim = write.row.state == ClaimState::Open;
        let request = WriteRequest {
            write: row_write(&self.key, write),
            priority: self.priority,
            expires_at: is_claim.then(|| self.shared.clock.instant(self.deadline)),
        };
        let (shared, name) = (Arc::clone(&self.shared), object_name(self.claim.token()));
        async move {
            if let Some(body) = object {
                put_object(shared.platform.clone(), name, body).await;
            }
            Event::WriteFinished(shared.commit.write(request).await)
        }
        .boxed()
    }
}

/// Reads the claim's row; a malformed row counts as not read.
async fn read(shared: Arc<Shared>, key: RowKey) -> Event {
    let found = (shared.platform.get)(key).await;
    Event::ReadFinished(
        found.map_err(|_failed| ReadFailed).and_then(|row| row.map(|r| decode(&r)).transpose()),
    )
}

/// Decodes a claim's row.
///
/// A malformed row counts as not read, because the claim in it may be open.
pub(super) fn decode(row: &Row) -> Result<VersionedRow, ReadFailed> {
    let content = serde_json::from_slice::<ClaimRow>(&row.value).map_err(|_malformed| ReadFailed)?;
    Ok(VersionedRow { version: RowVersion(row.version), row: content })
}

fn row_write(key: &RowKey, write: &ClaimWrite) -> RowWrite {
    let condition = match write.condition {
        RowCondition::Absent => Condition::Absent,
        RowCondition::VersionIs(version) => Condition::VersionIs(version.0),
    };
    let value = serde_json::to_vec(&write.row).expect("a claim's row has no map with keys that are not text");
    RowWrite { key: key.clone(), condition, change: RowChange::Put(Bytes::from(value)) }
}
