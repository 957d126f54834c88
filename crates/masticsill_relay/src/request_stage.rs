//! How far a request has come, which decides what its caller can still be told when the relay ends.

use std::cell::Cell;
use std::rc::Rc;

use crate::response::Refusal;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stage {
    /// No endpoint has been sent the request.
    #[default]
    Unsent,
    /// The request may have run.
    Sent,
    /// Part of a response may have been written to the caller.
    Answering,
}

/// The stage of a request, shared by the tasks that answer it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestStage(Rc<Cell<Stage>>);

impl RequestStage {
    /// Records that the request is about to be sent to an endpoint.
    pub(crate) fn note_sent(&self) {
        if self.0.get() == Stage::Unsent {
            self.0.set(Stage::Sent);
        }
    }

    /// Records that a response is about to be written to the caller.
    pub(crate) fn note_answering(&self) {
        self.0.set(Stage::Answering);
    }

    /// The refusal with which the request can be ended now; `None` once a response is being written.
    pub(crate) fn final_refusal(&self) -> Option<Refusal> {
        match self.0.get() {
            Stage::Unsent => Some(Refusal::Stopping),
            Stage::Sent => Some(Refusal::Broken),
            Stage::Answering => None,
        }
    }
}
