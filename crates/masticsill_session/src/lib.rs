//! The sessions of an entry node: generations, their callers and their attempts.
//!
//! Pure logic: no sockets, threads or wall clock. [`SessionTable`] is driven by requests, agents'
//! answers and time, and returns [`Action`]s to be carried out by its owner. The answer to each
//! caller is passed to an [`AnswerSink`]. The table's [`masticsill_routing::Router`] decides which
//! endpoint gets which attempt, which attempts are queued and which are refused; plain calls use
//! the same router.

mod caller;
mod endpoint;
mod holder_search;
mod placement;
mod position;
mod reconnect;
mod session;
mod session_table;
mod work_request;

pub use caller::{AnswerSink, StreamItem};
pub use endpoint::{Endpoint, EndpointTable};
pub use holder_search::{HolderSearch, SearchProgress, SearchStep};
pub use position::{HolderHint, Position, PositionError};
pub use session_table::{Action, SearchResult, SessionTable, SessionTableConfig, Submission};
