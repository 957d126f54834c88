//! Which version of a service began each recent stream, so that any entry can continue a stream that
//! another one began.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ClockMs;
use serde::{Deserialize, Serialize};

/// Length of an attempt's key in bytes.
const KEY_BYTES: usize = 16;
/// Streams that are remembered at most; the oldest ones are dropped first.
const MAX_STREAMS: usize = 262_144;
/// Number of streams from which expired ones are removed.
const MIN_PRUNED_STREAMS: usize = 1_024;

/// Identifies an attempt of a caller, by a hash of its id and the caller's workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct AttemptKey([u8; KEY_BYTES]);

impl AttemptKey {
    /// The key of the attempt `id` of a caller; `workspace` is none for an anonymous caller.
    #[must_use]
    pub fn new(workspace: Option<&str>, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        let name = workspace.unwrap_or_default();
        // The length prefix keeps the workspace and the id from being confused.
        hasher.update(&[u8::from(workspace.is_some())]);
        hasher.update(&name.len().to_le_bytes());
        hasher.update(name.as_bytes());
        hasher.update(id.as_bytes());
        let mut bytes = [0; KEY_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

/// The endpoints that can continue a stream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: String,
    /// The version of its endpoints.
    pub version: String,
}

/// The origin of one stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    /// The attempt that brought the first event.
    pub attempt: AttemptKey,
    /// Time until the caller gives up, in milliseconds; it continues the stream no later.
    pub expires_in_ms: u64,
    /// Where the first event came from.
    pub origin: StreamOrigin,
}

/// What a replica stores of one stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredStream {
    /// The attempt that brought the first event.
    pub attempt: AttemptKey,
    /// Time until the caller gives up, in milliseconds.
    pub expires_in_ms: u64,
    /// Where the first event came from; none if reports contradict each other.
    pub origin: Option<StreamOrigin>,
}

#[derive(Clone, Debug)]
struct KnownStream {
    expires_at: ClockMs,
    /// None if reports contradict each other.
    origin: Option<Arc<StreamOrigin>>,
    /// The number of the change that added the stream or made its origin unknown.
    revision: u64,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    /// Each origin once, since many streams have the same.
    origins: IndexSet<Arc<StreamOrigin>>,
    prune_at_len: usize,
    revision: u64,
    streams: IndexMap<AttemptKey, KnownStream>,
}

impl StreamOrigins {
    /// Records the origin of a stream. Two different origins of one attempt make it unknown.
    pub fn record(&mut self, now: ClockMs, record: &StreamRecord) {
        let expires_at = now + record.expires_in_ms;
        self.join(now, record.attempt, expires_at, Some(&record.origin));
    }

    /// Restores streams that a former process stored. How long ago that was is not known, so that
    /// they are kept for as long as if they had been stored just now.
    pub fn restore(&mut self, now: ClockMs, streams: &[StoredStream]) {
        for stream in streams {
            let expires_at = now + stream.expires_in_ms;
            self.join(now, stream.attempt, expires_at, stream.origin.as_ref());
        }
    }

    fn join(
        &mut self,
        now: ClockMs,
        attempt: AttemptKey,
        expires_at: ClockMs,
        origin: Option<&StreamOrigin>,
    ) {
        if let Some(known) = self.streams.get_mut(&attempt) {
            known.expires_at = known.expires_at.max(expires_at);
            if known.origin.is_none() || known.origin.as_deref() == origin {
                return;
            }
        }
        // A stream whose origin becomes unknown is added again, so that the order is that of the
        // revisions.
        let contradicted = self.streams.shift_remove(&attempt);
        self.prune(now);
        let expires_at = contradicted.as_ref().map_or(expires_at, |it| it.expires_at);
        let origin = origin.filter(|_| contradicted.is_none());
        let origin = origin.map(|origin| self.shared_origin(origin));
        self.revision += 1;
        let known = KnownStream {
            expires_at,
            origin,
            revision: self.revision,
        };
        self.streams.insert(attempt, known);
    }

    /// The origin of the stream whose first event an attempt brought.
    #[must_use]
    pub fn find(&self, now: ClockMs, attempt: &AttemptKey) -> Option<&StreamOrigin> {
        let known = self.streams.get(attempt)?;
        known.origin.as_deref().filter(|_| now < known.expires_at)
    }

    /// The number of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The streams that were added after a revision and may still be continued.
    #[must_use]
    pub fn since(&self, now: ClockMs, revision: u64) -> Vec<StreamRecord> {
        let changed = self.changed_since(now, revision);
        let records = changed.filter_map(|(attempt, known)| {
            Some(StreamRecord {
                attempt: *attempt,
                expires_in_ms: known.expires_at.since(now),
                origin: known.origin.as_deref()?.clone(),
            })
        });
        records.collect()
    }

    /// The changes after a revision that have not expired, to be stored.
    #[must_use]
    pub fn stored_since(&self, now: ClockMs, revision: u64) -> Vec<StoredStream> {
        let changed = self.changed_since(now, revision);
        let streams = changed.map(|(attempt, known)| StoredStream {
            attempt: *attempt,
            expires_in_ms: known.expires_at.since(now),
            origin: known.origin.as_deref().cloned(),
        });
        streams.collect()
    }

    fn changed_since(
        &self,
        now: ClockMs,
        revision: u64,
    ) -> impl Iterator<Item = (&AttemptKey, &KnownStream)> {
        let newer = self.streams.iter().rev();
        let newer = newer.take_while(move |(_, known)| known.revision > revision);
        newer.filter(move |(_, known)| now < known.expires_at)
    }

    fn shared_origin(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.origins.get(origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin.clone());
        self.origins.insert(Arc::clone(&origin));
        origin
    }

    /// Removes expired streams each time their number has doubled, and the older half of all if too
    /// many are left.
    fn prune(&mut self, now: ClockMs) {
        if self.streams.len() < self.prune_at_len.max(MIN_PRUNED_STREAMS) {
            return;
        }
        self.streams.retain(|_, known| now < known.expires_at);
        if self.streams.len() >= MAX_STREAMS {
            self.streams.drain(..MAX_STREAMS / 2);
        }
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
        self.prune_at_len = (2 * self.streams.len()).min(MAX_STREAMS);
    }
}
