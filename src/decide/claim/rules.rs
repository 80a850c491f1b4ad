//! Safety rules of a claim, some of which tests relax on purpose.

use std::time::Duration;

/// Safety rules of a claim; the default is the strict set, the only one used in production.
///
/// Each relaxation breaks a guarantee. Tests run with one relaxed rule to prove that they would detect the
/// violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rules {
    /// Takes over the open claim of another call after it has been open for this long.
    pub takeover_after: Option<Duration>,
    /// Reports the request as not run, and releases the row, although it may have reached a target.
    pub not_run_after_send: bool,
    /// Sends the request if the claim turns out to have been acquired after it was abandoned.
    pub send_after_release: bool,
}
