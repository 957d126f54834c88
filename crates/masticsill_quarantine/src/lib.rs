//! Requests that crash the endpoints that run them.
//!
//! Such a request comes again under other ids and at other entries, so it is known by its fingerprint.
//! Entries note which runs ended together with their endpoints, and which came to an end of their own;
//! control replicas join what all of them noted and tell it to every entry. There is no leader in
//! this: records are joined in any order, as often as they come. Pure logic: no sockets, and time
//! comes with each call.

mod completed;
mod crash;
mod fingerprint;
mod ledger;
mod rivals;
mod suspect;

pub use crash::{CrashRecord, CrashedRun, Weight};
pub use fingerprint::{Fingerprint, RequestContent};
pub use ledger::{CrashLedger, Judgement, RequestRecord};
pub use suspect::Standing;
