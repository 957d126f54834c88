//! Streamed answers as server-sent events.

use std::convert::Infallible;
use std::time::Duration;

use futures::Stream;
use futures::stream;
use masticsill_runtime::Ring;
use masticsill_session::StreamItem;
use masticsill_types::{FinishReason, Refusal};
use ntex::util::Bytes;
use serde::Serialize;
use tokio::time::timeout;

use super::refusal::log_refusal;
use crate::open_work::{OpenWork, OpenWorkGuard};
use crate::openai::{Completion, ErrorBody, Interface};

/// Bytes written at once at most, so that one stream does not hold a worker.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Longest silence on a connection. A caller that left is only noticed by writing to it.
const IDLE: Duration = Duration::from_secs(1);
/// A comment, which callers' clients pass over.
const IDLE_COMMENT: &[u8] = b": waiting\n\n";

/// A caller's end of its ring; dropping it tells the sessions duty that the caller is gone.
#[derive(Debug)]
pub(crate) struct Receiver {
    _open: OpenWorkGuard,
    ring: Ring<StreamItem>,
}

impl Receiver {
    /// The receiving end of a ring, which counts as open work while it lives.
    pub(crate) fn new(ring: Ring<StreamItem>, open_work: &OpenWork) -> Self {
        Self {
            _open: open_work.enter(),
            ring,
        }
    }

    /// Waits for the next item.
    pub(crate) async fn next(&self) -> Option<StreamItem> {
        self.ring.pop().await
    }

    /// The next item, if it is there.
    fn try_next(&self) -> Option<StreamItem> {
        self.ring.try_pop()
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.ring.close();
    }
}

/// What every event of one answer repeats.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    /// The answer's name.
    pub(crate) id: String,
    /// The interface that the caller uses.
    pub(crate) interface: Interface,
    /// The model that the caller named.
    pub(crate) model: String,
}

/// The body of a streamed answer, its first item already taken.
pub(crate) fn stream_answer(
    head: AnswerHead,
    first: StreamItem,
    receiver: Receiver,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let state = Some((head, Some(first), receiver));
    stream::unfold(state, async |state| {
        let (head, first, receiver) = state?;
        let item = if first.is_some() {
            first
        } else {
            let Ok(item) = timeout(IDLE, receiver.next()).await else {
                let comment = Ok(Bytes::from_static(IDLE_COMMENT));
                return Some((comment, Some((head, None, receiver))));
            };
            item
        };
        let (chunk, is_last) = encode_available(&head, item?, &receiver);
        let rest = (!is_last).then_some((head, None, receiver));
        Some((Ok(chunk), rest))
    })
}

/// Encodes an item and all that wait behind it, up to the bound.
fn encode_available(head: &AnswerHead, first: StreamItem, receiver: &Receiver) -> (Bytes, bool) {
    let mut buffer = Vec::with_capacity(256);
    let mut next = Some(first);
    while let Some(item) = next {
        if encode_item(&mut buffer, head, &item) {
            return (Bytes::from(buffer), true);
        }
        next = if buffer.len() < MAX_CHUNK_BYTES {
            receiver.try_next()
        } else {
            None
        };
    }
    (Bytes::from(buffer), false)
}

/// Appends an item's events and returns whether it is the last.
fn encode_item(buffer: &mut Vec<u8>, head: &AnswerHead, item: &StreamItem) -> bool {
    match item {
        StreamItem::Text { position, text } => {
            buffer.extend_from_slice(format!("id: {position}\n").as_bytes());
            encode_chunk(buffer, head, text, None);
            false
        }
        StreamItem::Finished {
            position, reason, ..
        } => {
            buffer.extend_from_slice(format!("id: {position}\n").as_bytes());
            encode_chunk(buffer, head, "", Some(*reason));
            buffer.extend_from_slice(b"data: [DONE]\n\n");
            true
        }
        StreamItem::Refused(refusal) => {
            log_refusal(&head.id, refusal);
            encode_refusal(buffer, refusal);
            true
        }
    }
}

fn encode_chunk(buffer: &mut Vec<u8>, head: &AnswerHead, text: &str, finish: Option<FinishReason>) {
    let chunk = Completion::chunk(head.interface, &head.id, &head.model, text, finish);
    encode_data(buffer, &chunk);
}

fn encode_refusal(buffer: &mut Vec<u8>, refusal: &Refusal) {
    buffer.extend_from_slice(b"event: error\n");
    encode_data(buffer, &ErrorBody::from(refusal));
}

fn encode_data(buffer: &mut Vec<u8>, value: &impl Serialize) {
    buffer.extend_from_slice(b"data: ");
    serde_json::to_writer(&mut *buffer, value).expect("these types always serialise");
    buffer.extend_from_slice(b"\n\n");
}
