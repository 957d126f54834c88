//! Roll-outs: a service's requests are moved from one version of its endpoints to another.
//!
//! The control leader advances a roll-out step by step; each step is replicated before it takes
//! effect. Entries learn of the current step, split new requests between the versions accordingly,
//! and report how each version answers. From these reports the leader decides whether to give the
//! new version more requests, to complete the roll-out, or to roll it back. Pure logic: no sockets,
//! and the time is passed to each call.

mod driver;
mod evidence;
mod judge;
mod order;
mod ramp;
mod service_versions;
mod step;
mod table;
mod version_filter;
mod version_rule;

pub use driver::{DriverInput, RolloutDriver, RolloutLimits};
pub use evidence::{
    ArmEvidence, EvidenceReport, EvidenceStore, LatencyHistogram, Reporter, RouteEvidence,
};
pub use judge::{Finding, JudgeFn, Period, RouteTrials, Share, Trial, judge, trials};
pub use order::{OrderAnswer, RolloutNumber, RolloutOrder};
pub use service_versions::{KnownVersion, ServiceVersions, StartedRequest};
pub use step::{Phase, RollbackCause, Rollout, RolloutState, RolloutStep};
pub use table::Rollouts;
pub use version_filter::{ANY_VERSION, RequestVersions, VersionBinding, VersionFilter};
pub use version_rule::{ServingRollout, VersionChoice, VersionRule};
