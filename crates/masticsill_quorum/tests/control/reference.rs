//! Reference model of the control state: a single copy made of lists that are searched linearly and
//! never trimmed.

use indexmap::IndexMap;
use masticsill_catalogue::{
    Action, AuditAction, AuditRecord, CallEnd, Catalogue, CatalogueEntry, Change, ChangeAnswer,
    ChangeContent, ChangeRecord, ChangeRefusal, Claim, ClaimAnswer, ClaimRecord, Command,
    CommandAnswer, OperatorScope, Reassign, Settle,
};
use masticsill_quorum::LogIndex;
use masticsill_types::{CatalogueVersion, EntryId, GenerationId};

use super::operators::workspace;

/// A change that was accepted.
#[derive(Debug)]
pub struct Accepted {
    pub index: LogIndex,
    pub change: Change,
    pub version: u64,
}

/// Every committed command in order, with its expected answer.
#[derive(Debug, Default)]
pub struct ReferenceModel {
    pub accepted: Vec<Accepted>,
    pub answers: IndexMap<LogIndex, (Command, CommandAnswer)>,
    pub claims: IndexMap<GenerationId, ClaimRecord>,
    pub audit_trail: Vec<AuditRecord>,
    first_answers: Vec<(Change, ChangeAnswer)>,
    order_sequence: u64,
    wall_ms: u64,
}

impl ReferenceModel {
    pub fn apply(&mut self, index: LogIndex, command: Command) {
        self.wall_ms = self.wall_ms.max(command.at_wall_ms);
        let answer = match &command.action {
            Action::Change(change, scope) => {
                CommandAnswer::Change(self.answer_change(index, change, scope))
            }
            Action::Claim(claim) => CommandAnswer::Claim(self.claim(claim)),
            Action::DrawOrderSequence => {
                self.order_sequence += 1;
                CommandAnswer::OrderSequence(self.order_sequence)
            }
            Action::AdvanceRollout(_)
            | Action::NoteReplicas { .. }
            | Action::OrderRollout { .. }
            | Action::PutDocument { .. } => {
                panic!("no client in this test sends this command")
            }
            Action::Reassign(reassign) => CommandAnswer::Claim(self.reassign(reassign)),
            Action::Settle(settle) => CommandAnswer::Claim(self.settle(settle)),
        };
        self.answers.insert(index, (command, answer));
    }

    fn answer_change(
        &mut self,
        index: LogIndex,
        change: &Change,
        scope: &OperatorScope,
    ) -> ChangeAnswer {
        let is_same =
            |it: &&(Change, ChangeAnswer)| it.0.id == change.id && it.0.operator == change.operator;
        let first_answers = self.first_answers.iter().find(is_same);
        if let Some((first_answers, answer)) = first_answers
            && first_answers == change
        {
            return answer.clone();
        }
        let is_reuse = first_answers.is_some();
        let is_put = matches!(change.content, ChangeContent::Put(_));
        let has_owner = is_put || self.version_of(&change.entry) > 0;
        let answer = if is_reuse {
            ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused)
        } else {
            self.decide(index, change, scope, has_owner)
        };
        self.audit_trail.push(AuditRecord {
            action: AuditAction::Change(ChangeRecord {
                answer: answer.clone(),
                entry: change.entry.clone(),
                expected_version: change.expected_version,
                id: change.id.clone(),
                is_delete: !is_put,
                owner: has_owner.then(workspace),
            }),
            at_wall_ms: self.wall_ms,
            operator: change.operator.clone(),
            sequence: self.audit_trail.len() as u64 + 1,
        });
        if !is_reuse {
            self.first_answers.push((change.clone(), answer.clone()));
        }
        answer
    }

    fn decide(
        &mut self,
        index: LogIndex,
        change: &Change,
        scope: &OperatorScope,
        has_owner: bool,
    ) -> ChangeAnswer {
        if has_owner && *scope != OperatorScope::All {
            let workspace = workspace();
            return ChangeAnswer::Refused(ChangeRefusal::Forbidden { workspace });
        }
        let in_force = self.version_of(&change.entry);
        if change.expected_version.0 != in_force {
            return ChangeAnswer::Refused(ChangeRefusal::VersionConflict {
                expected: change.expected_version,
                in_force: CatalogueVersion(in_force),
            });
        }
        let version = self.accepted.len() as u64 + 1;
        let change = change.clone();
        self.accepted.push(Accepted {
            index,
            change,
            version,
        });
        let version = CatalogueVersion(version);
        ChangeAnswer::Accepted { version }
    }

    /// The version of an entry that is in effect; zero if there is none.
    pub fn version_of(&self, entry: &EntryId) -> u64 {
        let is_of_entry = |it: &&Accepted| it.change.entry == *entry;
        let last = self.accepted.iter().rev().find(is_of_entry);
        last.map_or(0, |it| match it.change.content {
            ChangeContent::Delete => 0,
            ChangeContent::Put(_) => it.version,
        })
    }

    fn claim(&mut self, claim: &Claim) -> ClaimAnswer {
        let Some(held) = self.claims.get(&claim.id) else {
            let record = ClaimRecord {
                agent: claim.agent.clone(),
                claimed_wall_ms: self.wall_ms,
                end: None,
                fingerprint: claim.fingerprint,
                nonce: claim.nonce,
                owner: claim.owner.clone(),
                version: 1,
            };
            self.claims.insert(claim.id, record);
            return ClaimAnswer::Granted { version: 1 };
        };
        if held.fingerprint != claim.fingerprint {
            ClaimAnswer::FingerprintDiffers
        } else if held.nonce == claim.nonce && held.owner == claim.owner && held.end.is_none() {
            let version = held.version;
            ClaimAnswer::Granted { version }
        } else {
            ClaimAnswer::Existing(held.clone())
        }
    }

    fn reassign(&mut self, reassign: &Reassign) -> ClaimAnswer {
        let Some(held) = self.claims.get_mut(&reassign.id) else {
            return ClaimAnswer::Unknown;
        };
        let is_sender = held.nonce == reassign.nonce && held.owner == reassign.owner;
        let is_repeat = is_sender && held.end.is_none();
        let is_movable = matches!(held.end, None | Some(CallEnd::NotRun));
        if !is_repeat && (held.version != reassign.expected_version || !is_movable) {
            return ClaimAnswer::Existing(held.clone());
        }
        if !is_repeat {
            held.agent = reassign.agent.clone();
            held.end = None;
            held.nonce = reassign.nonce;
            held.owner = reassign.owner.clone();
            held.version += 1;
        }
        let version = held.version;
        ClaimAnswer::Granted { version }
    }

    fn settle(&mut self, settle: &Settle) -> ClaimAnswer {
        let Some(held) = self.claims.get_mut(&settle.id) else {
            return ClaimAnswer::Unknown;
        };
        let may_follow = match &held.end {
            None => true,
            Some(CallEnd::OutcomeUnknown) => settle.end != CallEnd::NotRun,
            Some(end) => *end == settle.end,
        };
        if held.version != settle.version || !may_follow {
            return ClaimAnswer::Existing(held.clone());
        }
        held.end = Some(settle.end.clone());
        ClaimAnswer::Settled
    }

    /// Checks that a catalogue holds exactly the changes accepted up to its version.
    pub fn check_catalogue(&self, catalogue: &Catalogue) {
        let count = usize::try_from(catalogue.version().0).unwrap();
        assert!(
            count <= self.accepted.len(),
            "the catalogue has a version that was never accepted"
        );
        let mut expected: IndexMap<&EntryId, (u64, &CatalogueEntry)> = IndexMap::new();
        for it in &self.accepted[..count] {
            match &it.change.content {
                ChangeContent::Delete => expected.swap_remove(&it.change.entry),
                ChangeContent::Put(entry) => {
                    expected.insert(&it.change.entry, (it.version, &**entry))
                }
            };
        }
        let held = catalogue.entries();
        let held = held.map(|it| (&it.entry.id, (it.version.0, &it.entry)));
        let held: IndexMap<_, _> = held.collect();
        assert_eq!(
            held, expected,
            "the catalogue differs from the model at version {count}"
        );
    }

    /// The catalogue's version after the entry at an index.
    pub fn version_at(&self, index: LogIndex) -> u64 {
        let earlier = self.accepted.iter().filter(|it| it.index <= index);
        earlier.count() as u64
    }
}
