//! The project's one clock type, in milliseconds.

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::{SystemTime, UNIX_EPOCH};

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

/// Reads the machine's boot clock, which goes on while the machine is suspended.
///
/// The steady clock stands still in that time: a leader that wakes would take its lease for
/// valid, and an entry its proof. Copies share one origin.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin_ms: u64,
}

impl MonotonicClock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin_ms: boot_ms(),
        }
    }

    /// The current point.
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

/// The wall clock in milliseconds since 1970, zero before then.
///
/// For records that people read, and for numbers that must be higher after a restart; it may
/// jump, so ages and leases never come from it.
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(elapsed_ms).unwrap_or(u64::MAX)
}
