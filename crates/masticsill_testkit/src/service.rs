//! A plain service: one request, one answer, and a count of what it ran.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use ntex::util::Bytes;
use ntex::web::types::{Json, State};
use ntex::web::{HttpRequest, HttpResponse, ServiceConfig, get, post, resource, to};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::hosting::HostedServer;

/// Header by which runs are counted.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// How a fake service behaves; `POST /fault` takes the last two while it runs.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The next so many requests are run and their connections closed without an answer.
    pub close_after_run_count: u64,
    /// Time between a run and its answer, in milliseconds.
    pub delay_ms: u64,
    /// Where to listen; port zero takes a free one.
    pub listen: SocketAddr,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            close_after_run_count: 0,
            delay_ms: 0,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// What a fake service ran, as `GET /stats` answers it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceStats {
    /// Runs by body.
    pub runs_by_body: IndexMap<String, u64>,
    /// Runs by `X-Request-Id`; requests without it count under the empty name.
    pub runs_by_id: IndexMap<String, u64>,
    /// Runs in all; answers carry it as `sequence`.
    pub sequence: u64,
}

/// Body of `POST /fault`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FaultBody {
    CloseAfterRunCount(u64),
    DelayMs(u64),
}

#[derive(Debug)]
struct ServiceState {
    settings: ServiceSettings,
    stats: ServiceStats,
}

impl ServiceState {
    /// Counts a run and tells its sequence and whether its answer is withheld.
    fn run(&mut self, id: &str, body: &[u8]) -> (u64, bool) {
        let body = String::from_utf8_lossy(body).into_owned();
        *self.stats.runs_by_body.entry(body).or_default() += 1;
        *self.stats.runs_by_id.entry(id.to_owned()).or_default() += 1;
        self.stats.sequence += 1;
        let is_withheld = self.settings.close_after_run_count > 0;
        self.settings.close_after_run_count -= u64::from(is_withheld);
        (self.stats.sequence, is_withheld)
    }

    fn apply(&mut self, fault: &FaultBody) {
        match fault {
            FaultBody::CloseAfterRunCount(count) => self.settings.close_after_run_count = *count,
            FaultBody::DelayMs(delay_ms) => self.settings.delay_ms = *delay_ms,
        }
    }
}

#[derive(Clone, Debug)]
struct SharedState(Arc<Mutex<ServiceState>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fake service. Dropping it cuts all its connections.
#[derive(Debug)]
pub struct FakeService {
    server: HostedServer,
    state: SharedState,
}

impl FakeService {
    /// Starts a service on a thread of its own.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn start(settings: ServiceSettings) -> io::Result<Self> {
        let listen = settings.listen;
        let state = SharedState(Arc::new(Mutex::new(ServiceState {
            settings,
            stats: ServiceStats::default(),
        })));
        let shared = state.clone();
        let server = HostedServer::start("fake-service", listen, move |config| {
            configure(config, shared.clone());
        })?;
        Ok(Self { server, state })
    }

    /// Where the service listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it ran so far.
    #[must_use]
    pub fn stats(&self) -> ServiceStats {
        self.state.lock().stats.clone()
    }

    /// Runs the next so many requests and closes their connections without an answer.
    pub fn close_after_run(&self, count: u64) {
        self.state
            .lock()
            .apply(&FaultBody::CloseAfterRunCount(count));
    }

    /// Sets the time between a run and its answer, in milliseconds.
    pub fn set_delay(&self, delay_ms: u64) {
        self.state.lock().apply(&FaultBody::DelayMs(delay_ms));
    }

    /// Waits until the server ends, which is never unless it fails.
    pub fn wait(self) {
        self.server.wait();
    }
}

fn configure(config: &mut ServiceConfig, state: SharedState) {
    config
        .state(state)
        .service((show_stats, set_fault, resource("/{path}*").route(to(run))));
}

async fn run(state: State<SharedState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let id = request.headers().get(REQUEST_ID_HEADER);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let (sequence, is_withheld) = state.lock().run(id, &body);
    let delay_ms = state.lock().settings.delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if let Some(io) = request.io().filter(|_| is_withheld) {
        io.terminate();
    }
    HttpResponse::Ok().json(&json!({
        "path": request.path(),
        "request_id": id,
        "sequence": sequence,
    }))
}

#[get("/stats")]
async fn show_stats(state: State<SharedState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().stats)
}

#[post("/fault")]
async fn set_fault(state: State<SharedState>, body: Json<FaultBody>) -> HttpResponse {
    state.lock().apply(&body);
    HttpResponse::Ok().finish()
}
