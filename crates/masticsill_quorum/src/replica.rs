//! A replica's state and the step function that drives it.

use std::mem;

use masticsill_types::{ClockMs, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::durability::{Deferred, Durability};
use crate::follower::IncomingSnapshot;
use crate::leader::LeaderState;
use crate::log::ReplicaLog;
use crate::{
    Envelope, Input, LogIndex, Membership, Message, Output, ReplicaSettings, Role, SettingsError,
    StoredState, SyncPoint, VoterId, Write,
};

/// A replica's role with the state specific to it.
#[derive(Debug)]
pub(crate) enum RoleState {
    Candidate {
        granted: Vec<VoterId>,
        election_started_at: ClockMs,
    },
    Follower,
    Leader(Box<LeaderState>),
    PreCandidate {
        granted: Vec<VoterId>,
    },
}

/// One replica of the log, as a pure state machine without sockets, threads or files.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: VoterId,
    pub(crate) settings: ReplicaSettings,
    pub(crate) log: ReplicaLog,
    pub(crate) durability: Durability,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<VoterId>,
    pub(crate) commit: LogIndex,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<VoterId>,
    /// The leader that this replica followed last, until it leads itself, and when it was last heard
    /// from.
    pub(crate) last_leader: Option<(VoterId, ClockMs)>,
    /// When a leader was last heard from. Set to the start time initially, because contacts before
    /// a restart are not known.
    pub(crate) leader_heard_at: ClockMs,
    pub(crate) election_due: ClockMs,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) is_snapshot_requested: bool,
    pub(crate) outputs: Vec<Output>,
    random: ChaCha8Rng,
}

impl Replica {
    /// Creates a replica from the state of its data folder at `now`. `seed` randomizes its election
    /// timeouts.
    ///
    /// The caller must first restore its own state from `stored.snapshot`. Committed entries after
    /// the snapshot are returned again by [`Output::Apply`].
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings are inconsistent, for example if the lease could outlast
    /// an election timeout.
    pub fn new(
        settings: ReplicaSettings,
        stored: StoredState,
        now: ClockMs,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        settings.check()?;
        let log = ReplicaLog::new(stored.snapshot, stored.entries);
        let mut replica = Self {
            id: stored.id,
            settings,
            durability: Durability::new(log.last_index()),
            commit: log.snapshot_index(),
            log,
            term: stored.term,
            voted_for: stored.voted_for,
            role: RoleState::Follower,
            leader: None,
            last_leader: None,
            leader_heard_at: now,
            election_due: now,
            incoming: None,
            is_snapshot_requested: false,
            outputs: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        replica.reset_election_timer(now);
        Ok(replica)
    }

    /// Handles an input at time `now` and returns the resulting outputs, to be performed in order.
    ///
    /// A leader's lease is checked before the input is handled, so that a leader resuming from a
    /// pause steps down first.
    pub fn step(&mut self, now: ClockMs, input: Input) -> Vec<Output> {
        self.step_down_if_lease_expired(now);
        self.step_down_if_election_expired(now);
        match input {
            Input::ChangeMembership { token, change } => {
                self.change_membership(now, token, &change);
            }
            Input::Message(envelope) => self.receive(now, envelope),
            Input::Propose { proposals } => self.propose(proposals),
            Input::ReadIndex { token } => self.read_index(now, token),
            Input::SnapshotTaken { index, data } => self.store_snapshot(index, data),
            Input::SyncDone { up_to } => self.handle_sync_done(now, up_to),
            Input::Tick => self.tick(now),
            Input::TransferLeadership { target } => self.transfer_leadership(now, target.as_ref()),
        }
        mem::take(&mut self.outputs)
    }

    /// This replica's identity.
    #[must_use]
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry in the log, committed or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The newest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// The replica's role. A leader's lease may have expired since the last step: check
    /// [`Self::lease_confirmed_at`].
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role {
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Follower => Role::Follower,
            RoleState::Leader(_) => Role::Leader,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
        }
    }

    fn tick(&mut self, now: ClockMs) {
        match self.role {
            RoleState::Leader(_) => self.tick_leader(now),
            RoleState::Candidate { .. } | RoleState::Follower | RoleState::PreCandidate { .. } => {
                self.start_pre_vote_if_due(now);
            }
        }
    }

    fn receive(&mut self, now: ClockMs, envelope: Envelope) {
        // A message addressed to the identity of a lost folder must not be handled by the replica
        // that replaced it.
        if envelope.to != self.id || envelope.from == self.id {
            return;
        }
        let Envelope { from, message, .. } = envelope;
        if message.term() > self.term && !self.enter_message_term(now, &from, &message) {
            return;
        }
        if message.term() < self.term {
            self.reply_to_old_term(from, &message);
            return;
        }
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => self.answer_pre_vote(now, from, term, (last_term, last_index)),
            Message::PreVoteReply { is_granted, .. } => {
                self.count_pre_vote(now, from, is_granted);
            }
            Message::Vote {
                last_index,
                last_term,
                is_transfer,
                ..
            } => self.answer_vote(now, from, (last_term, last_index), is_transfer),
            Message::VoteReply { is_granted, .. } => self.count_vote(now, from, is_granted),
            Message::Append { .. }
            | Message::Heartbeat { .. }
            | Message::SnapshotChunk { .. }
            | Message::TimeoutNow { .. } => self.follow(now, from, message),
            Message::AppendAccepted { match_index, .. } => {
                self.handle_append_accepted(now, &from, match_index);
            }
            Message::AppendRejected {
                previous_index,
                hint,
                ..
            } => self.handle_append_rejected(now, &from, previous_index, hint),
            Message::HeartbeatAcknowledged { round, .. } => {
                self.handle_heartbeat_acknowledged(now, &from, round);
            }
            Message::SnapshotProgress {
                index,
                next_offset_bytes,
                ..
            } => self.handle_snapshot_progress(now, &from, index, next_offset_bytes),
        }
    }

    fn handle_sync_done(&mut self, now: ClockMs, up_to: SyncPoint) {
        self.durability.mark_synced(up_to);
        while let Some(deferred) = self.durability.pop_ready() {
            match deferred {
                Deferred::OwnEntry { index, term } => self.record_own_synced_entry(index, term),
                Deferred::OwnVote { term } if term == self.term => {
                    let own = self.id.clone();
                    self.count_vote(now, own, true);
                }
                Deferred::Send(envelope) if envelope.message.term() == self.term => {
                    self.outputs.push(Output::Send(envelope));
                }
                Deferred::OwnVote { .. } | Deferred::Send(_) => {}
            }
        }
        self.advance_commit();
    }

    fn record_own_synced_entry(&mut self, index: LogIndex, term: Term) {
        // An entry that was replaced in the meantime has another term.
        if self.log.term(index) == Some(term) {
            self.durability.raise_synced_index(index);
        }
    }

    /// Requests a durable write. The replica counts its own entries and vote only after the sync;
    /// see [`Deferred`].
    pub(crate) fn persist(&mut self, write: Write) {
        let point = self.durability.next_point();
        if matches!(write, Write::Vote { .. }) {
            self.durability.mark_term_write();
        }
        self.outputs.push(Output::Persist { point, write });
    }

    pub(crate) fn persist_vote(&mut self) {
        self.persist(Write::Vote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
    }

    pub(crate) fn envelope(&self, to: VoterId, message: Message) -> Envelope {
        Envelope {
            from: self.id.clone(),
            to,
            message,
        }
    }

    /// Sends a message that depends on no unsynced write.
    pub(crate) fn send(&mut self, to: VoterId, message: Message) {
        let envelope = self.envelope(to, message);
        self.outputs.push(Output::Send(envelope));
    }

    /// Sends a message once every write requested so far is synced.
    pub(crate) fn send_when_synced(&mut self, to: VoterId, message: Message) {
        let envelope = self.envelope(to, message);
        self.durability.defer(Deferred::Send(envelope));
    }

    /// Sends a message once the current term is synced.
    pub(crate) fn send_when_term_synced(&mut self, to: VoterId, message: Message) {
        if self.durability.is_term_synced() {
            self.send(to, message);
        } else {
            self.send_when_synced(to, message);
        }
    }

    /// Enters a higher term as a follower that has not voted in it.
    pub(crate) fn enter_term(&mut self, now: ClockMs, term: Term) {
        self.term = term;
        self.voted_for = None;
        self.persist_vote();
        self.become_follower(now, None);
    }

    /// Becomes a follower. A leader first answers its pending requests.
    pub(crate) fn become_follower(&mut self, now: ClockMs, leader: Option<VoterId>) {
        let was_leader = matches!(self.role, RoleState::Leader(_));
        let previous = mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(state) = previous {
            self.fail_pending_requests(*state);
        }
        if was_leader || leader.is_some() || self.leader.is_some() {
            self.reset_election_timer(now);
        }
        self.leader = leader;
        self.incoming = None;
        self.report_role();
    }

    pub(crate) fn report_role(&mut self) {
        self.outputs.push(Output::RoleChanged {
            role: self.role(),
            term: self.term,
            leader: self.leader.clone(),
        });
    }

    pub(crate) fn reset_election_timer(&mut self, now: ClockMs) {
        let range = self.settings.election_min_ms..=self.settings.election_max_ms;
        let delay_ms = self.random.random_range(range);
        self.election_due = now + delay_ms;
    }

    pub(crate) fn set_short_election_timer(&mut self, now: ClockMs) {
        let shortest_ms = self.settings.heartbeat_ms;
        let delay_ms = self.random.random_range(shortest_ms..=shortest_ms * 3);
        self.election_due = now + delay_ms;
    }

    /// Advances the commit index and outputs the newly committed entries.
    pub(crate) fn commit_up_to(&mut self, index: LogIndex) {
        let index = index.min(self.log.last_index());
        if index <= self.commit {
            return;
        }
        let entries = self.log.between(self.commit, index);
        self.commit = index;
        self.outputs.push(Output::Apply { entries });
        self.request_snapshot_if_due();
    }
}
