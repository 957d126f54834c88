//! Orders to engines, sent by the leader only.
//!
//! A new leader first fences every agent that it knows, so that no order of a former leader takes
//! effect after the new leader's first one, and learns which orders are in flight there. Every
//! order then gets its sequence number from the replicated log, and the lease is checked again
//! immediately before the send.

mod calls;
mod duty;
mod session;

pub(crate) use duty::OrdersDuty;
