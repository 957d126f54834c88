//! A leader's replication state for one peer.

use masticsill_types::ClockMs;

use crate::LogIndex;

/// How the leader replicates to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendMode {
    /// Sends one message at a time until the logs are known to match.
    Probe { is_awaiting_reply: bool },
    /// Sends entries ahead of acknowledgements.
    Replicate,
    /// Sends the snapshot at an index, one part at a time.
    Snapshot {
        index: LogIndex,
        offset_bytes: u64,
        is_awaiting_reply: bool,
    },
}

/// A leader's replication state for one peer.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) mode: SendMode,
    /// The last index known to be synced at the peer.
    pub(crate) match_index: LogIndex,
    /// The next index to send.
    pub(crate) next_index: LogIndex,
    /// The newest heartbeat round that the peer acknowledged; zero if none.
    pub(crate) round: u64,
    /// When the leader last received a message from the peer in this term.
    pub(crate) last_heard_at: Option<ClockMs>,
    /// Since when the peer is silent if it has sent nothing in this term.
    pub(crate) silent_since: ClockMs,
    /// When the leader started to track the peer.
    pub(crate) tracked_at: ClockMs,
}

impl Progress {
    pub(crate) fn new(tracked_at: ClockMs, next_index: LogIndex) -> Self {
        Self {
            mode: SendMode::Probe {
                is_awaiting_reply: false,
            },
            match_index: LogIndex::default(),
            next_index,
            round: 0,
            last_heard_at: None,
            silent_since: tracked_at,
            tracked_at,
        }
    }

    pub(crate) fn record_accepted(&mut self, match_index: LogIndex) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        match self.mode {
            SendMode::Probe { .. } => self.mode = SendMode::Replicate,
            SendMode::Snapshot { index, .. } if self.match_index >= index => {
                self.mode = SendMode::Replicate;
            }
            SendMode::Replicate | SendMode::Snapshot { .. } => {}
        }
    }

    /// Handles a rejection; returns `false` if it is stale or a snapshot is being sent.
    pub(crate) fn record_rejected(&mut self, previous_index: LogIndex, hint: LogIndex) -> bool {
        let is_stale = previous_index <= self.match_index || previous_index >= self.next_index;
        if is_stale || matches!(self.mode, SendMode::Snapshot { .. }) {
            return false;
        }
        let matching = hint.min(previous_index.previous()).max(self.match_index);
        self.next_index = matching.next();
        self.mode = SendMode::Probe {
            is_awaiting_reply: false,
        };
        true
    }

    /// Allows one more message while a reply is outstanding: the previous message may be lost.
    pub(crate) fn allow_resend(&mut self) {
        match &mut self.mode {
            SendMode::Probe { is_awaiting_reply }
            | SendMode::Snapshot {
                is_awaiting_reply, ..
            } => *is_awaiting_reply = false,
            SendMode::Replicate => {}
        }
    }
}
