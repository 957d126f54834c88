//! The versions of a service's endpoints among which a request's endpoint is chosen.

use serde::{Deserialize, Serialize};

use crate::version_rule::VersionChoice;

/// The versions of a service that a request may be sent to.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VersionFilter {
    choice: VersionChoice,
    /// Versions that no order covers yet.
    held_back: Vec<String>,
}

impl VersionFilter {
    /// Allows every version.
    pub const ANY: Self = Self {
        choice: VersionChoice::Any,
        held_back: Vec::new(),
    };

    /// The versions of a choice without those that are held back.
    #[must_use]
    pub fn new(choice: VersionChoice, held_back: Vec<String>) -> Self {
        Self { choice, held_back }
    }

    /// One version.
    #[must_use]
    pub fn only(version: &str) -> Self {
        VersionChoice::Only(version.to_owned()).into()
    }

    /// The same versions without those that are to be held back as well.
    #[must_use]
    pub fn holding_back(mut self, versions: &[String]) -> Self {
        self.held_back.extend_from_slice(versions);
        self
    }

    /// Whether endpoints of a version may be chosen.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        self.choice.allows(version) && !self.held_back.iter().any(|it| it == version)
    }

    /// Whether every version is allowed.
    #[must_use]
    pub fn is_unrestricted(&self) -> bool {
        self.choice == VersionChoice::Any && self.held_back.is_empty()
    }
}

impl From<VersionChoice> for VersionFilter {
    fn from(choice: VersionChoice) -> Self {
        Self::new(choice, Vec::new())
    }
}

/// Every version, for services with endpoints of one version only.
pub static ANY_VERSION: VersionFilter = VersionFilter::ANY;

/// The versions that a request needs an endpoint of.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RequestVersions {
    /// The versions that the request may be sent to, at once or after a wait.
    pub allowed: VersionFilter,
    /// The versions that the request was drawn for, none of which are allowed ones. If none of their endpoints has capacity, it is
    /// sent to an allowed one.
    pub drawn: Option<VersionFilter>,
    /// How strictly the request is bound to the allowed versions.
    pub binding: VersionBinding,
}

impl RequestVersions {
    /// The same versions without those that are to be held back as well.
    #[must_use]
    pub fn holding_back(self, versions: &[String]) -> Self {
        Self {
            allowed: self.allowed.holding_back(versions),
            drawn: self.drawn.map(|drawn| drawn.holding_back(versions)),
            binding: self.binding,
        }
    }

    /// The versions for a stream of which the caller has events that `version` wrote.
    #[must_use]
    pub fn of_begun_stream(version: &str) -> Self {
        Self {
            allowed: VersionFilter::only(version),
            drawn: None,
            binding: VersionBinding::Required,
        }
    }
}

/// How strictly a request is bound to the versions that it may be sent to.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum VersionBinding {
    /// The request follows the versions that new requests may be sent to.
    #[default]
    Unbound,
    /// The request may have run on the allowed versions, and waits for them while they have
    /// endpoints.
    Preferred,
    /// The caller has events of the allowed version, and no other version can continue them.
    Required,
}
