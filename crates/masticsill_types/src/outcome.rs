//! How a request ends.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The three ends of a request that may not run twice.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The back end answered and the caller has the whole answer.
    Answered,
    /// The work did not happen and never will under this request.
    NotRun,
    /// The work was handed to a back end that did not answer: it may have happened.
    OutcomeUnknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request itself is wrong.
    InvalidRequest,
    /// No catalogue entry of that name.
    UnknownModel,
    /// The request key was used with other content.
    KeyReused,
    /// The key is older than the key window.
    KeyExpired,
    /// Another entry or request holds the generation now.
    Superseded,
    /// The entry's limit is used up.
    LimitReached,
    /// The queue is full, or the deadline can't be met.
    Overloaded,
    /// No endpoint serves the catalogue entry now.
    NoEndpoint,
    /// This node can't prove that its catalogue is current.
    CatalogueStale,
    /// The process is shutting down.
    ShuttingDown,
    /// What was delivered can't be continued exactly; the part delivered is void.
    RecordLost,
    /// The pinned version is gone after delivery began; the part delivered is void.
    VersionGone,
    /// The back end failed or answered nothing usable.
    BackEndFailed,
    /// A call that may not be repeated was started and its end is not known.
    OutcomeUnknown,
}

impl RefusalKind {
    /// The name in error bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::UnknownModel => "unknown_model",
            Self::KeyReused => "key_reused",
            Self::KeyExpired => "key_expired",
            Self::Superseded => "superseded",
            Self::LimitReached => "limit_reached",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::CatalogueStale => "catalogue_stale",
            Self::ShuttingDown => "shutting_down",
            Self::RecordLost => "record_lost",
            Self::VersionGone => "version_gone",
            Self::BackEndFailed => "back_end_failed",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// What the caller can do about it.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::InvalidRequest => "correct the request",
            Self::UnknownModel => "use a model listed by GET /v1/models",
            Self::KeyReused => "use a new Idempotency-Key for other content",
            Self::KeyExpired => "ask what became of the old request, then use a new key",
            Self::Superseded => "read the answer on the newer connection",
            Self::LimitReached | Self::Overloaded => "send again after Retry-After",
            Self::NoEndpoint => "send again after Retry-After, or ask the operator for capacity",
            Self::CatalogueStale | Self::ShuttingDown => "send again through another entry",
            Self::RecordLost | Self::VersionGone => {
                "discard the part received and send the request again under a new key"
            }
            Self::BackEndFailed => "send again under a new key",
            Self::OutcomeUnknown => "ask the back end what happened before you send again",
        }
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A final answer other than the one asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// What is known about the work.
    pub outcome: RefusedOutcome,
    /// Why.
    pub kind: RefusalKind,
    /// Detail for a person.
    pub detail: String,
    /// When to come back, in milliseconds, if coming back helps.
    pub retry_after_ms: Option<u64>,
}

/// What a refusal says of the work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedOutcome {
    /// The work began and ended without a usable answer.
    Failed,
    /// The work did not happen.
    NotRun,
    /// It can't be known whether the work happened.
    OutcomeUnknown,
}

impl RefusedOutcome {
    /// The name in error bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

impl Refusal {
    /// A refusal of work that did not happen.
    #[must_use]
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::new(RefusedOutcome::NotRun, kind, detail)
    }

    /// A refusal of work that began and failed.
    #[must_use]
    pub fn failed(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::new(RefusedOutcome::Failed, kind, detail)
    }

    /// A refusal of work whose end is not known.
    #[must_use]
    pub fn outcome_unknown(detail: impl Into<String>) -> Self {
        let kind = RefusalKind::OutcomeUnknown;
        Self::new(RefusedOutcome::OutcomeUnknown, kind, detail)
    }

    /// The same refusal with a time to come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    fn new(outcome: RefusedOutcome, kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            kind,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} ({}): {}; {}",
            self.kind,
            self.outcome.as_str(),
            self.detail,
            self.kind.remedy()
        )
    }
}

impl std::error::Error for Refusal {}
