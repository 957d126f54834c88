//! Event streams (`text/event-stream`), cut into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes as they came.
    pub bytes: Bytes,
    /// The number in its `id` line, if it has one.
    pub id: Option<u64>,
}

/// Collects the bytes of a stream and gives out whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the front that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Bytes of an event that is not whole.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Drops what is left of a broken event.
    pub fn reset(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// The end of the first event: a line end followed by an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut position = self.searched;
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
        self.searched = position;
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?.trim_ascii();
        std::str::from_utf8(value).ok()?.parse().ok()
    })
}
