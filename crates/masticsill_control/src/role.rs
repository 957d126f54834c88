//! Starting and stopping a control replica.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use std::{fmt, io};

use masticsill_control_client::AddressBook;
use masticsill_mesh::MeshHandle;
use masticsill_quorum::storage::SpaceWaitCanceller;
use masticsill_runtime::{
    DutyHandle, Metrics, Ring, ServiceStream, ShutdownSignal, spawn_async_duty,
};
use masticsill_types::{MonotonicClock, log_event};
use masticsill_wire::control::{RenewReply, RenewRequest};
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::admission::Departure;
use crate::config::{ControlConfig, FoundingPolicy};
use crate::document_pieces::{DocumentPieces, run_splitting};
use crate::endpoints::{EndpointHub, read_endpoints, read_origins, run_persistence};
use crate::error::ControlError;
use crate::events;
use crate::gauges::ControlGauges;
use crate::handle::{ControlHandle, HeartbeatSink};
use crate::http::{self, HttpEdge};
use crate::orders::OrdersDuty;
use crate::quorum::{
    DutyParts, Job, PublishedState, QuorumDuty, QuorumHandle, Request, StateMachine, Status,
    StorageProgress, StorageQueue, run_storage,
};
use crate::replacement::open_folder;
use crate::rpc::{self, RpcParts};
use crate::unreadable::UnreadableMessages;

const REQUEST_QUEUE_CAPACITY: usize = 8_192;
const STORAGE_QUEUE_CAPACITY: usize = 4_096;
const MESSAGE_QUEUE_CAPACITY: usize = 16_384;
const CALL_QUEUE_CAPACITY: usize = 1_024;
/// Longest wait of a stop for the transfer of leadership.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait of a stop for its removal from the quorum.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running control replica.
pub struct ControlRole {
    book: AddressBook,
    clock: MonotonicClock,
    duties: Vec<DutyHandle>,
    ended: ShutdownSignal,
    handle: ControlHandle,
    http: HttpEdge,
    jobs: Ring<Job>,
    lease_ms: u64,
    space_wait_canceller: SpaceWaitCanceller,
    published: PublishedState,
    quorum: QuorumHandle,
    /// Voters that the quorum maintains by itself; `None` where operators maintain the members.
    target_voters: Option<usize>,
}

impl fmt::Debug for ControlRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("ControlRole");
        shown.field("http_address", &self.http.address());
        shown.finish_non_exhaustive()
    }
}

/// The replicas of the settings.
fn address_book(config: &ControlConfig) -> AddressBook {
    let book = AddressBook::from_settings(config.peers.clone());
    book.add_seeds(config.seeds.iter().copied());
    if let Some(port) = config.ip_name_port {
        book.derive_from_ip_names(port);
    }
    book
}

fn with_founding(config: &ControlConfig, founding: FoundingPolicy) -> ControlConfig {
    ControlConfig {
        founding,
        ..config.clone()
    }
}

/// The registry of endpoints, with the records that the former process persisted.
fn restored_endpoints(
    config: &ControlConfig,
    clock: MonotonicClock,
    unreadable: &UnreadableMessages,
) -> EndpointHub {
    let zone = config.zone.clone();
    let endpoints = EndpointHub::new(clock, config.endpoints, zone, unreadable.clone());
    let persisted = read_endpoints(&config.data_folder);
    endpoints.restore(&persisted.endpoints);
    if persisted.knows_past {
        endpoints.note_past_known();
    }
    endpoints.suspects().merge(&persisted.suspects);
    let streams = read_origins(&config.data_folder);
    endpoints.restore_streams(&streams);
    log_event!(
        info,
        events::STREAM_ORIGINS_RESTORED,
        streams = streams.len()
    );
    endpoints
}

impl ControlRole {
    /// Opens the data folder and starts the duties of the replica.
    ///
    /// Gauges are registered with `registry`; `connections` brings the connections to
    /// [`ServiceKind::Control`] that the process accepts.
    ///
    /// [`ServiceKind::Control`]: masticsill_wire::ServiceKind::Control
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the folder, the settings or an address can't be used.
    pub fn start(
        config: &ControlConfig,
        connections: Ring<ServiceStream>,
        clock: MonotonicClock,
        metrics: Metrics,
        registry: &mut Registry,
    ) -> Result<Self, ControlError> {
        let folder = open_folder(config)?;
        let space_wait_canceller = folder.storage.space_wait_canceller();
        let book = address_book(config);
        let requests = Ring::with_capacity(REQUEST_QUEUE_CAPACITY);
        let messages = Ring::with_capacity(MESSAGE_QUEUE_CAPACITY);
        let jobs = Ring::with_capacity(STORAGE_QUEUE_CAPACITY);
        let outgoing = Ring::with_capacity(MESSAGE_QUEUE_CAPACITY);
        let calls = Ring::with_capacity(CALL_QUEUE_CAPACITY);
        let (status, status_receiver) = watch::channel(Status::default());
        let (progress, progress_receiver) = watch::channel(StorageProgress::default());
        let published = PublishedState::new(clock.now());
        let quorum_duty = QuorumDuty::new(DutyParts {
            book: book.clone(),
            clock,
            state_machine: StateMachine::new(clock.now()),
            messages: messages.clone(),
            metrics,
            outgoing: outgoing.clone(),
            progress: progress_receiver,
            published: published.clone(),
            requests: requests.clone(),
            settings: config.replica.clone(),
            status,
            storage: StorageQueue::new(jobs.clone()),
            stored: folder.recovered.state,
            admission: config.admission,
        })?;
        let quorum = QuorumHandle {
            departure: Departure::default(),
            messages,
            requests,
            status: status_receiver,
        };
        let ended = ShutdownSignal::default();
        let unreadable = UnreadableMessages::new(clock);
        unreadable.register(registry);
        let endpoints = restored_endpoints(config, clock, &unreadable);
        let persistence_parts = (config.data_folder.clone(), endpoints.clone(), ended.clone());
        let documents = DocumentPieces::default();
        let splitting_parts = (documents.clone(), published.clone(), ended.clone());
        let parts = RpcParts {
            book: book.clone(),
            calls: calls.clone(),
            clock,
            connections,
            documents: documents.clone(),
            endpoints: endpoints.clone(),
            ended: ended.clone(),
            gauges: ControlGauges::new(registry),
            is_new: folder.is_new,
            outgoing,
            published: published.clone(),
            quorum: quorum.clone(),
        };
        let http_state = http::state(config, &quorum, &calls, &endpoints);
        let http = HttpEdge::start(config.http_address, http_state)?;
        let heartbeats = HeartbeatSink::Local(endpoints);
        let handle = ControlHandle {
            calls,
            heartbeats,
            unreadable,
        };
        let storage_jobs = jobs.clone();
        let rpc_config = with_founding(config, folder.founding);
        let duties = vec![
            spawn_async_duty("control_rpc", || rpc::run(rpc_config, parts))?,
            spawn_async_duty("control_storage", || {
                run_storage(folder.storage, storage_jobs, progress)
            })?,
            spawn_async_duty("control_quorum", || quorum_duty.run())?,
            spawn_async_duty("control_endpoints", || {
                let (folder, endpoints, ended) = persistence_parts;
                run_persistence(folder, endpoints, ended)
            })?,
            spawn_async_duty("control_cutting", || {
                let (documents, published, ended) = splitting_parts;
                run_splitting(documents, published, ended)
            })?,
        ];
        log_event!(
            info,
            events::CONTROL_STARTED,
            node = config.node,
            rpc = config.rpc_address,
            http = http.address()
        );
        Ok(Self {
            book,
            clock,
            duties,
            ended,
            handle,
            http,
            jobs,
            lease_ms: config.replica.lease_ms,
            space_wait_canceller,
            published,
            quorum,
            target_voters: config.admission.target_voters(),
        })
    }

    /// Starts the duty that sends orders to engines while this replica leads.
    ///
    /// `mesh` lists the engines; it runs in this process, on the same clock.
    ///
    /// # Errors
    ///
    /// The operating system's error when no thread can be started.
    pub fn start_orders(&mut self, mesh: MeshHandle) -> io::Result<()> {
        let duty = OrdersDuty {
            clock: self.clock,
            ended: self.ended.clone(),
            lease_ms: self.lease_ms,
            mesh,
            published: self.published.clone(),
            quorum: self.quorum.clone(),
        };
        let duty = spawn_async_duty("control_orders", || duty.run())?;
        self.duties.push(duty);
        Ok(())
    }

    /// Adds addresses of control that became known after the start.
    pub fn add_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.book.add_seeds(seeds);
    }

    /// A handle through which this process's servers call control.
    #[must_use]
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The bound address of the administration API.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns a function that answers renewals of catalogue copies without waiting, from this
    /// replica's state and proof of freshness.
    pub fn renewals(&self) -> impl Fn(RenewRequest) -> RenewReply + Send + Sync + 'static {
        let published = self.published.clone();
        let clock = self.clock;
        move |request| published.answer_renewal(clock.now(), request)
    }

    /// Whether storage failed or the state was unreadable: the replica has stopped and the process
    /// must end.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.quorum.status().has_failed
    }

    /// Whether this replica leads and has confirmed its lease.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.quorum.status().is_leading
    }

    /// Stops the replica gracefully: leaves the quorum if there are more voters than needed,
    /// transfers leadership, finishes the calls in flight, syncs and stops.
    ///
    /// # Errors
    ///
    /// An error naming a duty that panicked.
    pub fn stop(self) -> io::Result<()> {
        self.http.refuse_readiness();
        self.leave_quorum_if_surplus();
        if self.quorum.requests.push(Request::Stop).is_ok() {
            self.await_handover();
        }
        self.end(true)
    }

    /// Stops the replica without a transfer of leadership and without finishing its calls, as close
    /// to a crash as a process can bring about itself.
    ///
    /// # Errors
    ///
    /// An error naming a duty that panicked.
    pub fn abort(self) -> io::Result<()> {
        self.quorum.requests.close();
        self.end(false)
    }

    fn end(self, is_graceful: bool) -> io::Result<()> {
        let address = self.http.address();
        self.http.stop(is_graceful)?;
        self.quorum.requests.close();
        self.ended.request();
        self.jobs.close();
        // A cancelled write is never reported as synced, so nothing acknowledged depends on it.
        self.space_wait_canceller.cancel();
        for duty in self.duties {
            duty.join()?;
        }
        log_event!(info, events::CONTROL_STOPPED, http = address);
        Ok(())
    }

    /// Leaves the quorum if there are more voters than needed, so that a loss right after the stop
    /// leaves a majority. If the process starts again, it requests admission.
    fn leave_quorum_if_surplus(&self) {
        let status = self.quorum.status();
        let is_surplus = |target| status.voters.names.len() > target;
        if !status.voters.includes_self || !self.target_voters.is_some_and(is_surplus) {
            return;
        }
        self.quorum.departure.leaving.request();
        let deadline = Instant::now() + LEAVE_TIMEOUT;
        while !self.quorum.departure.answered.is_requested() && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn await_handover(&self) {
        let deadline = Instant::now() + HANDOVER_TIMEOUT;
        while self.is_leading() && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
