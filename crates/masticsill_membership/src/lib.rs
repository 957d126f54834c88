//! Gossip membership without a configured member list.
//!
//! Each node keeps a view of all members and drives it with [`Membership::step`]. Updates spread in
//! three ways: pushed at once to the entries and the control quorum, piggybacked on probes, and by
//! periodic anti-entropy, in which a node compares digests with a random peer. The state of a
//! member is a [`Record`]. Records are merged by a join, so an outdated record from a paused or
//! restarted node never replaces a newer one.
//!
//! A member counts as gone when it announced its end, or when a direct probe and the indirect
//! probes through helpers failed and the member did not refute the suspicion within the suspicion
//! timeout. Only suspicions are gossiped, never the verdict that a member is gone: each node runs
//! the timeout itself, so that the two halves of a healed partition don't declare each other gone.

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
