//! Several claims on one key of a fake table, driven step by step by a script.

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
const DEADLINE: Duration = Duration::from_secs(2);

/// One step of a script; a step that does not apply does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A further call with the key arrives at another instance.
    Arrive { repeated: bool, other_body: bool },
    /// The operation in progress of a claim ends.
    Reply { claim: usize, fate: Fate },
    /// A write whose reply was lost is applied.
    ApplyLate { index: usize },
    /// A request whose connection was lost runs at its target.
    RunLate { index: usize },
    /// Time passes and every claim is told.
    Advance { ms: u64 },
    /// Time passes for a claim's holder alone to see later: all others are told.
    Pause { claim: usize, ms: u64 },
    /// The caller of a claim leaves.
    Leave { claim: usize },
    /// The holder of a claim is killed.
    Kill { claim: usize },
    /// The holder is told that the row may have settled.
    Wake { claim: usize },
}

/// How an operation on the table, or a send, ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Applied and told; sent, ran and answered.
    Good,
    /// Applied, reply lost; ran, answer lost.
    Lost,
    /// Refused; handed back unsent.
    Refused,
    /// Neither applied nor told; neither ran nor told.
    Vanished,
    /// Not applied yet, reply lost; runs later, answer lost.
    Delayed,
    /// Applied and told, and tried once more later.
    Doubled,
    /// Tried twice at once and the second try's reply told.
    DoubledAtOnce,
}

const FATES: [Fate; 7] = [
    Fate::Good,
    Fate::Lost,
    Fate::Refused,
    Fate::Vanished,
    Fate::Delayed,
    Fate::Doubled,
    Fate::DoubledAtOnce,
];

/// Reads a step from two random bytes.
pub fn step((kind, value): (u8, u8)) -> Step {
    let claim = usize::from(value) % MAX_CLAIMS;
    let index = usize::from(value);
    match kind % 16 {
        0 => Step::Arrive { repeated: value % 2 == 1, other_body: value % 8 == 7 },
        1 | 2 => Step::ApplyLate { index },
        3 => Step::RunLate { index },
        4 => Step::Advance { ms: u64::from(value) * 16 },
        5 => Step::Pause { claim, ms: u64::from(value) * 64 },
        6 => Step::Leave { claim },
        7 => Step::Kill { claim },
        8 => Step::Wake { claim },
        _ => {
            let fate = FATES[usize::from(value) / MAX_CLAIMS % FATES.len()];
            Step::Reply { claim, fate }
        }
    }
}

#[derive(Debug)]
enum Operation {
    Write(ClaimWrite),
    Read,
    Send,
}

#[derive(Debug)]
struct Caller {
    claim: Claim,
    spec: ClaimSpec,
    operation: Option<Operation>,
    verdict: Option<Reply>,
    left: bool,
    killed: bool,
    /// Whether the key had run when the call arrived.
    arrived_after_run: bool,
}

/// The fake table with the claims on its one row.
#[derive(Debug)]
pub struct World {
    rules: Rules,
    now: MonoTime,
    row: Option<VersionedRow>,
    last_version: u64,
    late_writes: Vec<ClaimWrite>,
    late_runs: Vec<(ClaimToken, Fingerprint)>,
    callers: Vec<Caller>,
    runs: Vec<ClaimToken>,
}

/// A broken promise, in words.
pub type Broken = String;

fn answer(token: ClaimToken) -> StoredAnswer {
    StoredAnswer { status: 200, content_type: None, body: StoredBody::Text(token.to_string()) }
}

/// Runs a script and then lets every fault end.
pub fn run(rules: Rules, script: &[Step]) -> Result<(), Broken> {
    let mut world = World {
        rules,
        now: MonoTime::default(),
        row: None,
        last_version: 0,
        late_writes: Vec::new(),
        late_runs: Vec::new(),
        callers: Vec::new(),
        runs: Vec::new(),
    };
    world.arrive(false, false)?;
    for step in script {
        world.take(*step)?;
    }
    world.settle()
}

impl World {
    fn take(&mut self, step: Step) -> Result<(), Broken> {
        match step {
            Step::Arrive { repeated, other_body } => self.arrive(repeated, other_body),
            Step::Reply { claim, fate } => self.reply(claim, fate),
            Step::ApplyLate { index } => {
                self.apply_late(index);
                Ok(())
            }
            Step::RunLate { index } => self.run_late(index),
            Step::Advance { ms } => self.advance(ms, None),
            Step::Pause { claim, ms } => self.advance(ms, Some(claim)),
            Step::Leave { claim } => self.leave(claim),
            Step::Kill { claim } => {
                if let Some(caller) = self.callers.get_mut(claim) {
                    caller.killed = true;
                }
                Ok(())
            }
            Step::Wake { claim } => self.tell(claim, Event::RowSettled),
        }
    }

    fn arrive(&mut self, repeated: bool, other_body: bool) -> Result<(), Broken> {
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
            verdict: None,
            left: false,
            killed: false,
            arrived_after_run: !self.runs.is_empty(),
        });
        self.tell(index, Event::Start)
    }

    fn tell(&mut self, index: usize, event: Event) -> Result<(), Broken> {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(index).filter(|c| !c.killed) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        caller.claim.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(index, action)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, index: usize, action: Action) -> Result<(), Broken> {
        let caller = &mut self.callers[index];
        let operation = match action {
            Action::Write(write) => Operation::Write(write),
            Action::Read => Operation::Read,
            Action::Send if caller.left || caller.verdict.is_some() => {
                return Err("sent after it was given up".to_owned());
            }
            Action::Send => Operation::Send,
            Action::Reply(verdict) => return self.answered(index, verdict),
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

    fn answered(&mut self, index: usize, verdict: Reply) -> Result<(), Broken> {
        let caller = &mut self.callers[index];
        if caller.verdict.is_some() || caller.left {
            return Err("a caller was answered twice".to_owned());
        }
        let own_ran = self.runs.contains(&caller.spec.token);
        let told_not_run = is_not_run(&verdict);
        if told_not_run && own_ran {
            return Err("not-run told of a request that ran".to_owned());
        }
        let may_know = caller.spec.repeated || verdict == Reply::Error(ErrorKind::Unsent);
        let same_body = verdict != Reply::Error(ErrorKind::KeyReused);
        if told_not_run && may_know && same_body && caller.arrived_after_run {
            return Err("not-run told of a key that ran".to_owned());
        }
        match &verdict {
            Reply::Forward if !own_ran => return Err("an answer without a run".to_owned()),
            Reply::Stored(stored) if !self.runs.iter().any(|t| answer(*t) == *stored) => {
                return Err("a stored answer of another request".to_owned());
            }
            _ => {}
        }
        caller.verdict = Some(verdict);
        Ok(())
    }

    fn reply(&mut self, index: usize, fate: Fate) -> Result<(), Broken> {
        let operation = self.callers.get_mut(index).filter(|c| !c.killed).and_then(|c| c.operation.take());
        match operation {
            None => self.tell(index, Event::Tick),
            Some(Operation::Read) => {
                let read = match fate {
                    Fate::Good | Fate::Doubled | Fate::DoubledAtOnce => Ok(self.row.clone()),
                    _ => Err(ReadFailed),
                };
                self.tell(index, Event::ReadFinished(read))
            }
            Some(Operation::Write(write)) => {
                let result = self.write(write, fate);
                self.tell(index, Event::WriteFinished(result))
            }
            Some(Operation::Send) => self.send(index, fate),
        }
    }

    fn write(&mut self, write: ClaimWrite, fate: Fate) -> WriteOutcome {
        match fate {
            Fate::Good => self.apply(write),
            Fate::Refused => WriteOutcome::Refused,
            Fate::Vanished => WriteOutcome::Unknown,
            Fate::Lost => {
                self.apply(write);
                WriteOutcome::Unknown
            }
            Fate::Delayed => {
                self.late_writes.push(write);
                WriteOutcome::Unknown
            }
            Fate::Doubled => {
                self.late_writes.push(write.clone());
                self.apply(write)
            }
            Fate::DoubledAtOnce => {
                self.apply(write.clone());
                self.apply(write)
            }
        }
    }

    fn apply(&mut self, write: ClaimWrite) -> WriteOutcome {
        let seen = self.row.as_ref().map_or(RowCondition::Absent, |r| RowCondition::VersionIs(r.version));
        if seen != write.condition {
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

    fn send(&mut self, index: usize, fate: Fate) -> Result<(), Broken> {
        let spec = self.callers[index].spec.clone();
        let in_time = self.now < spec.deadline || self.rules.send_after_release;
        let end = match fate {
            _ if !in_time => SendOutcome::Unsent(ErrorKind::Unsent),
            Fate::Refused => SendOutcome::Unsent(ErrorKind::Unsent),
            Fate::Good | Fate::Doubled | Fate::DoubledAtOnce => {
                self.run_at_target(spec.token)?;
                SendOutcome::Answered(answer(spec.token))
            }
            Fate::Lost => {
                self.run_at_target(spec.token)?;
                SendOutcome::MaybeSent(ErrorKind::ConnectionLost)
            }
            Fate::Vanished => SendOutcome::MaybeSent(ErrorKind::AnswerTimeout),
            Fate::Delayed => {
                self.late_runs.push((spec.token, spec.fingerprint));
                SendOutcome::MaybeSent(ErrorKind::AnswerTimeout)
            }
        };
        self.tell(index, Event::SendFinished(end))
    }

    fn run_at_target(&mut self, token: ClaimToken) -> Result<(), Broken> {
        self.runs.push(token);
        if self.runs.len() > 1 {
            return Err("the key ran twice".to_owned());
        }
        let told = self.callers.iter().find(|c| c.spec.token == token).and_then(|c| c.verdict.as_ref());
        if told.is_some_and(is_not_run) {
            return Err("a request ran after not-run was told".to_owned());
        }
        Ok(())
    }

    fn run_late(&mut self, index: usize) -> Result<(), Broken> {
        if self.late_runs.is_empty() {
            return Ok(());
        }
        let (token, _) = self.late_runs.swap_remove(index % self.late_runs.len());
        self.run_at_target(token)
    }

    fn advance(&mut self, ms: u64, paused: Option<usize>) -> Result<(), Broken> {
        self.now = self.now + Duration::from_millis(ms);
        for index in (0..self.callers.len()).filter(|i| Some(*i) != paused) {
            let due = self.callers[index].claim.next_wake().is_some_and(|at| at <= self.now);
            if due {
                self.tell(index, Event::Tick)?;
            }
        }
        Ok(())
    }

    fn leave(&mut self, index: usize) -> Result<(), Broken> {
        if let Some(caller) = self.callers.get_mut(index).filter(|c| c.verdict.is_none()) {
            caller.left = !matches!(caller.operation, Some(Operation::Send));
        }
        match self.callers.get(index) {
            Some(caller) if caller.left => self.tell(index, Event::CallerDisconnected),
            _ => Ok(()),
        }
    }

    /// Ends every fault, applies what is still under way, and checks what remains.
    fn settle(&mut self) -> Result<(), Broken> {
        for _ in 0..6 {
            for index in 0..self.callers.len() {
                for _ in 0..6 {
                    self.reply(index, Fate::Good)?;
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

    fn check_settled(&self) -> Result<(), Broken> {
        for caller in self.callers.iter().filter(|c| !c.killed) {
            if !caller.claim.is_finished() {
                return Err("a claim did not finish".to_owned());
            }
            if caller.verdict.is_none() && !caller.left {
                return Err("a caller was not answered".to_owned());
            }
        }
        let open_for = self.row.as_ref().filter(|f| f.row.state == ClaimState::Open).map(|f| f.row.token);
        let holder_lives = |t| self.callers.iter().any(|c| c.spec.token == t && !c.killed);
        if open_for.is_some_and(holder_lives) {
            return Err("a key stayed open with its holder alive".to_owned());
        }
        let claimable = self.row.as_ref().is_none_or(|f| f.row.state == ClaimState::Released);
        if claimable && !self.runs.is_empty() {
            return Err("a key that ran can be claimed again".to_owned());
        }
        Ok(())
    }
}

fn is_not_run(verdict: &Reply) -> bool {
    matches!(verdict, Reply::Error(kind) if kind.answer().outcome == Outcome::NotRun)
}
