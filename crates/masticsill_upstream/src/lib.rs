//! HTTP/1.1 exchanges with endpoints: connections on which a dead peer shows, and answers that are
//! told apart by the id of their request.
//!
//! Relays pass requests on through it, and control replicas ask engines what they keep.

mod call;
mod dial;
mod exchange;
mod read;

pub use call::{EndpointCall, EndpointClient};
pub use dial::{configure_socket, dial};
pub use exchange::{ExchangeError, ExpectedResponse, UpstreamConnection};
pub use read::read_more;
