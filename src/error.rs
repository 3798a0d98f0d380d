//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Whether the work of a refused or failed request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It surely did not run and will not run.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran.
    #[display("ran")]
    Ran,
}

/// Every way in which a request, a job or an operator's command can fail.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display("{}", self.answer().name)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// No key, or one that was never given.
    Unauthenticated,
    /// The key has been withdrawn.
    KeyWithdrawn,
    /// This instance cannot know whether the key still holds.
    KeyUnverified,
    /// The key may not do this.
    Forbidden,
    /// No such service.
    UnknownService,
    /// No such job, key, upstream or page.
    NotFound,
    /// The body is over its limit.
    BodyTooLarge,
    /// The body or the headers came too slowly.
    SlowRequest,
    /// The team's queue is full.
    Overloaded,
    /// The wait would outlive the deadline.
    DeadlineUnmeetable,
    /// The deadline passed while the request ran.
    DeadlineExceeded,
    /// The instance is stopping.
    Draining,
    /// No upstream could be reached and nothing was sent.
    UpstreamUnreachable,
    /// The exchange with the upstream broke off.
    UpstreamFailed,
    /// The upstream's answer was cut short, oversized or not its own.
    BadAnswer,
    /// An earlier request under the same id is still running.
    InProgress,
    /// An earlier request under the same id had another body.
    IdReused,
    /// An earlier request under the same id ran, and its answer is not kept.
    AnswerNotKept,
    /// Whether a request under this id ran before cannot be known.
    ClaimUnknown,
    /// The claim could not be recorded; this id never ran.
    ClaimUnavailable,
    /// Another configuration won this version.
    VersionConflict,
    /// The configuration has errors.
    InvalidConfig,
    /// The job or task can never run.
    Unplaceable,
    /// The control state cannot be reached.
    NoQuorum,
    /// An announcement is not credible.
    BadAnnouncement,
    /// A fault of the instance itself.
    Internal,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Name in the JSON body.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the work ran.
    pub run: Run,
    /// Advice on when to come back, where that helps.
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
    /// All kinds, in the order of the table.
    pub const ALL: [Self; 27] = [
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
    ];

    /// Returns the answer that belongs to this kind.
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
        }
    }
}

/// An error with its kind and a message for the person who caused it.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{message}"))]
#[serde(deny_unknown_fields)]
pub struct Error {
    /// Kind of the error.
    pub kind: Kind,
    /// What went wrong, in one line.
    pub message: String,
}

/// Result with the crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Makes an error.
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
