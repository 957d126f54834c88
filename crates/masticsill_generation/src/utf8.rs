//! Assembly of complete characters from tokens that may end inside a character.

use std::str;

use masticsill_types::TokenIndex;

/// Joins the bytes of tokens into text that is split only where a token and a character end
/// together.
///
/// The returned text therefore always corresponds to a whole number of tokens, and a caller that
/// resumes at [`Utf8Assembler::next_index`] neither misses nor repeats any text. Invalid UTF-8 is
/// replaced by U+FFFD.
#[derive(Clone, Debug)]
pub struct Utf8Assembler {
    buffered: Vec<u8>,
    buffered_tokens: u32,
    next_index: TokenIndex,
}

impl Utf8Assembler {
    /// Creates an assembler whose first token has the given index.
    #[must_use]
    pub fn starting_at(next_index: TokenIndex) -> Self {
        Self {
            buffered: Vec::new(),
            buffered_tokens: 0,
            next_index,
        }
    }

    /// Adds a token and returns the text that is now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<String> {
        self.buffered.extend_from_slice(bytes);
        self.buffered_tokens += 1;
        if ends_inside_character(&self.buffered) {
            return None;
        }
        Some(self.take_buffered())
    }

    /// Returns the buffered text at the answer's end; an incomplete character becomes U+FFFD.
    pub fn finish(&mut self) -> Option<String> {
        if self.buffered_tokens == 0 {
            return None;
        }
        Some(self.take_buffered())
    }

    /// Index of the token after the last one returned as text.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.next_index
    }

    fn take_buffered(&mut self) -> String {
        let text = String::from_utf8_lossy(&self.buffered).into_owned();
        self.buffered.clear();
        self.next_index.0 += self.buffered_tokens;
        self.buffered_tokens = 0;
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
