//! Monotonic and wall clocks, in milliseconds.

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::{SystemTime, UNIX_EPOCH};

/// A point on a process's monotonic clock, in milliseconds since that clock's origin.
///
/// Points of different processes are not comparable: only ages (differences) are sent.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ClockMs(pub u64);

impl ClockMs {
    /// Milliseconds from `earlier` to this point; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `age_ms` milliseconds before this one, but not before the clock's origin.
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

/// A clock that reads `CLOCK_BOOTTIME`, which advances while the machine is suspended.
///
/// `CLOCK_MONOTONIC` does not, so after a resume a leader would still consider its lease valid, and
/// an entry its proof of freshness. Copies of a clock share one origin.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin_ms: u64,
}

impl MonotonicClock {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin_ms: boot_ms(),
        }
    }

    /// The current time, relative to the clock's origin.
    #[must_use]
    pub fn now(&self) -> ClockMs {
        ClockMs(boot_ms().saturating_sub(self.origin_ms))
    }
}

/// Milliseconds since the machine's boot.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds_ms = u64::try_from(time.tv_sec).unwrap_or_default() * 1_000;
    seconds_ms + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
}

/// The wall-clock time in milliseconds since 1970; zero if the clock is set earlier.
///
/// Used for records that people read, and for numbers that must increase across restarts. The wall
/// clock may jump, so ages and leases are never computed from it.
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(elapsed_ms).unwrap_or(u64::MAX)
}
