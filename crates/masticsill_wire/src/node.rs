//! RPC service that every node offers to all others.

use std::net::SocketAddr;

use masticsill_membership::{Reply, Request};
use masticsill_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::control::{RenewReply, RenewRequest};

/// Asks a third node to probe one that the requester can't reach.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProbeViaRequest {
    /// The address to probe.
    pub address: SocketAddr,
    /// The node that must answer at that address.
    pub node: NodeId,
    /// Timeout of the probe, in milliseconds.
    pub timeout_ms: u64,
}

/// RPC methods of a node.
#[tarpc::service]
pub trait NodeService {
    /// Exchanges membership updates; also serves as the direct probe.
    async fn exchange(request: Request) -> Reply;
    /// Probes a node on behalf of the requester; returns whether it answered.
    async fn probe_via(request: ProbeViaRequest) -> bool;
    /// Renews the requester's copy of the catalogue from this node's copy.
    async fn renew(request: RenewRequest) -> RenewReply;
}
