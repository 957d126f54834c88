//! A run of a request that ended because its endpoint crashed.

use masticsill_registry::EndpointId;
use masticsill_types::{ClockMs, ZoneId};
use serde::{Deserialize, Serialize};

/// How much longer an endpoint must have answered a run than another one for the run to count as
/// older.
const MIN_AGE_DIFFERENCE_MS: u64 = 500;
/// Progress, beyond twice that of a crashed run, with which another run of the same request shows
/// that the request didn't cause the crash. A request that crashes endpoints does so at about the
/// same point each time.
const FURTHER_PROGRESS_MS: u64 = 1_000;

/// Whether a crash counts against the request. The weight only ever changes to a later variant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Weight {
    /// Not judged yet: reports of other crashes at the same moment may still arrive.
    Pending,
    /// The crash counts against the request.
    Counted,
    /// The crash doesn't count: it has another explanation, or the request is known to have run
    /// further without a crash.
    Shared,
}

impl Weight {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Counted => "counted",
            Self::Shared => "shared",
        }
    }
}

/// A run that ended because its endpoint crashed, as reported to another process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// How long the endpoint had answered the run, in milliseconds.
    pub answered_ms: u64,
    /// Time since the start of the run, in milliseconds.
    pub began_ago_ms: u64,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// Time since the end of the run, in milliseconds.
    pub ended_ago_ms: u64,
    /// How long the request had been answered, including the runs that this run resumed, in
    /// milliseconds.
    pub reached_ms: u64,
    /// Whether the crash counts against the request.
    pub weight: Weight,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
}

/// A run that ended because its endpoint crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// How long the endpoint had answered the run, in milliseconds.
    pub answered_ms: u64,
    /// When the run began.
    pub began_at: ClockMs,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// When the run ended.
    pub ended_at: ClockMs,
    /// How long the request had been answered, including the runs that this run resumed, in
    /// milliseconds.
    pub reached_ms: u64,
    /// Whether the crash counts against the request.
    pub weight: Weight,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
}

impl CrashedRun {
    pub(crate) fn from_record(now: ClockMs, record: &CrashRecord) -> Self {
        Self {
            answered_ms: record.answered_ms,
            began_at: now.before(record.began_ago_ms),
            endpoint: record.endpoint.clone(),
            ended_at: now.before(record.ended_ago_ms),
            reached_ms: record.reached_ms,
            weight: record.weight,
            zone: record.zone.clone(),
        }
    }

    pub(crate) fn to_record(&self, now: ClockMs) -> CrashRecord {
        CrashRecord {
            answered_ms: self.answered_ms,
            began_ago_ms: now.since(self.began_at),
            endpoint: self.endpoint.clone(),
            ended_ago_ms: now.since(self.ended_at),
            reached_ms: self.reached_ms,
            weight: self.weight,
            zone: self.zone.clone(),
        }
    }

    /// Whether the endpoint had answered this run for clearly longer than `other`, which ended with
    /// the same crash.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        self.answered_ms >= other.answered_ms + MIN_AGE_DIFFERENCE_MS
    }

    /// Whether another run of the request, answered for `reached_ms`, shows that the request
    /// doesn't crash endpoints at the point where this run ended.
    pub(crate) fn is_surpassed_by(&self, reached_ms: u64) -> bool {
        reached_ms >= 2 * self.reached_ms + FURTHER_PROGRESS_MS
    }

    /// Merges another report of the same crash. Returns whether a property that affects decisions
    /// changed.
    pub(crate) fn join(&mut self, other: &Self) -> bool {
        // If the endpoint had several runs of the request, the one answered for longest is the most
        // informative.
        let is_longer = other.answered_ms > self.answered_ms || other.reached_ms > self.reached_ms;
        self.answered_ms = self.answered_ms.max(other.answered_ms);
        self.reached_ms = self.reached_ms.max(other.reached_ms);
        // A delayed report makes a crash appear later than it was, never earlier.
        self.began_at = self.began_at.min(other.began_at);
        self.ended_at = self.ended_at.min(other.ended_at);
        let weight = self.weight.max(other.weight);
        std::mem::replace(&mut self.weight, weight) != weight || is_longer
    }
}
