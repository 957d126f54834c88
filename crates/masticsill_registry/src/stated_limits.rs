//! The limits of requests per second that endpoints stated last, to any entry.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::id::EndpointId;
use crate::rate::{LimitStatement, RequestRate};

/// How long a statement without a limit is remembered, so that an older one with a limit doesn't
/// replace it.
const LIFTED_RETENTION_MS: u64 = 10_000;
/// How long a stated limit is passed on to entries that have not heard of it.
const LIMIT_RETENTION_MS: u64 = 600_000;

/// A limit, or that there is none, and since when that applies.
#[derive(Clone, Copy, Debug)]
struct StatedLimit {
    applies_from: ClockMs,
    rate: Option<RequestRate>,
}

/// The newest statement of each endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatedLimits {
    newest: IndexMap<EndpointId, StatedLimit>,
}

impl StatedLimits {
    /// Keeps the newest statements among those known and those reported by an entry. Returns whether
    /// any limit changed.
    pub(crate) fn merge<'a>(
        &mut self,
        now: ClockMs,
        reported: impl Iterator<Item = (&'a EndpointId, LimitStatement)>,
    ) -> bool {
        self.evict_old(now);
        let mut is_changed = false;
        for (id, LimitStatement { age_ms, rate }) in reported {
            let applies_from = now.before(age_ms);
            let known = self.newest.get(id);
            if known.is_none_or(|known| applies_from > known.applies_from) {
                is_changed |= known.map(|known| known.rate) != Some(rate);
                let stated = StatedLimit { applies_from, rate };
                self.newest.insert(id.clone(), stated);
            }
        }
        is_changed
    }

    /// The statements, to be passed on.
    pub(crate) fn statements(
        &self,
        now: ClockMs,
    ) -> impl Iterator<Item = (&EndpointId, LimitStatement)> {
        self.newest.iter().map(move |(id, stated)| {
            let statement = LimitStatement {
                age_ms: now.since(stated.applies_from),
                rate: stated.rate,
            };
            (id, statement)
        })
    }

    /// The limit of an endpoint; `None` if it is not known to state one.
    pub(crate) fn rate(&self, id: &EndpointId) -> Option<RequestRate> {
        self.newest.get(id)?.rate
    }

    fn evict_old(&mut self, now: ClockMs) {
        self.newest.retain(|_, stated| {
            let retention_ms = match stated.rate {
                Some(_) => LIMIT_RETENTION_MS,
                None => LIFTED_RETENTION_MS,
            };
            now.since(stated.applies_from) < retention_ms
        });
    }
}
