//! Who keeps the origins of streams, and when the replies of control replicas settle where a stream
//! began.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ZoneId;
use serde::{Deserialize, Serialize};

use crate::stream_origins::StreamOrigin;

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

/// The control replicas that keep the origins of an entry's streams, of those that it reaches:
/// half of the `known` ones, rounded up, so that each majority of them includes one.
///
/// They are spread over as many zones as possible, beginning with the entry's own, and the same for
/// all entries of a zone.
#[must_use]
pub fn origin_keepers<'a>(
    own_zone: &ZoneId,
    reached: impl IntoIterator<Item = (&'a SocketAddr, &'a ZoneId)>,
    known: usize,
) -> Vec<SocketAddr> {
    let mut reached: Vec<(&ZoneId, SocketAddr)> = reached
        .into_iter()
        .map(|(address, zone)| (zone, *address))
        .collect();
    reached.sort_unstable();
    let mut of_zone: IndexMap<&ZoneId, usize> = IndexMap::new();
    let mut ranked: Vec<(usize, bool, &ZoneId, SocketAddr)> = Vec::new();
    for (zone, address) in reached {
        let rank = of_zone.entry(zone).or_default();
        ranked.push((*rank, zone < own_zone, zone, address));
        *rank += 1;
    }
    ranked.sort_unstable();
    let keepers = ranked.into_iter().take(known.div_ceil(2));
    keepers.map(|(_, _, _, address)| address).collect()
}
