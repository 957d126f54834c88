//! Ids, clock, classes, outcomes and log events shared by every masticsill crate.
//!
//! This crate holds vocabulary only: no sockets, no threads and no policy.

mod class;
mod clock;
mod endpoint;
mod event;
mod generation;
mod id;
mod outcome;
mod priority;

pub use class::{Class, UnknownClass};
pub use clock::{ClockMs, MonotonicClock, wall_ms};
pub use endpoint::{EndpointKind, EndpointProfile, LoadReport, ModelTarget};
pub use event::Event;
pub use generation::{
    AttemptFailure, AttemptState, FinishReason, GenerationSpec, Lineage, Sampling, Segment, Token,
};
pub use id::{
    AdapterId, Attempt, CatalogueVersion, ChangeId, ClusterId, EntryId, FencingNumber,
    GenerationId, IdError, Incarnation, ModelId, NodeId, OperatorId, OwnerEpoch, Term, TokenIndex,
    VersionId, WorkspaceId, ZoneId,
};
pub use outcome::{Outcome, Refusal, RefusalKind, RefusedOutcome};
pub use priority::Priority;
