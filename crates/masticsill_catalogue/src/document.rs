//! The catalogue as one document: routes, services, workspaces and limits under one version that
//! the operator chooses. The highest version accepted is in force.
//!
//! The quorum stores the operator's bytes unread, so that they are read back as they were sent;
//! [`RouteDocument`] is what they mean.

mod fetch;
mod index;
mod pieces;
mod routes;
mod rules;
mod sources;
mod stored;

use serde::{Deserialize, Serialize};

pub use fetch::{FetchPace, JoinedDocument, PieceFetch};
pub use index::RouteIndex;
pub use pieces::{PackedPiece, PieceBook, PieceEntry, PieceError, PieceHash, PieceList};
pub use routes::{
    ApiKey, EngineTraits, RequestLimits, Route, RouteDocument, RouteKind, ServiceEntry,
    ServiceShare, WorkspaceEntry,
};
pub use sources::{DocumentSource, DocumentSources};
pub use stored::{StoredDocument, UnpackError};

/// What became of a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DocumentAnswer {
    /// It is in force.
    Accepted,
    /// One of this or a higher version was in force already; nothing changed.
    Superseded {
        /// The version in force.
        in_force: u64,
    },
}
