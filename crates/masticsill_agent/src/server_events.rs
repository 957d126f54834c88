//! Decoding of server-sent events.

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct EventDecoder {
    pending: Vec<u8>,
}

impl EventDecoder {
    /// Adds bytes and returns the values of the data lines that are complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.pending.extend_from_slice(bytes);
        let mut data = Vec::new();
        let mut start = 0;
        while let Some(length) = find_line_end(&self.pending[start..]) {
            let line = self.pending[start..start + length].trim_ascii_end();
            start += length + 1;
            if let Some(value) = line.strip_prefix(b"data:") {
                data.push(value.trim_ascii_start().to_vec());
            }
        }
        self.pending.drain(..start);
        data
    }
}

fn find_line_end(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}
