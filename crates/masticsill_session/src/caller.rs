//! Delivery of an answer to a caller.

use std::collections::VecDeque;
use std::fmt;

use masticsill_generation::{Record, Utf8Assembler};
use masticsill_types::{AttemptState, FinishReason, Refusal, TokenIndex};

use crate::position::{HolderHint, Position};

/// An item of an answer, to be written to the caller's connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// The answer is complete.
    Finished {
        /// Number of tokens of the whole answer.
        token_count: u32,
        /// Position of the end of the answer.
        position: Position,
        /// Why the answer ended.
        reason: FinishReason,
    },
    /// The generation was refused or has failed, or a newer connection of the caller gets the
    /// answer. No more items follow.
    Refused(Refusal),
    /// The next complete characters of the answer.
    Text {
        /// The caller's position once it has received the characters.
        position: Position,
        /// The characters.
        text: String,
    },
}

/// Receives the answer for a caller. Implemented by the connections of the entry node; tests use a
/// fake.
pub trait AnswerSink: fmt::Debug {
    /// Accepts an item, if there is room for it now.
    ///
    /// # Errors
    ///
    /// Returns the item if there is no room.
    fn offer(&self, item: StreamItem) -> Result<(), StreamItem>;

    /// Whether the caller has disconnected.
    fn is_closed(&self) -> bool;
}

/// State of the delivery to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// All items were accepted, including the final one.
    Complete,
    /// The caller has disconnected.
    Gone,
    /// More items will follow.
    Open,
}

/// A caller's connection and how much of the answer was delivered to it.
///
/// When a slow caller's sink is full, the rest of the answer stays in the record, whose size is
/// bounded by `max_tokens`.
#[derive(Debug)]
pub(crate) struct Caller {
    assembler: Utf8Assembler,
    holder: HolderHint,
    is_ended: bool,
    next_unread: TokenIndex,
    pending: VecDeque<StreamItem>,
    sink: Box<dyn AnswerSink>,
}

impl Caller {
    /// A caller that needs the answer from `next_index` on.
    pub(crate) fn new(sink: Box<dyn AnswerSink>, next_index: TokenIndex) -> Self {
        Self {
            assembler: Utf8Assembler::starting_at(next_index),
            holder: HolderHint::default(),
            is_ended: false,
            next_unread: next_index,
            pending: VecDeque::new(),
            sink,
        }
    }

    /// Delivers new tokens of the record as far as the sink has room; `holder` is the agent that
    /// currently runs the generation.
    pub(crate) fn deliver(&mut self, record: &Record, holder: HolderHint) -> Delivery {
        if self.flush() == Delivery::Open && self.pending.is_empty() && !self.is_ended {
            self.holder = holder;
            self.queue_new_items(record);
        }
        self.flush()
    }

    /// Ends the answer with a refusal; no more tokens of the record are delivered.
    pub(crate) fn refuse(&mut self, refusal: Refusal) {
        if !self.is_ended {
            self.is_ended = true;
            self.pending.push_back(StreamItem::Refused(refusal));
        }
        self.flush();
    }

    /// Offers pending items to the sink until it is full.
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

    fn queue_new_items(&mut self, record: &Record) {
        let mut text = String::new();
        for token in record.tokens_from(self.next_unread) {
            self.next_unread = self.next_unread.next();
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
