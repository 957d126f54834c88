//! One run that ended together with its endpoint.

use masticsill_registry::EndpointId;
use masticsill_types::{ClockMs, ZoneId};
use serde::{Deserialize, Serialize};

/// How much longer than another an endpoint must have answered a run that is older.
const OLDER_MS: u64 = 500;
/// How much further a run must have got, beyond twice as far, to excuse the end of another: a request
/// that crashes endpoints does so at about the same point each time.
const FURTHER_MS: u64 = 1_000;

/// Whether a crash is held against the request. It only ever goes on to a later one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Weight {
    /// Not judged yet: others may tell what else fell at that moment.
    Pending,
    /// It is.
    Counted,
    /// It is not: something else explains it, or the request is known to be borne for longer.
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

/// A run that ended together with its endpoint, as told to another process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// For how long the endpoint had answered it, in milliseconds.
    pub answered_ms: u64,
    /// How long ago it began, in milliseconds.
    pub began_ago_ms: u64,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// How long ago it ended, in milliseconds.
    pub ended_ago_ms: u64,
    /// The same with the runs that it went on from, in milliseconds.
    pub reached_ms: u64,
    /// Whether it counts.
    pub weight: Weight,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
}

/// A run that ended together with its endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// For how long the endpoint had answered it, in milliseconds.
    pub answered_ms: u64,
    /// When it began.
    pub began_at: ClockMs,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// When it ended.
    pub ended_at: ClockMs,
    /// For how long it had been answered with the runs that it went on from, in milliseconds.
    pub reached_ms: u64,
    /// Whether it counts.
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

    /// Whether the endpoint had answered this run for clearly longer than another that ended with it.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        self.answered_ms >= other.answered_ms + OLDER_MS
    }

    /// Whether a run that was answered for this long shows that the request does not crash endpoints
    /// at the point where this run ended.
    pub(crate) fn is_surpassed_by(&self, reached_ms: u64) -> bool {
        reached_ms >= 2 * self.reached_ms + FURTHER_MS
    }

    /// Joins what another process tells of the same crash; returns whether anything that counts is
    /// another now.
    pub(crate) fn join(&mut self, other: &Self) -> bool {
        // Of several runs there, the one that was borne the longest tells the most.
        let is_longer = other.answered_ms > self.answered_ms || other.reached_ms > self.reached_ms;
        self.answered_ms = self.answered_ms.max(other.answered_ms);
        self.reached_ms = self.reached_ms.max(other.reached_ms);
        // A word that was held up makes a crash seem later than it was, never earlier.
        self.began_at = self.began_at.min(other.began_at);
        self.ended_at = self.ended_at.min(other.ended_at);
        let weight = self.weight.max(other.weight);
        std::mem::replace(&mut self.weight, weight) != weight || is_longer
    }
}
