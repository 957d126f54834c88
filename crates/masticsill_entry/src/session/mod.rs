//! Generations that this entry owns: pure logic, driven by the sessions duty.

mod book;
mod caller;
mod endpoint;
#[expect(clippy::module_inception)]
mod session;

pub(crate) use book::{Action, BookConfig, Found, SessionBook, Submission};
pub(crate) use caller::StreamItem;
pub(crate) use endpoint::Endpoint;
