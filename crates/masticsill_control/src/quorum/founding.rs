//! Founding the cluster and changing its members.

use masticsill_catalogue::Action;
use masticsill_quorum::{LogIndex, Membership, Replica, Snapshot, StoredState};
use masticsill_types::log_event;
use masticsill_wire::control::{ControlReply, ReplicaAnswer, ReplicaIdentity};
use tokio::sync::oneshot;

use super::duty::QuorumDuty;
use super::members::{self, Interpretation};
use super::outputs;
use super::pending::PendingCall;
use super::request::{MembershipRequest, ReplyTo};
use super::state_machine::StateError;
use crate::events;

impl QuorumDuty {
    /// Proposes the audit record of a change; the change itself follows once that is committed.
    pub(super) fn change_replicas(
        &mut self,
        membership_request: MembershipRequest,
        reply_to: ReplyTo<ReplicaAnswer>,
    ) {
        if self.replica.lease_read_point(self.clock.now()).is_none() {
            // Only a leader with a valid lease knows the newest members.
            let leader = self.replica.leader();
            let leader = leader.map(|leader| members::hint(leader, &self.book));
            let _ = reply_to.send(ControlReply::NotLeader(leader));
            return;
        }
        let membership = self.replica.membership();
        let interpretation = members::interpret(
            &membership_request,
            membership,
            self.admission.target_voters(),
        );
        let change = match interpretation {
            Interpretation::AlreadyDone => {
                let _ = reply_to.send(ControlReply::Done(ReplicaAnswer::Accepted));
                return;
            }
            Interpretation::Refused(text) => {
                let _ = reply_to.send(ControlReply::Done(ReplicaAnswer::Refused(text)));
                return;
            }
            Interpretation::Change(change) => change,
        };
        if let Err(error) = membership.check(&change) {
            // Refused before the audit record takes an entry of the log.
            let _ = reply_to.send(outputs::refused_membership(&error));
            return;
        }
        let action = match membership_request {
            MembershipRequest::Join {
                replica, operator, ..
            } => Action::NoteReplicas {
                address: replica.address,
                is_added: true,
                operator,
                replica: replica.id.name,
            },
            MembershipRequest::Remove { node, operator } => Action::NoteReplicas {
                address: None,
                is_added: false,
                operator,
                replica: node,
            },
            MembershipRequest::RemoveSurplus { id, operator } => Action::NoteReplicas {
                address: None,
                is_added: false,
                operator,
                replica: id.name,
            },
        };
        self.propose(action, PendingCall::AuditRecord(change, reply_to));
    }

    pub(super) fn identify(&self) -> (ReplicaIdentity, Vec<ReplicaIdentity>) {
        let own = members::identity(self.replica.id(), self.is_founded());
        let founding = self.founding.iter().flat_map(|it| &it.voters);
        let founding = founding.map(|id| members::identity(id, true)).collect();
        (own, founding)
    }

    /// Stores the founding members in a folder that belongs to no cluster; returns whether this
    /// replica belongs to a cluster afterwards.
    pub(super) async fn found(
        &mut self,
        identities: &[ReplicaIdentity],
    ) -> Result<bool, StateError> {
        let membership = Membership::from_voters(identities.iter().map(members::voter));
        if self.is_founded() {
            return Ok(true);
        }
        let is_named = membership.is_voter(self.replica.id());
        if !is_named || !self.storage.is_synced() {
            return Ok(false);
        }
        let Some(mut stored) = self.unfounded.take() else {
            return Ok(false);
        };
        let snapshot = Snapshot::founding(membership.clone());
        let (done, is_done) = oneshot::channel();
        self.storage.found(snapshot.clone(), done);
        if is_done.await.is_err() {
            // Storage failed; the storage duty reports the cause.
            return Ok(false);
        }
        stored.snapshot = Some(snapshot);
        let settings = self.settings.clone();
        let replica = Replica::new(settings, stored, self.clock.now(), rand::random());
        self.replica = replica.expect("the settings were checked when the duty was built");
        self.founding = Some(membership);
        log_event!(info, events::FOUNDED, replica = self.replica.id());
        Ok(true)
    }

    /// Gives up a founding whose log is still empty here; the replica continues with a new
    /// identity. Returns whether the founding was given up.
    ///
    /// No acknowledged entry is lost: with an empty log this replica has taken part in no commit,
    /// and its old identity never votes again, as if its disk had been lost.
    pub(super) async fn give_up_founding(&mut self) -> bool {
        let has_entries = self.replica.last_index() > LogIndex::default();
        if !self.is_founded() || has_entries || !self.storage.is_synced() {
            return false;
        }
        let former = self.replica.id().clone();
        let (done, is_done) = oneshot::channel();
        self.storage.give_up(done);
        let Ok(stored) = is_done.await else {
            // Storage failed; the storage duty reports the cause.
            return false;
        };
        self.unfounded = Some(stored.clone());
        self.founding = None;
        let settings = self.settings.clone();
        let replica = Replica::new(settings, stored, self.clock.now(), rand::random());
        self.replica = replica.expect("the settings were checked when the duty was built");
        log_event!(
            warn,
            events::FOUNDING_GIVEN_UP,
            former = former,
            replica = self.replica.id()
        );
        true
    }
}

pub(super) fn founding_members(stored: &StoredState) -> Option<Membership> {
    let snapshot = stored.snapshot.as_ref()?;
    (snapshot.index == LogIndex::default()).then(|| snapshot.membership.clone())
}
