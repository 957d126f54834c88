//! The priority of a request.

use serde::{Deserialize, Serialize};

/// Priority of a request among those that compete for the same endpoints.
///
/// The workspace's priority decides first; among workspaces of equal priority, the route's does.
/// Smaller values are more urgent, and zero is the most urgent one.
// The order of the fields is the order of comparison.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Priority {
    /// Priority of the workspace; that of the route where the workspace has none.
    pub workspace: u32,
    /// Priority of the route.
    pub route: u32,
}

impl Priority {
    /// The priority of a request on a route, for a workspace that may have a priority of its own.
    #[must_use]
    pub fn new(workspace: Option<u32>, route: u32) -> Self {
        Self {
            workspace: workspace.unwrap_or(route),
            route,
        }
    }
}
