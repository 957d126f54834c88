//! The choice of an endpoint for a request.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::{Class, ClockMs, NodeId, ZoneId};
use rand::Rng;
use rand::rngs::StdRng;

use crate::config::{PlacementPolicy, RouterConfig};
use crate::endpoint::{Endpoint, EntryRank};
use crate::number::mix;
use crate::pool::{EndpointIndex, EndpointTable, PoolMember};
use crate::request::{PrefixBlock, WorkRequest};

/// Random candidates. Choosing the better of two keeps entries from converging on the same endpoint
/// while load reports are stale.
const RANDOM_CANDIDATES: usize = 2;
/// Random draws to find these candidates, since endpoints without a free slot are skipped.
const MAX_RANDOM_TRIES: usize = 8;
/// Endpoints scanned one by one if the random draws found none.
const MAX_SCANNED_ENDPOINTS: usize = 256;
/// Candidates at which own work ended last.
const MAX_FREED_CANDIDATES: usize = 4;
/// Candidates that rank highest for the prefix by rendezvous hashing.
const RENDEZVOUS_CANDIDATES: usize = 2;
/// Percentage of the first prefix's tokens that are assumed to be cached at the endpoint that ranks
/// highest for it, since every entry sends the prefix there.
const RENDEZVOUS_CACHED_PERCENT: u32 = 60;
/// Additional cost of a full endpoint compared with an idle one, in prompt tokens to be computed.
const FULL_LOAD_COST_TOKENS: f64 = 4_000.0;
/// Additional cost of an endpoint in another zone, in prompt tokens to be computed.
const OTHER_ZONE_COST_TOKENS: f64 = 50.0;
/// Endpoints recorded for one prefix.
const MAX_HOLDERS_PER_PREFIX: usize = 3;
/// Prefixes recorded.
const MAX_PREFIXES: usize = 65_536;

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementQuery<'a> {
    /// The class whose slots may be used.
    pub(crate) class: Class,
    /// The request.
    pub(crate) request: &'a WorkRequest,
    /// Zones allowed; empty allows all.
    pub(crate) zones: &'a [ZoneId],
}

/// Chooses endpoints and records which prefixes were sent to which endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Placer {
    holders: IndexMap<u64, Vec<EndpointIndex>>,
    /// Endpoints where own work ended last, oldest first. This entry may reuse the freed slots.
    recently_freed: VecDeque<EndpointIndex>,
    next_round_robin: usize,
    /// This entry's rank among the entries that share the endpoints.
    pub(crate) entry_rank: EntryRank,
}

impl Placer {
    pub(crate) fn new() -> Self {
        Self {
            holders: IndexMap::new(),
            recently_freed: VecDeque::new(),
            next_round_robin: 0,
            entry_rank: EntryRank::default(),
        }
    }

    /// Chooses an endpoint; `None` if none may be used. The policy [`PlacementPolicy::Affinity`]
    /// requires a free slot.
    pub(crate) fn choose(
        &mut self,
        now: ClockMs,
        query: PlacementQuery<'_>,
        table: &EndpointTable,
        config: &RouterConfig,
        rng: &mut StdRng,
    ) -> Option<EndpointIndex> {
        let search = Search {
            config,
            now,
            pool: table.pool(&query.request.target),
            entry_rank: self.entry_rank,
            table,
            query,
        };
        match config.policy {
            PlacementPolicy::Affinity => self.choose_by_cost(&search, rng),
            PlacementPolicy::LeastConnections => search.least_connections(),
            PlacementPolicy::RoundRobin => {
                self.next_round_robin = self.next_round_robin.wrapping_add(1);
                search.round_robin(self.next_round_robin)
            }
        }
    }

    /// Records an endpoint where own work ended.
    pub(crate) fn note_freed_slot(&mut self, index: EndpointIndex) {
        if self.recently_freed.len() == MAX_FREED_CANDIDATES {
            self.recently_freed.pop_front();
        }
        self.recently_freed.push_back(index);
    }

    /// Records the endpoint to which a prompt was sent, for each of its prefixes.
    pub(crate) fn remember(&mut self, prefix: &[PrefixBlock], index: EndpointIndex) {
        for block in prefix {
            if self.holders.len() >= MAX_PREFIXES {
                self.holders.swap_remove_index(0);
            }
            let holders = self.holders.entry(block.hash).or_default();
            holders.retain(|known| *known != index);
            holders.insert(0, index);
            holders.truncate(MAX_HOLDERS_PER_PREFIX);
        }
    }

    fn choose_by_cost(&self, search: &Search<'_>, rng: &mut StdRng) -> Option<EndpointIndex> {
        let prefix = &search.query.request.prefix;
        let known = search.random_candidates(rng).into_iter();
        let known = known.chain(self.holders_of_longest_prefix(prefix));
        let known = known.chain(search.filter_serving(&self.recently_freed));
        let mut candidates: Vec<(EndpointIndex, u32)> = known.map(|index| (index, 0)).collect();
        if let Some(first) = prefix.first() {
            let expected = first.tokens * RENDEZVOUS_CACHED_PERCENT / 100;
            let ranked = search.by_rendezvous(first.hash).into_iter();
            candidates.extend(ranked.zip([expected, expected / 2]));
        }
        let costs = candidates
            .into_iter()
            .filter_map(|(index, expected)| Some((index, search.cost(index, expected)?)));
        let (index, _) = costs.min_by(|(_, one), (_, other)| one.total_cmp(other))?;
        Some(index)
    }

    fn holders_of_longest_prefix(&self, prefix: &[PrefixBlock]) -> Vec<EndpointIndex> {
        let known = |block: &PrefixBlock| self.holders.get(&block.hash).cloned();
        prefix.iter().rev().find_map(known).unwrap_or_default()
    }
}

struct Search<'a> {
    config: &'a RouterConfig,
    now: ClockMs,
    pool: &'a [PoolMember],
    entry_rank: EntryRank,
    table: &'a EndpointTable,
    query: PlacementQuery<'a>,
}

impl Search<'_> {
    fn allowed(&self, index: EndpointIndex) -> Option<&Endpoint> {
        let endpoint = self.table.at(index)?;
        let is_tried = |node: &NodeId| *node == endpoint.node;
        let zones = self.query.zones;
        let is_allowed = endpoint.is_usable(self.now)
            && (zones.is_empty() || zones.contains(&endpoint.description.zone))
            && !self.query.request.tried.iter().any(is_tried);
        is_allowed.then_some(endpoint)
    }

    fn has_free_slot(&self, endpoint: &Endpoint) -> bool {
        let stale_ms = self.config.stale_report_ms;
        endpoint.free_slots(self.now, self.query.class, stale_ms, self.entry_rank) > 0
    }

    /// The cost of running the request at an endpoint, in prompt tokens to be computed; `None` if
    /// it can't run there.
    ///
    /// At least `expected` tokens are assumed to be cached, even if the cache view has none.
    fn cost(&self, index: EndpointIndex, expected: u32) -> Option<f64> {
        let endpoint = self.allowed(index)?;
        if !self.has_free_slot(endpoint) {
            return None;
        }
        let request = self.query.request;
        let known = endpoint.cached_tokens(&request.prefix);
        let cached = known.max(expected).min(request.prompt_tokens);
        let computed = f64::from(request.prompt_tokens - cached);
        let stale_ms = self.config.stale_report_ms;
        let estimate = endpoint.estimate(self.now, self.query.class, stale_ms, self.entry_rank);
        let ratio = endpoint.load_ratio(estimate);
        let is_near = endpoint.description.zone == self.config.zone;
        let zone = if is_near { 0.0 } else { OTHER_ZONE_COST_TOKENS };
        Some(computed + ratio * ratio * FULL_LOAD_COST_TOKENS + zone)
    }

    /// Random endpoints with a free slot. If the random draws find none, scans the pool for one.
    fn random_candidates(&self, rng: &mut StdRng) -> Vec<EndpointIndex> {
        let mut chosen =
            Vec::with_capacity(RANDOM_CANDIDATES + RENDEZVOUS_CANDIDATES + MAX_HOLDERS_PER_PREFIX);
        if self.pool.is_empty() {
            return chosen;
        }
        for _ in 0..MAX_RANDOM_TRIES {
            let member = self.pool[rng.random_range(0..self.pool.len())];
            let endpoint = self.allowed(member.index);
            if endpoint.is_some_and(|endpoint| self.has_free_slot(endpoint)) {
                chosen.push(member.index);
            }
            if chosen.len() == RANDOM_CANDIDATES {
                return chosen;
            }
        }
        if chosen.is_empty() {
            let start = rng.random_range(0..self.pool.len());
            let members = self.pool.iter().cycle().skip(start);
            let mut searched = members.take(self.pool.len().min(MAX_SCANNED_ENDPOINTS));
            let found = searched.find(|member| {
                let endpoint = self.allowed(member.index);
                endpoint.is_some_and(|endpoint| self.has_free_slot(endpoint))
            });
            chosen.extend(found.map(|member| member.index));
        }
        chosen
    }

    /// The endpoints that rank highest for a prefix by rendezvous hashing; every entry gets the
    /// same ranking.
    fn by_rendezvous(&self, prefix_hash: u64) -> Vec<EndpointIndex> {
        let mut best: [Option<(u64, EndpointIndex)>; RENDEZVOUS_CANDIDATES] =
            [None; RENDEZVOUS_CANDIDATES];
        for member in self.pool {
            let rank = mix(member.hash, prefix_hash);
            if best[1].is_some_and(|(least, _)| rank <= least) {
                continue;
            }
            if best[0].is_none_or(|(most, _)| rank > most) {
                best[1] = best[0];
                best[0] = Some((rank, member.index));
            } else {
                best[1] = Some((rank, member.index));
            }
        }
        best.iter().flatten().map(|(_, index)| *index).collect()
    }

    /// Those of the given endpoints that serve the request's target.
    fn filter_serving(&self, indices: &VecDeque<EndpointIndex>) -> Vec<EndpointIndex> {
        let target = &self.query.request.target;
        let endpoints = indices.iter().filter(|index| {
            let endpoint = self.table.at(**index);
            endpoint.is_some_and(|endpoint| endpoint.serves(target))
        });
        endpoints.copied().collect()
    }

    fn least_connections(&self) -> Option<EndpointIndex> {
        let open = self.pool.iter().filter_map(|member| {
            let endpoint = self.allowed(member.index)?;
            Some((member.index, endpoint.in_flight.total()))
        });
        let (index, _) = open.min_by_key(|(_, in_flight)| *in_flight)?;
        Some(index)
    }

    fn round_robin(&self, turn: usize) -> Option<EndpointIndex> {
        let start = turn.checked_rem(self.pool.len())?;
        let members = self.pool.iter().cycle().skip(start).take(self.pool.len());
        let mut indices = members.map(|member| member.index);
        indices.find(|index| self.allowed(*index).is_some())
    }
}
