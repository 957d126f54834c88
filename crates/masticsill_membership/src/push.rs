//! Fresh news goes to the entries and to the control quorum at once.
//!
//! While they are few, the node where news arises tells all of them. When they are many it tells
//! some, and each entry that hears news for the first time passes it on to a few others.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::member::{Record, Role};
use crate::table::MemberTable;

/// Up to this many listeners are told directly.
const DIRECT_LISTENERS: usize = 32;
/// Listeners told by the origin when there are more.
const ORIGIN_FANOUT: usize = 16;
/// Listeners told by one that passes news on, beside the logarithm of their number.
const EXTRA_FANOUT: usize = 2;
/// Records on one push.
const MAX_RECORDS: usize = 32;
/// Estimated size of a message without records, and of one record.
const MESSAGE_BYTES: u64 = 200;
const RECORD_BYTES: u64 = 100;
/// What passing on may cost in the long run, and at once.
const BYTES_PER_SECOND: u64 = 800;
const BURST_BYTES: u64 = 64_000;

/// A message to send to several listeners.
#[derive(Clone, Debug)]
pub(crate) struct Push {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) records: Vec<Record>,
}

/// News not yet pushed, and what pushing may still cost.
#[derive(Clone, Debug)]
pub(crate) struct PushBudget {
    bytes: u64,
    /// Members with news, and whether the news arose here.
    fresh: IndexMap<NodeId, bool>,
    refilled_at: ClockMs,
}

impl Default for PushBudget {
    fn default() -> Self {
        Self {
            bytes: BURST_BYTES,
            fresh: IndexMap::new(),
            refilled_at: ClockMs::default(),
        }
    }
}

impl PushBudget {
    /// Notes news that arose at this node.
    pub(crate) fn add_arisen(&mut self, node: NodeId) {
        self.fresh.insert(node, true);
    }

    /// Notes news that another node told.
    pub(crate) fn add_heard(&mut self, node: NodeId) {
        self.fresh.entry(node).or_insert(false);
    }

    /// Takes the next push. News over the budget travels on other messages only.
    pub(crate) fn next(
        &mut self,
        now: ClockMs,
        own: &Record,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Option<Push> {
        self.refill(now);
        let count = self.fresh.len().min(MAX_RECORDS);
        let taken: Vec<(NodeId, bool)> = self.fresh.drain(..count).collect();
        let has_arisen = taken.iter().any(|(_, has_arisen)| *has_arisen);
        if !has_arisen && !passes_on(own) {
            return None;
        }
        let mut addresses = listeners(own, table);
        addresses.shuffle(rng);
        addresses.truncate(fanout(addresses.len(), has_arisen));
        if addresses.is_empty() || taken.is_empty() {
            return None;
        }
        let is_own_word = taken.iter().any(|(node, _)| *node == own.node);
        if !is_own_word && !self.pay(addresses.len(), taken.len()) {
            return None;
        }
        let records = taken.iter().filter_map(|(node, _)| table.record(node));
        Some(Push {
            addresses,
            records: records.cloned().collect(),
        })
    }

    fn refill(&mut self, now: ClockMs) {
        let earned = now.since(self.refilled_at) * BYTES_PER_SECOND / 1_000;
        if earned > 0 {
            self.bytes = (self.bytes + earned).min(BURST_BYTES);
            self.refilled_at = now;
        }
    }

    fn pay(&mut self, messages: usize, records: usize) -> bool {
        let size = MESSAGE_BYTES + RECORD_BYTES * records as u64;
        let cost = size * messages as u64;
        let Some(left) = self.bytes.checked_sub(cost) else {
            return false;
        };
        self.bytes = left;
        true
    }
}

fn is_listener(role: &Role) -> bool {
    match role {
        Role::Entry | Role::Control => true,
        Role::Agent(_) => false,
    }
}

fn passes_on(own: &Record) -> bool {
    is_listener(&own.role)
}

fn listeners(own: &Record, table: &MemberTable) -> Vec<SocketAddr> {
    let members = table.members().filter(|member| is_listener(&member.role));
    let others = members.filter(|member| member.node != own.node);
    others.map(|member| member.address).collect()
}

fn fanout(listeners: usize, has_arisen: bool) -> usize {
    if has_arisen && listeners <= DIRECT_LISTENERS {
        return listeners;
    }
    if has_arisen {
        return ORIGIN_FANOUT;
    }
    if listeners <= DIRECT_LISTENERS {
        return EXTRA_FANOUT;
    }
    let logarithm = usize::BITS - listeners.leading_zeros();
    logarithm as usize + EXTRA_FANOUT
}
