//! The route document: routes, services, workspaces and limits under one version number, which the
//! operator chooses. The document with the highest accepted version is in force.
//!
//! The quorum stores the operator's bytes without parsing them, so that they are returned exactly
//! as they were sent. [`RouteDocument`] is the parsed form.

mod fetch;
mod index;
mod pieces;
mod routes;
mod rules;
mod sources;
mod stored;

use serde::{Deserialize, Serialize};

pub use fetch::{FetchPacer, JoinedDocument, PieceFetch};
pub use index::RouteIndex;
pub use pieces::{PackedPiece, PieceEntry, PieceError, PieceHash, PieceList, PieceStore};
pub use routes::{
    ApiKey, EngineTraits, RequestLimits, Route, RouteDocument, RouteKind, ServiceEntry,
    ServiceShare, WorkspaceEntry,
};
pub use sources::{DocumentSource, DocumentSources};
pub use stored::{StoredDocument, UnpackError};

/// The result of submitting a route document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DocumentAnswer {
    /// The document is in force.
    Accepted,
    /// A document with the same or a higher version was already in force; nothing changed.
    Superseded {
        /// The version in force.
        in_force: u64,
    },
}
