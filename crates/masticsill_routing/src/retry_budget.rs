//! Retry budgets: retries are limited to a fraction of the successful requests, so that failures
//! don't multiply the load.

use indexmap::IndexMap;
use masticsill_types::{NodeId, WorkspaceId};

/// Successful requests that earn one retry.
const SUCCESSES_PER_RETRY: u32 = 10;
/// Retries that a budget holds at most. A new budget starts full.
const MAX_SAVED_RETRIES: u32 = 10;

/// The budget of one workspace or endpoint, in tenths of a retry.
#[derive(Clone, Copy, Debug)]
struct Budget {
    saved: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY,
        }
    }
}

impl Budget {
    fn earn(&mut self) {
        self.saved = (self.saved + 1).min(MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY);
    }

    fn can_pay(self) -> bool {
        self.saved >= SUCCESSES_PER_RETRY
    }

    fn pay(&mut self) {
        self.saved = self.saved.saturating_sub(SUCCESSES_PER_RETRY);
    }
}

/// The retry budgets of all workspaces and endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudgets {
    endpoints: IndexMap<NodeId, Budget>,
    workspaces: IndexMap<WorkspaceId, Budget>,
}

impl RetryBudgets {
    /// Credits a successful request to the workspace and the endpoint. A budget that was never
    /// charged is full and isn't stored.
    pub(crate) fn earn(&mut self, workspace: &WorkspaceId, node: &NodeId) {
        if let Some(budget) = self.workspaces.get_mut(workspace) {
            budget.earn();
        }
        if let Some(budget) = self.endpoints.get_mut(node) {
            budget.earn();
        }
    }

    /// Charges a retry of a request that failed at the endpoint `failed` to the workspace and to
    /// that endpoint. Charges neither and returns `false` when either budget is used up.
    pub(crate) fn pay(&mut self, workspace: &WorkspaceId, failed: &NodeId) -> bool {
        let workspace = self.workspaces.entry(workspace.clone()).or_default();
        let endpoint = self.endpoints.entry(failed.clone()).or_default();
        if !workspace.can_pay() || !endpoint.can_pay() {
            return false;
        }
        workspace.pay();
        endpoint.pay();
        true
    }

    /// Removes the budget of an endpoint that is gone.
    pub(crate) fn remove(&mut self, node: &NodeId) {
        self.endpoints.swap_remove(node);
    }
}
