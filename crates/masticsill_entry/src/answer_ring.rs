//! A caller's connection as the sessions see it.

use masticsill_runtime::{Ring, RingFull};
use masticsill_session::{AnswerSink, StreamItem};

use crate::wakes::WorkerWakes;

/// The sending end of a caller's ring, and the worker that reads it.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRing {
    /// The caller's items.
    pub(crate) ring: Ring<StreamItem>,
    /// The worker of the caller's connection.
    pub(crate) wakes: WorkerWakes,
}

impl AnswerSink for AnswerRing {
    fn offer(&self, item: StreamItem) -> Result<(), StreamItem> {
        self.ring
            .push_quietly(item)
            .map_err(|RingFull(item)| item)?;
        self.wakes.note(&self.ring);
        Ok(())
    }

    fn is_closed(&self) -> bool {
        self.ring.is_closed()
    }
}
