//! Copies of a run's KV cache, from which another engine resumes when the run breaks.
//!
//! If the request asks for it, an engine streams its KV cache to a second engine as the cache
//! grows. That copy is lost with the engine that holds it, while the run may have seconds to go. In
//! that case a new copy is requested from the running engine, and renewed before it expires.

use std::rc::Rc;

use bytes::BytesMut;
use masticsill_registry::Announcement;
use masticsill_types::{ClockMs, log_event};
use masticsill_upstream::{EndpointCall, EndpointClient};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::attempt::with_silence_timeout;
use crate::config::EngineCalls;
use crate::events;
use crate::relay::Relay;
use crate::reservation::CopyReservation;

/// Timeout of a copy request. Copying 14,400 tokens between zones takes 250 ms, queued behind other
/// copies.
const COPY_TIMEOUT_MS: u64 = 1_500;
/// Age at which a requested copy is renewed: engines drop a copy that is not used within four
/// seconds.
const COPY_RENEW_AGE_MS: u64 = 2_800;
/// Pause after a copy could not be made.
const COPY_RETRY_PAUSE_MS: u64 = 400;

/// A copy of a run's KV cache.
#[derive(Clone, Debug)]
pub(crate) struct RunCopy {
    /// The engine that holds the copy.
    pub(crate) at: Announcement,
    origin: Origin,
    /// The memory reserved at the holder.
    reservation: Rc<CopyReservation>,
}

/// How a copy was made.
#[derive(Clone, Debug)]
enum Origin {
    /// The running engine streams its KV cache to the holder as it grows.
    Backup,
    /// The copy was requested from the running engine, which named it by this handle.
    Requested {
        handle: String,
        made_at: ClockMs,
        source: Announcement,
    },
}

impl RunCopy {
    /// The copy that the running engine streams as the KV cache grows.
    pub(crate) fn backup(at: Announcement, reservation: CopyReservation) -> Self {
        Self {
            at,
            origin: Origin::Backup,
            reservation: Rc::new(reservation),
        }
    }

    /// The holder, and the memory reserved there.
    pub(crate) fn into_parts(self) -> (Announcement, Rc<CopyReservation>) {
        (self.at, self.reservation)
    }

    /// The value of the resume header field of a request that resumes from the copy.
    pub(crate) fn reference(&self, request_id: &str) -> String {
        match &self.origin {
            Origin::Backup => format!("{}/{request_id}", self.at.address),
            Origin::Requested { handle, source, .. } => format!("{}/{handle}", source.address),
        }
    }
}

/// Keeps a copy of one run available while the run lasts.
#[derive(Debug, Default)]
pub(crate) struct CopyManager {
    copy: Option<RunCopy>,
    pending: Option<PendingCopy>,
    retry_at: ClockMs,
}

/// A copy that has been requested and is not complete yet.
#[derive(Debug)]
struct PendingCopy {
    at: Announcement,
    reservation: Rc<CopyReservation>,
    made: oneshot::Receiver<Result<String, String>>,
    source: Announcement,
}

impl CopyManager {
    /// The current copy, if there is one.
    pub(crate) fn copy(&self) -> Option<&RunCopy> {
        self.copy.as_ref()
    }

    /// The memory reserved at the holder of the current copy.
    pub(crate) fn reservation(&self) -> Option<Rc<CopyReservation>> {
        let copy = self.copy.as_ref()?;
        Some(Rc::clone(&copy.reservation))
    }

    /// Starts a new run with the copy that its engine streams, if any.
    pub(crate) fn reset(&mut self, copy: Option<RunCopy>) {
        self.copy = copy;
        self.pending = None;
    }

    /// Forgets the copy.
    pub(crate) fn clear(&mut self) {
        self.reset(None);
    }

    /// Adopts a requested copy that has been completed meanwhile.
    pub(crate) fn poll_pending(&mut self, now: ClockMs) {
        let Some(mut pending) = self.pending.take() else {
            return;
        };
        match pending.made.try_recv() {
            Ok(Ok(handle)) => {
                self.copy = Some(RunCopy {
                    at: pending.at,
                    origin: Origin::Requested {
                        handle,
                        made_at: now,
                        source: pending.source,
                    },
                    reservation: pending.reservation,
                });
            }
            Ok(Err(_)) | Err(oneshot::error::TryRecvError::Closed) => {
                self.retry_at = now + COPY_RETRY_PAUSE_MS;
            }
            Err(oneshot::error::TryRecvError::Empty) => self.pending = Some(pending),
        }
    }

    /// Whether a copy has to be made now: there is none on a usable holder, or the copy is about to
    /// expire.
    pub(crate) fn needs_copy(
        &self,
        now: ClockMs,
        is_holder_usable: impl Fn(&RunCopy) -> bool,
    ) -> bool {
        if self.pending.is_some() || now < self.retry_at {
            return false;
        }
        let Some(copy) = self.copy.as_ref().filter(|copy| is_holder_usable(copy)) else {
            return true;
        };
        match &copy.origin {
            Origin::Backup => false,
            Origin::Requested { made_at, .. } => now.since(*made_at) >= COPY_RENEW_AGE_MS,
        }
    }

    /// Requests a copy from the running engine, to be held by another one.
    pub(crate) fn start_copy(
        &mut self,
        relay: &Rc<Relay>,
        request_id: &str,
        source: &Announcement,
        at: Announcement,
        reservation: Rc<CopyReservation>,
    ) {
        let (made, receiver) = oneshot::channel();
        let (relay, from, id) = (Rc::clone(relay), source.clone(), request_id.to_owned());
        let target = at.clone();
        spawn_local(async move {
            let handle = request_copy(&relay, &id, &from, &target).await;
            let cause = handle.as_ref().err().map_or("", String::as_str);
            log_event!(
                info,
                events::COPY_ASKED,
                request = id,
                endpoint = from.id,
                to = target.id,
                zone = target.zone,
                is_made = handle.is_ok(),
                cause = cause
            );
            let _ = made.send(handle);
        });
        self.pending = Some(PendingCopy {
            at,
            reservation,
            made: receiver,
            source: source.clone(),
        });
    }

    /// Has the engines drop the copy of a run that has ended.
    pub(crate) fn release(&mut self, relay: &Rc<Relay>) {
        let copy = self.copy.take();
        let Some(Origin::Requested { handle, source, .. }) = copy.map(|copy| copy.origin) else {
            return;
        };
        let relay = Rc::clone(relay);
        spawn_local(async move {
            let calls = &relay.config.engine_calls;
            let target = format!("{}{handle}", calls.release_path);
            // An engine that cannot be reached drops the copy by itself within seconds.
            let _ = call(&relay, &source, "DELETE", &target, "", COPY_TIMEOUT_MS).await;
        });
    }
}

async fn request_copy(
    relay: &Rc<Relay>,
    request_id: &str,
    source: &Announcement,
    at: &Announcement,
) -> Result<String, String> {
    let EngineCalls {
        copy_path,
        handle_field,
        id_field,
        is_last_field,
        target_field,
        ..
    } = relay.config.engine_calls.as_ref();
    let body = serde_json::json!({
        id_field: request_id,
        target_field: at.address.to_string(),
        is_last_field: false,
    });
    let body = body.to_string();
    let answer = call(relay, source, "POST", copy_path, &body, COPY_TIMEOUT_MS).await?;
    let answer: serde_json::Value =
        serde_json::from_slice(&answer).map_err(|error| error.to_string())?;
    let handle = answer.get(handle_field).and_then(serde_json::Value::as_str);
    handle
        .map(str::to_owned)
        .ok_or_else(|| format!("the answer has no `{handle_field}`"))
}

/// Calls an engine and returns the body of a response with status 200.
///
/// # Errors
///
/// A text that says what went wrong: another status, a failed connection, or no response in time.
pub(crate) async fn call(
    relay: &Relay,
    engine: &Announcement,
    method: &str,
    target: &str,
    body: &str,
    timeout_ms: u64,
) -> Result<BytesMut, String> {
    let mut client = EndpointClient::new(engine.address, relay.buffers.clone());
    let call = EndpointCall {
        body,
        fields: &[],
        method,
        target,
    };
    let exchange = client.call(&call, timeout_ms);
    // A report that the engine or its zone is stalled shortens the wait.
    match with_silence_timeout(relay, engine, relay.now(), timeout_ms, exchange).await {
        Some(Ok((200, answer))) => Ok(answer),
        Some(Ok((status, _))) => Err(format!("the engine answered {status}")),
        Some(Err(cause)) => Err(cause),
        None => Err("the engine stands still".to_owned()),
    }
}
