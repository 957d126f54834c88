//! Where a link stands in each stream that it follows.

use indexmap::IndexMap;
use masticsill_types::{AttemptState, GenerationId, TokenIndex};
use masticsill_wire::agent::{Progress, ProgressState, PullCursor};

/// The cursors of one link.
#[derive(Debug, Default)]
pub(crate) struct Cursors {
    cursors: IndexMap<GenerationId, PullCursor>,
}

impl Cursors {
    /// Follows a stream from a cursor on.
    pub(crate) fn follow(&mut self, cursor: PullCursor) {
        self.cursors.insert(cursor.id, cursor);
    }

    /// Follows a stream no more.
    pub(crate) fn unfollow(&mut self, id: GenerationId) {
        self.cursors.swap_remove(&id);
    }

    /// Forgets every stream.
    pub(crate) fn clear(&mut self) {
        self.cursors.clear();
    }

    /// Whether no stream is followed.
    pub(crate) fn is_empty(&self) -> bool {
        self.cursors.is_empty()
    }

    /// Every cursor, for a pull.
    pub(crate) fn to_vec(&self) -> Vec<PullCursor> {
        self.cursors.values().copied().collect()
    }

    /// Moves a cursor past the tokens of a stream's news; ended streams are followed no more.
    pub(crate) fn advance(&mut self, news: &Progress) {
        let Some(cursor) = self.cursors.get_mut(&news.id) else {
            return;
        };
        if cursor.lineage != news.lineage {
            return;
        }
        let token_count = u32::try_from(news.tokens.len()).unwrap_or(u32::MAX);
        let end = TokenIndex(news.first_index.0.saturating_add(token_count));
        if news.first_index <= cursor.next_index && end > cursor.next_index {
            cursor.next_index = end;
        }
        match news.state {
            ProgressState::Attempt(AttemptState::Running) => {}
            ProgressState::Attempt(AttemptState::Failed(_) | AttemptState::Finished(_))
            | ProgressState::Fenced(_)
            | ProgressState::Unknown => self.unfollow(news.id),
        }
    }
}
