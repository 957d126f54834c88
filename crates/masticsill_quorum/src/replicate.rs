//! Sending entries to peers and handling their acknowledgements.

use masticsill_types::ClockMs;

use crate::progress::{Progress, SendMode};
use crate::replica::RoleState;
use crate::{LogIndex, Message, Replica, VoterId};

impl Replica {
    pub(crate) fn replicate_to_all(&mut self) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let peers: Vec<VoterId> = state.progress.keys().cloned().collect();
        for peer in peers {
            self.replicate_to(&peer, false);
        }
    }

    /// Sends a peer the entries or the snapshot that it lacks. `must_probe` sends a message even if
    /// there are no entries to send, to detect a gap in the peer's log.
    pub(crate) fn replicate_to(&mut self, peer: &VoterId, must_probe: bool) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get(peer) else {
            return;
        };
        let needs_snapshot = progress.next_index <= self.log.base_index();
        match progress.mode {
            SendMode::Snapshot { .. } => self.send_chunk(peer),
            SendMode::Probe { .. } | SendMode::Replicate if needs_snapshot => self.send_chunk(peer),
            SendMode::Probe {
                is_awaiting_reply: true,
            } => {}
            SendMode::Probe {
                is_awaiting_reply: false,
            } => self.send_batch(peer),
            SendMode::Replicate => self.fill_window(peer, must_probe),
        }
    }

    fn fill_window(&mut self, peer: &VoterId, must_probe: bool) {
        let mut must_send = must_probe;
        while must_send || self.has_room(peer) {
            must_send = false;
            self.send_batch(peer);
        }
    }

    fn has_room(&self, peer: &VoterId) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let Some(progress) = state.progress.get(peer) else {
            return false;
        };
        let in_flight = progress.next_index.0.saturating_sub(progress.match_index.0);
        progress.next_index <= self.log.last_index()
            && in_flight <= self.settings.max_in_flight_entries
    }

    fn send_batch(&mut self, peer: &VoterId) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(peer) else {
            return;
        };
        let previous_index = progress.next_index.previous();
        let Some(previous_term) = self.log.term(previous_index) else {
            return;
        };
        let (max_entries, max_bytes) = (
            self.settings.max_append_entries,
            self.settings.max_append_bytes,
        );
        let entries = self.log.batch(progress.next_index, max_entries, max_bytes);
        match &mut progress.mode {
            SendMode::Probe { is_awaiting_reply } => *is_awaiting_reply = true,
            SendMode::Replicate => progress.next_index.0 += entries.len() as u64,
            SendMode::Snapshot { .. } => {}
        }
        let message = Message::Append {
            term: self.term,
            previous_index,
            previous_term,
            commit: self.commit,
            entries,
        };
        self.send(peer.clone(), message);
    }

    /// Records that a peer was heard from and returns its progress; `None` if this replica is not
    /// the leader or does not track the peer.
    pub(crate) fn record_contact(&mut self, now: ClockMs, from: &VoterId) -> Option<&mut Progress> {
        let RoleState::Leader(state) = &mut self.role else {
            return None;
        };
        let progress = state.progress.get_mut(from)?;
        progress.last_heard_at = Some(now);
        Some(progress)
    }

    pub(crate) fn handle_append_accepted(
        &mut self,
        now: ClockMs,
        from: &VoterId,
        match_index: LogIndex,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        progress.record_accepted(match_index.min(last_index));
        self.advance_commit();
        self.answer_reads(now);
        self.replicate_to(from, false);
        self.finish_transfer(now);
        self.advance_membership(now);
    }

    pub(crate) fn handle_append_rejected(
        &mut self,
        now: ClockMs,
        from: &VoterId,
        previous_index: LogIndex,
        hint: LogIndex,
    ) {
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        if progress.record_rejected(previous_index, hint) {
            self.replicate_to(from, false);
        }
    }
}
