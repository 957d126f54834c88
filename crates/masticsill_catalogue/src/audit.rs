//! The audit trail: who wanted what, when, and what became of it.

use std::collections::VecDeque;

use masticsill_types::{CatalogueVersion, ChangeId, EntryId, NodeId, OperatorId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::change::ChangeAnswer;

/// Records kept; the oldest make way. Reading from a sequence on lets an archive keep all.
pub const MAX_AUDIT_RECORDS: usize = 16_384;

/// One line of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// What was wanted.
    pub action: AuditAction,
    /// The leader's wall clock, in milliseconds since 1970; it never goes back.
    pub at_wall_ms: u64,
    /// Who.
    pub operator: OperatorId,
    /// Its place in the trail, from one, without gaps.
    pub sequence: u64,
}

/// What an operator wanted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AuditAction {
    /// A change of the catalogue.
    Change(ChangeRecord),
    /// A change of the control replicas, which was started.
    Replicas {
        /// Whether the replica was added, or removed.
        is_added: bool,
        /// The replica.
        replica: NodeId,
    },
    /// The catalogue as one document.
    Document {
        /// Whether it came into force, or a version as high was there already.
        is_accepted: bool,
        /// The operator's version.
        version: u64,
    },
}

/// A change of the catalogue, as recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Accepted under which version, or refused and why.
    pub answer: ChangeAnswer,
    /// The entry.
    pub entry: EntryId,
    /// The version that the change expected.
    pub expected_version: CatalogueVersion,
    /// The change's id.
    pub id: ChangeId,
    /// Whether the entry was to be deleted, or put.
    pub is_delete: bool,
    /// The entry's owner, before the change or else after it.
    pub owner: Option<WorkspaceId>,
}

/// A bounded trail, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    last_sequence: u64,
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Records after a sequence, oldest first.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = &AuditRecord> {
        let is_later = move |record: &&AuditRecord| record.sequence > sequence;
        self.records.iter().filter(is_later)
    }

    /// The last record's sequence; zero when there is none.
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
