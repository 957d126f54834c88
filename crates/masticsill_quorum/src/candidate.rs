//! Elections: pre-votes, votes and elections requested by the leader.

use masticsill_types::{ClockMs, Term};

use crate::durability::Deferred;
use crate::replica::RoleState;
use crate::{LogIndex, Message, Replica, VoterId};

/// How up to date a log is: the term of its last entry, then that entry's index.
pub(crate) type LogRank = (Term, LogIndex);

impl Replica {
    pub(crate) fn own_rank(&self) -> LogRank {
        (self.log.last_term(), self.log.last_index())
    }

    /// Whether this replica leads, or has heard from a leader within the shortest election timeout, so
    /// that the leader's lease may still be valid.
    #[must_use]
    pub fn has_recent_leader_contact(&self, now: ClockMs) -> bool {
        matches!(self.role, RoleState::Leader(_))
            || now.since(self.leader_heard_at) < self.settings.election_min_ms
    }

    pub(crate) fn start_pre_vote_if_due(&mut self, now: ClockMs) {
        let is_voter = self.membership().is_voter(&self.id);
        if is_voter && now >= self.election_due {
            self.start_pre_vote(now);
        }
    }

    fn start_pre_vote(&mut self, now: ClockMs) {
        self.leader = None;
        self.role = RoleState::PreCandidate {
            granted: Vec::new(),
        };
        self.report_role();
        // A pre-vote changes no one's term, so one that was lost or sent too early is retried soon.
        self.set_short_election_timer(now);
        let (last_term, last_index) = self.own_rank();
        let term = self.term.next();
        for voter in self.other_voters() {
            let message = Message::PreVote {
                term,
                last_index,
                last_term,
            };
            self.send(voter, message);
        }
        let own = self.id.clone();
        self.count_pre_vote(now, own, true);
    }

    pub(crate) fn other_voters(&self) -> Vec<VoterId> {
        let voters = self.membership().voters.iter();
        voters.filter(|id| **id != self.id).cloned().collect()
    }

    pub(crate) fn answer_pre_vote(
        &mut self,
        now: ClockMs,
        from: VoterId,
        term: Term,
        rank: LogRank,
    ) {
        let is_granted =
            term > self.term && !self.has_recent_leader_contact(now) && rank >= self.own_rank();
        let term = if is_granted { term } else { self.term };
        self.send(from, Message::PreVoteReply { term, is_granted });
    }

    pub(crate) fn count_pre_vote(&mut self, now: ClockMs, from: VoterId, is_granted: bool) {
        let RoleState::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !is_granted {
            return;
        }
        if !granted.contains(&from) {
            granted.push(from);
        }
        let (_, membership) = self.log.membership();
        if membership.is_quorum(self.settings.min_quorum, |id| granted.contains(id)) {
            self.start_election(now, false);
        }
    }

    /// Starts an election in a new term. Once the replica's own vote is synced, the vote is counted
    /// and the other voters are asked for theirs.
    pub(crate) fn start_election(&mut self, now: ClockMs, is_transfer: bool) {
        self.term = self.term.next();
        self.voted_for = Some(self.id.clone());
        self.leader = None;
        self.incoming = None;
        self.role = RoleState::Candidate {
            granted: Vec::new(),
            election_started_at: now,
        };
        self.persist_vote();
        self.report_role();
        self.reset_election_timer(now);
        let (last_term, last_index) = self.own_rank();
        for voter in self.other_voters() {
            let message = Message::Vote {
                term: self.term,
                last_index,
                last_term,
                is_transfer,
            };
            self.send_when_synced(voter, message);
        }
        let term = self.term;
        self.durability.defer(Deferred::OwnVote { term });
    }

    /// Makes a candidate step down if its election has lasted longer than a lease: votes that old
    /// must not make it leader.
    pub(crate) fn step_down_if_election_expired(&mut self, now: ClockMs) {
        let RoleState::Candidate {
            election_started_at,
            ..
        } = self.role
        else {
            return;
        };
        if now.since(election_started_at) > self.settings.lease_ms {
            self.become_follower(now, None);
            self.set_short_election_timer(now);
        }
    }

    /// Handles a message of a higher term. Returns `false` if the message is ignored or already
    /// handled, `true` if the replica has entered its term.
    pub(crate) fn enter_message_term(
        &mut self,
        now: ClockMs,
        from: &VoterId,
        message: &Message,
    ) -> bool {
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => {
                self.answer_pre_vote(now, from.clone(), *term, (*last_term, *last_index));
                return false;
            }
            Message::PreVoteReply {
                is_granted: true,
                term,
            } => {
                if *term == self.term.next() {
                    self.count_pre_vote(now, from.clone(), true);
                }
                return false;
            }
            // A replica in contact with its leader must not be drawn into a new term by one that is
            // not.
            Message::Vote { is_transfer, .. }
                if !is_transfer && self.has_recent_leader_contact(now) =>
            {
                return false;
            }
            _ => {}
        }
        self.enter_term(now, message.term());
        true
    }

    pub(crate) fn answer_vote(
        &mut self,
        now: ClockMs,
        from: VoterId,
        rank: LogRank,
        is_transfer: bool,
    ) {
        let has_no_vote_or_leader = self.voted_for.is_none() && self.leader.is_none();
        let is_repeated = self.voted_for.as_ref() == Some(&from);
        let may_ignore_lease = is_transfer || !self.has_recent_leader_contact(now);
        let is_granted =
            is_repeated || (has_no_vote_or_leader && may_ignore_lease && rank >= self.own_rank());
        if is_granted && !is_repeated {
            self.voted_for = Some(from.clone());
            self.persist_vote();
            self.reset_election_timer(now);
        }
        let term = self.term;
        self.send_when_term_synced(from, Message::VoteReply { term, is_granted });
    }

    pub(crate) fn count_vote(&mut self, now: ClockMs, from: VoterId, is_granted: bool) {
        let RoleState::Candidate {
            granted,
            election_started_at,
        } = &mut self.role
        else {
            return;
        };
        if !is_granted {
            return;
        }
        if !granted.contains(&from) {
            granted.push(from);
        }
        let election_started_at = *election_started_at;
        let (_, membership) = self.log.membership();
        if membership.is_quorum(self.settings.min_quorum, |id| granted.contains(id)) {
            self.become_leader(now, election_started_at);
        }
    }

    /// Replies to a message of a lower term so that its sender learns the current term.
    pub(crate) fn reply_to_old_term(&mut self, from: VoterId, message: &Message) {
        let term = self.term;
        match message {
            Message::Append { .. } | Message::SnapshotChunk { .. } | Message::Heartbeat { .. } => {
                self.send_when_term_synced(from, Message::HeartbeatAcknowledged { term, round: 0 });
            }
            Message::Vote { .. } => {
                let is_granted = false;
                self.send_when_term_synced(from, Message::VoteReply { term, is_granted });
            }
            Message::PreVote { .. } => {
                let is_granted = false;
                self.send_when_term_synced(from, Message::PreVoteReply { term, is_granted });
            }
            Message::AppendAccepted { .. }
            | Message::AppendRejected { .. }
            | Message::HeartbeatAcknowledged { .. }
            | Message::PreVoteReply { .. }
            | Message::SnapshotProgress { .. }
            | Message::TimeoutNow { .. }
            | Message::VoteReply { .. } => {}
        }
    }
}
