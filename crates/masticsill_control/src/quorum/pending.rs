//! Calls that wait for the quorum.

use indexmap::IndexMap;
use masticsill_catalogue::CommandAnswer;
use masticsill_quorum::{CallerToken, MembershipChange};
use masticsill_wire::control::{ControlReply, ReadAnswer, ReadRequest, ReplicaAnswer};

use super::request::ReplyTo;

/// A caller's reply channel, by the event that it waits for.
#[derive(Debug)]
pub(crate) enum PendingCall {
    /// The answer to a committed command.
    Command(ReplyTo<CommandAnswer>),
    /// The commit of a membership change.
    Membership(ReplyTo<ReplicaAnswer>),
    /// The commit of a membership change's audit record, after which the change is started.
    AuditRecord(MembershipChange, ReplyTo<ReplicaAnswer>),
    /// Confirmation by the quorum that this replica's state is current enough to be read.
    Read(ReadRequest, ReplyTo<ReadAnswer>),
}

impl PendingCall {
    /// Sends the caller a reply without an answer. Does nothing if the caller has gone.
    pub(crate) fn refuse(self, reason: Refused) {
        match self {
            Self::Command(reply_to) => drop(reply_to.send(to_caller(reason))),
            Self::Membership(reply_to) | Self::AuditRecord(_, reply_to) => {
                drop(reply_to.send(to_caller(reason)));
            }
            Self::Read(_, reply_to) => drop(reply_to.send(to_caller(reason))),
        }
    }
}

/// A reply that carries no answer.
pub(crate) type Refused = ControlReply<std::convert::Infallible>;

/// Converts a reply without an answer to the type that a caller waits for.
fn to_caller<T>(refused: Refused) -> ControlReply<T> {
    refused.and_then(|never| match never {})
}

/// Pending calls by token.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    calls: IndexMap<CallerToken, PendingCall>,
    last_token: u64,
}

impl PendingCalls {
    pub(crate) fn add(&mut self, pending: PendingCall) -> CallerToken {
        self.last_token += 1;
        let token = CallerToken(self.last_token);
        self.calls.insert(token, pending);
        token
    }

    pub(crate) fn take(&mut self, token: CallerToken) -> Option<PendingCall> {
        self.calls.swap_remove(&token)
    }

    /// Tells every caller that the outcome of its call is unknown.
    pub(crate) fn abandon_all(&mut self) {
        for (_, pending) in self.calls.drain(..) {
            pending.refuse(ControlReply::OutcomeUnknown);
        }
    }
}
