//! The entry's sessions: generations, their callers and their attempts.
//!
//! Pure logic: no sockets, threads or wall clock. [`SessionBook`] takes requests, agents' answers
//! and time, and says by [`Action`]s what is to be sent to agents. Each caller's answer is handed
//! to an [`AnswerSink`]. The book's [`masticsill_routing::Router`] decides which endpoint gets
//! which attempt, which attempt waits and which is refused; plain calls ask the same router.

mod book;
mod caller;
mod endpoint;
mod placing;
mod position;
mod returning;
mod session;
mod work;

pub use book::{Action, BookConfig, Found, SessionBook, Submission};
pub use caller::{AnswerSink, StreamItem};
pub use endpoint::{Endpoint, EndpointTable};
pub use position::{HolderHint, Position, PositionError};
