//! Roll-outs of good and bad versions, played on a virtual clock.
//!
//! Relays split requests between the versions and report; a leader drives the roll-out. Beside it one
//! route fails by nature, zones go down, load doubles, relays freeze and restart, and the leader is
//! lost. What a bad version got, and until when, is counted.

mod judges;
mod play;
mod world;

pub use judges::{posterior, windows};
pub use masticsill_rollout::{JudgeFn, Phase, judge as sequential};
pub use play::play;

/// What is wrong with the target version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    /// Nothing.
    None,
    /// It fails a share of all requests.
    Fails(f64),
    /// It takes that many times as long to answer.
    Slow(f64),
    /// It fails a share of all requests from a time on, in milliseconds since the order.
    FailsFrom(f64, u64),
    /// It fails a share of requests while an endpoint gets more than 0.6 of what an old one usually
    /// gets.
    FailsUnderLoad(f64),
    /// It fails a share of the requests of one route.
    FailsOnRoute(f64, usize),
    /// It is that many times slower on one route.
    SlowOnRoute(f64, usize),
}

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Time to the answer, or to the first event of a stream.
    pub first_ms: f64,
    /// Time from there to the end of a stream; zero for plain requests.
    pub rest_ms: f64,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// Streams: 17 a second, 5 s each.
pub const STREAMS: Load = Load {
    first_ms: 1_000.0,
    rest_ms: 4_000.0,
    requests_per_s: 17.0,
};

/// Plain requests: 100 a second, 30 ms each.
pub const PLAIN: Load = Load {
    first_ms: 30.0,
    rest_ms: 0.0,
    requests_per_s: 100.0,
};

/// One roll-out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPlan {
    /// What is wrong with the target.
    pub flaw: Flaw,
    /// Whether zones fail, load doubles, relays freeze and restart, the leader is lost, and the
    /// target's endpoints are few or cold, each as drawn from the seed.
    pub has_faults: bool,
    /// The way to judge.
    pub judge: JudgeFn,
    /// The load.
    pub load: Load,
    /// Seed of everything that is drawn.
    pub seed: u64,
}

/// Duration of the roll-outs that are played, in milliseconds.
pub const DURATION_MS: u64 = 12_000;
/// Share of all requests that a bad version may get.
pub const EXPOSE_SHARE: f64 = 0.1;
/// Requests that it may get in addition.
pub const EXPOSE_SLACK: u32 = 50;
/// Until when after its 50th bad answer a bad version may get requests, in milliseconds.
pub const ROLLBACK_MS: u64 = 5_000;

/// How a roll-out went.
#[derive(Clone, Copy, Debug)]
pub struct RolloutOutcome {
    /// Bad answers of the target, to requests sent at any time.
    pub bad: u64,
    /// When the roll-out ended, since its order.
    pub ended_ms: Option<u64>,
    /// When the target's 50th bad answer came.
    pub fiftieth_bad_ms: Option<u64>,
    /// When the target got its last request.
    pub last_sent_ms: u64,
    /// Requests that the old endpoints still ran when they stopped.
    pub cut: u64,
    /// The phase at the end of the duration.
    pub phase: Phase,
    /// Requests that the target got until the end of the duration.
    pub target: u64,
    /// All requests until then.
    pub total: u64,
}

impl RolloutOutcome {
    /// Whether the roll-out was completed in time.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.phase == Phase::Completed
    }

    /// Whether it was rolled back in time.
    #[must_use]
    pub fn is_rolled_back(&self) -> bool {
        matches!(self.phase, Phase::RolledBack(_))
    }

    /// Requests that a bad target got beyond its bound; negative if it was within.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of some thousands")]
    pub fn overexposed(&self) -> f64 {
        let allowed = EXPOSE_SHARE * self.total as f64 + f64::from(EXPOSE_SLACK);
        self.target as f64 - allowed
    }

    /// How long after its 50th bad answer a bad target got requests.
    #[must_use]
    pub fn rollback_ms(&self) -> u64 {
        self.fiftieth_bad_ms
            .map_or(0, |at| self.last_sent_ms.saturating_sub(at))
    }

    /// Whether a bad target was rolled back within all bounds.
    #[must_use]
    pub fn keeps_bounds(&self) -> bool {
        self.is_rolled_back() && self.overexposed() <= 0.0 && self.rollback_ms() <= ROLLBACK_MS
    }
}
