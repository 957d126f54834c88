//! Service classes of catalogue entries.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The service class of a catalogue entry: whether its requests may wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short requests that must be answered at once, regardless of the load of patient drafts.
    InstantLookup,
    /// Long generations that may wait, be preempted and be moved to another engine by exact resume.
    PatientDraft,
}

impl Class {
    /// The name used in settings, logs and the administration API.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InstantLookup => "instant_lookup",
            Self::PatientDraft => "patient_draft",
        }
    }

    /// The engine priority of the class; smaller numbers are served first.
    #[must_use]
    pub fn engine_priority(self) -> u8 {
        match self {
            Self::InstantLookup => 0,
            Self::PatientDraft => 10,
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "instant_lookup" => Ok(Self::InstantLookup),
            "patient_draft" => Ok(Self::PatientDraft),
            _ => Err(UnknownClass(text.to_owned())),
        }
    }
}

/// An unknown class name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownClass(pub String);

impl fmt::Display for UnknownClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "class `{}` is not known; use `instant_lookup` or `patient_draft`",
            self.0
        )
    }
}

impl std::error::Error for UnknownClass {}
