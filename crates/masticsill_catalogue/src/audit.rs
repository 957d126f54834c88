//! The audit trail: which operator requested what, when, and with which result.

use std::collections::VecDeque;

use masticsill_rollout::{Phase, RolloutNumber};
use masticsill_types::{CatalogueVersion, ChangeId, EntryId, NodeId, OperatorId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::change::ChangeAnswer;

/// Maximum number of records kept; the oldest are evicted. An archive can keep all of them by
/// regularly reading the records after the last sequence number that it has.
pub const MAX_AUDIT_RECORDS: usize = 16_384;

/// One record of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// What the operator requested.
    pub action: AuditAction,
    /// The leader's wall clock in milliseconds since the Unix epoch; never lower than that of an
    /// earlier record.
    pub at_wall_ms: u64,
    /// The operator that made the request.
    pub operator: OperatorId,
    /// The record's number in the trail, counted from one without gaps.
    pub sequence: u64,
}

/// What an operator requested.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AuditAction {
    /// A change of a catalogue entry.
    Change(ChangeRecord),
    /// A change of the control replicas that was started; its end is not recorded.
    Replicas {
        /// Whether the replica is added (`true`) or removed (`false`).
        is_added: bool,
        /// The replica that is added or removed.
        replica: NodeId,
    },
    /// A route document.
    Document {
        /// Whether the document came into force; `false` if the same or a higher version was
        /// already in force.
        is_accepted: bool,
        /// The document's version, chosen by the operator.
        version: u64,
    },
    /// An order that began a roll-out, or was refused because of another one in progress.
    RolloutOrdered {
        /// Whether the order began a roll-out.
        is_accepted: bool,
        /// The roll-out that began, or the one in progress.
        number: RolloutNumber,
        /// The service.
        service: String,
        /// The version that the order names.
        target: String,
    },
    /// The end of a roll-out.
    RolloutEnded {
        /// The roll-out.
        number: RolloutNumber,
        /// How it ended.
        phase: Phase,
        /// The service.
        service: String,
        /// The version that was ordered.
        target: String,
    },
}

/// A change of a catalogue entry, as recorded in the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The answer to the change: its version, or why it was refused.
    pub answer: ChangeAnswer,
    /// The entry that the change names.
    pub entry: EntryId,
    /// The version that the change expected.
    pub expected_version: CatalogueVersion,
    /// The change's id.
    pub id: ChangeId,
    /// Whether the change deletes the entry (`true`) or puts it (`false`).
    pub is_delete: bool,
    /// The entry's owner before the change, or the requested owner if there was no entry.
    pub owner: Option<WorkspaceId>,
}

/// The latest [`MAX_AUDIT_RECORDS`] records, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    last_sequence: u64,
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Records with a sequence number above `sequence`, oldest first.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = &AuditRecord> {
        let is_later = move |record: &&AuditRecord| record.sequence > sequence;
        self.records.iter().filter(is_later)
    }

    /// The sequence number of the latest record; zero if there is none.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub(crate) fn push(&mut self, operator: &OperatorId, at_wall_ms: u64, action: AuditAction) {
        self.last_sequence += 1;
        self.records.push_back(AuditRecord {
            action,
            at_wall_ms,
            operator: operator.clone(),
            sequence: self.last_sequence,
        });
        if self.records.len() > MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
    }
}
