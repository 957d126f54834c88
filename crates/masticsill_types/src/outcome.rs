//! Outcomes and refusals of requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request that must not run twice.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The back end answered and the caller received the whole answer.
    Answered,
    /// The work was not run and never will be for this request.
    NotRun,
    /// The work was sent to a back end that did not answer; it may have been run.
    OutcomeUnknown,
}

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is invalid.
    InvalidRequest,
    /// No catalogue entry has the requested name.
    UnknownModel,
    /// The request key was already used with different content.
    KeyReused,
    /// The request key is older than the key window.
    KeyExpired,
    /// Another entry or request now owns the generation.
    Superseded,
    /// A limit of the catalogue entry is exhausted.
    LimitReached,
    /// The queue is full, or the deadline can't be met.
    Overloaded,
    /// No endpoint currently serves the catalogue entry.
    NoEndpoint,
    /// This node can't prove that its catalogue is current.
    CatalogueStale,
    /// The process is shutting down.
    ShuttingDown,
    /// The delivered part of the answer can't be continued exactly and must be discarded.
    RecordLost,
    /// The pinned version became unavailable after delivery began; the delivered part must be
    /// discarded.
    VersionGone,
    /// The back end failed or returned an unusable answer.
    BackEndFailed,
    /// A call that must not be repeated was started and its outcome is unknown.
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

    /// The action recommended to the caller.
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

/// A refusal: the final reply to a request that gets no usable answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Whether the work was run, as far as is known.
    pub outcome: RefusedOutcome,
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Human-readable detail.
    pub detail: String,
    /// Delay before a retry, in milliseconds, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// The outcome of refused work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedOutcome {
    /// The work was started and ended without a usable answer.
    Failed,
    /// The work was not run.
    NotRun,
    /// Whether the work was run is unknown.
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
    /// Creates a refusal of work that was not run.
    #[must_use]
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::new(RefusedOutcome::NotRun, kind, detail)
    }

    /// Creates a refusal of work that was started and failed.
    #[must_use]
    pub fn failed(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::new(RefusedOutcome::Failed, kind, detail)
    }

    /// Creates a refusal of work whose outcome is unknown.
    #[must_use]
    pub fn outcome_unknown(detail: impl Into<String>) -> Self {
        let kind = RefusalKind::OutcomeUnknown;
        Self::new(RefusedOutcome::OutcomeUnknown, kind, detail)
    }

    /// Sets the delay before a retry, in milliseconds.
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
