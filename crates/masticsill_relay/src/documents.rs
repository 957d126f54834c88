//! Fetches and parses documents on a separate thread, so that neither delays streams.
//!
//! One version at a time is fetched piece by piece and parsed. Versions superseded before their
//! fetch begins are skipped. Parsed documents go to the relay's thread through a ring.

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

/// Maximum number of parsed documents that wait for the relay's thread; a new one displaces the
/// oldest.
pub(crate) const PARSED_RING_ITEMS: usize = 2;
/// Timeout of a call, in milliseconds: a reply of 32 KB arrives within it over a link of 0.3
/// Mbit/s. After a timeout less is requested.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Pause when no replica could be asked, or none had what was requested.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A parsed document that is ready to become active.
#[derive(Debug)]
pub(crate) struct ParsedDocument {
    pub(crate) fetch_ms: u64,
    pub(crate) fetched_bytes: u64,
    pub(crate) fetched_pieces: usize,
    pub(crate) from: SocketAddr,
    pub(crate) index: RouteIndex,
    pub(crate) read_ms: u64,
    pub(crate) reused_pieces: usize,
}

/// Inputs of the duty that fetches documents.
#[derive(Debug)]
pub(crate) struct DocumentParts {
    pub(crate) clock: MonotonicClock,
    /// Signalled when the relay's thread has ended; a relay that drains still activates new
    /// documents.
    pub(crate) ended: ShutdownSignal,
    /// Whether requests are being answered, for which part of the link's bandwidth is left free.
    pub(crate) is_relaying: Arc<AtomicBool>,
    pub(crate) parsed: Ring<ParsedDocument>,
    pub(crate) reader: DocumentReader,
    pub(crate) sources: watch::Receiver<DocumentSources>,
}

/// Fetches and parses every document that becomes known, until the relay ends.
pub(crate) async fn run_documents(parts: DocumentParts) {
    let ended = parts.ended.clone();
    let mut duty = DocumentDuty {
        client: ControlClient::new(AddressBook::default()),
        fetch: PieceFetch::default(),
        pace: FetchPacer::default(),
        parts,
        parsed_version: None,
        slow_replicas: IndexSet::new(),
        rotation: rand::random::<u16>().into(),
    };
    tokio::select! {
        () = duty.run() => {}
        () = ended.requested() => {}
    }
}

/// A fetched document, the replica that listed its pieces, and when the fetch began.
struct Fetched {
    began: ClockMs,
    document: JoinedDocument,
    from: SocketAddr,
}

/// Pieces returned by a replica.
type Pieces = Vec<(PieceHash, PackedPiece)>;

/// Outcome of a call for pieces.
struct PiecesReply {
    /// Whether the first replica was late, and another one that was asked as well answered first.
    is_late: bool,
    pieces: Option<Pieces>,
}

struct DocumentDuty {
    /// Client with its own connections, so that pieces do not delay endpoint updates.
    client: ControlClient,
    fetch: PieceFetch,
    pace: FetchPacer,
    parts: DocumentParts,
    /// The last version that was parsed.
    parsed_version: Option<u64>,
    /// Replicas that were late with pieces of the version being fetched.
    slow_replicas: IndexSet<SocketAddr>,
    /// Random offset that spreads the load of equally suitable replicas among relays.
    rotation: usize,
}

impl DocumentDuty {
    async fn run(&mut self) {
        loop {
            let parsed_version = self.parsed_version;
            let is_newer = |sources: &DocumentSources| sources.newest() > parsed_version;
            if self.parts.sources.wait_for(is_newer).await.is_err() {
                return;
            }
            match self.fetch().await {
                Some(fetched) => self.parse(fetched),
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Fetches the newest version; `None` if it is not available at the moment.
    async fn fetch(&mut self) -> Option<Fetched> {
        let began = self.parts.clock.now();
        let (list, from) = self.list().await?;
        if Some(list.version) <= self.parsed_version {
            return None;
        }
        self.fetch.begin(list);
        self.slow_replicas.clear();
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
                    if !self.fetch_next().await {
                        // The pieces received so far are kept for the next version.
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

    /// Requests the piece list of the newest version from one replica, and from a further one each
    /// time the reply is late. A list is small, but a replica that first has to cut a large
    /// document needs some time.
    async fn list(&self) -> Option<(PieceList, SocketAddr)> {
        let late = Duration::from_millis(self.pace.late_ms() * 2);
        let mut skipped = IndexSet::new();
        let mut calls = FuturesUnordered::new();
        loop {
            match self.choose_list_source(&skipped) {
                Some((version, address)) => {
                    skipped.insert(address);
                    calls.push(self.request_list(address, version));
                }
                None if calls.is_empty() => return None,
                None => {}
            }
            if let Ok(Some(Some(listed))) = timeout(late, calls.next()).await {
                return Some(listed);
            }
        }
    }

    fn choose_list_source(&self, skipped: &IndexSet<SocketAddr>) -> Option<(u64, SocketAddr)> {
        let sources = self.parts.sources.borrow();
        let now = self.parts.clock.now();
        let address = sources.choose_list_source(now, self.rotation, skipped)?;
        Some((sources.newest()?, address))
    }

    async fn request_list(
        &self,
        address: SocketAddr,
        version: u64,
    ) -> Option<(PieceList, SocketAddr)> {
        let client = &self.client;
        let primary = client.document_pieces(address, version, CALL_TIMEOUT_MS);
        Some((primary.await?, address))
    }

    /// Fetches the next pieces, trying one replica after the other; false if none has them.
    async fn fetch_next(&mut self) -> bool {
        let mut skipped = self.slow_replicas.clone();
        loop {
            let Some(address) = self.choose_piece_source(&skipped) else {
                if self.slow_replicas.is_empty() {
                    return false;
                }
                self.slow_replicas.clear();
                skipped.clear();
                continue;
            };
            let wanted = self.fetch.next(self.pace.call_bytes());
            let began = self.parts.clock.now();
            let reply = self.request_pieces(address, &wanted).await;
            let took_ms = self.parts.clock.now().since(began);
            let has_progress = self.store_pieces(reply.pieces);
            if reply.is_late {
                self.slow_replicas.insert(address);
            }
            if has_progress {
                let is_relaying = self.parts.is_relaying.load(Ordering::Relaxed);
                let pause_ms = self.pace.pause_ms(took_ms, is_relaying);
                sleep(Duration::from_millis(pause_ms)).await;
                return true;
            }
            skipped.insert(address);
        }
    }

    fn choose_piece_source(&self, skipped: &IndexSet<SocketAddr>) -> Option<SocketAddr> {
        let version = self.fetch.version()?;
        let sources = self.parts.sources.borrow();
        sources.choose_piece_source(version, self.rotation, skipped)
    }

    /// Requests pieces from a replica. If the reply is late, requests the first piece alone from
    /// another one as well.
    async fn request_pieces(&mut self, address: SocketAddr, wanted: &[PieceHash]) -> PiecesReply {
        let began = self.parts.clock.now();
        let client = self.client.clone();
        let primary = client.find_pieces(address, wanted, CALL_TIMEOUT_MS);
        tokio::pin!(primary);
        let late = sleep(Duration::from_millis(self.pace.late_ms()));
        let reply = tokio::select! {
            pieces = &mut primary => PiecesReply { is_late: false, pieces },
            () = late => {
                let mut skipped = self.slow_replicas.clone();
                skipped.insert(address);
                match self.choose_piece_source(&skipped) {
                    Some(other) => {
                        let hedge = client.find_pieces(other, &wanted[..1], CALL_TIMEOUT_MS);
                        first_reply(primary, hedge).await
                    }
                    None => PiecesReply { is_late: false, pieces: primary.await },
                }
            }
        };
        match &reply.pieces {
            Some(_) => self.pace.record_answer(self.parts.clock.now().since(began)),
            None => self.pace.record_timeout(),
        }
        reply
    }

    /// Stores received pieces; returns whether any of them was still missing.
    fn store_pieces(&mut self, pieces: Option<Pieces>) -> bool {
        let mut has_progress = false;
        for (hash, piece) in pieces.into_iter().flatten() {
            match self.fetch.accept_piece(hash, &piece) {
                Ok(is_missing) => has_progress |= is_missing,
                Err(cause) => log_event!(
                    error,
                    events::PIECE_DAMAGED,
                    version = self.fetch.version().unwrap_or_default(),
                    cause = cause
                ),
            }
        }
        has_progress
    }

    /// Parses a document and hands it to the relay's thread.
    fn parse(&mut self, fetched: Fetched) {
        let Fetched {
            began,
            document,
            from,
        } = fetched;
        self.parsed_version = Some(document.version);
        let fetched_at = self.parts.clock.now();
        let index = match (self.parts.reader)(&document.bytes) {
            Ok(document) => RouteIndex::new(document),
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
        self.publish(ParsedDocument {
            fetch_ms: fetched_at.since(began),
            fetched_bytes: document.fetched_bytes,
            fetched_pieces: document.fetched_pieces,
            from,
            index,
            read_ms: self.parts.clock.now().since(fetched_at),
            reused_pieces: document.reused_pieces,
        });
    }

    fn publish(&self, document: ParsedDocument) {
        let mut next = document;
        while let Err(RingFull(document)) = self.parts.parsed.push(next) {
            if self.parts.parsed.is_closed() {
                return;
            }
            // The relay's thread has not taken the older document yet, which is now superseded.
            drop(self.parts.parsed.try_pop());
            next = document;
        }
    }
}

/// Returns the first of two replies that contains pieces; `None` or no pieces if neither does.
async fn first_reply(
    primary: impl Future<Output = Option<Pieces>>,
    hedge: impl Future<Output = Option<Pieces>>,
) -> PiecesReply {
    let has_some = |pieces: &Option<Pieces>| pieces.as_ref().is_some_and(|it| !it.is_empty());
    tokio::pin!(primary, hedge);
    let (pieces, is_late) = tokio::select! {
        pieces = &mut primary => if has_some(&pieces) { (pieces, false) } else { (hedge.await, true) },
        pieces = &mut hedge => if has_some(&pieces) { (pieces, true) } else { (primary.await, false) },
    };
    PiecesReply { is_late, pieces }
}
