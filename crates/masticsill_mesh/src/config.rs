//! Configuration of the mesh.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use masticsill_membership::{Periods, Role};
use masticsill_runtime::{Ring, ServiceStream};
use masticsill_types::{Incarnation, NodeId, ZoneId, wall_ms};
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{RenewReply, RenewRequest};
use rand::Rng;

const INCARNATION_RANDOM_BITS: u32 = 10;

/// Periods and timeouts of the catalogue relay. All values are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewalPeriods {
    /// Lease: the age up to which a proof of freshness is valid.
    pub lease_ms: u64,
    /// Period of renewals while every node asks the control quorum.
    pub renew_ms: u64,
    /// Period of renewals while there are so many nodes that they renew along a tree.
    pub tree_renew_ms: u64,
    /// Timeout after which a source that does not answer is skipped.
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

/// Configuration of the mesh.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    /// Address at which peers reach the RPC listener of this process.
    pub address: SocketAddr,
    /// Incarnation of this process, higher than every earlier one of this node. See
    /// [`new_incarnation`].
    pub incarnation: Incarnation,
    /// Periods and timeouts of membership.
    pub membership: Periods,
    /// Id of this node.
    pub node: NodeId,
    /// Periods and timeouts of the catalogue relay.
    pub renewal: RenewalPeriods,
    /// Role of this node.
    pub role: Role,
    /// Addresses through which this node joins. Addresses of control replicas are preferable.
    pub seeds: Vec<SocketAddr>,
    /// Availability zone of this node.
    pub zone: ZoneId,
}

/// Returns an incarnation for a process that starts now. The upper bits are the wall clock in
/// milliseconds, the lower bits are random.
///
/// If the wall clock went back before a restart, the new incarnation is lower than the former one.
/// The node is then treated as superseded, logs event 5003 and stays silent until it is restarted
/// after the clock has caught up.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let random = rand::rng().random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
    Incarnation((wall_ms() << INCARNATION_RANDOM_BITS) | random)
}

type AnswerFn = dyn Fn(RenewRequest) -> RenewReply + Send + Sync;

/// Answers renewals from the state of a control replica and the proof of its quorum.
///
/// The function is called on the thread of the mesh and must not block.
#[derive(Clone)]
pub struct RenewSource {
    answer: Arc<AnswerFn>,
}

impl RenewSource {
    /// Creates a source that answers with a function.
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

/// The rings to which the connections of the other services are dispatched.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoutes {
    /// Ring of the agent role, if this process runs it.
    pub agent: Option<Ring<ServiceStream>>,
    /// Ring of the control role, if this process runs it.
    pub control: Option<Ring<ServiceStream>>,
    /// Ring of the entry role, if this process runs it.
    pub entry: Option<Ring<ServiceStream>>,
}

impl ServiceRoutes {
    /// Hands a connection to its role. The connection is closed if this process does not run that
    /// role or if the ring of the role is full.
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
