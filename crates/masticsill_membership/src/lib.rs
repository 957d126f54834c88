//! Membership without a list: incarnations, suspicion, deltas and digests.
//!
//! Each node keeps a view of all members and drives it with [`Membership::step`]. News spreads in
//! three ways: at once to entries and the control quorum, on the back of probes, and by comparing
//! hashes with a random peer now and then. Words about a member are [`Record`]s, merged by a join:
//! a paused or restarted node's old word never wins.
//!
//! A member counts as gone when it says so, or when a probe of it failed directly and through
//! helpers and it did not refute within the suspicion timeout. Only suspicion travels: each node
//! runs the timeout itself, so that two halves of a healed partition don't bury each other.

mod change_log;
mod config;
mod detector;
mod digest;
mod hold_down;
mod member;
mod membership;
mod message;
mod push;
mod rumors;
mod table;

pub use change_log::ChangesSince;
pub use config::Periods;
pub use member::{Member, MemberState, Phase, Record, Role};
pub use membership::{Description, Membership};
pub use message::{CallId, Input, Output, Reply, ReplyBody, Request, RequestBody};
