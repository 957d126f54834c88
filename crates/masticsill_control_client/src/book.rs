//! Where control replicas can be reached.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use masticsill_types::NodeId;

#[derive(Debug, Default)]
struct Addresses {
    /// Named by operators when they admitted a replica.
    admitted: IndexMap<NodeId, SocketAddr>,
    /// From the settings.
    configured: IndexMap<NodeId, SocketAddr>,
    /// Told by the replicas themselves.
    learned: IndexMap<NodeId, SocketAddr>,
    /// From the settings, without a name.
    seeds: Vec<SocketAddr>,
}

/// Addresses of control replicas. Clones share one book.
///
/// What an operator named goes before the settings, and those go before what was learned.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    addresses: Arc<Mutex<Addresses>>,
}

impl AddressBook {
    /// A book of addresses whose nodes are not known.
    #[must_use]
    pub fn from_seeds(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let book = Self::default();
        book.lock().seeds.extend(seeds);
        book
    }

    /// A book of nodes from the settings.
    #[must_use]
    pub fn from_settings(configured: IndexMap<NodeId, SocketAddr>) -> Self {
        let book = Self::default();
        book.lock().configured = configured;
        book
    }

    /// Adds addresses whose nodes are not known.
    pub fn add_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let mut addresses = self.lock();
        for seed in seeds {
            if !addresses.seeds.contains(&seed) {
                addresses.seeds.push(seed);
            }
        }
    }

    /// A node's address.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<SocketAddr> {
        let addresses = self.lock();
        let sources = [
            &addresses.admitted,
            &addresses.configured,
            &addresses.learned,
        ];
        sources
            .into_iter()
            .find_map(|known| known.get(node))
            .copied()
    }

    /// Every node whose address is known.
    #[must_use]
    pub fn named(&self) -> Vec<(NodeId, SocketAddr)> {
        let nodes = {
            let addresses = self.lock();
            let named = addresses.configured.keys();
            let named = named.chain(addresses.admitted.keys());
            let named = named.chain(addresses.learned.keys());
            named.cloned().collect::<IndexSet<NodeId>>()
        };
        let named = nodes.into_iter();
        named
            .filter_map(|node| self.get(&node).map(|address| (node, address)))
            .collect()
    }

    /// Every address, each once.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        let named = self.named().into_iter().map(|(_, address)| address);
        let seeds = self.lock().seeds.clone();
        let all: IndexSet<SocketAddr> = named.chain(seeds).collect();
        all.into_iter().collect()
    }

    /// Notes what a node told of itself.
    pub fn record_announced(&self, node: NodeId, address: SocketAddr) {
        self.lock().learned.insert(node, address);
    }

    /// Replaces what operators named.
    pub fn set_admitted(&self, admitted: &IndexMap<NodeId, SocketAddr>) {
        self.lock().admitted.clone_from(admitted);
    }

    fn lock(&self) -> MutexGuard<'_, Addresses> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
