//! Streams at engines of uneven speed, some of which die, on a virtual clock: when entries leave a
//! silent run, and what that costs.
//!
//! Engines decode in batches, and carry a chunk of a prompt in each step while they prefill. Entries
//! see the events of their own streams, and learn of other entries' prefills with a delay. Placement
//! is the same for all methods and knows the load of all engines.

mod fleet;
mod play;

use std::ops::AddAssign;

pub use play::play;

/// When an entry presumes that a silent run has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// After the same time at every engine.
    Fixed,
    /// After twice the mean gap of the engine's streams.
    TwiceMean,
    /// After the mean gap and four mean deviations, regardless of prefills.
    Deviation,
    /// Like `Deviation`, with the gaps beside a prefill apart.
    ByPrefill,
    /// Like `ByPrefill`, with the silence of runs that were left at live engines as gaps, and bounded
    /// by what the time of a resume leaves of the target gap.
    Left,
    /// Like `Left`, with the gaps of all engines for an engine of which too little is known.
    Weighted,
    /// Like `Weighted`, up to the target gap also where a copy could be resumed in time.
    Kept,
    /// Like `Kept`, with the longer one of the engine's gaps and those of all engines.
    Longer,
    /// What the time of a resume leaves of the target gap, whatever the engine's own gaps.
    TargetOnly,
}

impl Method {
    /// All methods; the first one was the product's.
    pub const ALL: [Self; 9] = [
        Self::Fixed,
        Self::TwiceMean,
        Self::Deviation,
        Self::ByPrefill,
        Self::Left,
        Self::Weighted,
        Self::Kept,
        Self::Longer,
        Self::TargetOnly,
    ];

    /// The name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Fixed => "fixed, 350 ms",
            Self::TwiceMean => "twice the mean",
            Self::Deviation => "mean and deviation",
            Self::ByPrefill => "the same, by prefill",
            Self::Left => "with runs left",
            Self::Weighted => "with runs left, others' gaps",
            Self::Kept => "the same, up to the target",
            Self::Longer => "the longer one, up to the target",
            Self::TargetOnly => "target less resume",
        }
    }
}

/// A load, and the engines that serve it.
#[derive(Clone, Copy, Debug)]
pub struct UnevenPlan {
    /// Streams a second.
    pub asked_per_s: f64,
    /// Share of runs of which a usable copy exists once they send events.
    pub copied_share: f64,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// Entries, each of which gets the same share of the streams.
    pub entries: usize,
    /// How long streams begin.
    pub length_ms: u64,
    /// Mean time from an engine's start to its death.
    pub lifetime_ms: f64,
    /// Speeds of the engines: the slowest and the fastest, as multiples of the usual one.
    pub speeds: (f64, f64),
    /// Share of the time in which an engine is slow, for 600 ms at a time.
    pub slow_share: f64,
    /// Engines of usual speed without slow periods; the others are as said above.
    pub steady_engines: usize,
    /// Zones, one of which goes down for 5 s.
    pub zones: usize,
}

impl Default for UnevenPlan {
    fn default() -> Self {
        Self {
            asked_per_s: 5.0,
            copied_share: 0.7,
            engines: 24,
            entries: 8,
            length_ms: 60_000,
            lifetime_ms: 120_000.0,
            speeds: (0.55, 1.2),
            slow_share: 0.15,
            steady_engines: 0,
            zones: 3,
        }
    }
}

/// What callers got, and what was spent on it.
#[derive(Clone, Debug, Default)]
pub struct UnevenTally {
    /// Streams.
    pub streams: usize,
    /// Streams with a pause longer than the target gap.
    pub late: usize,
    /// Streams with a pause longer than 2 s.
    pub paused_2_s: usize,
    /// Streams that were late, or left an engine that was alive.
    pub late_or_left: usize,
    /// Streams that left an engine that was alive, at least once.
    pub left_alive: usize,
    /// Runs that were left at an engine that was alive.
    pub runs_left_alive: usize,
    /// Prompt tokens read again after leaving an engine that was alive.
    pub tokens_read_again: f64,
    /// Time from the death of an engine to leaving it, of streams with events, in milliseconds.
    pub detected_ms: Vec<u64>,
    /// The same for engines whose zone went down, of entries that had runs at several engines there.
    pub detected_zone_ms: Vec<u64>,
}

impl AddAssign for UnevenTally {
    fn add_assign(&mut self, other: Self) {
        self.streams += other.streams;
        self.late += other.late;
        self.paused_2_s += other.paused_2_s;
        self.late_or_left += other.late_or_left;
        self.left_alive += other.left_alive;
        self.runs_left_alive += other.runs_left_alive;
        self.tokens_read_again += other.tokens_read_again;
        self.detected_ms.extend(other.detected_ms);
        self.detected_zone_ms.extend(other.detected_zone_ms);
    }
}
