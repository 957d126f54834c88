//! Attributes endpoint crashes to the requests that cause them, and quarantines these requests.
//!
//! A request that crashes its endpoints is retried under other ids and at other entries, so it is
//! identified by a fingerprint of its content. Entries record which runs ended with a crash of
//! their endpoints and which were completed. Control replicas merge the records of all entries and
//! report them to every entry. There is no leader: merging is commutative and idempotent, so
//! records may arrive in any order and any number of times.
//!
//! The crate is pure logic: it opens no sockets, and the current time is passed to each call.

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
