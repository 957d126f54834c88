//! How often innocent requests are blamed for the ends of endpoints, played on a virtual clock.
//!
//! Engines of three zones end by themselves, one by one, a zone at a time and in turn, while streams run
//! there: many of one content, much asked, and others asked once. Among them come requests that crash
//! the engine which begins to answer them. What the crash ledger holds against whom is counted.

mod fleet;
mod play;

use std::ops::AddAssign;

pub use play::play;

/// A load, and the faults beside it.
#[derive(Clone, Copy, Debug)]
pub struct BlamePlan {
    /// Requests a second that do no harm.
    pub asked_per_s: f64,
    /// Requests a second that crash the engine which runs them.
    pub crashing_per_s: f64,
    /// Engines in each of three zones.
    pub engines_per_zone: usize,
    /// Part of the harmless requests that is of a few contents.
    pub popular_share: f64,
    /// How often engines are restarted one after the other; zero for never.
    pub restarts_every_ms: u64,
    /// For how long.
    pub seconds: u64,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// How often a single engine ends by itself; zero for never.
    pub single_falls_every_ms: u64,
    /// How often most engines of a zone end; zero for never.
    pub zone_falls_every_ms: u64,
}

impl Default for BlamePlan {
    fn default() -> Self {
        Self {
            asked_per_s: 40.0,
            crashing_per_s: 1.0,
            engines_per_zone: 8,
            popular_share: 0.3,
            restarts_every_ms: 2_000,
            seconds: 250,
            seed: 1,
            single_falls_every_ms: 1_500,
            zone_falls_every_ms: 6_500,
        }
    }
}

/// Counts of requests and crashes over one play.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BlameTally {
    /// Harmless requests that were asked.
    pub asked: usize,
    /// Those that were refused, or broken off, since they were quarantined.
    pub blamed: usize,
    /// Contents that crash engines and were asked until they were quarantined.
    pub caught: usize,
    /// Requests that crash engines and were asked.
    pub crashing: usize,
    /// The most crashes of one such content.
    pub most_crashes: usize,
    /// The most of them whose runs were sent later than 3 s after the third.
    pub most_late: usize,
}

impl AddAssign for BlameTally {
    fn add_assign(&mut self, other: Self) {
        self.asked += other.asked;
        self.blamed += other.blamed;
        self.caught += other.caught;
        self.crashing += other.crashing;
        self.most_crashes = self.most_crashes.max(other.most_crashes);
        self.most_late = self.most_late.max(other.most_late);
    }
}
