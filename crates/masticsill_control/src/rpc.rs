//! The RPC duty: serves other processes, and makes this replica's calls to its peers.

mod duty;
mod founding;
mod introductions;
mod peers;
mod router;
mod service;

pub(crate) use duty::{RpcParts, run, serve_connections};
pub(crate) use introductions::{
    ProcessIdentity, attempt_of, record_introduction, run_introductions,
};
pub(crate) use router::{FORWARD_TIMEOUT_MS, Forward, ForwardReply};
pub(crate) use service::ControlServer;
