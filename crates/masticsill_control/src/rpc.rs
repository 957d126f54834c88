//! The RPC duty: the service to other processes, and this replica's calls to its peers.

mod duty;
mod founding;
mod peers;
mod router;
mod service;

pub(crate) use duty::{RpcParts, run};
pub(crate) use router::{Forward, ForwardReply};
pub(crate) use service::ControlServer;
