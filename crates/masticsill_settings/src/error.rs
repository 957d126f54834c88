//! What can be wrong with a settings file.

use std::io;

use thiserror::Error;

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file `{path}` can't be read: {source}; check its path and permissions")]
    Unreadable {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file isn't JSON of the expected shape.
    #[error("field `{field}`: {problem}; correct it as docs/SETTINGS.md describes")]
    Malformed {
        /// Path of the field within the file.
        field: String,
        /// What the parser found, with line and column.
        problem: String,
    },
    /// A value is outside what the field allows.
    #[error("field `{field}`: value `{value}` is refused; {remedy}")]
    Refused {
        /// Path of the field within the file.
        field: String,
        /// The value found.
        value: String,
        /// What to write instead.
        remedy: String,
    },
}

impl SettingsError {
    pub(crate) fn refused(
        field: &str,
        value: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::Refused {
            field: field.to_owned(),
            value: value.into(),
            remedy: remedy.into(),
        }
    }
}
