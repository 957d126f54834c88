//! Cuts the document into pieces for those who fetch it, on a thread of its own: a document of 5 MB
//! takes the processor for longer than a call to the replica may wait.

use std::sync::Arc;
use std::time::Duration;

use masticsill_catalogue::{PackedPiece, PieceHash, PieceList, PieceStore};
use masticsill_runtime::ShutdownSignal;
use masticsill_types::log_event;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::events;
use crate::quorum::PublishedState;

/// Longest wait of a call for a version that is being cut.
const LIST_BOUND: Duration = Duration::from_millis(800);

/// The pieces of the last documents, as the calls of other processes see them. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct CutDocuments {
    book: Arc<watch::Sender<Arc<PieceStore>>>,
    /// The newest version that someone asked for.
    wanted: Arc<watch::Sender<Option<u64>>>,
}

impl Default for CutDocuments {
    fn default() -> Self {
        Self {
            book: Arc::new(watch::Sender::new(Arc::default())),
            wanted: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl CutDocuments {
    /// What the newest document consists of, at least version `version`; none when it is not here,
    /// or was not cut in time.
    pub(crate) async fn list(&self, version: u64) -> Option<PieceList> {
        self.wanted.send_if_modified(|wanted| {
            let is_newer = *wanted < Some(version);
            *wanted = (*wanted).max(Some(version));
            is_newer
        });
        let mut books = self.book.subscribe();
        let is_cut = books.wait_for(|book| book.version() >= Some(version));
        let book = Arc::clone(&*timeout(LIST_BOUND, is_cut).await.ok()?.ok()?);
        book.newest().map(|list| PieceList::clone(list))
    }

    /// Pieces of the last documents; those that are not kept are left out.
    pub(crate) fn pieces(&self, hashes: &[PieceHash]) -> Vec<(PieceHash, PackedPiece)> {
        let book = Arc::clone(&self.book.borrow());
        book.find(hashes)
    }
}

/// Cuts each document that someone asks for, until the replica ends.
pub(crate) async fn run_cutting(
    documents: CutDocuments,
    published: PublishedState,
    ended: ShutdownSignal,
) {
    tokio::select! {
        () = cut_wanted(documents, published) => {}
        () = ended.requested() => {}
    }
}

async fn cut_wanted(documents: CutDocuments, published: PublishedState) {
    let mut wanted = documents.wanted.subscribe();
    let mut versions = published.watch_document();
    let mut book = PieceStore::default();
    loop {
        let asked = *wanted.borrow_and_update();
        let applied = *versions.borrow_and_update();
        if book.version() < asked && asked <= applied {
            // The newest is cut, and versions between the two are left out.
            let document = published.document();
            let cut = document.map(|document| book.add(&document));
            if let Some(Err(error)) = cut {
                log_event!(error, events::DOCUMENT_UNCUT, cause = error);
            }
            documents.book.send_replace(Arc::new(book.clone()));
        }
        let changed = tokio::select! {
            changed = wanted.changed() => changed,
            changed = versions.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
