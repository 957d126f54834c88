//! News waiting to travel on other messages.

use indexmap::IndexMap;
use masticsill_types::NodeId;

/// How often each rumor is sent, times the binary logarithm of the member count.
const REPEATS: u32 = 3;
/// Rumors on one message.
const MAX_RUMORS: usize = 8;

/// Members whose latest record is still to be spread, with how often it was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    sent: IndexMap<NodeId, u32>,
}

impl Rumors {
    /// Starts to spread a member's latest record.
    pub(crate) fn start(&mut self, node: &NodeId) {
        self.sent.insert(node.clone(), 0);
    }

    /// Takes the least sent rumors for one message.
    pub(crate) fn take(&mut self, member_count: usize) -> Vec<NodeId> {
        if self.sent.is_empty() {
            return Vec::new();
        }
        let limit = REPEATS * (usize::BITS - member_count.leading_zeros()).max(1);
        self.sent.sort_by(|_, one, _, other| one.cmp(other));
        let mut taken = Vec::with_capacity(MAX_RUMORS.min(self.sent.len()));
        for (node, count) in self.sent.iter_mut().take(MAX_RUMORS) {
            *count += 1;
            taken.push(node.clone());
        }
        self.sent.retain(|_, count| *count < limit);
        taken
    }
}
