//! Leader role: proposals, commitment, heartbeat rounds, the lease and leadership transfer.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::progress::Progress;
use crate::read::PendingRead;
use crate::replica::RoleState;
use crate::{
    CallerToken, Entry, LogIndex, Message, Output, Payload, Proposal, RefusalReason, Replica,
    VoterId,
};

/// A heartbeat round and the time at which it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Round {
    pub(crate) number: u64,
    pub(crate) sent_at: ClockMs,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) target: VoterId,
    pub(crate) deadline: ClockMs,
}

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: IndexMap<VoterId, Progress>,
    /// Index of the leader's first entry. Once it is committed, all earlier entries are too.
    pub(crate) first_index: LogIndex,
    /// When the leader started its election. The lease runs from then until a heartbeat round is
    /// confirmed.
    pub(crate) election_started_at: ClockMs,
    pub(crate) heartbeat_due: ClockMs,
    /// Heartbeat rounds sent but not yet confirmed, oldest first.
    pub(crate) rounds: VecDeque<Round>,
    pub(crate) last_round: u64,
    /// The newest round that a quorum acknowledged.
    pub(crate) confirmed: Option<Round>,
    pub(crate) pending: VecDeque<(LogIndex, CallerToken)>,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
}

impl Replica {
    /// The send time of the newest heartbeat round of this term that a quorum acknowledged.
    ///
    /// `None` if this replica is not the leader, before the first such round, and after the lease
    /// has expired. Callers must check again immediately before each step that can't be undone.
    #[must_use]
    pub fn lease_confirmed_at(&self, now: ClockMs) -> Option<ClockMs> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let sent_at = state.confirmed?.sent_at;
        (now.since(sent_at) <= self.settings.lease_ms).then_some(sent_at)
    }

    /// A commit index and a time on this replica's clock, such that the index covers every entry
    /// that any leader accepted before that time.
    ///
    /// `None` whenever [`Self::lease_confirmed_at`] is `None`, and until the leader's first entry
    /// is committed.
    #[must_use]
    pub fn lease_read_point(&self, now: ClockMs) -> Option<(LogIndex, ClockMs)> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let confirmed_at = self.lease_confirmed_at(now)?;
        (self.commit >= state.first_index).then_some((self.commit, confirmed_at))
    }

    /// Makes a leader step down if no quorum has acknowledged a heartbeat round within its lease.
    pub(crate) fn step_down_if_lease_expired(&mut self, now: ClockMs) {
        let is_sole_voter = self.is_quorum_alone();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        if is_sole_voter {
            let number = state.last_round;
            state.confirmed = Some(Round {
                number,
                sent_at: now,
            });
            return;
        }
        let confirmed_at = state
            .confirmed
            .map_or(state.election_started_at, |it| it.sent_at);
        if now.since(confirmed_at) > self.settings.lease_ms {
            self.become_follower(now, None);
        }
    }

    fn is_quorum_alone(&self) -> bool {
        let min_quorum = self.settings.min_quorum;
        self.membership().is_quorum(min_quorum, |id| *id == self.id)
    }

    pub(crate) fn become_leader(&mut self, now: ClockMs, election_started_at: ClockMs) {
        let first_index = self.log.last_index().next();
        self.leader = Some(self.id.clone());
        self.role = RoleState::Leader(Box::new(LeaderState {
            progress: IndexMap::new(),
            first_index,
            election_started_at,
            heartbeat_due: now,
            rounds: VecDeque::new(),
            last_round: 0,
            confirmed: None,
            pending: VecDeque::new(),
            reads: VecDeque::new(),
            transfer: None,
        }));
        self.report_role();
        self.track_members(now);
        self.note_former_leader();
        self.start_heartbeat_round(now);
        let payload = self.first_entry_payload();
        self.append_own(vec![payload]);
    }

    /// Counts the silence of the former leader from its last message to this replica, which has waited
    /// for it since.
    fn note_former_leader(&mut self) {
        let former = self.last_leader.take();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        if let Some((id, heard_at)) = former
            && let Some(progress) = state.progress.get_mut(&id)
        {
            progress.silent_since = heard_at;
        }
    }

    /// Payload of a leader's first entry: the founding membership if no log entry sets a membership
    /// yet, a no-op otherwise.
    ///
    /// Without the membership entry, a founding member that has not stored the founding snapshot
    /// would accept entries without knowing any member. If the other members were then lost, no
    /// leader could be elected from the data of that member.
    fn first_entry_payload(&self) -> Payload {
        match self.log.membership() {
            (LogIndex(0), membership) => Payload::Membership(membership.clone()),
            _ => Payload::Noop,
        }
    }

    /// Tracks the replication progress of exactly the members other than this replica.
    pub(crate) fn track_members(&mut self, now: ClockMs) {
        let next_index = self.log.last_index().next();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let (_, membership) = self.log.membership();
        state.progress.retain(|id, _| membership.is_member(id));
        for id in membership.members() {
            if *id != self.id && !state.progress.contains_key(id) {
                state
                    .progress
                    .insert(id.clone(), Progress::new(now, next_index));
            }
        }
    }

    pub(crate) fn tick_leader(&mut self, now: ClockMs) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let is_transfer_over = |it: &Transfer| now >= it.deadline;
        if state.transfer.as_ref().is_some_and(is_transfer_over) {
            state.transfer = None;
        }
        if now >= state.heartbeat_due {
            self.start_heartbeat_round(now);
        }
        self.advance_membership(now);
    }

    /// Sends a heartbeat to every member.
    pub(crate) fn start_heartbeat_round(&mut self, now: ClockMs) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        state.last_round += 1;
        state.heartbeat_due = now + self.settings.heartbeat_ms;
        let number = state.last_round;
        state.rounds.push_back(Round {
            number,
            sent_at: now,
        });
        let peers = state.progress.iter();
        let known: Vec<(VoterId, LogIndex)> = peers
            .map(|(id, progress)| (id.clone(), progress.match_index))
            .collect();
        for (to, match_index) in known {
            let message = Message::Heartbeat {
                term: self.term,
                round: number,
                commit: self.commit.min(match_index),
            };
            self.send(to, message);
        }
        self.confirm_rounds(now);
    }

    pub(crate) fn handle_heartbeat_acknowledged(
        &mut self,
        now: ClockMs,
        from: &VoterId,
        round: u64,
    ) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(from) else {
            return;
        };
        progress.round = progress.round.max(round.min(state.last_round));
        progress.last_heard_at = Some(now);
        progress.allow_resend();
        let is_behind = progress.match_index < self.log.last_index();
        self.confirm_rounds(now);
        if is_behind {
            self.replicate_to(from, true);
        }
    }

    fn confirm_rounds(&mut self, now: ClockMs) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let (_, membership) = self.log.membership();
        let newest = membership.quorum_value(self.settings.min_quorum, |id| {
            if *id == self.id {
                return state.last_round;
            }
            state.progress.get(id).map_or(0, |progress| progress.round)
        });
        let Some(newest) = newest else {
            return;
        };
        while let Some(round) = state.rounds.front().copied()
            && round.number <= newest
        {
            state.confirmed = Some(round);
            state.rounds.pop_front();
        }
        self.answer_reads(now);
    }

    pub(crate) fn propose(&mut self, proposals: Vec<Proposal>) {
        let mut payloads = Vec::with_capacity(proposals.len());
        for Proposal { token, command } in proposals {
            if let Some(reason) = self.refusal_reason() {
                self.refuse(token, reason);
                continue;
            }
            let index = LogIndex(self.log.last_index().0 + 1 + payloads.len() as u64);
            self.await_commit(index, token);
            payloads.push(Payload::Command(command));
        }
        if !payloads.is_empty() {
            self.append_own(payloads);
        }
    }

    pub(crate) fn refusal_reason(&self) -> Option<RefusalReason> {
        let RoleState::Leader(state) = &self.role else {
            return Some(RefusalReason::NotLeader);
        };
        if state.transfer.is_some() {
            return Some(RefusalReason::Transferring);
        }
        let is_full = state.pending.len() >= self.settings.max_pending_proposals;
        is_full.then_some(RefusalReason::TooManyPending)
    }

    pub(crate) fn refuse(&mut self, token: CallerToken, reason: RefusalReason) {
        let leader_hint = match &self.role {
            RoleState::Leader(state) => state.transfer.as_ref().map(|it| it.target.clone()),
            _ => self.leader.clone(),
        };
        self.outputs.push(Output::RefusedPropose {
            token,
            reason,
            leader_hint,
        });
    }

    pub(crate) fn await_commit(&mut self, index: LogIndex, token: CallerToken) {
        if let RoleState::Leader(state) = &mut self.role {
            state.pending.push_back((index, token));
        }
    }

    /// Appends entries of this term, requests their write and sends them to all peers.
    pub(crate) fn append_own(&mut self, payloads: Vec<Payload>) {
        let mut index = self.log.last_index();
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            index = index.next();
            entries.push(Entry {
                index,
                term: self.term,
                payload,
            });
        }
        self.write_entries(entries);
        self.replicate_to_all();
    }

    /// Commits the entries that a quorum has synced, provided that the last of them is of this
    /// term.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let own_index = self.durability.synced_index();
        let min_quorum = self.settings.min_quorum;
        let reached = self.membership().quorum_value(min_quorum, |id| {
            if *id == self.id {
                return own_index;
            }
            let progress = state.progress.get(id);
            progress.map_or(LogIndex::default(), |it| it.match_index)
        });
        let Some(reached) = reached else {
            return;
        };
        // An entry of an older term may still be replaced by a later leader even if a majority
        // holds it.
        if reached <= self.commit || self.log.term(reached) != Some(self.term) {
            return;
        }
        self.commit_up_to(reached);
        self.answer_committed();
    }

    fn answer_committed(&mut self) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        while let Some((index, token)) = state.pending.front().copied()
            && index <= self.commit
        {
            self.outputs.push(Output::Committed { token, index });
            state.pending.pop_front();
        }
    }

    /// Answers all pending requests when leadership ends: the outcome of proposals is unknown, and
    /// reads are refused.
    pub(crate) fn fail_pending_requests(&mut self, state: LeaderState) {
        for (_, token) in state.pending {
            self.outputs.push(Output::OutcomeUnknown { token });
        }
        for read in state.reads {
            self.outputs.push(Output::RefusedRead {
                token: read.token,
                leader_hint: None,
            });
        }
    }

    /// Starts a leadership transfer. New proposals are refused until it completes or times out.
    pub(crate) fn transfer_leadership(&mut self, now: ClockMs, target: Option<&VoterId>) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let (_, membership) = self.log.membership();
        let is_candidate = |id: &VoterId| {
            let matches_target = target.is_none_or(|requested_target| requested_target == id);
            matches_target && membership.is_voter(id) && !membership.leaving.contains(id)
        };
        let candidates = state.progress.iter().filter(|(id, _)| is_candidate(id));
        let best =
            candidates.max_by_key(|(_, progress)| (progress.last_heard_at, progress.match_index));
        let Some((best, _)) = best else {
            return;
        };
        let best = best.clone();
        state.transfer = Some(Transfer {
            target: best.clone(),
            deadline: now + self.settings.election_min_ms,
        });
        self.replicate_to(&best, true);
        self.finish_transfer(now);
    }

    /// Completes the transfer by asking the target to start an election, once it holds the entire
    /// log and every entry is committed.
    pub(crate) fn finish_transfer(&mut self, now: ClockMs) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let Some(transfer) = &state.transfer else {
            return;
        };
        let target = transfer.target.clone();
        let progress = state.progress.get(&target);
        let match_index = progress.map_or(LogIndex::default(), |it| it.match_index);
        let last_index = self.log.last_index();
        if match_index < last_index || self.commit < last_index {
            return;
        }
        let term = self.term;
        self.send(target, Message::TimeoutNow { term });
        // Voters don't wait for this leader's lease in a transfer, so the lease must end here.
        self.become_follower(now, None);
    }
}
