//! What nodes say to each other, and what a node asks its host to do.

use std::net::SocketAddr;

use masticsill_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::member::Record;

/// A question to one peer, with news on its back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// The question.
    pub body: RequestBody,
    /// Who asks.
    pub from: NodeId,
    /// News.
    pub rumors: Vec<Record>,
}

/// A question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestBody {
    /// Are you there? Also carries urgent news.
    Probe,
    /// Do we hold the same members? Carries the hash over all of them.
    Compare(u64),
    /// The asker's members of the buckets that differ; the answer brings the peer's.
    Reconcile {
        /// Indices of the buckets.
        buckets: Vec<u16>,
        /// What the asker holds in them.
        records: Vec<Record>,
    },
}

/// The answer, with news on its back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The answer.
    pub body: ReplyBody,
    /// Who answers.
    pub from: NodeId,
    /// The answering life.
    pub incarnation: Incarnation,
    /// News.
    pub rumors: Vec<Record>,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReplyBody {
    /// To a probe, or to a comparison that found no difference.
    Here,
    /// A comparison found a difference; the hash of each bucket.
    Buckets(Vec<u32>),
    /// What the peer holds in the buckets asked for.
    Records(Vec<Record>),
}

/// Names a call that the host makes, so that its end can be told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId(pub u64);

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; given a few times a second.
    Tick,
    /// A [`Output::Call`] was answered.
    Answered {
        /// The call.
        call: CallId,
        /// Its answer.
        reply: Reply,
    },
    /// A [`Output::ProbeVia`] was answered.
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
    /// The owner's description changed.
    Described(crate::Role),
    /// The owner begins to leave.
    Leaving,
    /// The owner ends: the last word about it.
    Left,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a peer.
    Call {
        /// The peer's address.
        address: SocketAddr,
        /// Names the call in its end.
        call: CallId,
        /// What to send.
        request: Request,
        /// When to give up, in milliseconds.
        timeout_ms: u64,
    },
    /// Ask a helper to probe a target.
    ProbeVia {
        /// The helper's address.
        address: SocketAddr,
        /// Names the call in its end.
        call: CallId,
        /// The address to probe.
        target: SocketAddr,
        /// Who must answer there.
        target_node: NodeId,
        /// When to give up, in milliseconds.
        timeout_ms: u64,
    },
    /// A later life of this node is known: this one was replaced and stays silent.
    Superseded(Incarnation),
}
