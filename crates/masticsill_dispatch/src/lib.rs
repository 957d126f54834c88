//! Which request goes to which endpoint now, which waits here, and which is refused.
//!
//! All of it is pure: what is known of the endpoints and of the requests goes in with its time,
//! decisions come out. There is no network and no clock here, and nothing is configured by
//! deployment: what an endpoint can bear is learned from its answers.

mod budget;
mod capacity;
mod concurrency_limit;
mod dispatcher;
mod endpoint;
mod endpoints;
mod entries;
mod estimate;
mod health;
mod placement;
mod prior_wait;
mod reading;
mod refusal;
mod service_queue;

pub use budget::{BudgetSettings, RetryBudget};
pub use capacity::{EntryPosition, has_memory_for_copy};
pub use concurrency_limit::ConcurrencyLimit;
pub use dispatcher::{Decision, DispatchContext, Dispatcher, WaitOutcome};
pub use endpoint::{Endpoint, OtherLoad};
pub use endpoints::EndpointTable;
pub use entries::EntryCount;
pub use health::{Failure, Health};
pub use placement::{Choice, PlacementRequest, ZoneShare, choose, choose_holder, suspect_zones};
pub use prior_wait::PriorWaitEstimator;
pub use reading::ReadingPace;
pub use refusal::Overload;
pub use service_queue::{Requirements, Terms, Ticket, Work};
