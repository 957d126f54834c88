//! Endpoints that announce themselves by heartbeat.
//!
//! A replica of an endpoint is one incarnation with an id of its own, or with a later birth under
//! the same one. It announces itself at any control instance; the instances exchange what they
//! heard and tell the entries. Records are joined by life, and within a life by state and sequence,
//! so that a heartbeat which was held up behind a partition never undoes a newer one. Pure logic: no sockets, and time comes with each call.

mod gauges;
mod id;
mod join;
mod kept;
mod places;
mod record;
mod registry;
mod silence;
mod watchers;

pub use gauges::StateGauges;
pub use id::{EndpointId, EndpointIncarnation};
pub use join::JoinOutcome;
pub use kept::{CacheUpdate, CachedPart, CachedTokens, PromptCacheIndex, PromptPart};
pub use places::{EngineReservationRequest, is_zone_down};
pub use record::{Announcement, EndpointRecord, EndpointState, HeartbeatAge};
pub use registry::{Registry, RegistryTimeouts};
pub use watchers::{EndpointLoad, LoadsChange, Watcher, WatcherTable};
