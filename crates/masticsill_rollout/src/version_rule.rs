//! Which versions of a service an entry may send new requests to.

use masticsill_types::ClockMs;
use serde::{Deserialize, Serialize};

use crate::order::RolloutNumber;
use crate::step::{Phase, Rollout};

/// A roll-out as entries learn of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingRollout {
    /// The number of the roll-out.
    pub number: RolloutNumber,
    /// The phase.
    pub phase: Phase,
    /// The service.
    pub service: String,
    /// The number of the step.
    pub step: u32,
    /// The target version.
    pub target: String,
}

impl From<&Rollout> for ServingRollout {
    fn from(rollout: &Rollout) -> Self {
        Self {
            number: rollout.number,
            phase: rollout.phase,
            service: rollout.order.service.clone(),
            step: rollout.step,
            target: rollout.order.target.clone(),
        }
    }
}

/// The versions that one request may be sent to.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum VersionChoice {
    /// Any version.
    #[default]
    Any,
    /// Any version but the given one.
    Except(String),
    /// Only the given version.
    Only(String),
}

impl VersionChoice {
    /// Whether an endpoint of a version may be chosen.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Except(excluded) => excluded != version,
            Self::Only(only) => only == version,
        }
    }
}

/// An entry's view of the latest roll-out of a service.
#[derive(Clone, Debug)]
pub struct VersionRule {
    /// Until when the step may be relied on: the leader vouched for it when it was asked, and does
    /// not give the target version less within the lease.
    leased_until: ClockMs,
    rollout: ServingRollout,
}

impl VersionRule {
    /// The view of a roll-out that no leader has vouched for yet.
    #[must_use]
    pub fn new(rollout: ServingRollout) -> Self {
        Self {
            leased_until: ClockMs(0),
            rollout,
        }
    }

    /// Applies a report, unless a newer one is known. `leased_until` is set if the leader reported
    /// it itself.
    ///
    /// A lease stays valid with a later step of the same roll-out. Followers often report a step
    /// first, and requests would leave the target until the leader reports it as well. The lease
    /// still limits for how long a further step can remain unknown.
    pub fn note(&mut self, rollout: &ServingRollout, leased_until: Option<ClockMs>) {
        let (held, reported) = (&self.rollout, rollout);
        let is_newer = (reported.number, reported.step) > (held.number, held.step);
        let is_same = (reported.number, reported.step) == (held.number, held.step);
        if is_newer {
            if held.number != reported.number {
                self.leased_until = ClockMs(0);
            }
            self.rollout = rollout.clone();
        }
        if (is_newer || is_same)
            && let Some(leased_until) = leased_until
        {
            self.leased_until = self.leased_until.max(leased_until);
        }
    }

    /// The roll-out.
    #[must_use]
    pub fn rollout(&self) -> &ServingRollout {
        &self.rollout
    }

    /// The target version.
    #[must_use]
    pub fn target(&self) -> &str {
        &self.rollout.target
    }

    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.rollout.phase.is_ended()
    }

    /// Whether the step may be relied on.
    #[must_use]
    pub fn is_leased(&self, now: ClockMs) -> bool {
        now < self.leased_until
    }

    /// Whether the target version may get new requests.
    #[must_use]
    pub fn is_target_open(&self, now: ClockMs) -> bool {
        match self.rollout.phase {
            Phase::Completed => true,
            Phase::Finishing => self.is_leased(now),
            Phase::Canary { share_permille } => share_permille > 0 && self.is_leased(now),
            Phase::RolledBack(_) => false,
        }
    }

    /// The versions for a new request that is not drawn for a share of the target version, or finds
    /// no capacity there.
    ///
    /// While the old version completes its requests, it gets no new ones even if the target has no
    /// capacity: they would be cut when the old endpoints stop.
    #[must_use]
    pub fn without_draw(&self, now: ClockMs) -> VersionChoice {
        match self.rollout.phase {
            Phase::Completed => VersionChoice::Only(self.rollout.target.clone()),
            Phase::Finishing if self.is_leased(now) => {
                VersionChoice::Only(self.rollout.target.clone())
            }
            Phase::Canary { .. } | Phase::Finishing | Phase::RolledBack(_) => {
                VersionChoice::Except(self.rollout.target.clone())
            }
        }
    }

    /// Chooses the versions for a new request; `random` is a number between 0 and 1.
    ///
    /// Without a valid lease the target version gets no new requests: the roll-out may have been
    /// rolled back meanwhile. An ended roll-out needs no lease, since its phase never changes.
    #[must_use]
    pub fn choose(&self, now: ClockMs, random: f64) -> VersionChoice {
        let target = || self.rollout.target.clone();
        let is_leased = self.is_leased(now);
        match self.rollout.phase {
            Phase::Completed => VersionChoice::Only(target()),
            Phase::Finishing if is_leased => VersionChoice::Only(target()),
            Phase::Canary { share_permille }
                if is_leased && random * 1_000.0 < f64::from(share_permille) =>
            {
                VersionChoice::Only(target())
            }
            Phase::Canary { .. } | Phase::Finishing | Phase::RolledBack(_) => {
                VersionChoice::Except(target())
            }
        }
    }
}
