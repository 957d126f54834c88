//! Pushes new updates to the entries and to the control quorum at once.
//!
//! While these recipients are few, the node where an update originates sends it to all of them.
//! When they are many, the node sends it to some of them, and each entry or control replica that
//! receives an update for the first time forwards it to a few others.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::member::{Record, Role};
use crate::table::MemberTable;

/// Up to this number of recipients, the originating node sends an update to all of them.
const MAX_DIRECT_RECIPIENTS: usize = 32;
/// Recipients to which the originating node sends an update when there are more.
const ORIGIN_FANOUT: usize = 16;
/// Recipients to which a forwarding node sends an update, in addition to the binary logarithm of
/// the number of recipients when there are more than [`MAX_DIRECT_RECIPIENTS`].
const FORWARDER_EXTRA_FANOUT: usize = 2;
/// Maximum number of records in one push.
const MAX_RECORDS_PER_PUSH: usize = 32;
/// Estimated size of a message without records.
const EMPTY_MESSAGE_BYTES: u64 = 200;
/// Estimated size of one record.
const RECORD_BYTES: u64 = 100;
/// Rate at which the push budget is refilled.
const BUDGET_BYTES_PER_S: u64 = 800;
/// Upper bound of the push budget, and so of what may be pushed in one burst.
const BUDGET_BURST_BYTES: u64 = 64_000;

/// A message to send to several recipients.
#[derive(Clone, Debug)]
pub(crate) struct Push {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) records: Vec<Record>,
}

/// Updates that were not pushed yet, and a token bucket that limits the bytes spent on pushes.
#[derive(Clone, Debug)]
pub(crate) struct PushBudget {
    bytes: u64,
    /// Members with updates that were not pushed yet, and whether the update originated here.
    unsent: IndexMap<NodeId, bool>,
    refilled_at: ClockMs,
}

impl Default for PushBudget {
    fn default() -> Self {
        Self {
            bytes: BUDGET_BURST_BYTES,
            unsent: IndexMap::new(),
            refilled_at: ClockMs::default(),
        }
    }
}

impl PushBudget {
    /// Adds an update that originated at this node.
    pub(crate) fn add_local(&mut self, node: NodeId) {
        self.unsent.insert(node, true);
    }

    /// Adds an update received from another node.
    pub(crate) fn add_received(&mut self, node: NodeId) {
        self.unsent.entry(node).or_insert(false);
    }

    /// Returns the next push. Updates beyond the budget are only piggybacked on other messages.
    /// Updates about this node itself are pushed regardless of the budget.
    pub(crate) fn next(
        &mut self,
        now: ClockMs,
        own: &Record,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Option<Push> {
        self.refill(now);
        let count = self.unsent.len().min(MAX_RECORDS_PER_PUSH);
        let taken: Vec<(NodeId, bool)> = self.unsent.drain(..count).collect();
        let is_local = taken.iter().any(|(_, is_local)| *is_local);
        if !is_local && !forwards_updates(own) {
            return None;
        }
        let mut addresses = recipients(own, table);
        addresses.shuffle(rng);
        addresses.truncate(fanout(addresses.len(), is_local));
        if addresses.is_empty() || taken.is_empty() {
            return None;
        }
        let includes_own = taken.iter().any(|(node, _)| *node == own.node);
        if !includes_own && !self.spend(addresses.len(), taken.len()) {
            return None;
        }
        let records = taken.iter().filter_map(|(node, _)| table.record(node));
        Some(Push {
            addresses,
            records: records.cloned().collect(),
        })
    }

    fn refill(&mut self, now: ClockMs) {
        let earned = now.since(self.refilled_at) * BUDGET_BYTES_PER_S / 1_000;
        if earned > 0 {
            self.bytes = (self.bytes + earned).min(BUDGET_BURST_BYTES);
            self.refilled_at = now;
        }
    }

    fn spend(&mut self, messages: usize, records: usize) -> bool {
        let size = EMPTY_MESSAGE_BYTES + RECORD_BYTES * records as u64;
        let cost = size * messages as u64;
        let Some(left) = self.bytes.checked_sub(cost) else {
            return false;
        };
        self.bytes = left;
        true
    }
}

fn receives_pushes(role: &Role) -> bool {
    match role {
        Role::Entry | Role::Control => true,
        Role::Agent(_) => false,
    }
}

fn forwards_updates(own: &Record) -> bool {
    receives_pushes(&own.role)
}

fn recipients(own: &Record, table: &MemberTable) -> Vec<SocketAddr> {
    let members = table
        .members()
        .filter(|member| receives_pushes(&member.role));
    let others = members.filter(|member| member.node != own.node);
    others.map(|member| member.address).collect()
}

fn fanout(recipients: usize, is_local: bool) -> usize {
    if is_local && recipients <= MAX_DIRECT_RECIPIENTS {
        return recipients;
    }
    if is_local {
        return ORIGIN_FANOUT;
    }
    if recipients <= MAX_DIRECT_RECIPIENTS {
        return FORWARDER_EXTRA_FANOUT;
    }
    let logarithm = usize::BITS - recipients.leading_zeros();
    logarithm as usize + FORWARDER_EXTRA_FANOUT
}
