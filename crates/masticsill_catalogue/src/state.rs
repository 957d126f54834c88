//! The state machine that the control quorum replicates.
//!
//! Every replica applies the same commands in the same order and must reach the same state, so
//! nothing here reads a clock: each command carries the wall-clock time of the leader that proposed
//! it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_rollout::{OrderAnswer, Rollout, RolloutOrder, RolloutStep, Rollouts};
use masticsill_types::{CatalogueVersion, ChangeId, GenerationId, NodeId, OperatorId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::audit::{AuditAction, AuditTrail, ChangeRecord};
use crate::catalogue::Catalogue;
use crate::change::{
    Change, ChangeAnswer, ChangeContent, ChangeDigest, ChangeRefusal, MAX_ENTRIES, OperatorScope,
};
use crate::claim::{Claim, ClaimAnswer, ClaimRecord, Reassign, Settle};
use crate::claims::Claims;
use crate::document::{DocumentAnswer, StoredDocument};
use crate::insertion_order_map::InsertionOrderMap;
use crate::validation::FieldError;

/// Maximum number of answers to changes that are kept for resends.
///
/// A change that is resent after its answer was evicted is refused as a version conflict, because
/// its expected version is no longer in force. It is therefore still never applied twice.
pub const MAX_CHANGE_ANSWERS: usize = 16_384;

/// Recorded as the operator of the end of a roll-out, which the quorum's leader decides.
const ROLLOUT_OPERATOR_ID: &str = "rollouts";

/// A command of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The action to apply.
    pub action: Action,
    /// The leader's wall clock when it proposed the command, in milliseconds since the Unix epoch.
    pub at_wall_ms: u64,
}

/// The action of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// An operator's change, with the scope that the leader's settings grant to the operator.
    Change(Change, OperatorScope),
    /// Requests a claim.
    Claim(Claim),
    /// Allocates the next sequence number for orders to engines.
    DrawOrderSequence,
    /// Records that an operator started a change of the control replicas.
    NoteReplicas {
        /// The address on which the replica listens, if the operator gave one.
        address: Option<SocketAddr>,
        /// Whether the replica is added (`true`) or removed (`false`).
        is_added: bool,
        /// The operator that started the change.
        operator: OperatorId,
        /// The replica that is added or removed.
        replica: NodeId,
    },
    /// Reassigns a claim.
    Reassign(Reassign),
    /// Settles a claim.
    Settle(Settle),
    /// Puts a route document in force, if its version is higher than the one in force.
    PutDocument {
        /// The document.
        document: StoredDocument,
        /// The operator that sent the document.
        operator: OperatorId,
    },
    /// Begins a roll-out, unless one of the service is in progress.
    OrderRollout {
        /// The operator that sent the order.
        operator: OperatorId,
        /// The order.
        order: RolloutOrder,
    },
    /// Advances a roll-out, if the step directly follows the last one.
    AdvanceRollout(RolloutStep),
}

/// The answer to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandAnswer {
    /// The answer to a change.
    Change(ChangeAnswer),
    /// The answer to a claim, a reassignment or a settlement.
    Claim(ClaimAnswer),
    /// The sequence number that was allocated.
    OrderSequence(u64),
    /// The command was applied and has no result.
    Done,
    /// The answer to a route document.
    Document(DocumentAnswer),
    /// The answer to an order of a roll-out.
    Rollout(OrderAnswer),
    /// Whether the step of a roll-out was applied.
    RolloutAdvanced(bool),
}

/// Identifies a change: different operators may use the same id.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct AnswerKey {
    id: ChangeId,
    operator: OperatorId,
}

/// The answer to a change and the digest of the change that got it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct FirstAnswer {
    answer: ChangeAnswer,
    digest: ChangeDigest,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    answers: InsertionOrderMap<AnswerKey, FirstAnswer>,
    audit: AuditTrail,
    catalogue: Catalogue,
    claims: Claims,
    /// Persisted separately, because the stored format of the other fields predates the document.
    #[serde(skip)]
    document: Option<StoredDocument>,
    order_sequence: u64,
    replica_addresses: IndexMap<NodeId, SocketAddr>,
    /// Persisted separately, like the document.
    #[serde(skip)]
    rollouts: Rollouts,
    wall_ms: u64,
}

impl ControlState {
    /// The catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The route document in force, if an operator sent one.
    #[must_use]
    pub fn document(&self) -> Option<&StoredDocument> {
        self.document.as_ref()
    }

    /// Returns the state with the given document, which is stored separately.
    #[must_use]
    pub fn with_document(mut self, document: Option<StoredDocument>) -> Self {
        self.document = document;
        self
    }

    /// The latest roll-out of each service.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the state with the given roll-outs, which are stored separately.
    #[must_use]
    pub fn with_rollouts(mut self, rollouts: Rollouts) -> Self {
        self.rollouts = rollouts;
        self
    }

    /// The audit trail.
    #[must_use]
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// A claim that has not expired.
    #[must_use]
    pub fn claim(&self, id: GenerationId) -> Option<&ClaimRecord> {
        self.claims.get(id)
    }

    /// Number of claims that have not expired.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The last sequence number allocated for orders to engines; zero if there is none.
    #[must_use]
    pub fn order_sequence(&self) -> u64 {
        self.order_sequence
    }

    /// Addresses that operators gave when they added replicas.
    #[must_use]
    pub fn replica_addresses(&self) -> &IndexMap<NodeId, SocketAddr> {
        &self.replica_addresses
    }

    /// The highest wall clock of any applied command, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        self.wall_ms
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> CommandAnswer {
        // A new leader's clock may be behind its predecessor's; the state's time must not go back.
        self.wall_ms = self.wall_ms.max(command.at_wall_ms);
        self.claims.expire(self.wall_ms);
        match &command.action {
            Action::Change(change, scope) => {
                CommandAnswer::Change(self.answer_change(change, scope))
            }
            Action::Claim(claim) => CommandAnswer::Claim(self.claims.claim(claim, self.wall_ms)),
            Action::DrawOrderSequence => {
                self.order_sequence += 1;
                CommandAnswer::OrderSequence(self.order_sequence)
            }
            Action::NoteReplicas {
                address,
                is_added,
                operator,
                replica,
            } => {
                if let Some(address) = address {
                    self.replica_addresses.insert(replica.clone(), *address);
                }
                let action = AuditAction::Replicas {
                    is_added: *is_added,
                    replica: replica.clone(),
                };
                self.audit.push(operator, self.wall_ms, action);
                CommandAnswer::Done
            }
            Action::Reassign(reassign) => CommandAnswer::Claim(self.claims.reassign(reassign)),
            Action::Settle(settle) => CommandAnswer::Claim(self.claims.settle(settle)),
            Action::PutDocument { document, operator } => {
                CommandAnswer::Document(self.put_document(document, operator))
            }
            Action::OrderRollout { operator, order } => {
                CommandAnswer::Rollout(self.order_rollout(operator, order))
            }
            Action::AdvanceRollout(step) => {
                CommandAnswer::RolloutAdvanced(self.advance_rollout(step))
            }
        }
    }

    /// The answer to a change that was already applied, if the answer is still kept.
    ///
    /// A different change under the same id gets [`ChangeRefusal::ChangeIdReused`].
    #[must_use]
    pub fn first_answer(&self, change: &Change) -> Option<ChangeAnswer> {
        let first = self.answers.get(&answer_key(change))?;
        Some(if first.digest == change.digest() {
            first.answer.clone()
        } else {
            ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused)
        })
    }

    fn put_document(&mut self, document: &StoredDocument, operator: &OperatorId) -> DocumentAnswer {
        let in_force = self.document.as_ref().map(|held| held.version);
        let is_accepted = in_force.is_none_or(|in_force| document.version > in_force);
        let action = AuditAction::Document {
            is_accepted,
            version: document.version,
        };
        self.audit.push(operator, self.wall_ms, action);
        if let Some(in_force) = in_force.filter(|_| !is_accepted) {
            return DocumentAnswer::Superseded { in_force };
        }
        self.document = Some(document.clone());
        DocumentAnswer::Accepted
    }

    fn order_rollout(&mut self, operator: &OperatorId, order: &RolloutOrder) -> OrderAnswer {
        let before = self.rollouts.revision();
        let answer = self.rollouts.order(order);
        let is_new = self.rollouts.revision() != before;
        let (is_accepted, number) = match answer {
            OrderAnswer::Accepted(number) => (true, number),
            OrderAnswer::InProgress(number) => (false, number),
        };
        // A repeated order is not recorded: callers resend orders whose answers were lost.
        if is_new || !is_accepted {
            let action = AuditAction::RolloutOrdered {
                is_accepted,
                number,
                service: order.service.clone(),
                target: order.target.clone(),
            };
            self.audit.push(operator, self.wall_ms, action);
        }
        answer
    }

    fn advance_rollout(&mut self, step: &RolloutStep) -> bool {
        let by_number = |it: &&Rollout| it.number == step.number;
        let was_ended = self.rollouts.iter().find(by_number);
        let was_ended = was_ended.is_some_and(|it| it.phase.is_ended());
        if !self.rollouts.advance(step) {
            return false;
        }
        if !was_ended
            && step.phase.is_ended()
            && let Some(rollout) = self.rollouts.iter().find(by_number)
        {
            let action = AuditAction::RolloutEnded {
                number: step.number,
                phase: step.phase,
                service: rollout.order.service.clone(),
                target: rollout.order.target.clone(),
            };
            let operator = OperatorId::new(ROLLOUT_OPERATOR_ID);
            let operator = operator.expect("the name holds letters only");
            self.audit.push(&operator, self.wall_ms, action);
        }
        true
    }

    fn answer_change(&mut self, change: &Change, scope: &OperatorScope) -> ChangeAnswer {
        if let Some(answer) = self.first_answer(change) {
            if answer == ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused) {
                self.audit_change(change, self.owner_of(change), answer.clone());
            }
            return answer;
        }
        let owner = self.owner_of(change);
        let answer = match self.apply_change(change, scope) {
            Ok(version) => ChangeAnswer::Accepted { version },
            Err(refusal) => ChangeAnswer::Refused(refusal),
        };
        self.audit_change(change, owner, answer.clone());
        self.store_answer(change, answer.clone());
        answer
    }

    fn apply_change(
        &mut self,
        change: &Change,
        scope: &OperatorScope,
    ) -> Result<CatalogueVersion, ChangeRefusal> {
        self.check_scope(change, scope)?;
        check_content(change)?;
        let in_force = self.catalogue.entry_version(&change.entry);
        if change.expected_version != in_force {
            return Err(ChangeRefusal::VersionConflict {
                expected: change.expected_version,
                in_force,
            });
        }
        match &change.content {
            ChangeContent::Delete => Ok(self.catalogue.delete(&change.entry)),
            ChangeContent::Put(entry) => {
                let is_new = in_force == CatalogueVersion::default();
                if is_new && self.catalogue.len() >= MAX_ENTRIES {
                    return Err(ChangeRefusal::CatalogueFull);
                }
                Ok(self.catalogue.put((**entry).clone()))
            }
        }
    }

    /// Checks that the operator may change entries of both the current and the new owner.
    fn check_scope(&self, change: &Change, scope: &OperatorScope) -> Result<(), ChangeRefusal> {
        let in_force = self.catalogue.get(&change.entry);
        let in_force = in_force.map(|held| &held.entry.owner);
        let next = match &change.content {
            ChangeContent::Delete => None,
            ChangeContent::Put(entry) => Some(&entry.owner),
        };
        for workspace in in_force.into_iter().chain(next) {
            if !scope.allows(workspace) {
                return Err(ChangeRefusal::Forbidden {
                    workspace: workspace.clone(),
                });
            }
        }
        Ok(())
    }

    fn owner_of(&self, change: &Change) -> Option<WorkspaceId> {
        let in_force = self.catalogue.get(&change.entry);
        let in_force = in_force.map(|held| held.entry.owner.clone());
        in_force.or_else(|| match &change.content {
            ChangeContent::Delete => None,
            ChangeContent::Put(entry) => Some(entry.owner.clone()),
        })
    }

    fn audit_change(&mut self, change: &Change, owner: Option<WorkspaceId>, answer: ChangeAnswer) {
        let record = ChangeRecord {
            answer,
            entry: change.entry.clone(),
            expected_version: change.expected_version,
            id: change.id.clone(),
            is_delete: change.content == ChangeContent::Delete,
            owner,
        };
        let action = AuditAction::Change(record);
        self.audit.push(&change.operator, self.wall_ms, action);
    }

    fn store_answer(&mut self, change: &Change, answer: ChangeAnswer) {
        let digest = change.digest();
        let first = FirstAnswer { answer, digest };
        self.answers.push(answer_key(change), first);
        if self.answers.len() > MAX_CHANGE_ANSWERS {
            self.answers.pop_oldest();
        }
    }
}

fn answer_key(change: &Change) -> AnswerKey {
    AnswerKey {
        id: change.id.clone(),
        operator: change.operator.clone(),
    }
}

fn check_content(change: &Change) -> Result<(), ChangeRefusal> {
    let error = match &change.content {
        ChangeContent::Delete => {
            let remedy = "use the version of the entry to delete; zero means that there is none";
            let is_absent = change.expected_version == CatalogueVersion::default();
            is_absent.then(|| FieldError::new("expected_version", 0, remedy))
        }
        ChangeContent::Put(entry) => {
            entry.validate().map_err(ChangeRefusal::Invalid)?;
            let remedy = format!("use `{}`, the entry that the change names", change.entry);
            let is_other = entry.id != change.entry;
            is_other.then(|| FieldError::new("id", &entry.id, remedy))
        }
    };
    match error {
        Some(error) => Err(ChangeRefusal::Invalid(vec![error])),
        None => Ok(()),
    }
}
