//! Generations that this entry owns: pure logic, driven by the sessions duty.

mod book;
mod caller;
mod endpoint;
#[expect(clippy::module_inception)]
mod session;

pub(crate) use book::{Action, BookConfig, SessionBook, Submission};
pub(crate) use caller::{Caller, StreamItem};
pub(crate) use endpoint::EndpointTable;
