//! Addresses of the control replicas.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use masticsill_types::NodeId;

#[derive(Debug, Default)]
struct Addresses {
    /// Given by operators when they admitted a replica.
    admitted: IndexMap<NodeId, SocketAddr>,
    /// From the settings, by node.
    configured: IndexMap<NodeId, SocketAddr>,
    /// Port of the nodes whose names are IP addresses.
    ip_name_port: Option<u16>,
    /// Announced by the replicas themselves.
    learned: IndexMap<NodeId, SocketAddr>,
    /// Addresses whose nodes are unknown, from the settings or added later.
    seeds: Vec<SocketAddr>,
}

/// Addresses of control replicas. Clones share one book.
///
/// For one node, an address given by an operator takes precedence over the settings, the settings over
/// an announced address, and that over one derived from the node's name.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    addresses: Arc<Mutex<Addresses>>,
}

impl AddressBook {
    /// Creates a book of addresses whose nodes are unknown.
    #[must_use]
    pub fn from_seeds(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let book = Self::default();
        book.lock().seeds.extend(seeds);
        book
    }

    /// Creates a book of nodes and their addresses from the settings.
    #[must_use]
    pub fn from_settings(configured: IndexMap<NodeId, SocketAddr>) -> Self {
        let book = Self::default();
        book.lock().configured = configured;
        book
    }

    /// Adds addresses whose nodes are unknown.
    pub fn add_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let mut addresses = self.lock();
        for seed in seeds {
            if !addresses.seeds.contains(&seed) {
                addresses.seeds.push(seed);
            }
        }
    }

    /// Derives the addresses of nodes whose names are IP addresses; all are reached at one port.
    ///
    /// A replica knows the names of the other voters from its disk. If their addresses could only be
    /// learned at the seeds, replicas that all restart while the seeds are lost would not find each
    /// other.
    pub fn derive_from_ip_names(&self, port: u16) {
        self.lock().ip_name_port = Some(port);
    }

    /// The address of a node, if known.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<SocketAddr> {
        let addresses = self.lock();
        let sources = [
            &addresses.admitted,
            &addresses.configured,
            &addresses.learned,
        ];
        let known = sources.into_iter().find_map(|known| known.get(node));
        known.copied().or_else(|| {
            let ip: IpAddr = node.as_str().parse().ok()?;
            Some(SocketAddr::new(ip, addresses.ip_name_port?))
        })
    }

    /// Every node with a known address, and that address.
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

    /// Every address, with or without a known node, without duplicates.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        let named = self.named().into_iter().map(|(_, address)| address);
        let seeds = self.lock().seeds.clone();
        let all: IndexSet<SocketAddr> = named.chain(seeds).collect();
        all.into_iter().collect()
    }

    /// Records the address that a node announced.
    pub fn record_announced(&self, node: NodeId, address: SocketAddr) {
        self.lock().learned.insert(node, address);
    }

    /// Replaces the addresses given by operators.
    pub fn set_admitted(&self, admitted: &IndexMap<NodeId, SocketAddr>) {
        self.lock().admitted.clone_from(admitted);
    }

    fn lock(&self) -> MutexGuard<'_, Addresses> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
