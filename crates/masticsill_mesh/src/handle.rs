//! How other duties use the mesh.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use masticsill_catalogue::{Catalogue, Freshness};
use masticsill_runtime::Ring;
use masticsill_types::{ClockMs, EndpointProfile, Incarnation};
use tokio::sync::watch;

use crate::view::{CatalogueView, MembershipView};

const COMMANDS: usize = 256;

/// What other duties ask of the mesh.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Announce(EndpointProfile),
    Leave,
}

/// Snapshots, swapped on change.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) catalogue: watch::Sender<Arc<CatalogueView>>,
    /// Raised when members or catalogue changed.
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) members: watch::Sender<Arc<MembershipView>>,
}

impl Published {
    pub(crate) fn new(started_at: ClockMs, lease_ms: u64) -> Self {
        let catalogue = CatalogueView {
            catalogue: Arc::new(Catalogue::default()),
            freshness: Freshness::new(started_at),
            lease_ms,
        };
        Self {
            catalogue: watch::Sender::new(Arc::new(catalogue)),
            changes: watch::Sender::new(1),
            members: watch::Sender::new(Arc::default()),
        }
    }

    pub(crate) fn wake(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}

/// How other duties use the mesh. Each clone waits for changes on its own.
#[derive(Debug)]
pub struct MeshHandle {
    commands: Ring<Command>,
    incarnation: Incarnation,
    published: Published,
    seen: AtomicU64,
}

impl Clone for MeshHandle {
    fn clone(&self) -> Self {
        Self::new(
            self.commands.clone(),
            self.incarnation,
            self.published.clone(),
        )
    }
}

impl MeshHandle {
    pub(crate) fn new(
        commands: Ring<Command>,
        incarnation: Incarnation,
        published: Published,
    ) -> Self {
        Self {
            commands,
            incarnation,
            published,
            seen: AtomicU64::new(0),
        }
    }

    pub(crate) fn command_ring() -> Ring<Command> {
        Ring::with_capacity(COMMANDS)
    }

    /// The members as seen now.
    #[must_use]
    pub fn view(&self) -> Arc<MembershipView> {
        Arc::clone(&self.published.members.borrow())
    }

    /// The node's copy of the catalogue.
    #[must_use]
    pub fn catalogue(&self) -> Arc<CatalogueView> {
        Arc::clone(&self.published.catalogue.borrow())
    }

    /// This node's life, as announced.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until members or catalogue changed after this clone's last wait; at first at once.
    ///
    /// Cancel safe: a change that no wait returned is returned by the next.
    pub async fn changed(&self) {
        let mut receiver = self.published.changes.subscribe();
        let seen = self.seen.load(Ordering::Acquire);
        if let Ok(changes) = receiver.wait_for(|changes| *changes != seen).await {
            self.seen.store(*changes, Ordering::Release);
        }
    }

    /// Announces the endpoint beside this node; only for agents.
    ///
    /// Returns whether the mesh took it; it does not once it is stopped.
    pub fn announce(&self, profile: EndpointProfile) -> bool {
        self.commands.push(Command::Announce(profile)).is_ok()
    }

    /// Announces that this node takes nothing new.
    pub fn leave(&self) {
        let _ = self.commands.push(Command::Leave);
    }

    /// Ends the mesh: it tells the others that this node has ended, then its duty returns.
    pub fn stop(&self) {
        self.commands.close();
    }
}
