//! Streaming of answers as server-sent events.

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

/// Size of a chunk from which no further item is added to it, so that a single stream does not
/// occupy a worker.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Time without an event after which a comment is sent, because a closed connection is only noticed
/// by writing to it.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// An SSE comment, which clients ignore.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

/// The receiving end of the ring of a caller. Dropping it closes the ring, by which the sessions
/// duty notices that the caller has disconnected.
#[derive(Debug)]
pub(crate) struct AnswerReceiver {
    _open_work: OpenWorkGuard,
    ring: Ring<StreamItem>,
}

impl AnswerReceiver {
    /// Creates the receiving end of a ring. The request counts as open work until it is dropped.
    pub(crate) fn new(ring: Ring<StreamItem>, open_work: &OpenWork) -> Self {
        Self {
            _open_work: open_work.enter(),
            ring,
        }
    }

    /// Waits for the next item. Returns `None` once the ring is closed and empty.
    pub(crate) async fn next(&self) -> Option<StreamItem> {
        self.ring.pop().await
    }

    /// Returns the next item if one is available.
    fn try_next(&self) -> Option<StreamItem> {
        self.ring.try_pop()
    }
}

impl Drop for AnswerReceiver {
    fn drop(&mut self) {
        self.ring.close();
    }
}

/// The fields that all events of one answer have in common.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    /// Id of the answer.
    pub(crate) id: String,
    /// The completion interface that the caller uses.
    pub(crate) interface: Interface,
    /// The model that the caller named.
    pub(crate) model: String,
}

/// Returns the body of a streamed answer. `first` is the item that was already received.
pub(crate) fn stream_answer(
    head: AnswerHead,
    first: StreamItem,
    receiver: AnswerReceiver,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let state = Some((head, Some(first), receiver));
    stream::unfold(state, async |state| {
        let (head, first, receiver) = state?;
        let item = if first.is_some() {
            first
        } else {
            let Ok(item) = timeout(KEEP_ALIVE_INTERVAL, receiver.next()).await else {
                let comment = Ok(Bytes::from_static(KEEP_ALIVE_COMMENT));
                return Some((comment, Some((head, None, receiver))));
            };
            item
        };
        let (chunk, is_last) = encode_available(&head, item?, &receiver);
        let rest = (!is_last).then_some((head, None, receiver));
        Some((Ok(chunk), rest))
    })
}

/// Encodes an item and the further items that are available, up to the size bound. Returns the
/// chunk and whether it contains the last item.
fn encode_available(
    head: &AnswerHead,
    first: StreamItem,
    receiver: &AnswerReceiver,
) -> (Bytes, bool) {
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

/// Appends the events of an item. Returns whether it is the last item of the answer.
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
