//! Decides which endpoint each request is sent to, which requests wait, and which are refused.
//!
//! The crate is pure logic: callers pass in the current time and what is known of endpoints and
//! requests, and get decisions back. There is no network access and no clock. Endpoint capacity is
//! not configured per deployment; it is learned from the endpoints' answers.

mod budget;
mod capacity;
mod concurrency_limit;
mod dispatcher;
mod endpoint;
mod endpoints;
mod entries;
mod estimate;
mod event_gaps;
mod health;
mod placement;
mod prior_wait;
mod reading;
mod refusal;
mod request_limit;
mod service_queue;
mod stop_limits;
mod version_state;

pub use budget::{BudgetSettings, RetryBudget};
pub use capacity::{EntryPosition, has_memory_for_copy};
pub use concurrency_limit::ConcurrencyLimit;
pub use dispatcher::{Decision, DispatchContext, Dispatcher, WaitOutcome};
pub use endpoint::{AddressState, Endpoint, OtherLoad};
pub use endpoints::EndpointTable;
pub use entries::EntryCount;
pub use event_gaps::{EVENT_GAP_TIMEOUT_MS, EventGaps, silence_timeout_ms};
pub use health::{Failure, Health};
pub use placement::{Choice, PlacementRequest, ZoneShare, choose, choose_holder, suspect_zones};
pub use prior_wait::PriorWaitEstimator;
pub use reading::ReadingPace;
pub use refusal::Overload;
pub use request_limit::RequestLimit;
pub use service_queue::{Requirements, Terms, Ticket, Work};
pub use stop_limits::StopLimits;
pub use version_state::{Hindrance, VersionQuery, VersionState};
