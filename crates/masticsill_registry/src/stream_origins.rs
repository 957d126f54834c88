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

#[derive(Clone, Debug)]
struct KnownStream {
    expires_at: ClockMs,
    /// None if reports contradict each other.
    origin: Option<Arc<StreamOrigin>>,
    /// The number of the change that added the stream.
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
        if let Some(known) = self.streams.get_mut(&record.attempt) {
            known.expires_at = known.expires_at.max(expires_at);
            known.origin = known.origin.take().filter(|it| **it == record.origin);
            return;
        }
        self.prune(now);
        let origin = self.shared_origin(&record.origin);
        self.revision += 1;
        let known = KnownStream {
            expires_at,
            origin: Some(origin),
            revision: self.revision,
        };
        self.streams.insert(record.attempt, known);
    }

    /// The origin of the stream whose first event an attempt brought.
    #[must_use]
    pub fn find(&self, now: ClockMs, attempt: &AttemptKey) -> Option<&StreamOrigin> {
        let known = self.streams.get(attempt)?;
        known.origin.as_deref().filter(|_| now < known.expires_at)
    }

    /// The number of the last stream that was added.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The streams that were added after a revision and may still be continued.
    #[must_use]
    pub fn since(&self, now: ClockMs, revision: u64) -> Vec<StreamRecord> {
        let newer = self.streams.iter().rev();
        let newer = newer.take_while(|(_, known)| known.revision > revision);
        let records = newer.filter_map(|(attempt, known)| {
            let origin = known.origin.as_deref().filter(|_| now < known.expires_at)?;
            Some(StreamRecord {
                attempt: *attempt,
                expires_in_ms: known.expires_at.since(now),
                origin: origin.clone(),
            })
        });
        records.collect()
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

/// A control replica's answer to the question where a stream began.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginReply {
    /// The origin of the stream, if the replica knows it.
    pub origin: Option<StreamOrigin>,
    /// The versions of the service's endpoints, including those that have ended lately.
    pub versions: IndexSet<String>,
    /// For how long the replica remembers ended endpoints, in milliseconds.
    pub versions_kept_ms: u64,
}

/// What an entry knows of a stream that a caller continues.
#[derive(Clone, Debug)]
pub struct OriginEvidence<'a> {
    /// Number of control replicas that the entry knows.
    pub replicas: usize,
    /// The longest time for which the stream may have lasted, in milliseconds.
    pub max_age_ms: u64,
    /// The replies.
    pub replies: &'a [OriginReply],
    /// The service that the request is for.
    pub service: &'a str,
    /// The versions of the service that the entry itself knows.
    pub versions: IndexSet<String>,
}

impl OriginEvidence<'_> {
    /// Whether a majority of the control replicas has replied.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        2 * self.replies.len() > self.replicas
    }

    /// Where the stream began; none if that is not certain.
    ///
    /// A stream of which no replica has a record can only have begun at the only version that the
    /// service has had for as long as the stream may have lasted. Entries begin streams at versions
    /// that a majority of the replicas know, so that it is enough if a majority replies.
    #[must_use]
    pub fn origin(&self) -> Option<StreamOrigin> {
        let mut recorded = self.replies.iter().filter_map(|it| it.origin.as_ref());
        if let Some(first) = recorded.next() {
            return recorded.all(|it| it == first).then(|| first.clone());
        }
        let is_remembered = |it: &OriginReply| it.versions_kept_ms >= self.max_age_ms;
        if !self.has_majority() || !self.replies.iter().all(is_remembered) {
            return None;
        }
        let known = self.replies.iter().flat_map(|it| &it.versions);
        let known: IndexSet<&String> = known.chain(&self.versions).collect();
        let version = known.first().filter(|_| known.len() == 1)?;
        Some(StreamOrigin {
            service: self.service.to_owned(),
            version: (*version).clone(),
        })
    }
}
