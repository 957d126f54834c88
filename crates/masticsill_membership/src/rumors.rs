//! Updates that are waiting to be piggybacked on other messages.

use indexmap::IndexMap;
use masticsill_types::NodeId;

/// Number of times that each rumor is sent, per unit of the binary logarithm of the member count.
const SENDS_PER_LOG2_MEMBERS: u32 = 3;
/// Maximum number of rumors on one message.
const MAX_RUMORS_PER_MESSAGE: usize = 8;

/// Members whose latest record still has to be spread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    /// How many times the latest record of each member was sent.
    sent: IndexMap<NodeId, u32>,
}

impl Rumors {
    /// Starts to spread the latest record of a member.
    pub(crate) fn start(&mut self, node: &NodeId) {
        self.sent.insert(node.clone(), 0);
    }

    /// Returns the rumors for one message, those sent least often first, and drops the ones that
    /// were sent often enough.
    pub(crate) fn take(&mut self, member_count: usize) -> Vec<NodeId> {
        if self.sent.is_empty() {
            return Vec::new();
        }
        let limit = SENDS_PER_LOG2_MEMBERS * (usize::BITS - member_count.leading_zeros()).max(1);
        self.sent.sort_by(|_, one, _, other| one.cmp(other));
        let mut taken = Vec::with_capacity(MAX_RUMORS_PER_MESSAGE.min(self.sent.len()));
        for (node, count) in self.sent.iter_mut().take(MAX_RUMORS_PER_MESSAGE) {
            *count += 1;
            taken.push(node.clone());
        }
        self.sent.retain(|_, count| *count < limit);
        taken
    }
}
