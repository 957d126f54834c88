//! Which endpoint a request goes to.

use indexmap::IndexMap;
use masticsill_registry::{CachedTokens, EndpointId, is_zone_down};
use masticsill_types::{ClockMs, ZoneId};

use crate::endpoint::Endpoint;
use crate::endpoints::EndpointTable;

/// What another zone costs, in requests in flight: bytes between zones are dear, a queue is worse.
const OTHER_ZONE_COST: f64 = 2.0;
/// What an endpoint of another entry's part costs: less than one request in flight there.
const OTHER_ENTRY_COST: f64 = 0.4;
/// What a prompt that is being read costs beyond any request in flight: the next one waits about
/// a second behind it, and slows the streams there for as long again.
const READING_COST: f64 = 1.5;
/// What a token costs less that an engine keeps: 8,000 of them are read in a second, which all
/// streams there would spend at a sixth of their pace.
const KEPT_GAIN: f64 = 6.0 / 8_000.0;
/// Tokens beyond which nothing more is gained: no load is worth a longer queue.
const MAX_KEPT_TOKENS: u64 = 12_000;
/// What an endpoint costs that fails every answer, in requests in flight.
const ERROR_COST: f64 = 12.0;
/// What a silent endpoint costs: it is used only where no other is left.
const SILENT_COST: f64 = 1_000.0;
/// What an endpoint costs that is left alone after a failure: below silence, above all else.
const HELD_COST: f64 = 500.0;
/// What an endpoint costs while its zone has just failed elsewhere.
const SUSPECT_ZONE_COST: f64 = 50.0;
/// Endpoints of a zone that have just failed when the zone itself is suspect.
const SUSPECT_ENDPOINTS: usize = 2;
/// How long the failures of neighbours count against a zone.
const SUSPECT_MS: u64 = 700;
/// How many times slower than usual an endpoint may count, so that no measure outweighs a failure.
const MAX_SLOWNESS: f64 = 5.0;
/// What an endpoint costs less at which a place was handed out to the request: nobody else begins
/// there now, as may be at those that only look idle.
const PLACE_GAIN: f64 = 3.0;
/// Age at which what was told of the other entries' requests says nothing any more of a single
/// endpoint: by then an engine has read a prompt. Each is taken to do as much as the usual one, so
/// that entries which hear nothing new don't all go on to the ones that were idle once.
const FORGOTTEN_MS: u64 = 1_000;
/// Longest of the random differences that keep entries from choosing alike.
const JITTER: f64 = 0.5;

/// What a request wants of an endpoint.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// Endpoints that accept no further connection.
    pub closed: &'a [EndpointId],
    /// Endpoints that it was sent to already.
    pub excluded: &'a [EndpointId],
    /// Engines that keep the beginning of its prompt.
    pub kept: &'a [CachedTokens],
    /// The zone to avoid, for a copy that is to survive the zone.
    pub not_in_zone: Option<&'a ZoneId>,
    /// The endpoint at which a place was handed out to the request.
    pub place: Option<&'a EndpointId>,
    /// The service.
    pub service: &'a str,
    /// This entry's part of its zone's endpoints.
    pub share: ZoneShare,
    /// The zone of this entry.
    pub zone: &'a ZoneId,
}

impl Wanted<'_> {
    /// Whether an endpoint may be chosen at all.
    pub(crate) fn is_candidate(&self, endpoint: &Endpoint) -> bool {
        let said = &endpoint.announcement;
        endpoint.is_ready()
            && said.service == self.service
            && self.not_in_zone != Some(&said.zone)
            && !self.excluded.contains(&said.id)
            && !self.closed.contains(&said.id)
    }
}

/// The place of an entry among those of its zone.
///
/// Entries hear of each other's requests a little late. Each prefers a part of its zone's
/// endpoints of its own, so that two seldom send to the same one at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneShare {
    /// Entries of the zone.
    pub entries: usize,
    /// Which of them this one is, from zero.
    pub place: usize,
}

impl Default for ZoneShare {
    fn default() -> Self {
        Self {
            entries: 1,
            place: 0,
        }
    }
}

/// The endpoint chosen and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Candidates that were weighed.
    pub candidates: usize,
    /// Its cost; lower is better.
    pub cost: f64,
    /// The endpoint.
    pub id: EndpointId,
    /// Requests that it works on, as far as is known.
    pub in_flight: u32,
    /// Whether a place there was handed out to the request.
    pub is_handed_out: bool,
    /// Tokens of the prompt that it keeps.
    pub kept_tokens: u64,
    /// Those requests whose prompt it still reads.
    pub reading: u32,
}

/// Chooses the endpoint of the lowest cost among those with room; `jitter` gives numbers from zero
/// to one.
// Numbers of tokens are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
pub fn choose(
    table: &EndpointTable,
    now: ClockMs,
    wanted: &Wanted<'_>,
    has_room: impl Fn(&Endpoint) -> bool,
    mut jitter: impl FnMut() -> f64,
) -> Option<Choice> {
    let candidates = table.iter().filter(|it| wanted.is_candidate(it));
    let candidates: Vec<&Endpoint> = candidates.filter(|it| has_room(it)).collect();
    let suspect_zones = suspect_zones(table, wanted.service, now);
    let usual_ms = usual_pace_ms(&candidates);
    let others = others_endpoints(&candidates, wanted);
    let usual_load = usual_others_load(&candidates);
    let costs = candidates.iter().map(|endpoint| {
        let mut cost = cost(endpoint, now, wanted.zone, usual_ms, usual_load) + jitter() * JITTER;
        if suspect_zones.contains(&&endpoint.announcement.zone) {
            cost += SUSPECT_ZONE_COST;
        }
        if others.contains(&&endpoint.announcement.id) {
            cost += OTHER_ENTRY_COST;
        }
        if wanted.place == Some(&endpoint.announcement.id) {
            cost -= PLACE_GAIN;
        }
        cost -= kept_tokens(endpoint, wanted).min(MAX_KEPT_TOKENS) as f64 * KEPT_GAIN;
        (cost, endpoint)
    });
    let (cost, best) = costs.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(Choice {
        candidates: candidates.len(),
        cost,
        id: best.announcement.id.clone(),
        in_flight: best.in_flight + best.others.in_flight,
        is_handed_out: wanted.place == Some(&best.announcement.id),
        kept_tokens: kept_tokens(best, wanted),
        reading: best.reading + best.others.reading,
    })
}

/// Chooses the engine that is to hold a copy of a run: of two drawn at random among those with room
/// the one whose memory is less in use.
///
/// Every entry chooses holders in other zones, of whose memory it hears late. Were it always the
/// emptiest one, the copies of many runs would meet there, queue on its link and find no room.
/// `random` gives numbers from zero to one.
pub fn choose_holder<'a>(
    table: &'a EndpointTable,
    now: ClockMs,
    wanted: &Wanted<'_>,
    has_room: impl Fn(&Endpoint) -> bool,
    mut random: impl FnMut() -> f64,
) -> Option<&'a Endpoint> {
    let suspect_zones = suspect_zones(table, wanted.service, now);
    let is_sound = |it: &Endpoint| {
        let zone = &it.announcement.zone;
        !it.is_silent() && !it.is_held(now) && !suspect_zones.contains(&zone)
    };
    let candidates = table.iter().filter(|it| wanted.is_candidate(it));
    let candidates: Vec<&Endpoint> = candidates
        .filter(|it| is_sound(it) && has_room(it))
        .collect();
    let drawn = [random(), random()].map(|part| draw(&candidates, part));
    let drawn = drawn.into_iter().flatten();
    drawn.min_by_key(|it| it.held_tokens + it.others.held_tokens)
}

/// The candidate at a part of the list.
// The number is not negative and below the count, which is far below the precision of the type.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn draw<'a>(candidates: &[&'a Endpoint], part: f64) -> Option<&'a Endpoint> {
    let place = (part * candidates.len() as f64) as usize;
    candidates.get(place).copied()
}

/// Tokens of the prompt that an engine keeps.
fn kept_tokens(endpoint: &Endpoint, wanted: &Wanted<'_>) -> u64 {
    let id = &endpoint.announcement.id;
    let kept = wanted.kept.iter().find(|kept| kept.endpoint == *id);
    kept.map_or(0, |kept| kept.tokens)
}

/// Endpoints of the own zone that are other entries' part of it.
fn others_endpoints<'a>(candidates: &[&'a Endpoint], wanted: &Wanted<'_>) -> Vec<&'a EndpointId> {
    let ZoneShare { entries, place } = wanted.share;
    let near = candidates
        .iter()
        .filter(|it| it.announcement.zone == *wanted.zone);
    let mut near: Vec<&EndpointId> = near.map(|it| &it.announcement.id).collect();
    near.sort();
    let dealt = near.into_iter().enumerate();
    let others = dealt.filter(|(position, _)| position % entries.max(1) != place);
    others.map(|(_, id)| id).collect()
}

/// What requests cost a further one beside them.
fn load_cost(in_flight: u32, reading: u32) -> f64 {
    f64::from(in_flight) + f64::from(reading) * READING_COST
}

fn others_load(endpoint: &Endpoint) -> f64 {
    load_cost(endpoint.others.in_flight, endpoint.others.reading)
}

/// What the other entries' requests are at the mean endpoint.
// Counts are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn usual_others_load(candidates: &[&Endpoint]) -> f64 {
    let sum: f64 = candidates.iter().map(|it| others_load(it)).sum();
    sum / candidates.len().max(1) as f64
}

/// What the other entries' requests at an endpoint are believed to be: the older the news, the
/// closer to the usual.
// Times are far below the precision of the type.
#[allow(clippy::cast_precision_loss)]
fn believed_load(endpoint: &Endpoint, now: ClockMs, usual: f64) -> f64 {
    let age_ms = endpoint.others_age_ms(now).min(FORGOTTEN_MS);
    let forgotten = age_ms as f64 / FORGOTTEN_MS as f64;
    let told = others_load(endpoint);
    told + (usual - told) * forgotten
}

fn cost(
    endpoint: &Endpoint,
    now: ClockMs,
    zone: &ZoneId,
    usual_ms: Option<f64>,
    usual_load: f64,
) -> f64 {
    let own = load_cost(endpoint.in_flight, endpoint.reading);
    let load = own + believed_load(endpoint, now, usual_load);
    let slowness = match (endpoint.health.pace_ms(), usual_ms) {
        (Some(pace_ms), Some(usual_ms)) if usual_ms > 0.0 => {
            (pace_ms / usual_ms).clamp(1.0, MAX_SLOWNESS)
        }
        _ => 1.0,
    };
    let mut cost = (load + 1.0) * slowness + endpoint.health.error_share() * ERROR_COST;
    if endpoint.announcement.zone != *zone {
        cost += OTHER_ZONE_COST;
    }
    if endpoint.is_held(now) {
        cost += HELD_COST;
    }
    if endpoint.is_silent() {
        cost += SILENT_COST;
    }
    cost
}

/// Zones in which several endpoints of a service failed just now: two of them this entry, or a part
/// of those at work there any entry. Engines of a zone that is down lose their work, and those that
/// nobody has tried since would look the idlest of all.
///
/// Those that the request went to already count as well: it is they that failed.
#[must_use]
pub fn suspect_zones<'a>(table: &'a EndpointTable, service: &str, now: ClockMs) -> Vec<&'a ZoneId> {
    let mut zones: IndexMap<&ZoneId, ZoneFailures> = IndexMap::new();
    let of_service = table.iter().filter(|it| it.announcement.service == service);
    for endpoint in of_service {
        let zone = zones.entry(&endpoint.announcement.zone).or_default();
        let has_failed = endpoint.health.has_failed_within(now, SUSPECT_MS);
        zone.at_work += usize::from(endpoint.is_at_work());
        zone.own += usize::from(has_failed);
        zone.told += usize::from(has_failed || endpoint.is_told_failing(now));
    }
    zones.retain(|_, zone| zone.is_suspect());
    zones.into_keys().collect()
}

/// Endpoints of a zone and service that failed lately.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneFailures {
    at_work: usize,
    /// Those that failed this entry.
    own: usize,
    /// Those that failed any entry.
    told: usize,
}

impl ZoneFailures {
    fn is_suspect(self) -> bool {
        self.own >= SUSPECT_ENDPOINTS || is_zone_down(self.told, self.at_work)
    }
}

/// The median of the endpoints' paces.
fn usual_pace_ms(candidates: &[&Endpoint]) -> Option<f64> {
    let known = candidates.iter().filter_map(|it| it.health.pace_ms());
    let mut known: Vec<f64> = known.collect();
    known.sort_by(f64::total_cmp);
    // Of two, the faster one is the usual one.
    known.get(known.len().saturating_sub(1) / 2).copied()
}
