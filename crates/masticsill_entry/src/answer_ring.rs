//! A caller's connection as the sessions see it.

use masticsill_runtime::{Ring, RingFull};
use masticsill_session::{AnswerSink, StreamItem};

/// The sending end of a caller's ring.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRing(pub(crate) Ring<StreamItem>);

impl AnswerSink for AnswerRing {
    fn offer(&self, item: StreamItem) -> Result<(), StreamItem> {
        self.0.push(item).map_err(|RingFull(item)| item)
    }

    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
