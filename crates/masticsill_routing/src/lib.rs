//! Placement, classes, limits, shares, admission and retry budgets.
//!
//! [`Router`] decides for one entry which endpoint gets which request, and which requests are
//! queued, refused or retried. [`ShareLedger`] and [`ShareClient`] enforce one limit across all
//! entries by leased shares. Pure logic: no sockets, threads or wall clock.

mod cache_view;
mod config;
mod endpoint;
mod fair_queue;
mod lane;
mod limits;
mod number;
mod placement;
mod pool;
mod queueing;
mod refusals;
mod request;
mod retry_budget;
mod router;
mod shares;
mod slot_gate;

pub use cache_view::CacheChange;
pub use config::{PlacementPolicy, RouterConfig};
pub use endpoint::{EndpointDescription, EntryRank};
pub use limits::{LocalLimits, TokenBucket};
pub use request::{
    AdmitDecision, BackEndTarget, Dequeued, Placement, PrefixBlock, WorkEnd, WorkKind, WorkOutcome,
    WorkRequest,
};
pub use router::{EntryPolicy, Router};
pub use shares::{ShareClient, ShareGrant, ShareLedger, ShareRequest};
pub use slot_gate::SlotGate;
