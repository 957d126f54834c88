//! What is printed, for a person or for a script.

use std::io::{self, Write};

use serde::Serialize;

/// How to print.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    pub(crate) is_json: bool,
}

impl Output {
    /// Prints one line of JSON, or the text.
    pub(crate) fn show<T: Serialize>(
        self,
        json: &T,
        text: impl FnOnce() -> String,
    ) -> eyre::Result<()> {
        let shown = if self.is_json {
            serde_json::to_string(json)?
        } else {
            text()
        };
        writeln!(io::stdout(), "{shown}")?;
        Ok(())
    }
}
