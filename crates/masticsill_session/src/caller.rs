//! Delivery of one answer to one caller.

use std::collections::VecDeque;
use std::fmt;

use masticsill_generation::{Record, Utf8Assembler};
use masticsill_types::{AttemptState, FinishReason, Refusal, TokenIndex};

use crate::position::{HolderHint, Position};

/// What a caller's connection is given to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// The answer is whole.
    Finished {
        /// Tokens of the whole answer.
        token_count: u32,
        /// Where the answer ended.
        position: Position,
        /// Why it ended.
        reason: FinishReason,
    },
    /// The final answer is a refusal.
    Refused(Refusal),
    /// The next whole characters.
    Text {
        /// Where the caller stands once it has them.
        position: Position,
        /// The characters.
        text: String,
    },
}

/// Where a caller's answer goes. An entry's connections implement it; tests use a small fake.
pub trait AnswerSink: fmt::Debug {
    /// Takes an item, or gives it back when there is no room for it now.
    ///
    /// # Errors
    ///
    /// The item, when there is no room.
    fn offer(&self, item: StreamItem) -> Result<(), StreamItem>;

    /// Whether the caller is gone.
    fn is_closed(&self) -> bool;
}

/// Whether a caller still takes its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// Everything was handed over, the final item included.
    Complete,
    /// The connection is gone.
    Gone,
    /// More will follow.
    Open,
}

/// A caller's connection and how far its answer was handed over.
///
/// A slow caller fills its sink; the rest stays in the record, which `max_tokens` bounds.
#[derive(Debug)]
pub(crate) struct Caller {
    assembler: Utf8Assembler,
    holder: HolderHint,
    is_ended: bool,
    next_fed: TokenIndex,
    pending: VecDeque<StreamItem>,
    sink: Box<dyn AnswerSink>,
}

impl Caller {
    /// A caller that wants the answer from `next_index` on.
    pub(crate) fn new(sink: Box<dyn AnswerSink>, next_index: TokenIndex) -> Self {
        Self {
            assembler: Utf8Assembler::starting_at(next_index),
            holder: HolderHint::default(),
            is_ended: false,
            next_fed: next_index,
            pending: VecDeque::new(),
            sink,
        }
    }

    /// Hands over what the record has and the sink has room for; `holder` is who runs it now.
    pub(crate) fn deliver(&mut self, record: &Record, holder: HolderHint) -> Delivery {
        if self.flush() == Delivery::Open && self.pending.is_empty() && !self.is_ended {
            self.holder = holder;
            self.feed(record);
        }
        self.flush()
    }

    /// Ends the answer with a refusal; nothing more of the record is handed over.
    pub(crate) fn refuse(&mut self, refusal: Refusal) {
        if !self.is_ended {
            self.is_ended = true;
            self.pending.push_back(StreamItem::Refused(refusal));
        }
        self.flush();
    }

    /// Hands over pending items.
    pub(crate) fn flush(&mut self) -> Delivery {
        while let Some(item) = self.pending.pop_front() {
            if let Err(item) = self.sink.offer(item) {
                self.pending.push_front(item);
                break;
            }
        }
        if self.pending.is_empty() && self.is_ended {
            return Delivery::Complete;
        }
        if self.sink.is_closed() {
            return Delivery::Gone;
        }
        Delivery::Open
    }

    fn feed(&mut self, record: &Record) {
        let mut text = String::new();
        for token in record.tokens_from(self.next_fed) {
            self.next_fed = self.next_fed.next();
            if let Some(part) = self.assembler.push(&token.bytes) {
                text.push_str(&part);
            }
        }
        let AttemptState::Finished(reason) = record.state() else {
            self.queue_text(text, record);
            return;
        };
        if let Some(rest) = self.assembler.finish() {
            text.push_str(&rest);
        }
        self.queue_text(text, record);
        self.is_ended = true;
        self.pending.push_back(StreamItem::Finished {
            token_count: record.next_index().0,
            position: self.position(record),
            reason,
        });
    }

    fn queue_text(&mut self, text: String, record: &Record) {
        if !text.is_empty() {
            let position = self.position(record);
            self.pending.push_back(StreamItem::Text { position, text });
        }
    }

    fn position(&self, record: &Record) -> Position {
        let next_index = self.assembler.next_index();
        Position {
            holder: self.holder,
            id: record.id(),
            lineage: record.lineage_before(next_index),
            next_index,
        }
    }
}
