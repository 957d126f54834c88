//! Whole characters from tokens that may end inside one.

use std::str;

use masticsill_types::TokenIndex;

/// Joins tokens' bytes into text that is cut only where a token and a character end together.
///
/// So the text handed out always equals a whole number of tokens, and a caller that comes back
/// with [`Utf8Assembler::next_index`] misses and repeats nothing. Bytes that can't be UTF-8 become
/// U+FFFD.
#[derive(Clone, Debug)]
pub struct Utf8Assembler {
    held: Vec<u8>,
    held_tokens: u32,
    next_index: TokenIndex,
}

impl Utf8Assembler {
    /// An assembler whose first token has the index given.
    #[must_use]
    pub fn starting_at(next_index: TokenIndex) -> Self {
        Self {
            held: Vec::new(),
            held_tokens: 0,
            next_index,
        }
    }

    /// Adds a token and returns the text that is whole now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<String> {
        self.held.extend_from_slice(bytes);
        self.held_tokens += 1;
        if ends_inside_character(&self.held) {
            return None;
        }
        Some(self.release())
    }

    /// Returns what is held at the answer's end, an incomplete character as U+FFFD.
    pub fn finish(&mut self) -> Option<String> {
        if self.held_tokens == 0 {
            return None;
        }
        Some(self.release())
    }

    /// Index of the token after the last one handed out as text.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.next_index
    }

    fn release(&mut self) -> String {
        let text = String::from_utf8_lossy(&self.held).into_owned();
        self.held.clear();
        self.next_index.0 += self.held_tokens;
        self.held_tokens = 0;
        text
    }
}

fn ends_inside_character(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    loop {
        let Err(error) = str::from_utf8(rest) else {
            return false;
        };
        let Some(invalid_bytes) = error.error_len() else {
            return true;
        };
        rest = &rest[error.valid_up_to() + invalid_bytes..];
    }
}
