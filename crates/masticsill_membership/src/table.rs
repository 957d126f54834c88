//! The view of all members, into which received records are merged.

use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};

use crate::change_log::ChangeLog;
use crate::config::Periods;
use crate::digest::{Digest, bucket_of};
use crate::hold_down::HoldDown;
use crate::member::{Member, MemberState, Phase, Record};

/// If at least one in this many of all known members has failed and is not forgotten yet, the
/// network counts as partitioned.
const PARTITION_LOSS_DIVISOR: usize = 4;
/// A member that failed this close to a partition gets no hold-down when it returns.
const PARTITION_WINDOW_MS: u64 = 30_000;

#[derive(Clone, Debug)]
struct Slot {
    hold_down: HoldDown,
    is_expired: bool,
    member: Arc<Member>,
    record: Record,
}

impl Slot {
    fn state(&self) -> MemberState {
        if self.is_expired || self.record.phase == Phase::Left {
            MemberState::Gone
        } else if self.record.is_leaving() {
            MemberState::Leaving
        } else if self.record.is_suspected {
            MemberState::Suspect
        } else {
            MemberState::Alive
        }
    }

    fn is_gone(&self) -> bool {
        self.state() == MemberState::Gone
    }

    fn refresh(&mut self) {
        let held_until = self.hold_down.held_until;
        let member = Member::from_record(&self.record, self.state(), held_until);
        self.member = Arc::new(member);
    }
}

/// Members and tombstones.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    digest: Digest,
    last_partition: Option<ClockMs>,
    log: ChangeLog,
    periods: Periods,
    slots: IndexMap<NodeId, Slot>,
    /// The time at which each suspected member counts as gone.
    suspects: IndexMap<NodeId, ClockMs>,
    /// The time at which the tombstone of each gone member is removed.
    tombstones: IndexMap<NodeId, ClockMs>,
}

impl MemberTable {
    pub(crate) fn new(periods: Periods) -> Self {
        Self {
            digest: Digest::new(),
            last_partition: None,
            log: ChangeLog::default(),
            periods,
            slots: IndexMap::new(),
            suspects: IndexMap::new(),
            tombstones: IndexMap::new(),
        }
    }

    pub(crate) fn digest(&self) -> &Digest {
        &self.digest
    }

    pub(crate) fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// Returns the members that are not gone.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        let present = self.slots.values().filter(|slot| !slot.is_gone());
        present.map(|slot| &slot.member)
    }

    pub(crate) fn member(&self, node: &NodeId) -> Option<&Arc<Member>> {
        let slot = self.slots.get(node)?;
        (!slot.is_gone()).then_some(&slot.member)
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len() - self.tombstones.len()
    }

    /// Returns the latest record of a member, tombstones included.
    pub(crate) fn record(&self, node: &NodeId) -> Option<&Record> {
        self.slots.get(node).map(|slot| &slot.record)
    }

    /// Returns the records of all members of these buckets, tombstones included.
    pub(crate) fn bucket_records(&self, buckets: &[u16]) -> Vec<Record> {
        let records = self.slots.values().map(|slot| &slot.record);
        let wanted = records.filter(|record| buckets.contains(&bucket_of(&record.node)));
        wanted.cloned().collect()
    }

    /// Returns the members that are gone without having announced their end. They may return at
    /// their former address.
    pub(crate) fn failed_members(&self) -> impl Iterator<Item = &Record> {
        let slots = self
            .tombstones
            .keys()
            .filter_map(|node| self.slots.get(node));
        let silent = slots.filter(|slot| slot.record.phase != Phase::Left);
        silent.map(|slot| &slot.record)
    }

    /// Merges a record. Returns whether it changed the table.
    pub(crate) fn merge(&mut self, now: ClockMs, record: Record) -> bool {
        let Some(slot) = self.slots.get_mut(&record.node) else {
            self.insert(now, record);
            return true;
        };
        if !record.supersedes(&slot.record) {
            return false;
        }
        let was_gone = slot.is_gone();
        if !was_gone {
            self.digest.toggle(&slot.record);
        }
        let is_new_incarnation = record.incarnation > slot.record.incarnation;
        let was_replaced = is_new_incarnation && !was_gone && !slot.record.is_leaving();
        if was_replaced {
            slot.hold_down.record_failure(now);
        }
        let is_same_revision = !is_new_incarnation && record.revision == slot.record.revision;
        slot.is_expired = slot.is_expired && is_same_revision;
        slot.record = record;
        let has_returned =
            (was_gone || is_new_incarnation) && !slot.is_gone() && !slot.record.is_suspected;
        let is_partition_loss = self
            .last_partition
            .is_some_and(|partition| slot.hold_down.failed_within(partition, PARTITION_WINDOW_MS));
        if has_returned && !is_partition_loss {
            slot.hold_down.record_return(now);
        }
        let node = slot.record.node.clone();
        self.update_indexes(now, &node);
        true
    }

    fn insert(&mut self, now: ClockMs, record: Record) {
        let node = record.node.clone();
        let member = Member::from_record(&record, MemberState::Alive, ClockMs::default());
        let slot = Slot {
            hold_down: HoldDown::default(),
            is_expired: false,
            member: Arc::new(member),
            record,
        };
        self.slots.insert(node.clone(), slot);
        self.update_indexes(now, &node);
    }

    /// Updates the digest, the timers and the change log after a slot has changed. The former
    /// record of the slot must already be removed from the digest.
    fn update_indexes(&mut self, now: ClockMs, node: &NodeId) {
        let slot = &mut self.slots[node];
        slot.refresh();
        if slot.is_gone() {
            self.suspects.swap_remove(node);
            self.tombstones
                .insert(node.clone(), now + self.periods.tombstone_ms);
        } else {
            self.digest.toggle(&slot.record);
            self.tombstones.swap_remove(node);
            if slot.record.is_suspected {
                self.suspects
                    .insert(node.clone(), now + self.periods.suspicion_ms);
            } else {
                self.suspects.swap_remove(node);
            }
        }
        self.log.push(node);
    }

    /// Turns suspected members whose timeout is over into gone ones, and removes tombstones that
    /// are due.
    pub(crate) fn expire(&mut self, now: ClockMs) {
        for node in due(&self.suspects, now) {
            let slot = &mut self.slots[&node];
            self.digest.toggle(&slot.record);
            slot.is_expired = true;
            if !slot.record.is_leaving() {
                slot.hold_down.record_failure(now);
            }
            self.update_indexes(now, &node);
        }
        if self.failed_members().count() * PARTITION_LOSS_DIVISOR >= self.slots.len() {
            self.last_partition = Some(now);
        }
        for node in due(&self.tombstones, now) {
            self.tombstones.swap_remove(&node);
            self.slots.swap_remove(&node);
        }
    }

    /// Extends the timeouts of suspected members by `pause_ms`, a pause of this process during
    /// which their refutations could not be received.
    pub(crate) fn postpone_suspicions(&mut self, pause_ms: u64) {
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + pause_ms;
        }
    }
}

fn due(deadlines: &IndexMap<NodeId, ClockMs>, now: ClockMs) -> Vec<NodeId> {
    let passed = deadlines.iter().filter(|(_, deadline)| **deadline <= now);
    passed.map(|(node, _)| node.clone()).collect()
}
