//! Prints results as text or as JSON.

use std::io::{self, Write};

use serde::Serialize;

/// The output format: JSON for scripts, or else text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    pub(crate) is_json: bool,
}

impl Output {
    /// Prints `json` as one line when JSON was asked for, or else the result of `text`.
    ///
    /// `text` is called only when its result is printed.
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
