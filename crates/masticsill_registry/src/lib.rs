//! A registry of endpoints that announce themselves by heartbeat.
//!
//! Each run of an endpoint is one incarnation: it has a name of its own, or a later start time
//! under the same name. It sends its heartbeats to any control replica. The control replicas
//! exchange the records and pass them on to the entries. Records are joined by incarnation, and
//! within an incarnation by state and sequence, so that a heartbeat delayed by a partition never
//! undoes a newer one. Pure logic: no sockets, and the time is passed to each call.

mod confirmed_versions;
mod gauges;
mod id;
mod join;
mod origin_lookup;
mod permits;
mod prompt_cache;
mod rate;
mod record;
mod registry;
mod report_progress;
mod reported_voters;
mod reservations;
mod silence;
mod stated_limits;
mod stream_origins;
mod watchers;

pub use confirmed_versions::ConfirmedVersions;
pub use gauges::StateGauges;
pub use id::{EndpointId, EndpointIncarnation};
pub use join::JoinOutcome;
pub use origin_lookup::{LookupStep, OriginEvidence, OriginLookup, OriginReply, origin_keepers};
pub use prompt_cache::{CacheUpdate, CachedPart, CachedTokens, PromptCacheIndex, PromptPart};
pub use rate::{LimitStatement, RequestRate};
pub use record::{Announcement, EndpointRecord, EndpointState, HeartbeatAge};
pub use registry::{Registry, RegistryTimeouts, UNCONFIRMED_GRACE_MS};
pub use report_progress::ReportProgress;
pub use reported_voters::{QuorumShare, ReportedVoters};
pub use reservations::{EngineReservationRequest, is_zone_down};
pub use stream_origins::{AttemptKey, StoredStream, StreamOrigin, StreamOrigins, StreamRecord};
pub use watchers::{EndpointLoad, LoadsChange, Watcher, WatcherTable};
