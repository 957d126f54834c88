//! Whom to probe next, and through whom when that fails.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::member::{Member, Record};
use crate::table::MemberTable;

/// Helpers asked when a direct probe fails.
const HELPERS: usize = 3;

/// Probes members round robin in an order that is shuffled anew each round.
#[derive(Clone, Debug)]
pub(crate) struct Detector {
    /// Helpers still out, for each target.
    groups: IndexMap<NodeId, usize>,
    next: ClockMs,
    order: Vec<NodeId>,
    period_ms: u64,
}

impl Detector {
    pub(crate) fn new(now: ClockMs, period_ms: u64) -> Self {
        Self {
            groups: IndexMap::new(),
            next: now,
            order: Vec::new(),
            period_ms,
        }
    }

    /// The next member to probe, when it is time.
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
            if table.member(&node).is_some() && !self.groups.contains_key(&node) {
                return table.record(&node).cloned();
            }
        }
        None
    }

    /// Helpers for an indirect probe of a target.
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
        addresses.truncate(HELPERS);
        if !addresses.is_empty() {
            self.groups.insert(target.node.clone(), addresses.len());
        }
        addresses
    }

    /// Notes a helper's answer. Returns whether every helper failed to reach the target.
    pub(crate) fn end_helper(&mut self, target: &Record, is_reached: bool) -> bool {
        let Some(left) = self.groups.get_mut(&target.node) else {
            return false;
        };
        *left -= 1;
        let is_last = *left == 0;
        if is_reached || is_last {
            self.groups.swap_remove(&target.node);
        }
        is_last && !is_reached
    }

    /// Drops running indirect probes, whose helpers' answers went stale.
    pub(crate) fn forget_groups(&mut self) {
        self.groups.clear();
    }
}

fn peers<'table>(own: &NodeId, table: &'table MemberTable) -> impl Iterator<Item = &'table Member> {
    let members = table.members().map(AsRef::as_ref);
    members.filter(move |peer: &&Member| peer.node != *own)
}
