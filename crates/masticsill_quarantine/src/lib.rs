//! Requests that crash the endpoints that run them.
//!
//! Such a request comes again under other ids and at other entries, so that it is known by its
//! fingerprint. Pure logic: no sockets, and time comes with each call.

mod fingerprint;

pub use fingerprint::{Fingerprint, RequestContent};
