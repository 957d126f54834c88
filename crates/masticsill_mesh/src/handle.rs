//! The handle through which other duties use the mesh.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use masticsill_catalogue::{Catalogue, Freshness};
use masticsill_runtime::Ring;
use masticsill_types::{ClockMs, EndpointProfile, Incarnation};
use tokio::sync::watch;

use crate::view::{CatalogueView, MembershipView};

const COMMAND_RING_CAPACITY: usize = 256;

/// Commands of other duties to the mesh.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Announce(EndpointProfile),
    Leave,
}

/// Published snapshots, which are replaced on change.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) catalogue: watch::Sender<Arc<CatalogueView>>,
    /// A counter that is incremented when the members or the catalogue changed.
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

    pub(crate) fn notify_changed(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}

/// The handle through which other duties use the mesh. Each clone tracks independently which
/// changes it has seen.
#[derive(Debug)]
pub struct MeshHandle {
    commands: Ring<Command>,
    incarnation: Incarnation,
    published: Published,
    seen_changes: AtomicU64,
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
            seen_changes: AtomicU64::new(0),
        }
    }

    pub(crate) fn command_ring() -> Ring<Command> {
        Ring::with_capacity(COMMAND_RING_CAPACITY)
    }

    /// Returns the current members.
    #[must_use]
    pub fn view(&self) -> Arc<MembershipView> {
        Arc::clone(&self.published.members.borrow())
    }

    /// Returns the node's copy of the catalogue.
    #[must_use]
    pub fn catalogue(&self) -> Arc<CatalogueView> {
        Arc::clone(&self.published.catalogue.borrow())
    }

    /// Returns the incarnation that this node announces.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until the members or the catalogue have changed since the last wait of this clone.
    /// The first wait returns at once.
    ///
    /// Cancel safe: after a cancelled wait, the next one returns for the same change.
    pub async fn changed(&self) {
        let mut receiver = self.published.changes.subscribe();
        let seen_changes = self.seen_changes.load(Ordering::Acquire);
        if let Ok(changes) = receiver.wait_for(|changes| *changes != seen_changes).await {
            self.seen_changes.store(*changes, Ordering::Release);
        }
    }

    /// Announces the profile of the endpoint that this node serves. For agents only.
    ///
    /// Returns whether the mesh accepted the command, which it does not once it is stopped.
    pub fn announce(&self, profile: EndpointProfile) -> bool {
        self.commands.push(Command::Announce(profile)).is_ok()
    }

    /// Announces that this node accepts no new work.
    pub fn leave(&self) {
        let _ = self.commands.push(Command::Leave);
    }

    /// Stops the mesh: it announces to its peers that this node has stopped, then its duty returns.
    pub fn stop(&self) {
        self.commands.close();
    }
}
