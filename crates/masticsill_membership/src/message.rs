//! Messages between nodes, and the inputs and outputs of the membership state machine.

use std::net::SocketAddr;

use masticsill_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::member::Record;

/// A request to one peer, with piggybacked updates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The request itself.
    pub body: RequestBody,
    /// The requesting node.
    pub from: NodeId,
    /// Piggybacked updates.
    pub rumors: Vec<Record>,
}

/// The kinds of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestBody {
    /// A liveness probe. Also used to push urgent updates.
    Probe,
    /// Compares the views of the two nodes. Carries the hash over all members.
    Compare(u64),
    /// Exchanges the records of the buckets that differ. The reply carries the records of the peer.
    Reconcile {
        /// Indices of the buckets.
        buckets: Vec<u16>,
        /// Records that the requesting node holds in these buckets.
        records: Vec<Record>,
    },
}

/// A reply, with piggybacked updates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The reply itself.
    pub body: ReplyBody,
    /// The replying node.
    pub from: NodeId,
    /// Incarnation of the replying node.
    pub incarnation: Incarnation,
    /// Piggybacked updates.
    pub rumors: Vec<Record>,
}

/// The kinds of replies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplyBody {
    /// Reply to a probe, or to a comparison that found no difference.
    Here,
    /// Reply to a comparison that found a difference: the hash of each bucket.
    Buckets(Vec<u32>),
    /// Reply to a reconciliation: those records of the requested buckets that are newer than the
    /// ones sent, or that were missing there.
    Records(Vec<Record>),
}

/// Identifies a call that the host makes, so that its result can be assigned to it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId(pub u64);

/// Inputs of [`Membership::step`](crate::Membership::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed. The host gives this input several times per second.
    Tick,
    /// An [`Output::Call`] was answered.
    Answered {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Reply,
    },
    /// An [`Output::ProbeVia`] was answered.
    ProbedVia {
        /// The call.
        call: CallId,
        /// Whether the helper reached the target.
        is_reached: bool,
    },
    /// A call failed or timed out.
    Failed {
        /// The call.
        call: CallId,
    },
    /// The role of this node changed, or the profile of its endpoint.
    RoleChanged(crate::Role),
    /// This node starts to leave.
    Leaving,
    /// This node stops. Its last announcement is spread.
    Left,
}

/// Actions that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to a peer.
    Call {
        /// Address of the peer.
        address: SocketAddr,
        /// Identifies the call in the input that reports its result.
        call: CallId,
        /// The request to send.
        request: Request,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// Ask a helper to probe a target.
    ProbeVia {
        /// Address of the helper.
        address: SocketAddr,
        /// Identifies the call in the input that reports its result.
        call: CallId,
        /// Address of the target.
        target: SocketAddr,
        /// Id of the node that must answer at this address.
        target_node: NodeId,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// A higher incarnation of this node is known, which replaced this one. From now on this
    /// node starts no probes, comparisons or pushes, and refutes no suspicions.
    Superseded(Incarnation),
}
