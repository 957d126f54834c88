//! Linearizable reads, each confirmed by a heartbeat round that started after the read arrived.

use masticsill_types::ClockMs;

use crate::replica::RoleState;
use crate::{CallerToken, LogIndex, Output, Replica};

/// A read waiting for a heartbeat round and a commit index.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: CallerToken,
    /// The entry that must be committed before the read is served.
    pub(crate) index: LogIndex,
    /// The heartbeat round that a quorum must acknowledge before the read is served.
    pub(crate) round: u64,
}

impl Replica {
    pub(crate) fn read_index(&mut self, now: ClockMs, token: CallerToken) {
        let commit = self.commit;
        let leader_hint = self.leader.clone();
        let RoleState::Leader(state) = &mut self.role else {
            let refusal = Output::RefusedRead { token, leader_hint };
            self.outputs.push(refusal);
            return;
        };
        let has_no_pending_reads = state.reads.is_empty();
        state.reads.push_back(PendingRead {
            token,
            index: commit.max(state.first_index),
            round: state.last_round + 1,
        });
        // Reads that arrive while other reads are pending share the next round.
        if has_no_pending_reads {
            self.start_heartbeat_round(now);
        }
    }

    pub(crate) fn answer_reads(&mut self, now: ClockMs) {
        let commit = self.commit;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let confirmed = state.confirmed.map_or(0, |round| round.number);
        while let Some(read) = state.reads.front().copied()
            && read.round <= confirmed
            && read.index <= commit
        {
            let PendingRead { token, index, .. } = read;
            self.outputs.push(Output::ReadReady { token, index });
            state.reads.pop_front();
        }
        let last_round = state.last_round;
        let needs_round = |read: &PendingRead| read.round > last_round;
        if state.reads.front().is_some_and(needs_round) {
            self.start_heartbeat_round(now);
        }
    }
}
