//! Chooses the endpoint that a request is sent to.
//!
//! Each candidate has a cost, in units of one request in flight. The candidate with the lowest cost
//! is chosen.

use indexmap::IndexMap;
use masticsill_registry::{CachedTokens, EndpointId, is_zone_down};
use masticsill_rollout::VersionFilter;
use masticsill_types::{ClockMs, ZoneId};

use crate::endpoint::Endpoint;
use crate::endpoints::EndpointTable;

/// Cost of an endpoint in another zone: traffic between zones is expensive, but a queue is worse.
const OTHER_ZONE_COST: f64 = 2.0;
/// Cost of an endpoint in another entry's share of the zone: less than one request in flight there.
const OTHER_ENTRY_COST: f64 = 0.4;
/// Cost of a prompt being read, beyond that of any request in flight: the next prompt waits about a
/// second behind it and slows down the streams there for as long again.
const READING_COST: f64 = 1.5;
/// Cost reduction per cached token of the prompt. 8,000 tokens are read in about a second, during
/// which all streams at the engine would run at a sixth of their usual speed.
const CACHED_TOKEN_GAIN: f64 = 6.0 / 8_000.0;
/// Number of cached tokens beyond which the cost is not reduced further: no cached prompt is worth
/// a longer queue.
const MAX_CACHED_TOKENS: u64 = 12_000;
/// Cost of an endpoint that fails every answer.
const ERROR_COST: f64 = 12.0;
/// Cost of a silent endpoint: it is used only if there is no other.
const SILENT_COST: f64 = 1_000.0;
/// Cost of an endpoint in backoff after a failure: below that of a silent one, above all others.
const BACKOFF_COST: f64 = 500.0;
/// Cost of an endpoint in a suspect zone, in which other endpoints have just failed.
const SUSPECT_ZONE_COST: f64 = 50.0;
/// Number of endpoints that must have failed this entry for their zone to be suspect.
const MIN_SUSPECT_FAILURES: usize = 2;
/// How long failures count against the zone.
const SUSPECT_WINDOW_MS: u64 = 700;
/// Upper bound of the ratio of an endpoint's pace to the median, so that slowness never outweighs a
/// failure.
const MAX_SLOWNESS: f64 = 5.0;
/// Cost reduction of the endpoint at which capacity is reserved for the request: no other request
/// starts there now, unlike at endpoints that only appear idle. It doesn't apply if an engine that
/// reads no other prompt has so much of this one cached that hardly anything is left to read there.
const RESERVATION_GAIN: f64 = 3.0;
/// Age at which a report of the other entries' load no longer says anything about a single
/// endpoint, since an engine has read a prompt by then. Every endpoint is then assumed to have the
/// mean load, so that entries without new reports don't all choose the endpoints that were idle
/// last.
const STALE_LOAD_MS: u64 = 1_000;
/// Upper bound of the random cost that keeps entries from choosing the same endpoint.
const MAX_JITTER_COST: f64 = 0.5;

/// The criteria by which an endpoint is chosen for a request.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Endpoints that accept no further connections from this entry.
    pub closed: &'a [EndpointId],
    /// Endpoints that the request has already been sent to.
    pub excluded: &'a [EndpointId],
    /// Engines that have a prefix of the prompt cached.
    pub cached: &'a [CachedTokens],
    /// A zone to avoid, for a copy of a run that is to survive the loss of that zone.
    pub not_in_zone: Option<&'a ZoneId>,
    /// The endpoint at which a control replica has reserved capacity for the request.
    pub reserved_endpoint: Option<&'a EndpointId>,
    /// The name of the service.
    pub service: &'a str,
    /// This entry's share of the endpoints in its zone.
    pub share: ZoneShare,
    /// The versions that the endpoint may have.
    pub versions: &'a VersionFilter,
    /// The zone of this entry.
    pub zone: &'a ZoneId,
}

impl PlacementRequest<'_> {
    /// Whether the endpoint may be chosen at all.
    pub(crate) fn is_candidate(&self, endpoint: &Endpoint) -> bool {
        let announcement = &endpoint.announcement;
        let accepts = if self.versions.is_unrestricted() {
            endpoint.is_ready()
        } else {
            // There may be no other endpoint of these versions.
            endpoint.may_be_tried()
        };
        accepts
            && announcement.service == self.service
            && self.versions.allows(&announcement.version)
            && self.not_in_zone != Some(&announcement.zone)
            && !self.excluded.contains(&announcement.id)
            && !self.closed.contains(&announcement.id)
    }
}

/// The rank of an entry among the entries of its zone.
///
/// Entries learn of each other's requests with a delay. Each prefers its own share of the endpoints
/// in its zone, so that two entries seldom send to the same endpoint at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneShare {
    /// Number of entries in the zone.
    pub entries: usize,
    /// Rank of this entry, starting at zero.
    pub rank: usize,
}

impl Default for ZoneShare {
    fn default() -> Self {
        Self {
            entries: 1,
            rank: 0,
        }
    }
}

/// The chosen endpoint, with the figures behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Number of candidates that were compared.
    pub candidates: usize,
    /// Cost of the endpoint, in units of one request in flight; lower is better.
    pub cost: f64,
    /// The endpoint's id.
    pub id: EndpointId,
    /// Requests of all entries in flight there, as far as is known.
    pub in_flight: u32,
    /// Whether a control replica has reserved capacity for the request there.
    pub is_reserved: bool,
    /// Tokens of the prompt that the engine has cached.
    pub cached_tokens: u64,
    /// Requests of all entries whose prompts the endpoint still reads.
    pub reading: u32,
}

/// Chooses the candidate with the lowest cost among those with capacity; none if there is no such
/// candidate. `jitter` returns random numbers between 0 and 1.
pub fn choose(
    table: &EndpointTable,
    now: ClockMs,
    request: &PlacementRequest<'_>,
    has_capacity: impl Fn(&Endpoint) -> bool,
    mut jitter: impl FnMut() -> f64,
) -> Option<Choice> {
    let candidates = table.iter().filter(|it| request.is_candidate(it));
    let candidates: Vec<&Endpoint> = candidates.filter(|it| has_capacity(it)).collect();
    let suspect_zones = suspect_zones(table, request.service, now);
    let median_ms = median_pace_ms(&candidates);
    let others = other_shares_endpoints(&candidates, request);
    let mean_load = mean_others_load(&candidates);
    let is_cached_at_idle = candidates
        .iter()
        .any(|it| cached_gain(it, request) > RESERVATION_GAIN && it.reading_total(now) == 0);
    let reserved = request.reserved_endpoint.filter(|_| !is_cached_at_idle);
    let costs = candidates.iter().map(|endpoint| {
        let mut cost =
            cost(endpoint, now, request.zone, median_ms, mean_load) + jitter() * MAX_JITTER_COST;
        if suspect_zones.contains(&&endpoint.announcement.zone) {
            cost += SUSPECT_ZONE_COST;
        }
        if others.contains(&&endpoint.announcement.id) {
            cost += OTHER_ENTRY_COST;
        }
        if reserved == Some(&endpoint.announcement.id) {
            cost -= RESERVATION_GAIN;
        }
        cost -= cached_gain(endpoint, request);
        (cost, endpoint)
    });
    let (cost, best) = costs.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(Choice {
        candidates: candidates.len(),
        cost,
        id: best.announcement.id.clone(),
        in_flight: best.in_flight + best.others.in_flight,
        is_reserved: request.reserved_endpoint == Some(&best.announcement.id),
        cached_tokens: cached_tokens(best, request),
        reading: best.reading + best.others.reading,
    })
}

/// Chooses the engine that is to hold a copy of a run: of two candidates drawn at random, the one
/// with less KV cache in use.
///
/// Entries choose holders in other zones, whose memory usage they learn with a delay. If the
/// emptiest engine were always chosen, the copies of many runs would go to the same engine, queue
/// on its network link and exceed its memory. `random` returns numbers between 0 and 1.
pub fn choose_holder<'a>(
    table: &'a EndpointTable,
    now: ClockMs,
    request: &PlacementRequest<'_>,
    has_capacity: impl Fn(&Endpoint) -> bool,
    mut random: impl FnMut() -> f64,
) -> Option<&'a Endpoint> {
    let suspect_zones = suspect_zones(table, request.service, now);
    let is_healthy = |it: &Endpoint| {
        let zone = &it.announcement.zone;
        !it.is_doubted() && !it.is_backing_off(now) && !suspect_zones.contains(&zone)
    };
    let candidates = table.iter().filter(|it| request.is_candidate(it));
    let candidates: Vec<&Endpoint> = candidates
        .filter(|it| is_healthy(it) && has_capacity(it))
        .collect();
    let drawn = [random(), random()].map(|fraction| candidate_at_fraction(&candidates, fraction));
    let drawn = drawn.into_iter().flatten();
    drawn.min_by_key(|it| it.held_tokens + it.others.held_tokens)
}

/// Returns the candidate at a fraction of the list.
// The number is not negative and below the count, which is far below the precision of the type.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn candidate_at_fraction<'a>(candidates: &[&'a Endpoint], fraction: f64) -> Option<&'a Endpoint> {
    let index = (fraction * candidates.len() as f64) as usize;
    candidates.get(index).copied()
}

/// Cost reduction of an engine for the prompt tokens that it has cached.
// Numbers of tokens are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn cached_gain(endpoint: &Endpoint, request: &PlacementRequest<'_>) -> f64 {
    cached_tokens(endpoint, request).min(MAX_CACHED_TOKENS) as f64 * CACHED_TOKEN_GAIN
}

/// Number of prompt tokens that the engine has cached.
fn cached_tokens(endpoint: &Endpoint, request: &PlacementRequest<'_>) -> u64 {
    let id = &endpoint.announcement.id;
    let cached = request.cached.iter().find(|cached| cached.endpoint == *id);
    cached.map_or(0, |cached| cached.tokens)
}

/// Endpoints of this entry's zone that belong to the shares of other entries.
fn other_shares_endpoints<'a>(
    candidates: &[&'a Endpoint],
    request: &PlacementRequest<'_>,
) -> Vec<&'a EndpointId> {
    let ZoneShare { entries, rank } = request.share;
    let local = candidates
        .iter()
        .filter(|it| it.announcement.zone == *request.zone);
    let mut local: Vec<&EndpointId> = local.map(|it| &it.announcement.id).collect();
    local.sort();
    let ranked = local.into_iter().enumerate();
    let others = ranked.filter(|(position, _)| position % entries.max(1) != rank);
    others.map(|(_, id)| id).collect()
}

/// Cost of the given load for a further request.
fn load_cost(in_flight: u32, reading: u32) -> f64 {
    f64::from(in_flight) + f64::from(reading) * READING_COST
}

fn others_load(endpoint: &Endpoint) -> f64 {
    load_cost(endpoint.others.in_flight, endpoint.others.reading)
}

/// Mean cost of the other entries' load per endpoint.
// Counts are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn mean_others_load(candidates: &[&Endpoint]) -> f64 {
    let sum: f64 = candidates.iter().map(|it| others_load(it)).sum();
    sum / candidates.len().max(1) as f64
}

/// Estimated cost of the other entries' load at an endpoint. The older the report, the closer the
/// estimate is to the mean.
// Times are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn estimated_others_load(endpoint: &Endpoint, now: ClockMs, mean: f64) -> f64 {
    let age_ms = endpoint.others_age_ms(now).min(STALE_LOAD_MS);
    let forgotten = age_ms as f64 / STALE_LOAD_MS as f64;
    let reported = others_load(endpoint);
    reported + (mean - reported) * forgotten
}

fn cost(
    endpoint: &Endpoint,
    now: ClockMs,
    zone: &ZoneId,
    median_ms: Option<f64>,
    mean_load: f64,
) -> f64 {
    let own = load_cost(endpoint.in_flight, endpoint.reading);
    let load = own + estimated_others_load(endpoint, now, mean_load);
    let slowness = match (endpoint.health.pace_ms(), median_ms) {
        (Some(pace_ms), Some(median_ms)) if median_ms > 0.0 => {
            (pace_ms / median_ms).clamp(1.0, MAX_SLOWNESS)
        }
        _ => 1.0,
    };
    let mut cost = (load + 1.0) * slowness + endpoint.health.error_rate() * ERROR_COST;
    if endpoint.announcement.zone != *zone {
        cost += OTHER_ZONE_COST;
    }
    if endpoint.is_backing_off(now) {
        cost += BACKOFF_COST;
    }
    if endpoint.is_doubted() {
        cost += SILENT_COST;
    }
    cost
}

/// Zones in which several endpoints of a service have just failed: two of them failed this entry,
/// or a certain part of the busy ones failed any entry. Engines of a zone that is down lose their
/// work, so that those which no request has tried since would appear to be the least loaded of all.
///
/// Endpoints that the current request was sent to count as well, since they are the ones that
/// failed.
#[must_use]
pub fn suspect_zones<'a>(table: &'a EndpointTable, service: &str, now: ClockMs) -> Vec<&'a ZoneId> {
    let mut zones: IndexMap<&ZoneId, ZoneFailures> = IndexMap::new();
    let of_service = table.iter().filter(|it| it.announcement.service == service);
    for endpoint in of_service {
        let zone = zones.entry(&endpoint.announcement.zone).or_default();
        let has_failed = endpoint.health.has_failed_within(now, SUSPECT_WINDOW_MS);
        zone.at_work += usize::from(endpoint.is_at_work());
        zone.own += usize::from(has_failed);
        zone.reported += usize::from(has_failed || endpoint.is_reported_failing(now));
    }
    zones.retain(|_, zone| zone.is_suspect());
    zones.into_keys().collect()
}

/// Number of endpoints of a zone and service that failed lately.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneFailures {
    at_work: usize,
    /// Endpoints that failed this entry.
    own: usize,
    /// Endpoints that failed any entry.
    reported: usize,
}

impl ZoneFailures {
    fn is_suspect(self) -> bool {
        self.own >= MIN_SUSPECT_FAILURES || is_zone_down(self.reported, self.at_work)
    }
}

/// Median of the candidates' paces, in milliseconds.
fn median_pace_ms(candidates: &[&Endpoint]) -> Option<f64> {
    let known = candidates.iter().filter_map(|it| it.health.pace_ms());
    let mut known: Vec<f64> = known.collect();
    known.sort_by(f64::total_cmp);
    // For an even count, the faster of the two middle ones.
    known.get(known.len().saturating_sub(1) / 2).copied()
}
