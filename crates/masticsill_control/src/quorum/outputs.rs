//! Carries out the outputs of the replica: writes, messages, commands and callers' answers.

use std::thread;
use std::time::Duration;

use masticsill_quorum::{
    CallerToken, Entry, Input, LogIndex, Output, RefusalReason, SyncPoint, VoterId, Write,
    encode_message,
};
use masticsill_runtime::spawn_duty;
use masticsill_types::{FencingNumber, log_event};
use masticsill_wire::control::{ControlReply, ReadAnswer, ReadRequest, ReplicaAnswer};

use super::duty::{Outgoing, QuorumDuty};
use super::members;
use super::pending::{PendingCall, Refused};
use super::request::Request;
use super::state_machine::{self, StateError};
use crate::events;

const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_millis(20);
const TOO_MANY_PENDING_RETRY_AFTER_MS: u64 = 200;
const MEMBERSHIP_RETRY_AFTER_MS: u64 = 300;

impl QuorumDuty {
    pub(super) fn carry_out(&mut self, output: Output) -> Result<(), StateError> {
        match output {
            Output::RoleChanged { role, term, leader } => {
                let leader = leader.map_or_else(|| "none".to_owned(), |id| id.to_string());
                log_event!(
                    info,
                    events::ROLE_CHANGED,
                    role = role,
                    term = term,
                    leader = leader
                );
            }
            Output::Apply { entries } => return self.apply(&entries),
            Output::Committed { token, index } => self.answer_committed(token, index),
            Output::OutcomeUnknown { token } => self.refuse(token, ControlReply::OutcomeUnknown),
            Output::Persist { point, write } => {
                self.persist(point, write);
            }
            Output::ReadReady { token, .. } => self.answer_read(token),
            Output::RefusedMembership { token, error } => {
                if let Some(PendingCall::Membership(reply_to)) = self.pending.take(token) {
                    let _ = reply_to.send(refused_membership(&error));
                }
            }
            Output::RefusedPropose {
                token,
                reason,
                leader_hint,
            } => self.refuse(token, self.refusal(reason, leader_hint.as_ref())),
            Output::RefusedRead { token, leader_hint } => {
                let refused = self.refusal(RefusalReason::NotLeader, leader_hint.as_ref());
                self.refuse(token, refused);
            }
            Output::RestoreSnapshot { snapshot } => {
                self.state_machine.restore(&snapshot)?;
                self.founding = None;
                self.unfounded = None;
                self.book
                    .set_admitted(self.state_machine.state().replica_addresses());
                log_event!(info, events::SNAPSHOT_RESTORED, index = snapshot.index);
            }
            Output::Send(envelope) => {
                let to = envelope.to.name.clone();
                let message = encode_message(envelope);
                // The quorum tolerates lost messages; a full ring must not block this duty.
                let _ = self.outgoing.push(Outgoing { message, to });
            }
            Output::TakeSnapshot { index } => self.take_snapshot(index),
        }
        Ok(())
    }

    fn persist(&mut self, point: SyncPoint, write: Write) {
        if self.is_founded() {
            self.unfounded = None;
        }
        if let Some(unfounded) = &mut self.unfounded {
            unfounded.apply(&write);
        }
        self.storage.write(point, write);
    }

    fn apply(&mut self, entries: &[Entry]) -> Result<(), StateError> {
        for entry in entries {
            if let Some(answer) = self.state_machine.apply(entry)? {
                self.answers.insert(entry.index, answer);
            }
        }
        self.metrics
            .count("control.committed", entries.len() as u64);
        self.book
            .set_admitted(self.state_machine.state().replica_addresses());
        Ok(())
    }

    fn answer_committed(&mut self, token: CallerToken, index: LogIndex) {
        match self.pending.take(token) {
            Some(PendingCall::Command(reply_to)) => {
                let answer = self.answers.swap_remove(&index);
                let reply = answer.map_or(ControlReply::OutcomeUnknown, ControlReply::Done);
                let _ = reply_to.send(reply);
            }
            Some(PendingCall::Membership(reply_to)) => {
                let _ = reply_to.send(ControlReply::Done(ReplicaAnswer::Accepted));
            }
            Some(PendingCall::AuditRecord(change, reply_to)) => {
                let token = self.pending.add(PendingCall::Membership(reply_to));
                let now = self.clock.now();
                let input = Input::ChangeMembership { token, change };
                let outputs = self.replica.step(now, input);
                // The step that starts a membership change commits nothing.
                for output in outputs {
                    let result = self.carry_out(output);
                    debug_assert!(result.is_ok(), "no entry is applied in this step");
                }
            }
            Some(PendingCall::Read(..)) | None => {}
        }
    }

    fn answer_read(&mut self, token: CallerToken) {
        let Some(PendingCall::Read(request, reply_to)) = self.pending.take(token) else {
            return;
        };
        let catalogue = self.state_machine.state().catalogue();
        let answer = match request {
            ReadRequest::Audit { after, limit } => {
                ReadAnswer::Audit(self.state_machine.audit_page(after, limit))
            }
            ReadRequest::Catalogue { have } => {
                ReadAnswer::Catalogue(catalogue.version(), catalogue.update_since(have))
            }
            ReadRequest::Entry { id } => ReadAnswer::Entry(catalogue.get(&id).cloned()),
            ReadRequest::Document => {
                ReadAnswer::Document(self.state_machine.state().document().cloned())
            }
            ReadRequest::HighestOrder => ReadAnswer::HighestOrder(FencingNumber {
                term: self.replica.term(),
                sequence: self.state_machine.state().order_sequence(),
            }),
            ReadRequest::Replicas => ReadAnswer::Replicas(members::view(&self.replica, &self.book)),
            ReadRequest::Rollouts => {
                let rollouts = self.state_machine.state().rollouts();
                ReadAnswer::Rollouts(rollouts.iter().cloned().collect())
            }
        };
        let _ = reply_to.send(ControlReply::Done(answer));
    }

    fn refuse(&mut self, token: CallerToken, refused: Refused) {
        if let Some(pending) = self.pending.take(token) {
            pending.refuse(refused);
        }
    }

    fn refusal(&self, reason: RefusalReason, leader: Option<&VoterId>) -> Refused {
        let leader = leader.map(|leader| members::hint(leader, &self.book));
        match reason {
            RefusalReason::NotLeader | RefusalReason::Transferring => {
                ControlReply::NotLeader(leader)
            }
            RefusalReason::TooManyPending => ControlReply::Overloaded {
                retry_after_ms: TOO_MANY_PENDING_RETRY_AFTER_MS,
            },
        }
    }

    /// Encodes a copy of the state on a separate thread, so that heartbeats are not delayed.
    fn take_snapshot(&mut self, index: LogIndex) {
        let state = self.state_machine.state().clone();
        let requests = self.requests.clone();
        let serialise = move || {
            let data = state_machine::encode_state(state);
            let mut taken = Request::SnapshotTaken(index, data);
            // The replica requests a snapshot only once, so the result must not be dropped when the
            // ring is full.
            while let Err(full) = requests.push(taken) {
                if requests.is_closed() {
                    return;
                }
                taken = full.0;
                thread::sleep(SNAPSHOT_RETRY_PAUSE);
            }
        };
        let _ = spawn_duty("control_snapshot", serialise);
    }
}

pub(super) fn refused_membership(
    error: &masticsill_quorum::MembershipError,
) -> ControlReply<ReplicaAnswer> {
    use masticsill_quorum::MembershipError::{AlreadyMember, ChangeInProgress};
    match error {
        AlreadyMember(_) => ControlReply::Done(ReplicaAnswer::Accepted),
        ChangeInProgress => ControlReply::Overloaded {
            retry_after_ms: MEMBERSHIP_RETRY_AFTER_MS,
        },
        _ => ControlReply::Done(ReplicaAnswer::Refused(error.to_string())),
    }
}
