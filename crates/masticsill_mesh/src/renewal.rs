//! Keeps the node's copy of the catalogue current.

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

/// Time for which a failed source is tried only after all others.
const SOURCE_AVOIDANCE_MS: u64 = 3_000;
/// Maximum number of sources tried in one renewal.
const MAX_SOURCES_PER_ROUND: usize = 4;

/// The state of the task that renews the copy of the catalogue.
#[derive(Debug)]
pub(crate) struct Renewal {
    /// The time until which each failed source is tried only after all others.
    avoided_until: IndexMap<SocketAddr, ClockMs>,
    client: Option<(SocketAddr, NodeServiceClient)>,
    is_fresh: bool,
    is_tree: bool,
}

impl Renewal {
    pub(crate) fn new() -> Self {
        Self {
            avoided_until: IndexMap::new(),
            client: None,
            is_fresh: false,
            is_tree: false,
        }
    }

    /// Renews the copy once per period for as long as the mesh runs.
    pub(crate) async fn run(mut self, node: Rc<Node>) {
        loop {
            self.renew_once(&node).await;
            self.record_freshness(&node);
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
        self.avoided_until.retain(|_, until| *until > now);
        let view = node.published.members.borrow().clone();
        let sources = {
            let mut rng = rand::rng();
            list_renewal_sources(&view, &node.config.node, &node.config.seeds, &mut rng)
        };
        self.is_tree = sources.is_tree;
        let mut sources = sources.addresses;
        sources.retain(|address| *address != node.config.address);
        sources.sort_by_key(|address| self.avoided_until.contains_key(address));
        for address in sources.into_iter().take(MAX_SOURCES_PER_ROUND) {
            if self.renew_from(node, address).await {
                return;
            }
            let until = node.clock.now() + SOURCE_AVOIDANCE_MS;
            self.avoided_until.insert(address, until);
        }
    }

    /// Renews the copy from one source. Returns whether the copy is fresh enough afterwards.
    async fn renew_from(&mut self, node: &Node, address: SocketAddr) -> bool {
        let timeout_ms = node.config.renewal.timeout_ms;
        let Some(client) = self.connect_to(address, timeout_ms).await else {
            return false;
        };
        let have = node.follower.borrow().version();
        let sent_at = node.clock.now();
        let call = client.renew(call_context(timeout_ms), RenewRequest { have });
        let answer = timeout(Duration::from_millis(timeout_ms), call).await;
        let Ok(Ok(reply)) = answer else {
            self.client = None;
            return false;
        };
        apply_reply(node, sent_at, reply)
    }

    async fn connect_to(
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

    fn record_freshness(&mut self, node: &Node) {
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
            node.published.notify_changed();
        }
        self.is_fresh = is_fresh;
    }
}

/// Renews the copy of a control replica from the state of that replica. Returns whether the copy is
/// fresh enough afterwards.
fn renew_from_quorum(node: &Node) -> bool {
    let Some(source) = &node.source else {
        return false;
    };
    let sent_at = node.clock.now();
    let have = node.follower.borrow().version();
    let reply = source.answer(RenewRequest { have });
    apply_reply(node, sent_at, reply)
}

/// Applies a reply. The version of the copy never decreases. The age of the proof counts from
/// `sent_at`, the time at which the request was sent.
///
/// Returns whether the proof is younger than three quarters of the lease. Otherwise the next source
/// is tried, because a source that is partitioned itself still answers, with an outdated proof.
fn apply_reply(node: &Node, sent_at: ClockMs, reply: RenewReply) -> bool {
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
        node.published.notify_changed();
    }
}

/// Answers the renewal of a peer from the state of the control replica on this node if that has a
/// proof, otherwise from the copy of the catalogue.
pub(crate) fn answer_renewal(node: &Node, request: RenewRequest) -> RenewReply {
    let follower = node.follower.borrow();
    let reply_from_copy = || RenewReply {
        age_ms: follower.age_ms(node.clock.now()),
        update: follower.catalogue().update_since(request.have),
        version: follower.version(),
    };
    let Some(source) = &node.source else {
        return reply_from_copy();
    };
    let reply_from_quorum = source.answer(request);
    if reply_from_quorum.age_ms.is_some() {
        reply_from_quorum
    } else {
        reply_from_copy()
    }
}
