//! The replicated table of roll-outs.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::order::{OrderAnswer, RolloutNumber, RolloutOrder};
use crate::step::{Phase, Rollout, RolloutStep};

/// The latest roll-out of each service. Every replica applies the same orders and steps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollouts {
    last_number: RolloutNumber,
    latest: IndexMap<String, Rollout>,
    /// Counts all changes.
    revision: u64,
}

impl Rollouts {
    /// Applies an order.
    ///
    /// The same order as the latest one of its service is acknowledged again while the operator may
    /// repeat it: it may not know that it was accepted. Any other order while a roll-out is in
    /// progress changes nothing.
    pub fn order(&mut self, order: &RolloutOrder) -> OrderAnswer {
        if let Some(latest) = self.latest.get(&order.service) {
            if latest.order == *order && (latest.is_repeatable || !latest.phase.is_ended()) {
                return OrderAnswer::Accepted(latest.number);
            }
            if !latest.phase.is_ended() {
                return OrderAnswer::InProgress(latest.number);
            }
        }
        self.last_number.0 += 1;
        self.revision += 1;
        let rollout = Rollout {
            elapsed_ms: 0,
            is_repeatable: true,
            number: self.last_number,
            order: order.clone(),
            phase: Phase::Canary { share_permille: 0 },
            step: 0,
        };
        self.latest.insert(order.service.clone(), rollout);
        OrderAnswer::Accepted(self.last_number)
    }

    /// Applies a step; returns whether it was applied. Only the next step of a roll-out is, and the
    /// phase of an ended one never changes.
    pub fn advance(&mut self, step: &RolloutStep) -> bool {
        let by_number = |it: &&mut Rollout| it.number == step.number;
        let Some(rollout) = self.latest.values_mut().find(by_number) else {
            return false;
        };
        if step.step != rollout.step + 1 || rollout.phase.is_ended() && rollout.phase != step.phase
        {
            return false;
        }
        rollout.elapsed_ms = step.elapsed_ms;
        rollout.is_repeatable = step.is_repeatable;
        rollout.phase = step.phase;
        rollout.step = step.step;
        self.revision += 1;
        true
    }

    /// The latest roll-out of a service.
    #[must_use]
    pub fn latest(&self, service: &str) -> Option<&Rollout> {
        self.latest.get(service)
    }

    /// The latest roll-out of each service.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.latest.values()
    }

    /// Counts the changes of the table.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
