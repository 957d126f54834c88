//! Decides the next step of a roll-out.

use masticsill_types::ClockMs;

use crate::evidence::EvidenceStore;
use crate::step::{Phase, RollbackCause, Rollout, RolloutStep};

/// Bounds that every roll-out keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Time in which an operator may repeat an order, in milliseconds.
    pub repeat_ms: u64,
    /// Requests that a bad target version may get beyond its share.
    pub expose_slack: u32,
    /// Share of the service's requests that a bad target version may get, from 0 to 1.
    pub expose_share: f64,
    /// Time in which a bad target version must get no new requests any more, in milliseconds.
    pub rollback_ms: u64,
}

/// What the leader knows when it decides on a step.
#[derive(Clone, Copy, Debug)]
pub struct DriverInput<'a> {
    /// The entries' reports.
    pub evidence: &'a EvidenceStore,
    /// Ready endpoints of all versions but the target.
    pub old_ready: u32,
    /// Ready endpoints of the target version.
    pub target_ready: u32,
}

/// Drives one roll-out while this process leads.
#[derive(Clone, Debug)]
pub struct RolloutDriver {
    began_at: ClockMs,
    limits: RolloutLimits,
}

impl RolloutDriver {
    /// Takes over a roll-out. Its age counts on from its last step.
    #[must_use]
    pub fn resume(now: ClockMs, rollout: &Rollout, limits: RolloutLimits) -> Self {
        Self {
            began_at: now.before(rollout.elapsed_ms),
            limits,
        }
    }

    /// Decides on the next step; none if the roll-out stays as it is for now.
    #[must_use]
    pub fn step(
        &mut self,
        now: ClockMs,
        rollout: &Rollout,
        input: &DriverInput<'_>,
    ) -> Option<RolloutStep> {
        let elapsed_ms = now.since(self.began_at);
        let is_repeatable = elapsed_ms < self.limits.repeat_ms;
        let phase = if rollout.phase.is_ended() || elapsed_ms < rollout.order.duration_ms {
            rollout.phase
        } else if input.target_ready == 0 {
            Phase::RolledBack(RollbackCause::NoEndpoints)
        } else {
            Phase::RolledBack(RollbackCause::Undecided)
        };
        if phase == rollout.phase && is_repeatable == rollout.is_repeatable {
            return None;
        }
        Some(RolloutStep {
            elapsed_ms,
            is_repeatable,
            number: rollout.number,
            phase,
            step: rollout.step + 1,
        })
    }
}
