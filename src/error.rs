//! The closed list of error kinds and the one table from kind to answer.

use derive_more::{Display, FromStr};

/// What a caller may conclude about its request; the three exclude each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
pub enum Outcome {
    /// The target's own answer was passed on whole.
    #[display("ran")]
    Ran,
    /// Provably nothing of the request ran at a target.
    #[display("not-run")]
    NotRun,
    /// The request may have reached a target and no whole answer came.
    #[display("unknown")]
    Unknown,
}

/// Every kind of failure that the program tells a caller or an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed or uses an unsupported feature.
    BadRequest,
    /// The request head exceeds the limit in the settings.
    HeadTooLarge,
    /// The request body exceeds the limit in the settings.
    BodyTooLarge,
    /// The request body did not arrive in time or whole, before anything was sent.
    BodyIncomplete,
    /// No service of the plan matches the request path.
    UnknownService,
    /// The route runs at most once and the request has no usable `Idempotency-Key`.
    KeyMissing,
    /// The `Idempotency-Key` was used before with another request.
    KeyReused,
    /// The instance has no plan that is known to be current.
    NoPlan,
    /// The instance has been cut off from the store and all peers for too long.
    CutOff,
    /// The instance is leaving and takes no new requests.
    Leaving,
    /// The pool has no target that takes requests.
    NoTarget,
    /// The queue is full or the request was shed for ones of higher priority.
    Overloaded,
    /// The request can't be answered before its deadline.
    DeadlineUnreachable,
    /// No target accepted a connection or the request before anything was sent.
    Unsent,
    /// The target refused the request under a contract in the plan.
    TargetRefused,
    /// The store could not take the claim, so nothing was sent.
    StoreUnavailable,
    /// The request was sent and no answer came before the deadline.
    AnswerTimeout,
    /// The connection broke after the request may have been sent.
    ConnectionLost,
    /// The answer's body ended early.
    BodyCut,
    /// An earlier request with the same key may have run and has no stored answer.
    KeyUnsettled,
    /// A settings file has faults.
    Settings,
    /// A sheet has faults.
    Sheet,
    /// Another change of the plan was accepted first.
    PlanConflict,
    /// The plan was written but not all live instances confirmed it in time.
    PlanUnconfirmed,
    /// The store did not say whether a change took effect.
    PlanUnknown,
    /// An address in the settings can't be listened on.
    AddressUnavailable,
    /// The platform's service can't be reached.
    PlatformUnreachable,
    /// An instance's admin address can't be reached or answered wrongly.
    AdminUnreachable,
    /// The admin request lacks the bearer token.
    Unauthorized,
    /// A local file can't be read or written.
    File,
}

/// How one kind of error is told to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Outcome header value.
    pub outcome: Outcome,
    /// `Retry-After` in seconds, where asking again can help.
    pub retry_after_s: Option<u32>,
}

const fn answer(status: u16, outcome: Outcome, retry_after_s: Option<u32>) -> Answer {
    Answer { status, outcome, retry_after_s }
}

impl ErrorKind {
    /// Returns what a caller is told for this kind.
    #[must_use]
    pub const fn answer(self) -> Answer {
        use Outcome::{NotRun, Unknown};
        match self {
            Self::BadRequest | Self::KeyMissing | Self::Settings | Self::Sheet => answer(400, NotRun, None),
            Self::Unauthorized => answer(401, NotRun, None),
            Self::UnknownService => answer(404, NotRun, None),
            Self::BodyIncomplete => answer(408, NotRun, None),
            Self::PlanConflict => answer(409, NotRun, None),
            Self::BodyTooLarge => answer(413, NotRun, None),
            Self::KeyReused => answer(422, NotRun, None),
            Self::HeadTooLarge => answer(431, NotRun, None),
            Self::Overloaded => answer(429, NotRun, Some(1)),
            Self::NoPlan | Self::CutOff | Self::StoreUnavailable | Self::PlatformUnreachable => {
                answer(503, NotRun, Some(5))
            }
            Self::Leaving
            | Self::NoTarget
            | Self::DeadlineUnreachable
            | Self::Unsent
            | Self::TargetRefused => answer(503, NotRun, Some(1)),
            Self::AddressUnavailable | Self::AdminUnreachable | Self::File => answer(500, NotRun, None),
            Self::AnswerTimeout => answer(504, Unknown, None),
            Self::KeyUnsettled => answer(504, Unknown, Some(5)),
            Self::ConnectionLost | Self::BodyCut | Self::PlanUnknown => answer(502, Unknown, None),
            Self::PlanUnconfirmed => answer(202, Outcome::Ran, None),
        }
    }

    /// Returns the process exit code for this kind: 2 for faulty input, 3 to try again, 1 otherwise.
    #[must_use]
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::Settings | Self::Sheet | Self::BadRequest => 2,
            Self::PlanConflict
            | Self::PlanUnconfirmed
            | Self::PlanUnknown
            | Self::PlatformUnreachable
            | Self::AdminUnreachable
            | Self::StoreUnavailable => 3,
            _ => 1,
        }
    }
}

/// An error of a known kind with the text an operator reads.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// Kind, which decides answer and exit code.
    pub kind: ErrorKind,
    /// What happened and with what; no trailing full stop.
    pub message: String,
}

impl Error {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

/// Result with the project's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;
