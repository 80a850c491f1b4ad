//! Rules of a claim that checks relax on purpose.

use std::time::Duration;

/// Rules that a claim keeps; the default is the strict set, the only one in service.
///
/// Each relaxation breaks a promise. Checks run with one to show that they would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rules {
    /// Takes an open claim of another over once it has been open for this long.
    pub takeover_after: Option<Duration>,
    /// Tells the caller not-run, and releases the row, when a send may have reached a target.
    pub not_run_after_send: bool,
    /// Sends when the claim turns out to have been won after it was given up.
    pub send_after_release: bool,
}
