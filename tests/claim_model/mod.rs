//! Simulation of several claims on one key of a fake table, which executes a script of events and faults.

use std::time::Duration;

use arbutusshelf::{
    decide::claim::{
        Action, Claim, ClaimSpec, ClaimState, ClaimToken, ClaimWrite, Event, Fingerprint, ReadFailed, Reply,
        RowCondition, RowVersion, Rules, SendOutcome, StoredAnswer, StoredBody, VersionedRow, WriteOutcome,
    },
    error::{ErrorKind, Outcome},
    units::MonoTime,
};

const MAX_CLAIMS: usize = 5;
/// Time until the deadline of each call.
const DEADLINE: Duration = Duration::from_secs(2);

/// One step of a script; a step without an applicable claim or operation has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A further call with the key arrives at another instance.
    Arrive { repeated: bool, other_body: bool },
    /// The operation in progress of a claim ends; a claim without one gets a timer tick.
    EndOperation { claim: usize, delivery: Delivery },
    /// The table applies a delayed or redelivered write.
    ApplyLate { index: usize },
    /// A target executes a delayed request.
    RunLate { index: usize },
    /// Time passes and every claim whose timer is due gets a tick.
    Advance { ms: u64 },
    /// Time passes while the instance of one claim is suspended: only the other claims get ticks.
    Pause { claim: usize, ms: u64 },
    /// The caller of a claim disconnects.
    Disconnect { claim: usize },
    /// The instance of a claim is killed.
    Kill { claim: usize },
    /// A claim is notified that the row may be settled.
    Wake { claim: usize },
}

/// How an operation on the table or a send to a target, and its reply, is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The write is applied or the request executed, and the reply arrives.
    Normal,
    /// The write is applied or the request executed, but the reply is lost.
    ReplyLost,
    /// The write is refused, or the request is reported as unsent.
    Refused,
    /// The write or request is lost, and there is no reply.
    RequestLost,
    /// The write is applied or the request executed later; the reply is lost.
    Delayed,
    /// The write is applied and its reply arrives; the write reaches the table again later.
    Redelivered,
    /// The write reaches the table twice in a row; the reply to the second arrives.
    Duplicated,
}

const DELIVERIES: [Delivery; 7] = [
    Delivery::Normal,
    Delivery::ReplyLost,
    Delivery::Refused,
    Delivery::RequestLost,
    Delivery::Delayed,
    Delivery::Redelivered,
    Delivery::Duplicated,
];

/// Decodes a step from two random bytes.
pub fn step((kind, value): (u8, u8)) -> Step {
    let claim = usize::from(value) % MAX_CLAIMS;
    let index = usize::from(value);
    match kind % 16 {
        0 => Step::Arrive { repeated: value % 2 == 1, other_body: value % 8 == 7 },
        1 | 2 => Step::ApplyLate { index },
        3 => Step::RunLate { index },
        4 => Step::Advance { ms: u64::from(value) * 16 },
        5 => Step::Pause { claim, ms: u64::from(value) * 64 },
        6 => Step::Disconnect { claim },
        7 => Step::Kill { claim },
        8 => Step::Wake { claim },
        _ => {
            let delivery = DELIVERIES[usize::from(value) / MAX_CLAIMS % DELIVERIES.len()];
            Step::EndOperation { claim, delivery }
        }
    }
}

/// Operation in progress of a claim.
#[derive(Debug)]
enum Operation {
    Write(ClaimWrite),
    Read,
    Send,
}

/// One call with its claim.
#[derive(Debug)]
struct Caller {
    claim: Claim,
    spec: ClaimSpec,
    operation: Option<Operation>,
    /// Reply of the claim to its caller.
    reply: Option<Reply>,
    disconnected: bool,
    killed: bool,
    /// Whether a request with the key had been executed when the call arrived.
    arrived_after_run: bool,
}

/// State of the simulation: the single row of the fake table, the claims on it and the target's executions.
#[derive(Debug)]
pub struct Simulation {
    rules: Rules,
    now: MonoTime,
    row: Option<VersionedRow>,
    last_version: u64,
    /// Writes that the table may still apply.
    late_writes: Vec<ClaimWrite>,
    /// Requests that the target may still execute.
    late_runs: Vec<(ClaimToken, Fingerprint)>,
    callers: Vec<Caller>,
    /// Claims whose requests the target has executed.
    runs: Vec<ClaimToken>,
}

/// Description of a violated invariant.
pub type Violation = String;

fn answer(token: ClaimToken) -> StoredAnswer {
    StoredAnswer { status: 200, content_type: None, body: StoredBody::Text(token.to_string()) }
}

/// Executes a script, ends all faults and checks the final state.
pub fn run(rules: Rules, script: &[Step]) -> Result<(), Violation> {
    let mut simulation = Simulation {
        rules,
        now: MonoTime::default(),
        row: None,
        last_version: 0,
        late_writes: Vec::new(),
        late_runs: Vec::new(),
        callers: Vec::new(),
        runs: Vec::new(),
    };
    simulation.arrive(false, false)?;
    for step in script {
        simulation.execute(*step)?;
    }
    simulation.settle()
}

impl Simulation {
    fn execute(&mut self, step: Step) -> Result<(), Violation> {
        match step {
            Step::Arrive { repeated, other_body } => self.arrive(repeated, other_body),
            Step::EndOperation { claim, delivery } => self.end_operation(claim, delivery),
            Step::ApplyLate { index } => {
                self.apply_late(index);
                Ok(())
            }
            Step::RunLate { index } => self.run_late(index),
            Step::Advance { ms } => self.advance(ms, None),
            Step::Pause { claim, ms } => self.advance(ms, Some(claim)),
            Step::Disconnect { claim } => self.disconnect(claim),
            Step::Kill { claim } => {
                if let Some(caller) = self.callers.get_mut(claim) {
                    caller.killed = true;
                }
                Ok(())
            }
            Step::Wake { claim } => self.handle_event(claim, Event::RowSettled),
        }
    }

    fn arrive(&mut self, repeated: bool, other_body: bool) -> Result<(), Violation> {
        let index = self.callers.len();
        if index == MAX_CLAIMS {
            return Ok(());
        }
        let spec = ClaimSpec {
            token: ClaimToken { run: (index as u64).into(), number: 1 },
            fingerprint: Fingerprint::from(if other_body { "b" } else { "a" }.to_owned()),
            deadline: self.now + DEADLINE,
            repeated,
            written_hour: 0,
        };
        self.callers.push(Caller {
            claim: Claim::with_rules(spec.clone(), self.rules),
            spec,
            operation: None,
            reply: None,
            disconnected: false,
            killed: false,
            arrived_after_run: !self.runs.is_empty(),
        });
        self.handle_event(index, Event::Start)
    }

    /// Passes an event to a claim and performs its actions.
    fn handle_event(&mut self, index: usize, event: Event) -> Result<(), Violation> {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(index).filter(|c| !c.killed) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        caller.claim.handle(now, event, &mut actions);
        for action in actions {
            self.perform(index, action)?;
        }
        Ok(())
    }

    fn perform(&mut self, index: usize, action: Action) -> Result<(), Violation> {
        let caller = &mut self.callers[index];
        let operation = match action {
            Action::Write(write) => Operation::Write(write),
            Action::Read => Operation::Read,
            Action::Send if caller.disconnected || caller.reply.is_some() => {
                return Err("sent after it was given up".to_owned());
            }
            Action::Send => Operation::Send,
            Action::Reply(reply) => return self.record_reply(index, reply),
            Action::Finish => {
                caller.operation = None;
                return Ok(());
            }
        };
        if caller.operation.is_some() {
            return Err("two operations at once".to_owned());
        }
        caller.operation = Some(operation);
        Ok(())
    }

    /// Records the reply to a caller after checking it against the executions so far.
    fn record_reply(&mut self, index: usize, reply: Reply) -> Result<(), Violation> {
        let caller = &mut self.callers[index];
        if caller.reply.is_some() || caller.disconnected {
            return Err("a caller was answered twice".to_owned());
        }
        let own_request_ran = self.runs.contains(&caller.spec.token);
        let says_not_run = is_not_run(&reply);
        if says_not_run && own_request_ran {
            return Err("not-run reported for a request that ran".to_owned());
        }
        let must_know = caller.spec.repeated || reply == Reply::Error(ErrorKind::Unsent);
        let same_body = reply != Reply::Error(ErrorKind::KeyReused);
        if says_not_run && must_know && same_body && caller.arrived_after_run {
            return Err("not-run reported for a key that ran".to_owned());
        }
        match &reply {
            Reply::Forward if !own_request_ran => return Err("an answer without a run".to_owned()),
            Reply::Stored(stored) if !self.runs.iter().any(|t| answer(*t) == *stored) => {
                return Err("a stored answer of another request".to_owned());
            }
            _ => {}
        }
        caller.reply = Some(reply);
        Ok(())
    }

    fn end_operation(&mut self, index: usize, delivery: Delivery) -> Result<(), Violation> {
        let operation = self.callers.get_mut(index).filter(|c| !c.killed).and_then(|c| c.operation.take());
        match operation {
            None => self.handle_event(index, Event::Tick),
            Some(Operation::Read) => {
                let read = match delivery {
                    Delivery::Normal | Delivery::Redelivered | Delivery::Duplicated => Ok(self.row.clone()),
                    _ => Err(ReadFailed),
                };
                self.handle_event(index, Event::ReadFinished(read))
            }
            Some(Operation::Write(write)) => {
                let result = self.write(write, delivery);
                self.handle_event(index, Event::WriteFinished(result))
            }
            Some(Operation::Send) => self.send(index, delivery),
        }
    }

    /// Delivers a write to the table and returns the result that the claim gets.
    fn write(&mut self, write: ClaimWrite, delivery: Delivery) -> WriteOutcome {
        match delivery {
            Delivery::Normal => self.apply(write),
            Delivery::Refused => WriteOutcome::Refused,
            Delivery::RequestLost => WriteOutcome::Unknown,
            Delivery::ReplyLost => {
                self.apply(write);
                WriteOutcome::Unknown
            }
            Delivery::Delayed => {
                self.late_writes.push(write);
                WriteOutcome::Unknown
            }
            Delivery::Redelivered => {
                self.late_writes.push(write.clone());
                self.apply(write)
            }
            Delivery::Duplicated => {
                self.apply(write.clone());
                self.apply(write)
            }
        }
    }

    fn apply(&mut self, write: ClaimWrite) -> WriteOutcome {
        let current = self.row.as_ref().map_or(RowCondition::Absent, |r| RowCondition::VersionIs(r.version));
        if current != write.condition {
            return WriteOutcome::Conflict;
        }
        self.last_version += 1;
        let version = RowVersion(self.last_version);
        self.row = Some(VersionedRow { version, row: write.row });
        WriteOutcome::TookEffect(version)
    }

    fn apply_late(&mut self, index: usize) {
        if !self.late_writes.is_empty() {
            let write = self.late_writes.swap_remove(index % self.late_writes.len());
            self.apply(write);
        }
    }

    /// Delivers the request of a claim to the target and reports the end of the send to the claim.
    fn send(&mut self, index: usize, delivery: Delivery) -> Result<(), Violation> {
        let spec = self.callers[index].spec.clone();
        let in_time = self.now < spec.deadline || self.rules.send_after_release;
        let end = match delivery {
            _ if !in_time => SendOutcome::Unsent(ErrorKind::Unsent),
            Delivery::Refused => SendOutcome::Unsent(ErrorKind::Unsent),
            Delivery::Normal | Delivery::Redelivered | Delivery::Duplicated => {
                self.run_at_target(spec.token)?;
                SendOutcome::Answered(answer(spec.token))
            }
            Delivery::ReplyLost => {
                self.run_at_target(spec.token)?;
                SendOutcome::MaybeSent(ErrorKind::ConnectionLost)
            }
            Delivery::RequestLost => SendOutcome::MaybeSent(ErrorKind::AnswerTimeout),
            Delivery::Delayed => {
                self.late_runs.push((spec.token, spec.fingerprint));
                SendOutcome::MaybeSent(ErrorKind::AnswerTimeout)
            }
        };
        self.handle_event(index, Event::SendFinished(end))
    }

    fn run_at_target(&mut self, token: ClaimToken) -> Result<(), Violation> {
        self.runs.push(token);
        if self.runs.len() > 1 {
            return Err("the key ran twice".to_owned());
        }
        let reply = self.callers.iter().find(|c| c.spec.token == token).and_then(|c| c.reply.as_ref());
        if reply.is_some_and(is_not_run) {
            return Err("a request ran after not-run was reported".to_owned());
        }
        Ok(())
    }

    fn run_late(&mut self, index: usize) -> Result<(), Violation> {
        if self.late_runs.is_empty() {
            return Ok(());
        }
        let (token, _) = self.late_runs.swap_remove(index % self.late_runs.len());
        self.run_at_target(token)
    }

    /// Advances the time and ticks the claims whose timers are due, except for a suspended one.
    fn advance(&mut self, ms: u64, paused: Option<usize>) -> Result<(), Violation> {
        self.now = self.now + Duration::from_millis(ms);
        for index in (0..self.callers.len()).filter(|i| Some(*i) != paused) {
            let due = self.callers[index].claim.next_wake().is_some_and(|at| at <= self.now);
            if due {
                self.handle_event(index, Event::Tick)?;
            }
        }
        Ok(())
    }

    /// Disconnects a caller that has no reply, unless its request is being sent.
    fn disconnect(&mut self, index: usize) -> Result<(), Violation> {
        if let Some(caller) = self.callers.get_mut(index).filter(|c| c.reply.is_none()) {
            caller.disconnected = !matches!(caller.operation, Some(Operation::Send));
        }
        match self.callers.get(index) {
            Some(caller) if caller.disconnected => self.handle_event(index, Event::CallerDisconnected),
            _ => Ok(()),
        }
    }

    /// Ends all faults, applies the delayed writes and requests, and checks the final state.
    fn settle(&mut self) -> Result<(), Violation> {
        for _ in 0..6 {
            for index in 0..self.callers.len() {
                for _ in 0..6 {
                    self.end_operation(index, Delivery::Normal)?;
                }
            }
            while !self.late_writes.is_empty() {
                self.apply_late(0);
            }
            while !self.late_runs.is_empty() {
                self.run_late(0)?;
            }
            self.advance(10_000, None)?;
        }
        self.check_settled()
    }

    fn check_settled(&self) -> Result<(), Violation> {
        for caller in self.callers.iter().filter(|c| !c.killed) {
            if !caller.claim.is_finished() {
                return Err("a claim did not finish".to_owned());
            }
            if caller.reply.is_none() && !caller.disconnected {
                return Err("a caller was not answered".to_owned());
            }
        }
        let open_for = self.row.as_ref().filter(|f| f.row.state == ClaimState::Open).map(|f| f.row.token);
        let is_holder_alive = |t| self.callers.iter().any(|c| c.spec.token == t && !c.killed);
        if open_for.is_some_and(is_holder_alive) {
            return Err("a key stayed open with its holder alive".to_owned());
        }
        let claimable = self.row.as_ref().is_none_or(|f| f.row.state == ClaimState::Released);
        if claimable && !self.runs.is_empty() {
            return Err("a key that ran can be claimed again".to_owned());
        }
        Ok(())
    }
}

fn is_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::Error(kind) if kind.answer().outcome == Outcome::NotRun)
}
