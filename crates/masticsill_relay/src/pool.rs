//! Idle connections to endpoints, kept for further requests.

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;
use masticsill_upstream::is_unused;
use tokio::net::TcpStream;

/// Maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// Idle timeout of a connection whose endpoint states none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 2_000;
/// Margin by which an idle connection is closed before the endpoint's own timeout, so that no
/// request crosses the endpoint's close.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_000;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    idle_since: ClockMs,
    idle_timeout_ms: u64,
    stream: TcpStream,
}

/// Idle connections by endpoint, and the number of open connections including those in use.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: IndexMap<EndpointId, Vec<IdleConnection>>,
    open: IndexMap<EndpointId, u32>,
}

impl ConnectionPool {
    /// Takes an idle connection that has received no bytes and has been idle for less than
    /// `idle_ms`.
    pub(crate) fn take(
        &mut self,
        now: ClockMs,
        id: &EndpointId,
        idle_ms: u64,
    ) -> Option<TcpStream> {
        let idle = self.idle.get_mut(id)?;
        while let Some(connection) = idle.pop() {
            let idle_for = now.since(connection.idle_since);
            let is_fresh = idle_for < connection.idle_timeout_ms.min(idle_ms);
            if is_fresh && is_unused(&connection.stream) {
                return Some(connection.stream);
            }
            note_closed(&mut self.open, id);
        }
        None
    }

    /// Keeps a connection after a complete response, for the time that the endpoint states.
    pub(crate) fn put(
        &mut self,
        now: ClockMs,
        id: &EndpointId,
        stream: TcpStream,
        stated_timeout_ms: Option<u64>,
    ) {
        let idle_timeout_ms = stated_timeout_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |ms| {
            ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS)
        });
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() >= MAX_IDLE_PER_ENDPOINT || idle_timeout_ms == 0 {
            note_closed(&mut self.open, id);
            return;
        }
        idle.push(IdleConnection {
            idle_since: now,
            idle_timeout_ms,
            stream,
        });
    }

    /// Whether a request can get a connection to an endpoint while at most `limit` may be open.
    pub(crate) fn has_room(&self, id: &EndpointId, limit: u32) -> bool {
        let has_idle = self.idle.get(id).is_some_and(|idle| !idle.is_empty());
        has_idle || self.open.get(id).copied().unwrap_or_default() < limit
    }

    pub(crate) fn note_opened(&mut self, id: &EndpointId) {
        *self.open.entry(id.clone()).or_default() += 1;
    }

    pub(crate) fn note_closed(&mut self, id: &EndpointId) {
        note_closed(&mut self.open, id);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&mut self, now: ClockMs) {
        for (id, idle) in &mut self.idle {
            let before = idle.len();
            idle.retain(|it| now.since(it.idle_since) < it.idle_timeout_ms);
            for _ in idle.len()..before {
                note_closed(&mut self.open, id);
            }
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        self.open.retain(|_, open| *open > 0);
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn drop_endpoint(&mut self, id: &EndpointId) {
        for _ in self.idle.swap_remove(id).into_iter().flatten() {
            note_closed(&mut self.open, id);
        }
    }
}

fn note_closed(open: &mut IndexMap<EndpointId, u32>, id: &EndpointId) {
    if let Some(count) = open.get_mut(id) {
        *count = count.saturating_sub(1);
    }
}
