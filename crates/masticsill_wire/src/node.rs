//! The service that every node offers to every other.

use std::net::SocketAddr;

use masticsill_membership::{Reply, Request};
use masticsill_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::control::{RenewReply, RenewRequest};

/// Asks a helper to probe a node that the asker can't reach.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProbeViaRequest {
    /// The address to probe.
    pub address: SocketAddr,
    /// Who must answer there.
    pub node: NodeId,
    /// When to give up, in milliseconds.
    pub timeout_ms: u64,
}

/// Operations of a node.
#[tarpc::service]
pub trait NodeService {
    /// Exchanges membership news; also the probe.
    async fn exchange(request: Request) -> Reply;
    /// Probes a node for the asker; answers whether it was reached.
    async fn probe_via(request: ProbeViaRequest) -> bool;
    /// Renews a copy of the catalogue from the copy here.
    async fn renew(request: RenewRequest) -> RenewReply;
}
