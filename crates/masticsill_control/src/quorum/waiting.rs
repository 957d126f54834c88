//! Callers that wait for the quorum.

use indexmap::IndexMap;
use masticsill_catalogue::CommandAnswer;
use masticsill_quorum::{CallerToken, MembershipChange};
use masticsill_wire::control::{ControlReply, ReadAnswer, ReadRequest, ReplicaAnswer};

use super::request::ReplyTo;

/// A caller, and what it waits for.
#[derive(Debug)]
pub(crate) enum Waiting {
    /// The answer to a command.
    Act(ReplyTo<CommandAnswer>),
    /// The commitment of a membership change.
    Member(ReplyTo<ReplicaAnswer>),
    /// The audit record of a membership change, which is begun after it.
    Note(MembershipChange, ReplyTo<ReplicaAnswer>),
    /// A proof that the state may be read.
    Read(ReadRequest, ReplyTo<ReadAnswer>),
}

impl Waiting {
    /// Tells the caller that it gets no answer here. A caller that has gone is not missed.
    pub(crate) fn refuse(self, reason: Refused) {
        match self {
            Self::Act(reply_to) => drop(reply_to.send(to_caller(reason))),
            Self::Member(reply_to) | Self::Note(_, reply_to) => {
                drop(reply_to.send(to_caller(reason)));
            }
            Self::Read(_, reply_to) => drop(reply_to.send(to_caller(reason))),
        }
    }
}

/// A reply without an answer.
pub(crate) type Refused = ControlReply<std::convert::Infallible>;

/// The same reply to a caller that waits for an answer of any type.
fn to_caller<T>(refused: Refused) -> ControlReply<T> {
    refused.and_then(|never| match never {})
}

/// Callers by token.
#[derive(Debug, Default)]
pub(crate) struct WaitingList {
    callers: IndexMap<CallerToken, Waiting>,
    last_token: u64,
}

impl WaitingList {
    pub(crate) fn add(&mut self, waiting: Waiting) -> CallerToken {
        self.last_token += 1;
        let token = CallerToken(self.last_token);
        self.callers.insert(token, waiting);
        token
    }

    pub(crate) fn take(&mut self, token: CallerToken) -> Option<Waiting> {
        self.callers.swap_remove(&token)
    }

    /// Tells every caller that the fate of its call is not known.
    pub(crate) fn abandon_all(&mut self) {
        for (_, waiting) in self.callers.drain(..) {
            waiting.refuse(ControlReply::OutcomeUnknown);
        }
    }
}
