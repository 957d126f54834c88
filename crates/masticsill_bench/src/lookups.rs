//! Lookups of many entries at a few plain endpoints, of which most leave, played on a virtual clock.
//!
//! The entries are the product's dispatchers. Each knows its own requests only, and all share what the
//! endpoints can do.

mod play;

use std::ops::AddAssign;

pub use play::play;

/// A load, and the endpoints before it.
#[derive(Clone, Copy, Debug)]
pub struct LookupPlan {
    /// Time within which an answer counts.
    pub aim_ms: u64,
    /// Requests a second.
    pub asked_per_s: f64,
    /// Time that callers give.
    pub deadline_ms: u64,
    /// Endpoints at first.
    pub endpoints: usize,
    /// Endpoints that are left in the end.
    pub endpoints_left: usize,
    /// Entries.
    pub entries: usize,
    /// When the others leave.
    pub leave_at_ms: u64,
    /// How long requests come.
    pub length_ms: u64,
    /// Requests that an endpoint queues beyond its slots.
    pub queue: usize,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Requests that an endpoint works on at once.
    pub slots: usize,
    /// Mean time of a request's work.
    pub work_ms: u64,
}

impl Default for LookupPlan {
    /// A third of the capacity is left, and a third more is asked than that.
    fn default() -> Self {
        Self {
            aim_ms: 300,
            asked_per_s: 130.0,
            deadline_ms: 1_500,
            endpoints: 3,
            endpoints_left: 1,
            entries: 33,
            leave_at_ms: 6_000,
            length_ms: 26_000,
            queue: 12,
            seed: 1,
            slots: 6,
            work_ms: 60,
        }
    }
}

/// What callers got that asked once few endpoints were left.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LookupTally {
    /// Requests.
    pub asked: usize,
    /// Answered within the aim.
    pub in_aim: usize,
    /// Answered later.
    pub late: usize,
    /// Never answered.
    pub unanswered: usize,
    /// Requests that an endpoint had no place for.
    pub turned_away: usize,
}

impl AddAssign for LookupTally {
    fn add_assign(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_aim += other.in_aim;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.turned_away += other.turned_away;
    }
}
