//! Follower role: handling a leader's entries, heartbeats, snapshots and election requests.

use masticsill_types::{ClockMs, Term};

use crate::durability::Deferred;
use crate::replica::RoleState;
use crate::{Entry, LogIndex, Membership, Message, Replica, VoterId, Write};

/// A snapshot being received in parts.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) membership: Membership,
    pub(crate) total_bytes: u64,
    pub(crate) data: Vec<u8>,
}

impl Replica {
    /// Handles a message that only the leader of the current term sends.
    pub(crate) fn follow(&mut self, now: ClockMs, from: VoterId, message: Message) {
        if matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        let is_following = matches!(self.role, RoleState::Follower);
        if !is_following || self.leader.as_ref() != Some(&from) {
            self.become_follower(now, Some(from.clone()));
        }
        self.leader_heard_at = now;
        self.last_leader = Some((from.clone(), now));
        self.reset_election_timer(now);
        match message {
            Message::Append {
                previous_index,
                previous_term,
                commit,
                entries,
                ..
            } => self.handle_append(from, (previous_index, previous_term), commit, entries),
            Message::Heartbeat { round, commit, .. } => self.handle_heartbeat(from, round, commit),
            Message::SnapshotChunk {
                index,
                index_term,
                membership,
                offset_bytes,
                total_bytes,
                data,
                ..
            } => {
                let incoming = IncomingSnapshot {
                    index,
                    term: index_term,
                    membership,
                    total_bytes,
                    data: data.to_vec(),
                };
                self.handle_snapshot_chunk(from, incoming, offset_bytes);
            }
            Message::TimeoutNow { .. } => self.start_requested_election(now),
            _ => {}
        }
    }

    fn start_requested_election(&mut self, now: ClockMs) {
        if self.membership().is_voter(&self.id) {
            self.start_election(now, true);
        }
    }

    fn handle_heartbeat(&mut self, from: VoterId, round: u64, commit: LogIndex) {
        let term = self.term;
        self.send_when_term_synced(from, Message::HeartbeatAcknowledged { term, round });
        self.commit_up_to(commit);
    }

    fn handle_append(
        &mut self,
        from: VoterId,
        (mut previous_index, mut previous_term): (LogIndex, Term),
        commit: LogIndex,
        mut entries: Vec<Entry>,
    ) {
        // Committed entries are identical in every log and need no comparison.
        if previous_index < self.commit {
            entries.retain(|entry| entry.index > self.commit);
            previous_index = self.commit;
            previous_term = self.log.term(self.commit).unwrap_or_default();
        }
        if self.log.term(previous_index) != Some(previous_term) {
            self.send_append_rejected(from, previous_index);
            return;
        }
        let match_index = entries.last().map_or(previous_index, |entry| entry.index);
        let is_known = |entry: &Entry| self.log.term(entry.index) == Some(entry.term);
        let known = entries.iter().take_while(|entry| is_known(entry)).count();
        entries.drain(..known);
        self.write_entries(entries);
        self.acknowledge_up_to(from, match_index);
        self.commit_up_to(commit.min(match_index));
    }

    fn send_append_rejected(&mut self, from: VoterId, previous_index: LogIndex) {
        let hint = self.log.last_index_before_term_of(previous_index);
        let hint = if previous_index > self.log.last_index() {
            self.log.last_index()
        } else {
            hint.max(self.commit)
        };
        let message = Message::AppendRejected {
            term: self.term,
            previous_index,
            hint,
        };
        self.send_when_term_synced(from, message);
    }

    /// Appends entries after removing any entries of the log that overlap them.
    pub(crate) fn write_entries(&mut self, entries: Vec<Entry>) {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return;
        };
        let (first_index, last_index, last_term) = (first.index, last.index, last.term);
        if first_index <= self.log.last_index() {
            self.drop_entries_from(first_index);
        }
        self.log.append(entries.clone());
        self.persist(Write::Append { entries });
        self.durability.defer(Deferred::OwnEntry {
            index: last_index,
            term: last_term,
        });
    }

    pub(crate) fn drop_entries_from(&mut self, index: LogIndex) {
        assert!(index > self.commit, "committed entries are never dropped");
        self.log.truncate_from(index);
        self.durability.truncate_from(index);
        self.persist(Write::TruncateFrom { index });
    }

    /// Acknowledges to the leader that the log matches up to an index, once that part is synced.
    pub(crate) fn acknowledge_up_to(&mut self, to: VoterId, match_index: LogIndex) {
        let term = self.term;
        let message = Message::AppendAccepted { term, match_index };
        if match_index <= self.durability.synced_index() {
            self.send_when_term_synced(to, message);
        } else {
            self.send_when_synced(to, message);
        }
    }
}
