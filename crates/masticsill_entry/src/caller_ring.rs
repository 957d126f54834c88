//! The ring through which the sessions duty sends an answer to a caller's connection.

use masticsill_runtime::{Ring, RingFull};
use masticsill_session::{AnswerSink, StreamItem};

/// The sending end of the ring of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRing(pub(crate) Ring<StreamItem>);

impl AnswerSink for CallerRing {
    fn offer(&self, item: StreamItem) -> Result<(), StreamItem> {
        self.0.push(item).map_err(|RingFull(item)| item)
    }

    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
