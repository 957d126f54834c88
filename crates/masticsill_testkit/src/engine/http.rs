//! The engine's HTTP edge.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::stream;
use masticsill_types::{ClockMs, MonotonicClock};
use masticsill_wire::engine::{CancelBody, CompletionBody, OrderBody};
use ntex::util::Bytes;
use ntex::web::types::{Json, JsonConfig, Query, State};
use ntex::web::{HttpResponse, ServiceConfig, get, post};
use serde::Deserialize;
use tokio::sync::mpsc::Receiver;
use tokio::time::MissedTickBehavior;

use super::batch::{Batch, EngineRefusal, NUDGE};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Between two looks whether held orders may go on.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// A batch shared by the HTTP handlers, the step loop and the owning test.
#[derive(Clone, Debug)]
pub(crate) struct SharedBatch {
    batch: Arc<Mutex<Batch>>,
    clock: MonotonicClock,
}

impl SharedBatch {
    pub(crate) fn new(batch: Batch) -> Self {
        Self {
            batch: Arc::new(Mutex::new(batch)),
            clock: MonotonicClock::start(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> ClockMs {
        self.clock.now()
    }
}

#[derive(Debug, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

/// Body of `POST /fault`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FaultBody {
    /// Stops steps and HTTP for a while.
    FreezeMs(u64),
    /// Holds orders back until told otherwise.
    HoldOrders(bool),
    /// Lengthens the next prefill.
    LongPrefillMs(u64),
}

/// Registers the handlers.
pub(crate) fn configure(config: &mut ServiceConfig, batch: SharedBatch) {
    config
        .state(batch)
        .state(JsonConfig::default().limit(MAX_BODY_BYTES))
        .service((completions, cancel, load, cache_events))
        .service((orders, models, stats, fault));
}

/// Steps the batch for ever.
///
/// A freeze blocks this thread, which is also the only one that serves HTTP.
pub(crate) async fn run_steps(batch: SharedBatch, step_ms: u64) {
    let mut ticks = tokio::time::interval(Duration::from_millis(step_ms.max(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let freeze_ms = batch.lock().take_freeze();
        if freeze_ms > 0 {
            std::thread::sleep(Duration::from_millis(freeze_ms));
        }
        let now = batch.now();
        batch.lock().step(now);
    }
}

#[post("/v1/completions")]
async fn completions(batch: State<SharedBatch>, body: Json<CompletionBody>) -> HttpResponse {
    let submitted = batch.lock().submit(&body);
    match submitted {
        Ok(mut receiver) => HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(stream::poll_fn(move |context| {
                poll_event(&mut receiver, context)
            })),
        Err(refusal) => refuse(refusal),
    }
}

#[post("/v1/cancel")]
async fn cancel(batch: State<SharedBatch>, body: Json<CancelBody>) -> HttpResponse {
    batch.lock().cancel(&body.request_id);
    HttpResponse::Ok().finish()
}

#[get("/v1/load")]
async fn load(batch: State<SharedBatch>) -> HttpResponse {
    HttpResponse::Ok().json(&batch.lock().load(batch.now()))
}

#[get("/v1/cache_events")]
async fn cache_events(batch: State<SharedBatch>, query: Query<AfterQuery>) -> HttpResponse {
    HttpResponse::Ok().json(&batch.lock().cache_events(batch.now(), query.after))
}

#[post("/v1/orders")]
async fn orders(batch: State<SharedBatch>, body: Json<OrderBody>) -> HttpResponse {
    await_release(&batch).await;
    let ordered = batch.lock().order(body.into_inner());
    match ordered {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(refusal) => refuse(refusal),
    }
}

async fn await_release(batch: &SharedBatch) {
    if !batch.lock().is_holding_orders() {
        return;
    }
    batch.lock().note_held(true);
    while batch.lock().is_holding_orders() {
        tokio::time::sleep(HOLD_POLL).await;
    }
    batch.lock().note_held(false);
}

#[get("/v1/models")]
async fn models(batch: State<SharedBatch>) -> HttpResponse {
    HttpResponse::Ok().json(&batch.lock().models())
}

#[get("/stats")]
async fn stats(batch: State<SharedBatch>) -> HttpResponse {
    HttpResponse::Ok().json(&batch.lock().stats())
}

#[post("/fault")]
async fn fault(batch: State<SharedBatch>, body: Json<FaultBody>) -> HttpResponse {
    match body.into_inner() {
        FaultBody::FreezeMs(freeze_ms) => batch.lock().freeze(freeze_ms),
        FaultBody::HoldOrders(is_holding) => batch.lock().hold_orders(is_holding),
        FaultBody::LongPrefillMs(prefill_ms) => batch.lock().lengthen_prefill(prefill_ms),
    }
    HttpResponse::Ok().finish()
}

fn poll_event(
    receiver: &mut Receiver<Bytes>,
    context: &mut Context<'_>,
) -> Poll<Option<io::Result<Bytes>>> {
    loop {
        match ready!(receiver.poll_recv(context)) {
            Some(event) if event == NUDGE => {}
            event => return Poll::Ready(event.map(Ok)),
        }
    }
}

fn refuse(refusal: EngineRefusal) -> HttpResponse {
    match refusal {
        EngineRefusal::OldFencingNumber => {
            HttpResponse::Conflict().body("fencing number is old; ask the control leader again")
        }
        EngineRefusal::UnknownTarget => {
            HttpResponse::NotFound().body("model, version or adapter is not loaded here")
        }
    }
}
