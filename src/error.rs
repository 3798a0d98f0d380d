//! Error kinds and their mapping to HTTP responses.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Whether a refused or failed request ran at an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It did not run and will not run.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran.
    #[display("ran")]
    Ran,
}

/// Kinds of failure of requests, jobs and operator commands.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display("{}", self.answer().name)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or unknown.
    Unauthenticated,
    /// The key has been withdrawn.
    KeyWithdrawn,
    /// This instance cannot verify whether the key is still valid.
    KeyUnverified,
    /// The key does not permit the operation.
    Forbidden,
    /// The service does not exist.
    UnknownService,
    /// The job, key, upstream or path does not exist.
    NotFound,
    /// The request body exceeds its size limit.
    BodyTooLarge,
    /// The headers or the body did not arrive in time.
    SlowRequest,
    /// The team's queue is full.
    Overloaded,
    /// The request would wait beyond its deadline.
    DeadlineUnmeetable,
    /// The deadline passed while the request was running.
    DeadlineExceeded,
    /// The instance is shutting down.
    Draining,
    /// No upstream could be reached and nothing was sent.
    UpstreamUnreachable,
    /// The exchange with the upstream failed after the request was sent.
    UpstreamFailed,
    /// The upstream's response was truncated, too large or belongs to another request.
    BadAnswer,
    /// An earlier request with the same id is still running.
    InProgress,
    /// An earlier request with the same id had different content.
    IdReused,
    /// An earlier request with the same id ran, but its response was not stored.
    AnswerNotKept,
    /// It cannot be determined whether an earlier request with the same id ran.
    ClaimUnknown,
    /// The claim could not be recorded, so this request was not sent.
    ClaimUnavailable,
    /// The pushed configuration does not replace the version in force.
    VersionConflict,
    /// The configuration has errors.
    InvalidConfig,
    /// The job or task can never run.
    Unplaceable,
    /// The leader or quorum that must handle the operation cannot be reached.
    NoQuorum,
    /// The heartbeat of an upstream or the poll of a worker is invalid.
    BadAnnouncement,
    /// An internal error of the instance.
    Internal,
    /// The memory for request bodies is in use.
    OverBudget,
}

/// HTTP response of an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Name of the kind in the JSON body.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran, unless known more precisely.
    pub run: Run,
    /// Default of the `Retry-After` header, for kinds where a retry can succeed.
    pub retry_after: Option<Duration>,
}

const fn row(name: &'static str, status: u16, run: Run, retry_secs: u64) -> Answer {
    let retry_after = match retry_secs {
        0 => None,
        secs => Some(Duration::from_secs(secs)),
    };
    Answer {
        name,
        status,
        run,
        retry_after,
    }
}

impl Kind {
    /// All kinds in the order of their declaration.
    pub const ALL: [Self; 28] = [
        Self::BadRequest,
        Self::Unauthenticated,
        Self::KeyWithdrawn,
        Self::KeyUnverified,
        Self::Forbidden,
        Self::UnknownService,
        Self::NotFound,
        Self::BodyTooLarge,
        Self::SlowRequest,
        Self::Overloaded,
        Self::DeadlineUnmeetable,
        Self::DeadlineExceeded,
        Self::Draining,
        Self::UpstreamUnreachable,
        Self::UpstreamFailed,
        Self::BadAnswer,
        Self::InProgress,
        Self::IdReused,
        Self::AnswerNotKept,
        Self::ClaimUnknown,
        Self::ClaimUnavailable,
        Self::VersionConflict,
        Self::InvalidConfig,
        Self::Unplaceable,
        Self::NoQuorum,
        Self::BadAnnouncement,
        Self::Internal,
        Self::OverBudget,
    ];

    /// Returns the HTTP response for this kind.
    pub const fn answer(self) -> Answer {
        use Run::{NotRun, Ran, Unknown};
        match self {
            Self::BadRequest => row("bad_request", 400, NotRun, 0),
            Self::Unauthenticated => row("unauthenticated", 401, NotRun, 0),
            Self::KeyWithdrawn => row("key_withdrawn", 401, NotRun, 0),
            Self::KeyUnverified => row("key_unverified", 503, NotRun, 2),
            Self::Forbidden => row("forbidden", 403, NotRun, 0),
            Self::UnknownService => row("unknown_service", 404, NotRun, 0),
            Self::NotFound => row("not_found", 404, NotRun, 0),
            Self::BodyTooLarge => row("body_too_large", 413, NotRun, 0),
            Self::SlowRequest => row("slow_request", 408, NotRun, 0),
            Self::Overloaded => row("overloaded", 429, NotRun, 1),
            Self::DeadlineUnmeetable => row("deadline_unmeetable", 503, NotRun, 1),
            Self::DeadlineExceeded => row("deadline_exceeded", 504, Unknown, 0),
            Self::Draining => row("draining", 503, NotRun, 1),
            Self::UpstreamUnreachable => row("upstream_unreachable", 502, NotRun, 1),
            Self::UpstreamFailed => row("upstream_failed", 502, Unknown, 0),
            Self::BadAnswer => row("bad_answer", 502, Unknown, 0),
            Self::InProgress => row("in_progress", 409, Unknown, 1),
            Self::IdReused => row("id_reused", 422, Unknown, 0),
            Self::AnswerNotKept => row("answer_not_kept", 409, Ran, 0),
            Self::ClaimUnknown => row("claim_unknown", 409, Unknown, 0),
            Self::ClaimUnavailable => row("claim_unavailable", 503, Unknown, 1),
            Self::VersionConflict => row("version_conflict", 409, NotRun, 0),
            Self::InvalidConfig => row("invalid_config", 422, NotRun, 0),
            Self::Unplaceable => row("unplaceable", 422, NotRun, 0),
            Self::NoQuorum => row("no_quorum", 503, Unknown, 1),
            Self::BadAnnouncement => row("bad_announcement", 422, NotRun, 0),
            Self::Internal => row("internal", 500, Unknown, 0),
            Self::OverBudget => row("over_budget", 503, NotRun, 1),
        }
    }
}

/// An error with its kind and a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{message}"))]
#[serde(deny_unknown_fields)]
pub struct Error {
    /// Kind of the error.
    pub kind: Kind,
    /// One-line description of the failure.
    pub message: String,
}

/// Result whose default error type is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Creates an error from a kind and a message.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(err: std::io::Error) -> Self {
        Self::new(Kind::Internal, err.to_string())
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Self {
        Self::new(kind, kind.answer().name.replace('_', " "))
    }
}
