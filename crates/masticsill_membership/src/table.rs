//! All members as seen from here, and how words about them are merged.

use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};

use crate::change_log::ChangeLog;
use crate::config::Periods;
use crate::digest::{Digest, bucket_of};
use crate::hold_down::HoldDown;
use crate::member::{Member, MemberState, Phase, Record};

/// A loss of this share of all members at once is taken for a cut of the network.
const CUT_SHARE: usize = 4;
/// Deaths this close to a cut don't count towards hold-down.
const CUT_WINDOW_MS: u64 = 30_000;

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
    last_cut: Option<ClockMs>,
    log: ChangeLog,
    periods: Periods,
    slots: IndexMap<NodeId, Slot>,
    /// When each suspected member counts as gone.
    suspects: IndexMap<NodeId, ClockMs>,
    /// When each gone member is forgotten.
    tombstones: IndexMap<NodeId, ClockMs>,
}

impl MemberTable {
    pub(crate) fn new(periods: Periods) -> Self {
        Self {
            digest: Digest::new(),
            last_cut: None,
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

    /// Members that are not gone.
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

    /// The latest word about a member, tombstones included.
    pub(crate) fn record(&self, node: &NodeId) -> Option<&Record> {
        self.slots.get(node).map(|slot| &slot.record)
    }

    /// Words about all members of some buckets, tombstones included.
    pub(crate) fn bucket_records(&self, buckets: &[u16]) -> Vec<Record> {
        let records = self.slots.values().map(|slot| &slot.record);
        let wanted = records.filter(|record| buckets.contains(&bucket_of(&record.node)));
        wanted.cloned().collect()
    }

    /// Members lost by silence, which may come back at their old address.
    pub(crate) fn lost(&self) -> impl Iterator<Item = &Record> {
        let slots = self
            .tombstones
            .keys()
            .filter_map(|node| self.slots.get(node));
        let silent = slots.filter(|slot| slot.record.phase != Phase::Left);
        silent.map(|slot| &slot.record)
    }

    /// Takes a word in. Returns whether it was news.
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
        let is_new_life = record.incarnation > slot.record.incarnation;
        let is_replaced = is_new_life && !was_gone && !slot.record.is_leaving();
        if is_replaced {
            slot.hold_down.record_death(now);
        }
        let is_same_word = !is_new_life && record.revision == slot.record.revision;
        slot.is_expired = slot.is_expired && is_same_word;
        slot.record = record;
        let is_back = (was_gone || is_new_life) && !slot.is_gone() && !slot.record.is_suspected;
        let is_cut_over = self
            .last_cut
            .is_some_and(|cut| slot.hold_down.died_within(cut, CUT_WINDOW_MS));
        if is_back && !is_cut_over {
            slot.hold_down.record_return(now);
        }
        let node = slot.record.node.clone();
        self.settle(now, &node);
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
        self.settle(now, &node);
    }

    /// Brings digest, timers and log up to a slot that changed and is out of the digest.
    fn settle(&mut self, now: ClockMs, node: &NodeId) {
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

    /// Ends suspicions and tombstones that are due.
    pub(crate) fn expire(&mut self, now: ClockMs) {
        for node in due(&self.suspects, now) {
            let slot = &mut self.slots[&node];
            self.digest.toggle(&slot.record);
            slot.is_expired = true;
            if !slot.record.is_leaving() {
                slot.hold_down.record_death(now);
            }
            self.settle(now, &node);
        }
        if self.lost().count() * CUT_SHARE >= self.slots.len() {
            self.last_cut = Some(now);
        }
        for node in due(&self.tombstones, now) {
            self.tombstones.swap_remove(&node);
            self.slots.swap_remove(&node);
        }
    }

    /// Gives suspected members more time, after this process itself was paused.
    pub(crate) fn postpone(&mut self, pause_ms: u64) {
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + pause_ms;
        }
    }
}

fn due(deadlines: &IndexMap<NodeId, ClockMs>, now: ClockMs) -> Vec<NodeId> {
    let passed = deadlines.iter().filter(|(_, deadline)| **deadline <= now);
    passed.map(|(node, _)| node.clone()).collect()
}
