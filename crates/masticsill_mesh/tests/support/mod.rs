//! Nodes on the loopback interface, each with its own mesh.
#![allow(dead_code, reason = "each test uses a part")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use masticsill_catalogue::{
    BackEnd, Catalogue, CatalogueEntry, CatalogueSnapshot, CatalogueUpdate, Limits, Placement,
    VersionedEntry,
};
use masticsill_membership::{Periods, Role};
use masticsill_mesh::{
    Mesh, MeshConfig, MeshHandle, RenewSource, RenewalPeriods, ServiceRoutes, new_incarnation,
};
use masticsill_runtime::{DutyHandle, RpcListener, listen};
use masticsill_types::{
    CatalogueVersion, Class, EndpointKind, EndpointProfile, EntryId, ModelId, MonotonicClock,
    NodeId, WorkspaceId, ZoneId,
};
use masticsill_wire::control::{RenewReply, RenewRequest};

const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

pub(crate) fn loopback() -> RpcListener {
    listen(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)).unwrap()
}

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub(crate) fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

pub(crate) fn service_profile(is_leaving: bool) -> EndpointProfile {
    EndpointProfile {
        kind: EndpointKind::PlainService {
            service: ModelId::new("orders").unwrap(),
        },
        is_leaving,
    }
}

/// The catalogue of a simulated control replica and the age of its proof, if it has one.
#[derive(Default)]
struct QuorumState {
    age_ms: Option<u64>,
    catalogue: Catalogue,
}

/// A simulated control quorum that answers renewals.
#[derive(Clone, Default)]
pub(crate) struct Quorum {
    state: Arc<Mutex<QuorumState>>,
}

impl Quorum {
    pub(crate) fn set_catalogue_version(&self, version: u64) {
        let entry = CatalogueEntry {
            back_end: BackEnd::PlainService {
                service: ModelId::new("orders").unwrap(),
                is_repeatable: false,
            },
            class: Class::InstantLookup,
            id: EntryId::new(format!("fliesenwerk/orders-{version}")).unwrap(),
            limits: Limits::default(),
            owner: WorkspaceId::new("fliesenwerk").unwrap(),
            placement: Placement::default(),
        };
        let version = CatalogueVersion(version);
        let snapshot = CatalogueSnapshot {
            entries: vec![VersionedEntry { entry, version }],
            version,
        };
        let mut state = self.state.lock().unwrap();
        state.catalogue.apply(CatalogueUpdate::Snapshot(snapshot));
    }

    pub(crate) fn set_has_proof(&self, has_proof: bool) {
        self.state.lock().unwrap().age_ms = has_proof.then_some(5);
    }

    pub(crate) fn set_age_ms(&self, age_ms: u64) {
        self.state.lock().unwrap().age_ms = Some(age_ms);
    }

    pub(crate) fn source(&self) -> RenewSource {
        let state = Arc::clone(&self.state);
        RenewSource::new(move |request: RenewRequest| {
            let state = state.lock().unwrap();
            RenewReply {
                age_ms: state.age_ms,
                update: state.catalogue.update_since(request.have),
                version: state.catalogue.version(),
            }
        })
    }
}

pub(crate) struct TestNode {
    pub(crate) address: SocketAddr,
    pub(crate) clock: MonotonicClock,
    duty: DutyHandle,
    pub(crate) mesh: MeshHandle,
    pub(crate) node: NodeId,
}

impl TestNode {
    pub(crate) fn start(
        name: &str,
        role: Role,
        seeds: Vec<SocketAddr>,
        source: Option<RenewSource>,
    ) -> Self {
        let listener = loopback();
        let address = listener.local_address().unwrap();
        let config = MeshConfig {
            address,
            incarnation: new_incarnation(),
            membership: Periods {
                probe_ms: 200,
                suspicion_ms: 2_000,
                ..Periods::default()
            },
            node: NodeId::new(name).unwrap(),
            renewal: RenewalPeriods {
                lease_ms: 2_000,
                renew_ms: 50,
                ..RenewalPeriods::default()
            },
            role,
            seeds,
            zone: ZoneId::new("muc-a").unwrap(),
        };
        let clock = MonotonicClock::start();
        let node = config.node.clone();
        let routes = ServiceRoutes::default();
        let (mesh, duty) = Mesh::start(config, listener, routes, source, clock).unwrap();
        Self {
            address,
            clock,
            duty,
            mesh,
            node,
        }
    }

    pub(crate) fn sees(&self, other: &Self) -> bool {
        let view = self.mesh.view();
        let member = view.get(&other.node);
        member.is_some_and(|member| member.incarnation == other.mesh.incarnation())
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.mesh.catalogue().is_fresh(self.clock.now())
    }

    pub(crate) fn version(&self) -> u64 {
        self.mesh.catalogue().version().0
    }

    pub(crate) fn stop(self) {
        self.mesh.stop();
        self.duty.join().unwrap();
    }
}
