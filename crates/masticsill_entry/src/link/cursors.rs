//! The read positions of a link in the streams that it follows.

use indexmap::IndexMap;
use masticsill_types::{AttemptState, GenerationId, TokenIndex};
use masticsill_wire::agent::{Progress, ProgressState, PullCursor};

/// The cursors of one link, one per followed stream.
#[derive(Debug, Default)]
pub(crate) struct Cursors {
    cursors: IndexMap<GenerationId, PullCursor>,
}

impl Cursors {
    /// Starts to follow a stream at a cursor.
    pub(crate) fn follow(&mut self, cursor: PullCursor) {
        self.cursors.insert(cursor.id, cursor);
    }

    /// Stops following a stream.
    pub(crate) fn unfollow(&mut self, id: GenerationId) {
        self.cursors.swap_remove(&id);
    }

    /// Stops following all streams.
    pub(crate) fn clear(&mut self) {
        self.cursors.clear();
    }

    /// Returns whether no stream is followed.
    pub(crate) fn is_empty(&self) -> bool {
        self.cursors.is_empty()
    }

    /// Returns all cursors, for a pull request.
    pub(crate) fn to_vec(&self) -> Vec<PullCursor> {
        self.cursors.values().copied().collect()
    }

    /// Moves a cursor past the received tokens of a stream. Stops following streams that ended.
    pub(crate) fn advance(&mut self, progress: &Progress) {
        let Some(cursor) = self.cursors.get_mut(&progress.id) else {
            return;
        };
        if cursor.lineage != progress.lineage {
            return;
        }
        let token_count = u32::try_from(progress.tokens.len()).unwrap_or(u32::MAX);
        let end = TokenIndex(progress.first_index.0.saturating_add(token_count));
        if progress.first_index <= cursor.next_index && end > cursor.next_index {
            cursor.next_index = end;
        }
        match progress.state {
            ProgressState::Attempt(AttemptState::Running) => {}
            ProgressState::Attempt(AttemptState::Failed(_) | AttemptState::Finished(_))
            | ProgressState::Fenced(_)
            | ProgressState::Unknown => self.unfollow(progress.id),
        }
    }
}
