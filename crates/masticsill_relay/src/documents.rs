//! Fetches and reads documents on a thread of its own, so that streams never wait for either.
//!
//! One version at a time is fetched, piece by piece, and read; versions that were superseded before
//! they were begun are skipped. What was read goes to the relay's thread through a ring.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indexmap::IndexSet;
use masticsill_catalogue::{
    DocumentSources, FetchPacer, JoinedDocument, PackedPiece, PieceFetch, PieceHash, PieceList,
    RouteIndex,
};
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_runtime::{Ring, RingFull, ShutdownSignal};
use masticsill_types::{ClockMs, MonotonicClock, log_event};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::config::DocumentReader;
use crate::events;

/// Documents that were read and wait for the relay's thread; the oldest gives way to a new one.
pub(crate) const READ_RING_ITEMS: usize = 2;
/// Longest wait for an answer. Of 32 KB this bears a link of 0.3 Mbit/s; after a silence less is
/// asked for.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Pause after no replica could be asked, or none had what was asked for.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A document that is ready to come into force.
#[derive(Debug)]
pub(crate) struct ReadDocument {
    pub(crate) fetch_ms: u64,
    pub(crate) fetched_bytes: u64,
    pub(crate) fetched_pieces: usize,
    pub(crate) from: SocketAddr,
    pub(crate) index: RouteIndex,
    pub(crate) read_ms: u64,
    pub(crate) reused_pieces: usize,
}

/// What the duty is built from.
#[derive(Debug)]
pub(crate) struct DocumentParts {
    pub(crate) clock: MonotonicClock,
    /// Told when the relay's thread has ended; one that drains still takes new documents.
    pub(crate) ended: ShutdownSignal,
    /// Whether requests are being answered, to which the link is left in part.
    pub(crate) is_relaying: Arc<AtomicBool>,
    pub(crate) read: Ring<ReadDocument>,
    pub(crate) reader: DocumentReader,
    pub(crate) sources: watch::Receiver<DocumentSources>,
}

/// Fetches and reads every document that becomes known, until the relay ends.
pub(crate) async fn run_documents(parts: DocumentParts) {
    let ended = parts.ended.clone();
    let mut duty = DocumentDuty {
        client: ControlClient::new(AddressBook::default()),
        fetch: PieceFetch::default(),
        pace: FetchPacer::default(),
        parts,
        read: None,
        slow: IndexSet::new(),
        turn: rand::random::<u16>().into(),
    };
    tokio::select! {
        () = duty.run() => {}
        () = ended.requested() => {}
    }
}

/// The bytes of a document, from where they were listed, and when their fetch began.
struct Fetched {
    began: ClockMs,
    document: JoinedDocument,
    from: SocketAddr,
}

/// Pieces that a replica gave.
type Pieces = Vec<(PieceHash, PackedPiece)>;

/// What became of a call for pieces.
struct Answer {
    /// Whether another replica was asked because the first was late, and its answer came first.
    is_late: bool,
    pieces: Option<Pieces>,
}

struct DocumentDuty {
    /// Its own connections: pieces don't hold up news of endpoints.
    client: ControlClient,
    fetch: PieceFetch,
    pace: FetchPacer,
    parts: DocumentParts,
    /// The last version that was read.
    read: Option<u64>,
    /// Replicas that were late with pieces of the version that is being fetched.
    slow: IndexSet<SocketAddr>,
    /// Shares the work of equal replicas among relays.
    turn: usize,
}

impl DocumentDuty {
    async fn run(&mut self) {
        loop {
            let read = self.read;
            let is_newer = |sources: &DocumentSources| sources.newest() > read;
            if self.parts.sources.wait_for(is_newer).await.is_err() {
                return;
            }
            match self.fetch().await {
                Some(fetched) => self.read(fetched),
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Fetches the newest version; none when it can't be had at the moment.
    async fn fetch(&mut self) -> Option<Fetched> {
        let began = self.parts.clock.now();
        let (list, from) = self.list().await?;
        if Some(list.version) <= self.read {
            return None;
        }
        self.fetch.begin(list);
        self.slow.clear();
        while let Some(version) = self.fetch.version() {
            match self.fetch.join() {
                Ok(Some(document)) => {
                    return Some(Fetched {
                        began,
                        document,
                        from,
                    });
                }
                Ok(None) => {
                    if !self.fetch_some().await {
                        // What came is kept for the next version.
                        self.fetch.abandon();
                    }
                }
                Err(cause) => {
                    log_event!(
                        error,
                        events::PIECE_DAMAGED,
                        version = version,
                        cause = cause
                    );
                }
            }
        }
        None
    }

    /// Asks what the newest version consists of: one replica, and the next as well once the answer is
    /// late. A list is small; a replica that cuts a large document first needs some time for it.
    async fn list(&self) -> Option<(PieceList, SocketAddr)> {
        let late = Duration::from_millis(self.pace.late_ms() * 2);
        let mut passed_over = IndexSet::new();
        let mut calls = FuturesUnordered::new();
        loop {
            match self.lister(&passed_over) {
                Some((version, address)) => {
                    passed_over.insert(address);
                    calls.push(self.ask_list(address, version));
                }
                None if calls.is_empty() => return None,
                None => {}
            }
            if let Ok(Some(Some(listed))) = timeout(late, calls.next()).await {
                return Some(listed);
            }
        }
    }

    fn lister(&self, passed_over: &IndexSet<SocketAddr>) -> Option<(u64, SocketAddr)> {
        let sources = self.parts.sources.borrow();
        let now = self.parts.clock.now();
        let address = sources.choose_list_source(now, self.turn, passed_over)?;
        Some((sources.newest()?, address))
    }

    async fn ask_list(&self, address: SocketAddr, version: u64) -> Option<(PieceList, SocketAddr)> {
        let client = &self.client;
        let asked = client.document_pieces(address, version, CALL_TIMEOUT_MS);
        Some((asked.await?, address))
    }

    /// Fetches the next pieces, from one replica after the other; false when none has them.
    async fn fetch_some(&mut self) -> bool {
        let mut passed_over = self.slow.clone();
        loop {
            let Some(address) = self.holder(&passed_over) else {
                if self.slow.is_empty() {
                    return false;
                }
                self.slow.clear();
                passed_over.clear();
                continue;
            };
            let wanted = self.fetch.next(self.pace.call_bytes());
            let began = self.parts.clock.now();
            let answer = self.ask(address, &wanted).await;
            let took_ms = self.parts.clock.now().since(began);
            let has_taken = self.take(answer.pieces);
            if answer.is_late {
                self.slow.insert(address);
            }
            if has_taken {
                let is_relaying = self.parts.is_relaying.load(Ordering::Relaxed);
                let pause_ms = self.pace.pause_ms(took_ms, is_relaying);
                sleep(Duration::from_millis(pause_ms)).await;
                return true;
            }
            passed_over.insert(address);
        }
    }

    fn holder(&self, passed_over: &IndexSet<SocketAddr>) -> Option<SocketAddr> {
        let version = self.fetch.version()?;
        let sources = self.parts.sources.borrow();
        sources.choose_piece_source(version, self.turn, passed_over)
    }

    /// Asks a replica, and another one for the first piece alone when the answer is late.
    async fn ask(&mut self, address: SocketAddr, wanted: &[PieceHash]) -> Answer {
        let began = self.parts.clock.now();
        let client = self.client.clone();
        let asked = client.find_pieces(address, wanted, CALL_TIMEOUT_MS);
        tokio::pin!(asked);
        let late = sleep(Duration::from_millis(self.pace.late_ms()));
        let answer = tokio::select! {
            pieces = &mut asked => Answer { is_late: false, pieces },
            () = late => {
                let mut passed_over = self.slow.clone();
                passed_over.insert(address);
                match self.holder(&passed_over) {
                    Some(other) => {
                        let hedge = client.find_pieces(other, &wanted[..1], CALL_TIMEOUT_MS);
                        first_answer(asked, hedge).await
                    }
                    None => Answer { is_late: false, pieces: asked.await },
                }
            }
        };
        match &answer.pieces {
            Some(_) => self.pace.record_answer(self.parts.clock.now().since(began)),
            None => self.pace.record_timeout(),
        }
        answer
    }

    /// Takes what came; whether something was missing of it.
    fn take(&mut self, pieces: Option<Pieces>) -> bool {
        let mut has_taken = false;
        for (hash, piece) in pieces.into_iter().flatten() {
            match self.fetch.accept_piece(hash, &piece) {
                Ok(is_missing) => has_taken |= is_missing,
                Err(cause) => log_event!(
                    error,
                    events::PIECE_DAMAGED,
                    version = self.fetch.version().unwrap_or_default(),
                    cause = cause
                ),
            }
        }
        has_taken
    }

    /// Reads a document, and hands it to the relay's thread.
    fn read(&mut self, fetched: Fetched) {
        let Fetched {
            began,
            document,
            from,
        } = fetched;
        self.read = Some(document.version);
        let fetched_at = self.parts.clock.now();
        let index = match (self.parts.reader)(&document.bytes) {
            Ok(read) => RouteIndex::new(read),
            Err(cause) => {
                log_event!(
                    error,
                    events::DOCUMENT_UNREADABLE,
                    version = document.version,
                    from = from,
                    cause = cause
                );
                return;
            }
        };
        self.hand_over(ReadDocument {
            fetch_ms: fetched_at.since(began),
            fetched_bytes: document.fetched_bytes,
            fetched_pieces: document.fetched_pieces,
            from,
            index,
            read_ms: self.parts.clock.now().since(fetched_at),
            reused_pieces: document.reused_pieces,
        });
    }

    fn hand_over(&self, document: ReadDocument) {
        let mut next = document;
        while let Err(RingFull(document)) = self.parts.read.push(next) {
            if self.parts.read.is_closed() {
                return;
            }
            // The relay's thread has not come to the older one, which is superseded.
            drop(self.parts.read.try_pop());
            next = document;
        }
    }
}

/// The first of two calls that is answered with pieces; none when neither is.
async fn first_answer(
    asked: impl Future<Output = Option<Pieces>>,
    hedge: impl Future<Output = Option<Pieces>>,
) -> Answer {
    let has_some = |pieces: &Option<Pieces>| pieces.as_ref().is_some_and(|it| !it.is_empty());
    tokio::pin!(asked, hedge);
    let (pieces, is_late) = tokio::select! {
        pieces = &mut asked => if has_some(&pieces) { (pieces, false) } else { (hedge.await, true) },
        pieces = &mut hedge => if has_some(&pieces) { (pieces, true) } else { (asked.await, false) },
    };
    Answer { is_late, pieces }
}
