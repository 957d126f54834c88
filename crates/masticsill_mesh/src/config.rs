//! What the mesh needs to know to start.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use masticsill_membership::{Periods, Role};
use masticsill_runtime::{Ring, ServiceStream};
use masticsill_types::{Incarnation, NodeId, ZoneId, wall_ms};
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{RenewReply, RenewRequest};
use rand::Rng;

const RANDOM_BITS: u32 = 10;

/// Periods and timeouts of the catalogue relay, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewalPeriods {
    /// How long a proof of freshness is good for.
    pub lease_ms: u64,
    /// Between two renewals while everybody asks the control quorum.
    pub renew_ms: u64,
    /// Between two renewals while nodes are so many that they ask along a tree.
    pub tree_renew_ms: u64,
    /// After which a source that does not answer is passed over.
    pub timeout_ms: u64,
}

impl Default for RenewalPeriods {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            renew_ms: 300,
            tree_renew_ms: 900,
            timeout_ms: 500,
        }
    }
}

/// What the mesh needs to know to start.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    /// The address that peers reach the process's listener at.
    pub address: SocketAddr,
    /// This life, higher than each earlier one; see [`new_incarnation`].
    pub incarnation: Incarnation,
    /// Periods of membership.
    pub membership: Periods,
    /// This node.
    pub node: NodeId,
    /// Periods of the catalogue relay.
    pub renewal: RenewalPeriods,
    /// What this node does.
    pub role: Role,
    /// Addresses to join by; the control replicas' are best.
    pub seeds: Vec<SocketAddr>,
    /// This node's availability zone.
    pub zone: ZoneId,
}

/// An incarnation for a process that starts now: wall-clock milliseconds above, random bits below.
///
/// A restarted node whose wall clock went back stays silent until the clock has caught up; event
/// 5003 says so.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let random = rand::rng().random_range(0..1_u64 << RANDOM_BITS);
    Incarnation((wall_ms() << RANDOM_BITS) | random)
}

type AnswerRenewal = dyn Fn(RenewRequest) -> RenewReply + Send + Sync;

/// Answers renewals from a control replica's own state and its quorum's proof.
///
/// It is called on the mesh's thread and must not wait.
#[derive(Clone)]
pub struct RenewSource {
    answer: Arc<AnswerRenewal>,
}

impl RenewSource {
    /// A source that answers by a function.
    pub fn new(answer: impl Fn(RenewRequest) -> RenewReply + Send + Sync + 'static) -> Self {
        Self {
            answer: Arc::new(answer),
        }
    }

    pub(crate) fn answer(&self, request: RenewRequest) -> RenewReply {
        (self.answer)(request)
    }
}

impl fmt::Debug for RenewSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RenewSource")
    }
}

/// Where the connections of the other services go.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoutes {
    /// To the agent role.
    pub agent: Option<Ring<ServiceStream>>,
    /// To the control role.
    pub control: Option<Ring<ServiceStream>>,
    /// To the entry role.
    pub entry: Option<Ring<ServiceStream>>,
}

impl ServiceRoutes {
    /// Hands a connection to its role; without that role, or when its ring is full, it is closed.
    pub(crate) fn dispatch(&self, kind: ServiceKind, stream: ServiceStream) {
        let route = match kind {
            ServiceKind::Agent => &self.agent,
            ServiceKind::Control => &self.control,
            ServiceKind::Entry => &self.entry,
            ServiceKind::Node => &None,
        };
        if let Some(ring) = route {
            let _ = ring.push(stream);
        }
    }
}
