//! Chooses the next member to probe, and the helpers for an indirect probe when that fails.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::member::{Member, Record};
use crate::table::MemberTable;

/// Maximum number of helpers asked to probe a target whose direct probe failed.
const MAX_HELPERS: usize = 3;

/// Probes members round-robin, in an order that is shuffled at the start of each round.
#[derive(Clone, Debug)]
pub(crate) struct Detector {
    /// The number of helpers that have not answered yet, by target.
    indirect_probes: IndexMap<NodeId, usize>,
    next: ClockMs,
    order: Vec<NodeId>,
    period_ms: u64,
}

impl Detector {
    pub(crate) fn new(now: ClockMs, period_ms: u64) -> Self {
        Self {
            indirect_probes: IndexMap::new(),
            next: now,
            order: Vec::new(),
            period_ms,
        }
    }

    /// Returns the next member to probe, or `None` until the probe period is over.
    pub(crate) fn next(
        &mut self,
        now: ClockMs,
        own: &NodeId,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Option<Record> {
        if now < self.next {
            return None;
        }
        self.next = now + self.period_ms;
        if self.order.is_empty() {
            self.order = peers(own, table).map(|peer| peer.node.clone()).collect();
            self.order.shuffle(rng);
        }
        while let Some(node) = self.order.pop() {
            if table.member(&node).is_some() && !self.indirect_probes.contains_key(&node) {
                return table.record(&node).cloned();
            }
        }
        None
    }

    /// Chooses random helpers for an indirect probe of a target, and returns their addresses.
    pub(crate) fn helpers(
        &mut self,
        target: &Record,
        own: &NodeId,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Vec<SocketAddr> {
        let others = peers(own, table).filter(|peer| peer.node != target.node);
        let mut addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        addresses.shuffle(rng);
        addresses.truncate(MAX_HELPERS);
        if !addresses.is_empty() {
            self.indirect_probes
                .insert(target.node.clone(), addresses.len());
        }
        addresses
    }

    /// Records the result of one helper. Returns whether all helpers failed to reach the target.
    pub(crate) fn record_helper_result(&mut self, target: &Record, is_reached: bool) -> bool {
        let Some(left) = self.indirect_probes.get_mut(&target.node) else {
            return false;
        };
        *left -= 1;
        let is_last = *left == 0;
        if is_reached || is_last {
            self.indirect_probes.swap_remove(&target.node);
        }
        is_last && !is_reached
    }

    /// Drops the indirect probes in flight. Called after a pause of this process, which makes the
    /// answers of their helpers stale.
    pub(crate) fn clear_indirect_probes(&mut self) {
        self.indirect_probes.clear();
    }
}

fn peers<'table>(own: &NodeId, table: &'table MemberTable) -> impl Iterator<Item = &'table Member> {
    let members = table.members().map(AsRef::as_ref);
    members.filter(move |peer: &&Member| peer.node != *own)
}
