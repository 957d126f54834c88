//! Snapshots: taking them, sending them in parts and installing them.

use std::sync::Arc;

use masticsill_types::ClockMs;

use crate::durability::Deferred;
use crate::follower::IncomingSnapshot;
use crate::progress::SendMode;
use crate::replica::RoleState;
use crate::{LogIndex, Message, Output, Replica, Snapshot, VoterId, Write};

impl Replica {
    /// Requests a snapshot once enough entries were committed since the last one.
    pub(crate) fn request_snapshot_if_due(&mut self) {
        let entries_since_snapshot = self.commit.0.saturating_sub(self.log.snapshot_index().0);
        if self.is_snapshot_requested
            || entries_since_snapshot < self.settings.snapshot_interval_entries
        {
            return;
        }
        self.is_snapshot_requested = true;
        let index = self.commit;
        self.outputs.push(Output::TakeSnapshot { index });
    }

    pub(crate) fn store_snapshot(&mut self, index: LogIndex, data: Arc<[u8]>) {
        self.is_snapshot_requested = false;
        let is_useful = index > self.log.snapshot_index() && index <= self.commit;
        let Some(term) = self.log.term(index).filter(|_| is_useful) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            membership: self.log.membership_at(index).clone(),
            data,
        };
        self.persist(Write::Snapshot {
            snapshot: snapshot.clone(),
        });
        self.log.compact(snapshot, self.settings.retained_entries);
    }

    /// Sends a peer the next part of the newest snapshot, unless a part is in flight.
    pub(crate) fn send_chunk(&mut self, peer: &VoterId) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let (Some(progress), Some(snapshot)) = (state.progress.get_mut(peer), self.log.snapshot())
        else {
            return;
        };
        let offset_bytes = match progress.mode {
            SendMode::Snapshot {
                index,
                offset_bytes,
                is_awaiting_reply,
            } if index == snapshot.index => {
                if is_awaiting_reply {
                    return;
                }
                offset_bytes
            }
            _ => 0,
        };
        progress.mode = SendMode::Snapshot {
            index: snapshot.index,
            offset_bytes,
            is_awaiting_reply: true,
        };
        let message = chunk_at(
            snapshot,
            offset_bytes,
            self.settings.max_snapshot_chunk_bytes,
        );
        let message = message(self.term);
        self.send(peer.clone(), message);
    }

    pub(crate) fn handle_snapshot_progress(
        &mut self,
        now: ClockMs,
        from: &VoterId,
        index: LogIndex,
        next_offset_bytes: u64,
    ) {
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        match &mut progress.mode {
            SendMode::Snapshot {
                index: sent,
                offset_bytes,
                is_awaiting_reply,
            } if *sent == index => {
                *offset_bytes = next_offset_bytes;
                *is_awaiting_reply = false;
            }
            _ => return,
        }
        self.send_chunk(from);
    }

    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        from: VoterId,
        part: IncomingSnapshot,
        offset_bytes: u64,
    ) {
        if part.index <= self.commit {
            self.acknowledge_up_to(from, self.commit);
            return;
        }
        let index = part.index;
        let total_bytes = part.total_bytes;
        let held_bytes = self.add_snapshot_part(part, offset_bytes);
        if held_bytes >= total_bytes {
            self.install_incoming(from);
            return;
        }
        let message = Message::SnapshotProgress {
            term: self.term,
            index,
            next_offset_bytes: held_bytes,
        };
        self.send_when_term_synced(from, message);
    }

    /// Adds a part that continues the data received so far. Returns the number of bytes held
    /// afterwards.
    fn add_snapshot_part(&mut self, part: IncomingSnapshot, offset_bytes: u64) -> u64 {
        let is_same = |held: &IncomingSnapshot| held.index == part.index && held.term == part.term;
        let held = match self.incoming.take() {
            Some(mut held) if is_same(&held) => {
                if held.data.len() as u64 == offset_bytes {
                    held.data.extend_from_slice(&part.data);
                }
                held
            }
            _ if offset_bytes == 0 => part,
            _ => return 0,
        };
        let held_bytes = held.data.len() as u64;
        self.incoming = Some(held);
        held_bytes
    }

    fn install_incoming(&mut self, from: VoterId) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snapshot = Snapshot {
            index: incoming.index,
            term: incoming.term,
            membership: incoming.membership,
            data: Arc::from(incoming.data),
        };
        let (index, term) = (snapshot.index, snapshot.term);
        let own_term = self.log.term(index);
        if index <= self.log.last_index() && own_term != Some(term) {
            self.drop_entries_from(index);
        }
        self.persist(Write::Snapshot {
            snapshot: snapshot.clone(),
        });
        self.log.install(snapshot.clone());
        self.durability.defer(Deferred::OwnEntry { index, term });
        self.commit = index;
        self.is_snapshot_requested = false;
        self.outputs.push(Output::RestoreSnapshot { snapshot });
        self.acknowledge_up_to(from, index);
    }
}

/// Returns a function that builds the message with the part of a snapshot at an offset, given the
/// term.
fn chunk_at(
    snapshot: &Snapshot,
    offset_bytes: u64,
    max_bytes: usize,
) -> impl FnOnce(masticsill_types::Term) -> Message {
    let length = snapshot.data.len();
    let start = usize::try_from(offset_bytes).map_or(length, |offset| offset.min(length));
    let end = length.min(start + max_bytes);
    let (index, index_term) = (snapshot.index, snapshot.term);
    let membership = snapshot.membership.clone();
    let data: Arc<[u8]> = Arc::from(&snapshot.data[start..end]);
    move |term| Message::SnapshotChunk {
        term,
        index,
        index_term,
        membership,
        offset_bytes: start as u64,
        total_bytes: length as u64,
        data,
    }
}
