//! Splits the document into pieces for the processes that fetch it, on a separate thread: splitting
//! a document of 5 MB takes more CPU time than a call to the replica may wait.

use std::sync::Arc;
use std::time::Duration;

use masticsill_catalogue::{PackedPiece, PieceHash, PieceList, PieceStore};
use masticsill_runtime::ShutdownSignal;
use masticsill_types::log_event;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::events;
use crate::quorum::PublishedState;

/// Longest wait of a call for a version that is being split.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// The pieces of the latest documents, as served to other processes. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct DocumentPieces {
    store: Arc<watch::Sender<Arc<PieceStore>>>,
    /// The newest version that was requested.
    requested: Arc<watch::Sender<Option<u64>>>,
}

impl Default for DocumentPieces {
    fn default() -> Self {
        Self {
            store: Arc::new(watch::Sender::new(Arc::default())),
            requested: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl DocumentPieces {
    /// The pieces that make up the newest document, of version `version` or newer; `None` when this
    /// replica has no such document, or did not split it within the timeout.
    pub(crate) async fn list(&self, version: u64) -> Option<PieceList> {
        self.requested.send_if_modified(|requested| {
            let is_newer = *requested < Some(version);
            *requested = (*requested).max(Some(version));
            is_newer
        });
        let mut stores = self.store.subscribe();
        let is_available = stores.wait_for(|store| store.version() >= Some(version));
        let store = Arc::clone(&*timeout(LIST_TIMEOUT, is_available).await.ok()?.ok()?);
        store.newest().map(|list| PieceList::clone(list))
    }

    /// The pieces with these hashes; hashes that are not in the store are left out.
    pub(crate) fn pieces(&self, hashes: &[PieceHash]) -> Vec<(PieceHash, PackedPiece)> {
        let store = Arc::clone(&self.store.borrow());
        store.find(hashes)
    }
}

/// Splits each requested document, until the replica ends.
pub(crate) async fn run_splitting(
    documents: DocumentPieces,
    published: PublishedState,
    ended: ShutdownSignal,
) {
    tokio::select! {
        () = split_requested(documents, published) => {}
        () = ended.requested() => {}
    }
}

async fn split_requested(documents: DocumentPieces, published: PublishedState) {
    let mut requested = documents.requested.subscribe();
    let mut versions = published.watch_document();
    let mut store = PieceStore::default();
    loop {
        let requested_version = *requested.borrow_and_update();
        let applied = *versions.borrow_and_update();
        if store.version() < requested_version && requested_version <= applied {
            // Only the newest document is split; versions in between are skipped.
            let document = published.document();
            let result = document.map(|document| store.add(&document));
            if let Some(Err(error)) = result {
                log_event!(error, events::DOCUMENT_UNCUT, cause = error);
            }
            documents.store.send_replace(Arc::new(store.clone()));
        }
        let changed = tokio::select! {
            changed = requested.changed() => changed,
            changed = versions.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
