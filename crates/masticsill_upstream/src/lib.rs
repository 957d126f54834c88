//! HTTP/1.1 exchanges with endpoints: connections that detect a dead peer, and responses that are
//! matched to requests by id.
//!
//! Relays forward requests with this crate, and control replicas ask engines what they have cached.

mod buffer_budget;
mod call;
mod dial;
mod exchange;
mod idle;
mod probe;
mod read;
mod request_writer;

pub use buffer_budget::{BufferBudget, BufferShare, HeldMessage, OverBudget};
pub use call::{EndpointCall, EndpointClient};
pub use dial::{configure_socket, dial};
pub use exchange::{ExchangeError, ExpectedResponse, UpstreamConnection};
pub use idle::is_unused;
pub use probe::probe;
pub use read::read_more;
