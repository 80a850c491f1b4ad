//! Uses the claim state machine with another table to execute work at most once, without the load balancer.
//!
//! Two workers receive the same order. Each runs one claim on it: the state machine returns the actions and
//! this program performs them.
//!
//! ```text
//! cargo run --example at_most_once
//! ```

use std::time::Duration;

use arbutusshelf::{
    decide::claim::{
        Action, Claim, ClaimSpec, ClaimToken, ClaimWrite, Event, Fingerprint, Reply, RowCondition,
        RowVersion, SendOutcome, StoredAnswer, StoredBody, VersionedRow, WriteOutcome,
    },
    units::MonoTime,
};

/// Table with a single row. Any table with conditional writes can take its place.
#[derive(Debug, Default)]
struct Table {
    row: Option<VersionedRow>,
    writes: u64,
}

impl Table {
    fn write(&mut self, write: ClaimWrite) -> WriteOutcome {
        let current = self.row.as_ref().map_or(RowCondition::Absent, |f| RowCondition::VersionIs(f.version));
        if current != write.condition {
            return WriteOutcome::Conflict;
        }
        self.writes += 1;
        let version = RowVersion(self.writes);
        self.row = Some(VersionedRow { version, row: write.row });
        WriteOutcome::TookEffect(version)
    }
}

/// Runs one worker's claim until it has finished and returns the reply for its caller.
fn run_worker(worker: u64, table: &mut Table, shipped: &mut u32) -> Option<Reply> {
    let now = MonoTime::default();
    let mut claim = Claim::new(ClaimSpec {
        token: ClaimToken { run: worker.into(), number: 1 },
        fingerprint: Fingerprint::from("ship order 17".to_owned()),
        deadline: now + Duration::from_secs(5),
        repeated: false,
        written_hour: 0,
    });
    let mut reply = None;
    let mut event = Some(Event::Start);
    while let Some(next) = event.take() {
        let mut actions = Vec::new();
        claim.handle(now, next, &mut actions);
        for action in actions {
            match action {
                Action::Write(write) => event = Some(Event::WriteFinished(table.write(write))),
                Action::Read => event = Some(Event::ReadFinished(Ok(table.row.clone()))),
                Action::Send => {
                    *shipped += 1;
                    let body = StoredBody::Text(format!("shipped by worker {worker}"));
                    let answer = StoredAnswer { status: 200, content_type: None, body };
                    event = Some(Event::SendFinished(SendOutcome::Answered(answer)));
                }
                Action::Reply(answer) => reply = Some(answer),
                Action::Finish => {}
            }
        }
    }
    reply
}

fn main() {
    let mut table = Table::default();
    let mut shipped = 0;
    for worker in [1, 2] {
        let reply = run_worker(worker, &mut table, &mut shipped);
        println!("worker {worker}: {reply:?}");
    }
    println!("shipped {shipped} time(s)");
    assert_eq!(shipped, 1, "the order is shipped once");
}
