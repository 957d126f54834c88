//! Keeping the node's copy of the catalogue current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_catalogue::{ApplyOutcome, Follower};
use masticsill_runtime::call_context;
use masticsill_types::{ClockMs, log_event};
use masticsill_wire::control::{RenewReply, RenewRequest};
use masticsill_wire::node::NodeServiceClient;
use tokio::time::{sleep, timeout};

use crate::events;
use crate::node::Node;
use crate::peers::connect;
use crate::sources::list_renewal_sources;
use crate::view::CatalogueView;

/// How long a source that failed is asked last.
const AVOIDED_MS: u64 = 3_000;
/// Sources tried in one round.
const TRIES: usize = 4;

/// The copy and who renews it.
#[derive(Debug)]
pub(crate) struct Renewal {
    /// Until when a source that failed is asked last.
    avoided: IndexMap<SocketAddr, ClockMs>,
    client: Option<(SocketAddr, NodeServiceClient)>,
    is_fresh: bool,
    is_tree: bool,
}

impl Renewal {
    pub(crate) fn new() -> Self {
        Self {
            avoided: IndexMap::new(),
            client: None,
            is_fresh: false,
            is_tree: false,
        }
    }

    /// Renews the copy once in each period, for as long as the mesh runs.
    pub(crate) async fn run(mut self, node: Rc<Node>) {
        loop {
            self.renew_once(&node).await;
            self.note_freshness(&node);
            let periods = &node.config.renewal;
            let period_ms = if self.is_tree {
                periods.tree_renew_ms
            } else {
                periods.renew_ms
            };
            sleep(Duration::from_millis(period_ms)).await;
        }
    }

    async fn renew_once(&mut self, node: &Node) {
        if renew_from_quorum(node) {
            return;
        }
        let now = node.clock.now();
        self.avoided.retain(|_, until| *until > now);
        let view = node.published.members.borrow().clone();
        let sources = {
            let mut rng = rand::rng();
            list_renewal_sources(&view, &node.config.node, &node.config.seeds, &mut rng)
        };
        self.is_tree = sources.is_tree;
        let mut sources = sources.addresses;
        sources.retain(|address| *address != node.config.address);
        sources.sort_by_key(|address| self.avoided.contains_key(address));
        for address in sources.into_iter().take(TRIES) {
            if self.renew_from(node, address).await {
                return;
            }
            let until = node.clock.now() + AVOIDED_MS;
            self.avoided.insert(address, until);
        }
    }

    /// Asks one source. Returns whether that was enough.
    async fn renew_from(&mut self, node: &Node, address: SocketAddr) -> bool {
        let timeout_ms = node.config.renewal.timeout_ms;
        let Some(client) = self.client_of(address, timeout_ms).await else {
            return false;
        };
        let have = node.follower.borrow().version();
        let sent_at = node.clock.now();
        let asking = client.renew(call_context(timeout_ms), RenewRequest { have });
        let answer = timeout(Duration::from_millis(timeout_ms), asking).await;
        let Ok(Ok(reply)) = answer else {
            self.client = None;
            return false;
        };
        take_reply(node, sent_at, reply)
    }

    async fn client_of(
        &mut self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Option<NodeServiceClient> {
        if let Some((known, client)) = &self.client
            && *known == address
        {
            return Some(client.clone());
        }
        let client = connect(address, timeout_ms).await.ok()?;
        self.client = Some((address, client.clone()));
        Some(client)
    }

    fn note_freshness(&mut self, node: &Node) {
        let lease_ms = node.config.renewal.lease_ms;
        let is_fresh = node.follower.borrow().is_fresh(node.clock.now(), lease_ms);
        match (self.is_fresh, is_fresh) {
            (true, false) => log_event!(warn, events::CATALOGUE_STALE, lease_ms = lease_ms),
            (false, true) => {
                let version = node.follower.borrow().version();
                log_event!(info, events::CATALOGUE_FRESH, version = version);
            }
            (true, true) | (false, false) => {}
        }
        if self.is_fresh != is_fresh {
            node.published.wake();
        }
        self.is_fresh = is_fresh;
    }
}

/// Renews a control replica's copy from its own state. Returns whether that was enough.
fn renew_from_quorum(node: &Node) -> bool {
    let Some(source) = &node.source else {
        return false;
    };
    let sent_at = node.clock.now();
    let have = node.follower.borrow().version();
    let reply = source.answer(RenewRequest { have });
    take_reply(node, sent_at, reply)
}

/// Takes an answer in: the copy's version never goes down, and the proof counts from `sent_at`.
///
/// Returns whether the copy is fresh enough to leave it at that: a source that was cut off itself
/// still answers, with a proof that grows old.
fn take_reply(node: &Node, sent_at: ClockMs, reply: RenewReply) -> bool {
    let mut follower = node.follower.borrow_mut();
    let applied = reply.update.map(|update| follower.apply(update));
    let is_changed = applied == Some(ApplyOutcome::Changed);
    let is_proven = reply
        .age_ms
        .is_some_and(|age_ms| follower.renew_by_age(reply.version, sent_at, age_ms));
    if is_changed || is_proven {
        publish(node, &follower, is_changed);
    }
    if is_changed {
        log_event!(
            info,
            events::CATALOGUE_CHANGED,
            version = follower.version()
        );
    }
    let age_ms = follower.age_ms(node.clock.now());
    age_ms.is_some_and(|age_ms| age_ms < node.config.renewal.lease_ms / 4 * 3)
}

fn publish(node: &Node, follower: &Follower, is_changed: bool) {
    node.published.catalogue.send_modify(|view| {
        let catalogue = if is_changed {
            Arc::new(follower.catalogue().clone())
        } else {
            Arc::clone(&view.catalogue)
        };
        *view = Arc::new(CatalogueView {
            catalogue,
            freshness: follower.freshness(),
            lease_ms: view.lease_ms,
        });
    });
    if is_changed {
        node.published.wake();
    }
}

/// Answers a peer's renewal from the quorum's state, or from the copy when that proves more.
pub(crate) fn answer_renewal(node: &Node, request: RenewRequest) -> RenewReply {
    let follower = node.follower.borrow();
    let from_copy = || RenewReply {
        age_ms: follower.age_ms(node.clock.now()),
        update: follower.catalogue().update_since(request.have),
        version: follower.version(),
    };
    let Some(source) = &node.source else {
        return from_copy();
    };
    let from_quorum = source.answer(request);
    if from_quorum.age_ms.is_some() {
        from_quorum
    } else {
        from_copy()
    }
}
