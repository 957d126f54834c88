//! Splits event streams (`text/event-stream`) into complete events.

use bytes::{Bytes, BytesMut};

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes as received.
    pub bytes: Bytes,
    /// The value of the first `id` line that holds a number, if there is one.
    pub id: Option<u64>,
}

/// Buffers the bytes of a stream and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the front that were already searched for the end of an event.
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned_bytes = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Discards all buffered bytes, such as an incomplete event of a broken connection.
    pub fn reset(&mut self) {
        self.buffer.clear();
        self.scanned_bytes = 0;
    }

    /// Returns the end of the first event: a line end followed by an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut position = self.scanned_bytes;
        while position < bytes.len() {
            if bytes[position] == b'\n' {
                match &bytes[position + 1..] {
                    [b'\n', ..] => return Some(position + 2),
                    [b'\r', b'\n', ..] => return Some(position + 3),
                    [] | [b'\r'] => break,
                    _ => {}
                }
            }
            position += 1;
        }
        self.scanned_bytes = position;
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?.trim_ascii();
        std::str::from_utf8(value).ok()?.parse().ok()
    })
}
