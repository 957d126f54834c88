//! A bounded log of member changes, from which views update without reading all members.

use std::collections::VecDeque;

use masticsill_types::NodeId;

const MAX_KEPT_CHANGES: usize = 4_096;

/// The members that changed since a cursor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangesSince {
    /// The log no longer reaches back to the cursor, so the caller must read all members.
    All,
    /// The members that changed; a member that changed several times may be listed several times.
    Members(Vec<NodeId>),
}

/// The latest changes, numbered consecutively.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<NodeId>,
    next: u64,
}

impl ChangeLog {
    pub(crate) fn push(&mut self, node: &NodeId) {
        if self.changes.len() == MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(node.clone());
        self.next += 1;
    }

    /// The cursor after the latest change.
    pub(crate) fn cursor(&self) -> u64 {
        self.next
    }

    pub(crate) fn since(&self, cursor: u64) -> ChangesSince {
        let missed = self.next.saturating_sub(cursor);
        let Ok(missed) = usize::try_from(missed) else {
            return ChangesSince::All;
        };
        let Some(start) = self.changes.len().checked_sub(missed) else {
            return ChangesSince::All;
        };
        ChangesSince::Members(self.changes.range(start..).cloned().collect())
    }
}
