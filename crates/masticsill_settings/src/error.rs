//! Errors of reading a settings file.

use std::io;

use thiserror::Error;

/// Reason why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file `{path}` can't be read: {source}; check its path and permissions")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[error("field `{field}`: {problem}; correct it as docs/SETTINGS.md describes")]
    Malformed {
        /// Path of the field within the file.
        field: String,
        /// Message of the parser, with line and column.
        problem: String,
    },
    /// A value is not allowed for its field.
    #[error("field `{field}`: value `{value}` is refused; {remedy}")]
    Refused {
        /// Path of the field within the file.
        field: String,
        /// The refused value.
        value: String,
        /// How to correct the value.
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
