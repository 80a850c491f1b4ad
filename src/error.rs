//! All kinds of errors, and the HTTP answer and the process exit code of each kind.

use derive_more::{Display, FromStr};

/// What a caller may conclude about the execution of its request; the three outcomes exclude each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
pub enum Outcome {
    /// The target ran the request and its complete answer was passed on.
    #[display("ran")]
    Ran,
    /// No target ran any part of the request; the caller can safely send it again.
    #[display("not-run")]
    NotRun,
    /// A target may have run the request, but no complete answer arrived.
    #[display("unknown")]
    Unknown,
}

/// Kind of failure that is reported to a caller or an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed or uses an unsupported feature.
    BadRequest,
    /// The request head exceeds the limit in the settings.
    HeadTooLarge,
    /// The request body exceeds the limit in the settings.
    BodyTooLarge,
    /// The request body did not arrive completely or in time; nothing was sent to a target.
    BodyIncomplete,
    /// No service of the plan matches the request path.
    UnknownService,
    /// The route is at-most-once and the request has no usable `Idempotency-Key`.
    KeyMissing,
    /// The `Idempotency-Key` was used before with a different request.
    KeyReused,
    /// The instance has no plan that it knows to be current.
    NoPlan,
    /// The instance could not confirm for too long that its plan is current, because neither the store nor a
    /// majority of the known instances was reachable.
    CutOff,
    /// The instance reaches no target of the service, and knows no other instance that does.
    NoPath,
    /// The instance is shutting down and accepts no new requests.
    Leaving,
    /// No target of the service accepts requests.
    NoTarget,
    /// Targets have ended under this request one after the other, so it is not sent for a time.
    Quarantined,
    /// The queue is full, or the request was shed in favour of requests of higher priority.
    Overloaded,
    /// The request can't be answered before its deadline.
    DeadlineUnreachable,
    /// No connection to a target was available to send the request, so nothing was sent.
    Unsent,
    /// The target refused the request with an answer that, by the plan, means that it did not run.
    TargetRefused,
    /// The store did not record the claim of an at-most-once request, so nothing was sent.
    StoreUnavailable,
    /// The request was sent and no answer arrived before the deadline.
    AnswerTimeout,
    /// The connection failed after the request may have been sent.
    ConnectionLost,
    /// The target's answer ended before its body was complete.
    BodyCut,
    /// The target's answer has a status that means that the request did not run, but does not state so; it may have run.
    RefusalUnconfirmed,
    /// The target's answer has a status that no final answer has; the request may have run.
    StatusInvalid,
    /// An earlier request with the same `Idempotency-Key` may have run, and its answer is not stored.
    KeyUnsettled,
    /// The settings file is invalid.
    Settings,
    /// The sheet, the CSV source of a plan, is invalid.
    Sheet,
    /// Another change of the plan was accepted before this one.
    PlanConflict,
    /// The plan was stored, but not all live instances confirmed in time that they have it in force.
    PlanUnconfirmed,
    /// The store's reply was lost, so it is unknown whether a change of the plan took effect.
    PlanUnknown,
    /// The instance can't listen on an address in the settings.
    AddressUnavailable,
    /// The platform's service can't be reached.
    PlatformUnreachable,
    /// An instance's admin address can't be reached or gave an invalid answer.
    AdminUnreachable,
    /// The admin request has no valid bearer token.
    Unauthorized,
    /// A local file can't be read or written.
    File,
}

/// HTTP answer that reports a kind of error to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the outcome header.
    pub outcome: Outcome,
    /// Value of `Retry-After` in seconds; absent if another attempt is not expected to help.
    pub retry_after_s: Option<u32>,
}

const fn answer(status: u16, outcome: Outcome, retry_after_s: Option<u32>) -> Answer {
    Answer { status, outcome, retry_after_s }
}

impl ErrorKind {
    /// Returns the HTTP answer for this kind.
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
            Self::Quarantined => answer(503, NotRun, Some(600)),
            Self::Leaving
            | Self::NoPath
            | Self::NoTarget
            | Self::DeadlineUnreachable
            | Self::Unsent
            | Self::TargetRefused => answer(503, NotRun, Some(1)),
            Self::AddressUnavailable | Self::AdminUnreachable | Self::File => answer(500, NotRun, None),
            Self::AnswerTimeout => answer(504, Unknown, None),
            Self::KeyUnsettled => answer(504, Unknown, Some(5)),
            Self::ConnectionLost
            | Self::BodyCut
            | Self::RefusalUnconfirmed
            | Self::StatusInvalid
            | Self::PlanUnknown => answer(502, Unknown, None),
            Self::PlanUnconfirmed => answer(202, Outcome::Ran, None),
        }
    }

    /// Returns the process exit code for this kind: 2 for invalid input, 3 if a later attempt may succeed,
    /// else 1.
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

/// Error with its kind and a text for operators.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// Kind, which determines the HTTP answer and the exit code.
    pub kind: ErrorKind,
    /// What failed and why, without a trailing full stop.
    pub message: String,
}

impl Error {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

/// Result with this crate's [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;
