//! Exchange among instances of which targets each of them has a path to.

use std::time::Duration;

use tokio::time::sleep;

use super::Gateway;
use crate::{
    decide::peer_paths::PathStatement,
    kernel::Phase,
    peer::frame::{Frame, PathEntry},
};

/// Time between two checks whether this instance's statement is due to be renewed.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Most statements in one frame; keeps frames below their size limit.
const MAX_ENTRIES_PER_FRAME: usize = 20;

/// States the paths of this instance at the start, when it begins to leave, and from time to time.
pub async fn run(gateway: &Gateway) {
    let repeat = async {
        loop {
            state_own(gateway);
            sleep(CHECK_PERIOD).await;
        }
    };
    let leave = async {
        gateway.wait_phase(Phase::Leaving).await;
        state_own(gateway);
        std::future::pending::<()>().await;
    };
    tokio::join!(repeat, leave);
}

/// States the paths of this instance, if anything has changed or the latest statement is old.
pub fn state_own(gateway: &Gateway) {
    let config = gateway.config();
    let Some(address) = config.forward_address else { return };
    let closed = gateway.target_paths().closed();
    let statement = PathStatement {
        instance: config.instance.clone(),
        started_unix_ms: gateway.started_unix_ms,
        version: 0,
        address,
        is_accepting: !gateway.is_leaving(),
        closed,
    };
    let is_new = gateway.peer_paths().state_own(gateway.now(), statement);
    if is_new {
        gateway.notify_path_change();
    }
}

/// Records what another instance states or passes on.
pub fn receive(gateway: &Gateway, entries: Vec<PathEntry>) {
    let now = gateway.now();
    let mut is_changed = false;
    for entry in entries {
        let statement = from_entry(entry);
        log::debug!(
            "event=peer-paths instance={} accepting={} closed={}",
            statement.instance,
            statement.is_accepting,
            statement.closed.len()
        );
        is_changed |= gateway.peer_paths().merge(now, statement);
    }
    if is_changed {
        gateway.notify_path_change();
        // Waiting calls may be forwarded now.
        gateway.state_changed.notify_waiters();
    }
}

/// What the other end of a link has been sent of the paths.
#[derive(Debug, Default)]
pub struct SentPaths {
    /// Number of changes of the table that have been sent.
    revision: u64,
}

impl SentPaths {
    /// Returns the frames to send now.
    pub fn next_frames(&mut self, gateway: &Gateway) -> Vec<Frame> {
        let (revision, statements) = {
            let peer_paths = gateway.peer_paths();
            (peer_paths.revision(), peer_paths.statements_since(self.revision))
        };
        self.revision = revision;
        let entries = statements.into_iter().map(to_entry).collect::<Vec<_>>();
        entries.chunks(MAX_ENTRIES_PER_FRAME).map(|chunk| Frame::Paths(chunk.to_vec())).collect()
    }
}

fn from_entry(entry: PathEntry) -> PathStatement {
    let PathEntry { instance, started_unix_ms, version, address, is_accepting, closed } = entry;
    PathStatement { instance, started_unix_ms, version, address, is_accepting, closed }
}

fn to_entry(statement: PathStatement) -> PathEntry {
    let PathStatement { instance, started_unix_ms, version, address, is_accepting, closed } = statement;
    PathEntry { instance, started_unix_ms, version, address, is_accepting, closed }
}
