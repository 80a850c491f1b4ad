//! Whether this instance has a path to the targets of each service, or only the targets have failed.
//!
//! Failures at a few targets start a check: new connections to a sample of the targets of all services. If none
//! of them is reached, this instance is cut off from all; if only those of one service are not, and none of them has
//! responded lately on an open connection, it is cut off from that service, or all its targets have ended. The
//! difference does not matter here: either way, nothing can be sent to them from here.

use std::time::Duration;

use crate::{
    collections::{HashMap, HashSet},
    units::{MonoTime, ServiceName, TargetId},
};

/// Number of targets that fail without a success in between before the paths are checked; one if the service has
/// only one target.
const SUSPICIOUS_FAILURES: usize = 2;

/// Time for which a failure counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// Time without any response from a service's targets after which failures are suspicious.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Least time between two checks because of the same service, if the first one has left its path open.
const CHECK_COOLDOWN: Duration = Duration::from_millis(500);

/// Time without any response from a service's targets after which a failed check closes the path to that service
/// alone. Targets that are full reset new connections but respond on open ones.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// A path that was closed or opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathChange {
    /// Service to whose targets it leads.
    pub service: ServiceName,
    /// Whether its targets can be reached now.
    pub is_open: bool,
    /// Time for which it had been closed; zero if it is closed now.
    pub closed_for: Duration,
}

/// Path to the targets of one service.
#[derive(Debug, Default)]
struct Path {
    /// Targets that have failed since a new connection to any target of the service succeeded, and when.
    failed: HashMap<TargetId, MonoTime>,
    /// When a target responded last on any connection; `None` before the first time.
    responded_at: Option<MonoTime>,
    /// When the latest check ended; `None` before the first one.
    checked_at: Option<MonoTime>,
    /// Since when the path is closed; `None` while it is open.
    closed_since: Option<MonoTime>,
}

/// Paths to the targets of all services.
#[derive(Debug, Default)]
pub struct TargetPaths {
    paths: HashMap<ServiceName, Path>,
    /// Whether a check is in progress.
    is_checking: bool,
    /// Whether the services whose path is closed are being checked.
    is_rechecking: bool,
    /// Target that was reached last by a new connection, and when.
    last_reached: Option<(TargetId, MonoTime)>,
}

impl TargetPaths {
    /// Records a failure that may be one of the path: a refused or unanswered connection, an unanswered probe or a
    /// lost send. `targets` is the number of the service's targets. Returns whether the paths should be checked
    /// now; the caller must then end that check with [`finish_check`](Self::finish_check).
    pub fn record_failure(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        targets: usize,
    ) -> bool {
        let path = self.paths.entry(service.clone()).or_default();
        path.failed.retain(|_, at| now.since(*at) <= FAILURE_MEMORY);
        path.failed.insert(target.clone(), now);
        let is_quiet = path.responded_at.is_none_or(|at| now.since(at) >= QUIET_TIME);
        let is_suspicious = is_quiet && path.failed.len() >= SUSPICIOUS_FAILURES.min(targets);
        let is_due = path.checked_at.is_none_or(|at| now.since(at) >= CHECK_COOLDOWN);
        if path.closed_since.is_some() || !is_suspicious || !is_due || self.is_checking {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Records a response of a target, on a new connection or an open one.
    pub fn record_response(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        is_new_connection: bool,
    ) {
        let path = self.paths.entry(service.clone()).or_default();
        path.responded_at = Some(now);
        if is_new_connection {
            path.failed.clear();
            self.last_reached = Some((target.clone(), now));
        }
    }

    /// Returns whether a target other than this one was reached by a new connection at `since` or later.
    pub fn has_reached_other(&self, target: &TargetId, since: MonoTime) -> bool {
        self.last_reached.as_ref().is_some_and(|(reached, at)| reached != target && *at >= since)
    }

    /// Ends a check. `checked` are the services of which a sample of targets was checked, with whether any of these
    /// was reached; `services` are all services that have targets.
    pub fn finish_check(
        &mut self,
        now: MonoTime,
        checked: &[(ServiceName, bool)],
        services: &HashSet<ServiceName>,
    ) -> Vec<PathChange> {
        self.is_checking = false;
        let is_any_reached = checked.iter().any(|(_, is_reached)| *is_reached);
        let mut changes = Vec::new();
        for (service, is_reached) in checked {
            let path = self.paths.entry(service.clone()).or_default();
            path.checked_at = Some(now);
            if *is_reached {
                path.failed.clear();
                changes.extend(open(now, service, path));
            } else if is_any_reached && is_silent(now, path) {
                changes.extend(close(now, service, path));
            }
        }
        if !is_any_reached && !checked.is_empty() {
            for service in services {
                let path = self.paths.entry(service.clone()).or_default();
                changes.extend(close(now, service, path));
            }
        }
        changes
    }

    /// Returns whether the services whose path is closed need to be checked from now on, which they do until
    /// [`next_recheck`](Self::next_recheck) finds none.
    pub fn start_rechecks(&mut self) -> bool {
        !std::mem::replace(&mut self.is_rechecking, true)
    }

    /// Returns the services to check next, or ends the checks if no path is closed any more.
    pub fn next_recheck(&mut self) -> Option<HashSet<ServiceName>> {
        let closed = self.closed().into_iter().collect::<HashSet<_>>();
        self.is_rechecking = !closed.is_empty();
        self.is_rechecking.then_some(closed)
    }

    /// Records a check of services whose path is closed. Opens those of which a target was reached.
    pub fn finish_recheck(&mut self, now: MonoTime, checked: &[(ServiceName, bool)]) -> Vec<PathChange> {
        let reached = checked.iter().filter(|(_, is_reached)| *is_reached);
        let mut changes = Vec::new();
        for (service, _) in reached {
            let path = self.paths.entry(service.clone()).or_default();
            path.failed.clear();
            changes.extend(open(now, service, path));
        }
        changes
    }

    /// Returns whether the path to a service is closed.
    pub fn is_closed(&self, service: &ServiceName) -> bool {
        self.paths.get(service).is_some_and(|path| path.closed_since.is_some())
    }

    /// Returns the services whose path is closed, in order.
    pub fn closed(&self) -> Vec<ServiceName> {
        let closed = self.paths.iter().filter(|(_, path)| path.closed_since.is_some());
        let mut closed = closed.map(|(service, _)| service.clone()).collect::<Vec<_>>();
        closed.sort_unstable();
        closed
    }

    /// Returns whether any path is closed.
    pub fn is_any_closed(&self) -> bool {
        self.paths.values().any(|path| path.closed_since.is_some())
    }
}

/// Returns whether targets of a service have failed lately and none has responded.
fn is_silent(now: MonoTime, path: &Path) -> bool {
    let is_silent = path.responded_at.is_none_or(|at| now.since(at) >= SILENCE_TIME);
    is_silent && path.failed.values().any(|at| now.since(*at) <= FAILURE_MEMORY)
}

fn close(now: MonoTime, service: &ServiceName, path: &mut Path) -> Option<PathChange> {
    if path.closed_since.is_some() {
        return None;
    }
    path.closed_since = Some(now);
    Some(PathChange { service: service.clone(), is_open: false, closed_for: Duration::ZERO })
}

fn open(now: MonoTime, service: &ServiceName, path: &mut Path) -> Option<PathChange> {
    let closed_for = now.since(path.closed_since.take()?);
    Some(PathChange { service: service.clone(), is_open: true, closed_for })
}
