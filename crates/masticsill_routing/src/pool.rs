//! The table of endpoints and the pools of those that serve each target.

use indexmap::IndexMap;
use masticsill_types::{Class, ClockMs, NodeId};

use crate::config::RouterConfig;
use crate::endpoint::{Endpoint, EndpointDescription};
use crate::request::BackEndTarget;

/// Position of an endpoint in the table. It doesn't change while the endpoint is known; after that
/// it may be given to another.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct EndpointIndex(usize);

/// An endpoint of a pool, with the hash that ranks it for a prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolMember {
    pub(crate) hash: u64,
    pub(crate) index: EndpointIndex,
}

/// The table of endpoints and the pools of those that serve each target.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Option<Endpoint>>,
    indices: IndexMap<NodeId, EndpointIndex>,
    /// Number of catalogue entries of the lookup class that use each target.
    lookup_entries: IndexMap<BackEndTarget, u32>,
    pools: IndexMap<BackEndTarget, Vec<PoolMember>>,
    vacant: Vec<EndpointIndex>,
}

impl EndpointTable {
    pub(crate) fn index_of(&self, node: &NodeId) -> Option<EndpointIndex> {
        self.indices.get(node).copied()
    }

    pub(crate) fn at(&self, index: EndpointIndex) -> Option<&Endpoint> {
        self.endpoints.get(index.0)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, node: &NodeId) -> Option<&mut Endpoint> {
        let index = self.index_of(node)?;
        self.endpoints[index.0].as_mut()
    }

    /// Adds or updates an endpoint, or removes it if `description` is `None`.
    pub(crate) fn update(
        &mut self,
        node: &NodeId,
        description: Option<EndpointDescription>,
        config: &RouterConfig,
    ) {
        self.remove_from_pools(node);
        let Some(description) = description else {
            if let Some(index) = self.indices.swap_remove(node) {
                self.endpoints[index.0] = None;
                self.vacant.push(index);
            }
            return;
        };
        let index = self.index_of(node).unwrap_or_else(|| self.new_index(node));
        let stored = &mut self.endpoints[index.0];
        if let Some(endpoint) = stored {
            endpoint.update(description, config);
        } else {
            *stored = Some(Endpoint::new(node.clone(), description, config));
        }
        self.add_to_pools(index);
        self.update_sharing(index);
    }

    /// Counts a catalogue entry. Endpoints of a target that lookups use reserve slots for each
    /// class.
    pub(crate) fn add_entry(&mut self, class: Class, target: &BackEndTarget) {
        if class != Class::InstantLookup {
            return;
        }
        let count = self.lookup_entries.entry(target.clone()).or_default();
        *count += 1;
        if *count == 1 {
            self.update_sharing_of(target);
        }
    }

    /// Stops counting a catalogue entry.
    pub(crate) fn remove_entry(&mut self, class: Class, target: &BackEndTarget) {
        if class != Class::InstantLookup {
            return;
        }
        let Some(count) = self.lookup_entries.get_mut(target) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.lookup_entries.swap_remove(target);
            self.update_sharing_of(target);
        }
    }

    fn update_sharing_of(&mut self, target: &BackEndTarget) {
        let members = self.pool(target).to_vec();
        for member in members {
            self.update_sharing(member.index);
        }
    }

    fn update_sharing(&mut self, index: EndpointIndex) {
        if let Some(endpoint) = &mut self.endpoints[index.0] {
            let mut targets = endpoint.targets().into_iter();
            endpoint.is_shared = targets.any(|target| self.lookup_entries.contains_key(&target));
        }
    }

    fn new_index(&mut self, node: &NodeId) -> EndpointIndex {
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.endpoints.push(None);
            EndpointIndex(self.endpoints.len() - 1)
        });
        self.indices.insert(node.clone(), index);
        index
    }

    fn add_to_pools(&mut self, index: EndpointIndex) {
        let Some(endpoint) = &self.endpoints[index.0] else {
            return;
        };
        let member = PoolMember {
            hash: endpoint.hash,
            index,
        };
        for target in endpoint.targets() {
            self.pools.entry(target).or_default().push(member);
        }
    }

    fn remove_from_pools(&mut self, node: &NodeId) {
        let Some(index) = self.index_of(node) else {
            return;
        };
        let targets = self.at(index).map(Endpoint::targets).unwrap_or_default();
        for target in targets {
            if let Some(pool) = self.pools.get_mut(&target) {
                pool.retain(|member| member.index != index);
                if pool.is_empty() {
                    self.pools.swap_remove(&target);
                }
            }
        }
    }

    /// The targets that an endpoint serves.
    pub(crate) fn targets_of(&self, node: &NodeId) -> Vec<BackEndTarget> {
        let endpoint = self.index_of(node).and_then(|index| self.at(index));
        endpoint.map(Endpoint::targets).unwrap_or_default()
    }

    /// The endpoints that serve a target, usable or not.
    pub(crate) fn pool(&self, target: &BackEndTarget) -> &[PoolMember] {
        self.pools.get(target).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn endpoints_of(&self, target: &BackEndTarget) -> impl Iterator<Item = &Endpoint> {
        let pool = self.pool(target).iter();
        pool.filter_map(|member| self.at(member.index))
    }

    /// Slots that are not reserved for lookups, of all endpoints of a target that are reachable and
    /// not leaving.
    pub(crate) fn draft_slots(&self, target: &BackEndTarget) -> u32 {
        let endpoints = self.endpoints_of(target);
        let staying = endpoints.filter(|one| !one.description.is_leaving && !one.is_unreachable);
        staying.map(Endpoint::draft_slots).sum()
    }

    /// The earliest end of a hold-down among the endpoints of a target, `None` if none is held
    /// down.
    pub(crate) fn next_hold_down_end(
        &self,
        now: ClockMs,
        target: &BackEndTarget,
    ) -> Option<ClockMs> {
        let endpoints = self.endpoints_of(target);
        let staying = endpoints.filter(|endpoint| !endpoint.description.is_leaving);
        let ends = staying.map(|endpoint| endpoint.description.held_until);
        ends.filter(|end| *end > now).min()
    }
}
