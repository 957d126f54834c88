//! What keeps the endpoints of a version from a stream that only they can continue.

use masticsill_registry::{EndpointId, EndpointState};
use masticsill_types::{ClockMs, ZoneId};

use crate::capacity::is_occupied;
use crate::endpoint::Endpoint;
use crate::endpoints::EndpointTable;
use crate::placement::suspect_zones;
use crate::service_queue::Work;

/// A stream, and the version that began it.
#[derive(Clone, Copy, Debug)]
pub struct VersionQuery<'a> {
    /// Endpoints that accept no further connections from this entry.
    pub closed: &'a [EndpointId],
    /// Endpoints that the request is not sent to again.
    pub excluded: &'a [EndpointId],
    /// The name of the service.
    pub service: &'a str,
    /// The version that began the stream.
    pub version: &'a str,
    /// The work that the stream causes.
    pub work: &'a Work,
}

/// What keeps an endpoint from a stream. Where several reasons apply it is the first of them, in the
/// order of this list.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Hindrance {
    /// The endpoint has ended.
    Gone,
    /// The endpoint takes no new requests, because it is about to end.
    Leaving,
    /// The endpoint does not send heartbeats, or another one seems to have its address.
    Silent,
    /// An exchange with the endpoint has just failed.
    BackingOff,
    /// Other endpoints of its zone have just failed.
    SuspectZone,
    /// The endpoint asked this entry to send nothing for a time.
    Resting,
    /// The endpoint states a limit of requests per second, and this entry has neither a turn nor a
    /// permit.
    Limited,
    /// The endpoint accepts no further connections from this entry.
    Closed,
    /// The endpoint has no capacity beside its current work.
    Full,
    /// Only that the request failed at the endpoint, or was turned away there.
    Excluded,
}

impl Hindrance {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Gone => "version_gone",
            Self::Leaving => "leaving",
            Self::Excluded => "excluded",
            Self::Silent => "silent",
            Self::BackingOff => "backing_off",
            Self::SuspectZone => "suspect_zone",
            Self::Resting => "resting",
            Self::Limited => "limited",
            Self::Closed => "closed",
            Self::Full => "full",
        }
    }
}

/// The endpoints of a version, by what keeps each of them from a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionState {
    /// Endpoints that a stream can be sent to now.
    pub available: usize,
    hindrances: Vec<Hindrance>,
}

impl VersionState {
    /// The state of the endpoints that a stream needs.
    #[must_use]
    pub fn of(table: &EndpointTable, now: ClockMs, query: &VersionQuery<'_>) -> Self {
        let suspect_zones = suspect_zones(table, query.service, now);
        let mut state = Self::default();
        let of_version = table.iter().filter(|it| {
            let announcement = &it.announcement;
            announcement.service == query.service && announcement.version == query.version
        });
        for endpoint in of_version {
            match hindrance(endpoint, now, query, &suspect_zones) {
                Some(hindrance) => state.hindrances.push(hindrance),
                None => state.available += 1,
            }
        }
        state
    }

    /// Number of endpoints that a hindrance keeps from the stream.
    #[must_use]
    pub fn count(&self, hindrance: Hindrance) -> usize {
        let alike = self.hindrances.iter().filter(|it| **it == hindrance);
        alike.count()
    }

    /// Why no endpoint can continue the stream; none if one can. Endpoints that have ended, or are
    /// about to, count only if there are no others; of several reasons it is the one that applies
    /// to the most endpoints.
    #[must_use]
    pub fn cause(&self) -> Option<Hindrance> {
        if self.available > 0 {
            return None;
        }
        let passing = self.hindrances.iter().copied();
        let passing = passing.filter(|it| *it > Hindrance::Leaving);
        let cause = passing.min_by_key(|it| (usize::MAX - self.count(*it), *it));
        let last = if self.count(Hindrance::Leaving) > 0 {
            Hindrance::Leaving
        } else {
            Hindrance::Gone
        };
        Some(cause.unwrap_or(last))
    }
}

fn hindrance(
    endpoint: &Endpoint,
    now: ClockMs,
    query: &VersionQuery<'_>,
    suspect_zones: &[&ZoneId],
) -> Option<Hindrance> {
    let announcement = &endpoint.announcement;
    let id = &announcement.id;
    let is_gone = announcement.state == EndpointState::Gone || endpoint.is_replaced();
    let reasons = [
        (is_gone, Hindrance::Gone),
        (!endpoint.is_announced_ready(), Hindrance::Leaving),
        (endpoint.is_doubted(), Hindrance::Silent),
        (endpoint.is_backing_off(now), Hindrance::BackingOff),
        (
            suspect_zones.contains(&&announcement.zone),
            Hindrance::SuspectZone,
        ),
        (endpoint.is_resting(now), Hindrance::Resting),
        (!endpoint.accepts_requests(now), Hindrance::Limited),
        (query.closed.contains(id), Hindrance::Closed),
        (is_occupied(endpoint, now, query.work), Hindrance::Full),
        (query.excluded.contains(id), Hindrance::Excluded),
    ];
    let applies = reasons.into_iter().find(|(applies, _)| *applies);
    applies.map(|(_, hindrance)| hindrance)
}
