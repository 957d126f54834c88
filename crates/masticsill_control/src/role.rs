//! Starting and stopping a control replica.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use std::{fmt, io};

use masticsill_quorum::storage::Storage;
use masticsill_runtime::{DutyHandle, Metrics, Ring, ShutdownSignal, spawn_async_duty};
use masticsill_types::{MonotonicClock, log_event};
use tokio::sync::watch;

use crate::book::AddressBook;
use crate::config::ControlConfig;
use crate::error::ControlError;
use crate::events;
use crate::http::{self, HttpEdge};
use crate::quorum::{
    DutyParts, Machine, QuorumDuty, QuorumHandle, Request, Status, StorageProgress, StorageQueue,
    run_storage,
};
use crate::rpc::{self, RpcParts};

const REQUESTS: usize = 8_192;
const JOBS: usize = 4_096;
const MESSAGES: usize = 16_384;
const CALLS: usize = 1_024;
/// How long a stop waits for another replica to take leadership over.
const HANDOVER_BOUND: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running control replica.
pub struct ControlRole {
    duties: Vec<DutyHandle>,
    ended: ShutdownSignal,
    http: HttpEdge,
    jobs: Ring<crate::quorum::Job>,
    quorum: QuorumHandle,
    rpc_address: SocketAddr,
}

impl fmt::Debug for ControlRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("ControlRole");
        shown.field("rpc_address", &self.rpc_address);
        shown.finish_non_exhaustive()
    }
}

impl ControlRole {
    /// Opens the data folder and starts the replica's duties.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the folder, the settings or an address can't be used.
    pub fn start(
        config: &ControlConfig,
        clock: MonotonicClock,
        metrics: Metrics,
    ) -> Result<Self, ControlError> {
        let node = config.node.clone();
        let (storage, recovered) = Storage::open(&config.data_folder, &config.cluster, &node)?;
        let book = AddressBook::from_settings(config.peers.clone());
        let requests = Ring::with_capacity(REQUESTS);
        let jobs = Ring::with_capacity(JOBS);
        let outgoing = Ring::with_capacity(MESSAGES);
        let calls = Ring::with_capacity(CALLS);
        let (status, status_receiver) = watch::channel(Status::default());
        let (progress, progress_receiver) = watch::channel(StorageProgress::default());
        let quorum_duty = QuorumDuty::new(DutyParts {
            book: book.clone(),
            clock,
            machine: Machine::new(clock.now()),
            metrics,
            outgoing: outgoing.clone(),
            progress: progress_receiver,
            requests: requests.clone(),
            settings: config.replica.clone(),
            status,
            storage: StorageQueue::new(jobs.clone()),
            stored: recovered.state,
        })?;
        let quorum = QuorumHandle {
            requests,
            status: status_receiver,
        };
        let ended = ShutdownSignal::default();
        let parts = RpcParts {
            book,
            calls: calls.clone(),
            clock,
            ended: ended.clone(),
            outgoing,
            quorum: quorum.clone(),
        };
        let (rpc_duty, rpc_address) = start_rpc(config.clone(), parts)?;
        let http = HttpEdge::start(config.http_address, http::state(config, &quorum, calls))?;
        let jobs_taken = jobs.clone();
        let duties = vec![
            rpc_duty,
            spawn_async_duty("control_storage", || {
                run_storage(storage, jobs_taken, progress)
            })?,
            spawn_async_duty("control_quorum", || quorum_duty.run())?,
        ];
        log_event!(
            info,
            events::CONTROL_STARTED,
            node = node,
            rpc = rpc_address,
            http = http.address()
        );
        Ok(Self {
            duties,
            ended,
            http,
            jobs,
            quorum,
            rpc_address,
        })
    }

    /// The bound address of the administration API.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// The bound address for other processes.
    #[must_use]
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Whether storage or state failed: the replica has stopped and the process must end.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.quorum.status().has_failed
    }

    /// Whether this replica leads and has proved it within its lease.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.quorum.status().is_leading
    }

    /// Ends the replica: hands leadership over, finishes the calls under way, syncs and stops.
    ///
    /// # Errors
    ///
    /// An error naming a duty that panicked.
    pub fn stop(self) -> io::Result<()> {
        self.http.refuse_readiness();
        if self.quorum.requests.push(Request::Stop).is_ok() {
            self.await_handover();
        }
        self.end(true)
    }

    /// Ends the replica at once, as far as a process can do that to itself.
    ///
    /// # Errors
    ///
    /// An error naming a duty that panicked.
    pub fn abort(self) -> io::Result<()> {
        self.quorum.requests.close();
        self.end(false)
    }

    fn end(self, is_graceful: bool) -> io::Result<()> {
        self.http.stop(is_graceful)?;
        self.quorum.requests.close();
        self.ended.request();
        self.jobs.close();
        for duty in self.duties {
            duty.join()?;
        }
        log_event!(info, events::CONTROL_STOPPED, rpc = self.rpc_address);
        Ok(())
    }

    fn await_handover(&self) {
        let bound = Instant::now() + HANDOVER_BOUND;
        while self.is_leading() && Instant::now() < bound {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn start_rpc(
    config: ControlConfig,
    parts: RpcParts,
) -> Result<(DutyHandle, SocketAddr), ControlError> {
    let (started, is_started) = mpsc::channel();
    let duty = spawn_async_duty("control_rpc", move || rpc::run(config, parts, started))?;
    let address = is_started
        .recv()
        .map_err(|_| io::Error::other("the control RPC duty ended early; see its log lines"))??;
    Ok((duty, address))
}
