//! Catalogue entries, changes with de-duplication, claims, route documents and the audit trail.
//!
//! Pure logic: no sockets, threads or clock.

mod audit;
mod catalogue;
mod change;
mod claim;
mod claims;
mod document;
mod entry;
mod entry_json;
mod follower;
mod insertion_order_map;
mod state;
mod update;
mod validation;

pub use audit::{AuditAction, AuditRecord, AuditTrail, ChangeRecord, MAX_AUDIT_RECORDS};
pub use catalogue::{Catalogue, MAX_TOMBSTONES, Tombstone, VersionedEntry};
pub use change::{Change, ChangeAnswer, ChangeContent, ChangeRefusal, MAX_ENTRIES, OperatorScope};
pub use claim::{
    AgentIncarnation, CLAIM_RETENTION_MS, CallEnd, Claim, ClaimAnswer, ClaimRecord, MAX_CLAIMS,
    MAX_EXPIRED_KEYS, MAX_KEPT_BODY_BYTES, MAX_TOTAL_KEPT_BODY_BYTES, Reassign, Settle,
    StoredAnswer, StoredBody,
};
pub use document::{
    ApiKey, DocumentAnswer, DocumentSource, DocumentSources, EngineTraits, FetchPacer,
    JoinedDocument, PackedPiece, PieceEntry, PieceError, PieceFetch, PieceHash, PieceList,
    PieceStore, RequestLimits, Route, RouteDocument, RouteIndex, RouteKind, ServiceEntry,
    ServiceShare, StoredDocument, UnpackError, WorkspaceEntry,
};
pub use entry::{BackEnd, CatalogueEntry, EngineRole, Limits, Placement, RoleReplicas};
pub use entry_json::{BackEndJson, EntryJson, LimitsJson, PlacementJson};
pub use follower::{Follower, Freshness};
pub use state::{Action, Command, CommandAnswer, ControlState, MAX_CHANGE_ANSWERS};
pub use update::{ApplyOutcome, CatalogueDelta, CatalogueSnapshot, CatalogueUpdate};
pub use validation::{FieldError, MAX_REPLICAS, MAX_ZONES};
