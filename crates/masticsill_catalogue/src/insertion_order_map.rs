//! A map with insertion order, for owners that evict the oldest keys first.

use std::collections::VecDeque;
use std::hash::Hash;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A map that also records the order in which its keys were inserted.
///
/// The map itself is not bounded: its owner evicts keys with [`Self::pop_oldest`]. Two maps are
/// equal only if their keys were inserted in the same order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(bound(
    deserialize = "K: Deserialize<'de> + Eq + Hash, V: Deserialize<'de>",
    serialize = "K: Eq + Hash + Serialize, V: Serialize"
))]
pub(crate) struct InsertionOrderMap<K: Eq + Hash, V> {
    order: VecDeque<K>,
    values: IndexMap<K, V>,
}

impl<K: Eq + Hash, V> Default for InsertionOrderMap<K, V> {
    fn default() -> Self {
        Self {
            order: VecDeque::new(),
            values: IndexMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, V> InsertionOrderMap<K, V> {
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.values.get_mut(key)
    }

    pub(crate) fn contains(&self, key: &K) -> bool {
        self.values.contains_key(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    /// Inserts a key that the map must not contain yet.
    pub(crate) fn push(&mut self, key: K, value: V) {
        self.order.push_back(key.clone());
        self.values.insert(key, value);
    }

    pub(crate) fn oldest(&self) -> Option<(&K, &V)> {
        let key = self.order.front()?;
        Some((key, self.values.get(key)?))
    }

    pub(crate) fn pop_oldest(&mut self) -> Option<(K, V)> {
        let key = self.order.pop_front()?;
        let value = self.values.swap_remove(&key)?;
        Some((key, value))
    }
}
