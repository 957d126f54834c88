//! One run that ended together with its endpoint.

use masticsill_registry::EndpointId;
use masticsill_types::{ClockMs, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether a crash is held against the request. It only ever goes on to a later one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Weight {
    /// Not judged yet: others may tell what else fell at that moment.
    Pending,
    /// It is.
    Counted,
    /// It is not: other endpoints of the zone fell at the same moment without this request, or one
    /// ran beside it that is known to crash endpoints.
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
    /// How long ago it began, in milliseconds.
    pub began_ago_ms: u64,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// How long ago it ended, in milliseconds.
    pub ended_ago_ms: u64,
    /// Whether it counts.
    pub weight: Weight,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
}

/// A run that ended together with its endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// When it began.
    pub began_at: ClockMs,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// When it ended.
    pub ended_at: ClockMs,
    /// Whether it counts.
    pub weight: Weight,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
}

impl CrashedRun {
    pub(crate) fn from_record(now: ClockMs, record: &CrashRecord) -> Self {
        Self {
            began_at: now.before(record.began_ago_ms),
            endpoint: record.endpoint.clone(),
            ended_at: now.before(record.ended_ago_ms),
            weight: record.weight,
            zone: record.zone.clone(),
        }
    }

    pub(crate) fn to_record(&self, now: ClockMs) -> CrashRecord {
        CrashRecord {
            began_ago_ms: now.since(self.began_at),
            endpoint: self.endpoint.clone(),
            ended_ago_ms: now.since(self.ended_at),
            weight: self.weight,
            zone: self.zone.clone(),
        }
    }

    /// Joins what another process tells of the same crash; returns whether its weight is another now.
    pub(crate) fn join(&mut self, other: &Self) -> bool {
        // A word that was held up makes a crash seem later than it was, never earlier.
        self.began_at = self.began_at.min(other.began_at);
        self.ended_at = self.ended_at.min(other.ended_at);
        let weight = self.weight.max(other.weight);
        std::mem::replace(&mut self.weight, weight) != weight
    }
}
