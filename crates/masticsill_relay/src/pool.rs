//! Connections to endpoints that are kept for the next request.

use bytes::BytesMut;
use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;
use tokio::net::TcpStream;

/// Connections kept for one endpoint.
const KEPT_PER_ENDPOINT: usize = 8;
/// How long a connection is kept where the endpoint doesn't say.
const DEFAULT_KEEP_MS: u64 = 2_000;
/// How long before the endpoint's own timeout a connection is given up, so that no request
/// crosses its close.
const KEEP_MARGIN_MS: u64 = 1_000;

/// A connection without a request.
#[derive(Debug)]
struct Kept {
    idle_since: ClockMs,
    keep_ms: u64,
    stream: TcpStream,
}

/// Kept connections by endpoint, and how many are open in all.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    kept: IndexMap<EndpointId, Vec<Kept>>,
    open: IndexMap<EndpointId, u32>,
}

impl Pool {
    /// A kept connection on which nothing has arrived, idle for `idle_ms` at most.
    pub(crate) fn take(
        &mut self,
        now: ClockMs,
        id: &EndpointId,
        idle_ms: u64,
    ) -> Option<TcpStream> {
        let kept = self.kept.get_mut(id)?;
        while let Some(connection) = kept.pop() {
            let idle_for = now.since(connection.idle_since);
            let is_young = idle_for < connection.keep_ms.min(idle_ms);
            if is_young && is_quiet(&connection.stream) {
                return Some(connection.stream);
            }
            note_closed(&mut self.open, id);
        }
        None
    }

    /// Keeps a connection after a whole answer.
    pub(crate) fn put(
        &mut self,
        now: ClockMs,
        id: &EndpointId,
        stream: TcpStream,
        stated_keep_ms: Option<u64>,
    ) {
        let keep_ms =
            stated_keep_ms.map_or(DEFAULT_KEEP_MS, |ms| ms.saturating_sub(KEEP_MARGIN_MS));
        let kept = self.kept.entry(id.clone()).or_default();
        if kept.len() >= KEPT_PER_ENDPOINT || keep_ms == 0 {
            note_closed(&mut self.open, id);
            return;
        }
        kept.push(Kept {
            idle_since: now,
            keep_ms,
            stream,
        });
    }

    /// Whether a request finds a connection to an endpoint while at most `limit` may be open.
    pub(crate) fn has_room(&self, id: &EndpointId, limit: u32) -> bool {
        let is_kept = self.kept.get(id).is_some_and(|kept| !kept.is_empty());
        is_kept || self.open.get(id).copied().unwrap_or_default() < limit
    }

    pub(crate) fn note_opened(&mut self, id: &EndpointId) {
        *self.open.entry(id.clone()).or_default() += 1;
    }

    pub(crate) fn note_closed(&mut self, id: &EndpointId) {
        note_closed(&mut self.open, id);
    }

    /// Closes what has been kept for too long.
    pub(crate) fn close_idle(&mut self, now: ClockMs) {
        for (id, kept) in &mut self.kept {
            let before = kept.len();
            kept.retain(|it| now.since(it.idle_since) < it.keep_ms);
            for _ in kept.len()..before {
                note_closed(&mut self.open, id);
            }
        }
        self.kept.retain(|_, kept| !kept.is_empty());
        self.open.retain(|_, open| *open > 0);
    }

    /// Closes every kept connection to an endpoint.
    pub(crate) fn drop_endpoint(&mut self, id: &EndpointId) {
        for _ in self.kept.swap_remove(id).into_iter().flatten() {
            note_closed(&mut self.open, id);
        }
    }
}

fn note_closed(open: &mut IndexMap<EndpointId, u32>, id: &EndpointId) {
    if let Some(count) = open.get_mut(id) {
        *count = count.saturating_sub(1);
    }
}

/// Whether a connection is open and nothing has arrived on it: bytes there belong to no request.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut one = BytesMut::zeroed(1);
    match stream.try_read(&mut one) {
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
