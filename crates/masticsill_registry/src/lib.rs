//! Endpoints that announce themselves by heartbeat.
//!
//! A replica of an endpoint is one incarnation with an id of its own. It announces itself at any
//! control instance; the instances exchange what they heard and tell the entries. Records are
//! joined by (state, sequence), so that a heartbeat which was held up behind a partition never
//! undoes a newer one. Pure logic: no sockets, and time comes with each call.

mod gauges;
mod kept;
mod record;
mod registry;
mod silence;
mod watchers;

pub use gauges::StateGauges;
pub use kept::{KeptNews, KeptPart, KeptPrompts, KeptTokens, PromptPart};
pub use record::{Announcement, EndpointId, EndpointRecord, EndpointState, Heard};
pub use registry::{Registry, RegistryPeriods};
pub use watchers::{EndpointLoad, LoadsChange, Watcher, WatcherBook};
