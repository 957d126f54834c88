//! The project's one clock type, in milliseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, in milliseconds since that clock's origin.
///
/// Two processes never compare their points: only ages (differences) travel.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ClockMs(pub u64);

impl ClockMs {
    /// Milliseconds from `earlier` to this point, zero when `earlier` lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `age_ms` before this one, or the origin.
    #[must_use]
    pub fn before(self, age_ms: u64) -> Self {
        Self(self.0.saturating_sub(age_ms))
    }
}

impl Add<u64> for ClockMs {
    type Output = Self;

    fn add(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }
}

impl Sub for ClockMs {
    type Output = u64;

    fn sub(self, earlier: Self) -> u64 {
        self.since(earlier)
    }
}

impl fmt::Display for ClockMs {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

/// Reads the machine's monotonic clock. Copies share one origin.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current point.
    #[must_use]
    pub fn now(&self) -> ClockMs {
        let elapsed_ms = self.origin.elapsed().as_millis();
        ClockMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}
