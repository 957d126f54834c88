//! The preamble byte that selects a connection's RPC service.
//!
//! A process listens on one address for all its services. The first byte of each connection is a
//! [`ServiceKind`]; what follows is that service's `tarpc` transport.

use std::fmt;

/// A service that a process offers to its peers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ServiceKind {
    /// [`crate::agent::AgentService`].
    Agent,
    /// [`crate::control::ControlService`].
    Control,
    /// [`crate::entry::EntryService`].
    Entry,
    /// [`crate::node::NodeService`]: membership and the catalogue relay.
    Node,
}

/// A preamble byte that belongs to no service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownService(pub u8);

impl ServiceKind {
    /// The preamble byte.
    #[must_use]
    pub fn preamble(self) -> u8 {
        match self {
            Self::Agent => b'A',
            Self::Control => b'C',
            Self::Entry => b'E',
            Self::Node => b'N',
        }
    }
}

impl TryFrom<u8> for ServiceKind {
    type Error = UnknownService;

    fn try_from(preamble: u8) -> Result<Self, Self::Error> {
        match preamble {
            b'A' => Ok(Self::Agent),
            b'C' => Ok(Self::Control),
            b'E' => Ok(Self::Entry),
            b'N' => Ok(Self::Node),
            other => Err(UnknownService(other)),
        }
    }
}

impl fmt::Display for UnknownService {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "preamble byte {:#04x} names no service; connect only masticsill processes to this port",
            self.0
        )
    }
}

impl std::error::Error for UnknownService {}
