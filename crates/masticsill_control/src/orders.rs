//! Orders to engines, given by the leader only.
//!
//! A new leader first fences every agent it knows, so that no order of a former leader takes
//! effect after its own first one, and learns what is under way there. Every order then draws its
//! number through the log, and the lease is checked again immediately before the send.

mod calls;
mod duty;
mod session;

pub(crate) use duty::OrdersDuty;
