//! Stores the origins of streams on this replica's disk. Callers continue a stream because the entry
//! that began it has ended; if the replicas that keep its origin end too, only their disks know it.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticsill_quorum::storage::{Disk, FileDisk, encode_frame, scan_frames};
use masticsill_registry::StoredStream;
use masticsill_runtime::ShutdownSignal;
use masticsill_types::log_event;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::EndpointHub;
use crate::events;

/// Folder of the log within the data folder.
const FOLDER: &str = "stream_origins";
const FILE: &str = "log";
/// Shortest pause between two syncs; streams reported meanwhile share the next one.
const MIN_SYNC_PAUSE: Duration = Duration::from_millis(2);
/// Pause after a sync, as a multiple of the time that it took: the quorum's log needs the disk as well.
const SYNC_PAUSE_FACTOR: u32 = 4;
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Size below which the log is not compacted.
const MIN_COMPACTED_BYTES: usize = 256 * 1024;

/// Durable encoding of a frame's body. Variants are only ever added at the end.
#[derive(Deserialize, Serialize)]
enum StoredStreams {
    V1(Vec<StoredStream>),
}

fn encode(streams: Vec<StoredStream>) -> io::Result<Vec<u8>> {
    let body = postcard::to_allocvec(&StoredStreams::V1(streams)).map_err(io::Error::other)?;
    Ok(encode_frame(&body))
}

/// Reads the streams that a former process stored, in the order in which it did; what a power loss
/// has damaged is left out.
pub(crate) fn read(data_folder: &Path) -> Vec<StoredStream> {
    let bytes = match FileDisk::unlocked(&data_folder.join(FOLDER)).read(FILE) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return Vec::new(),
        Err(error) => {
            log_event!(warn, events::STREAM_ORIGINS_NOT_STORED, cause = error);
            return Vec::new();
        }
    };
    let scan = scan_frames(&bytes);
    let bodies = scan.frames.iter().map(|(_, body)| *body);
    // A frame of a later version says nothing to this one.
    let frames = bodies.filter_map(|body| postcard::from_bytes(body).ok());
    frames
        .flat_map(|StoredStreams::V1(streams)| streams)
        .collect()
}

/// The log, open for writing.
#[derive(Debug)]
struct OriginLog {
    disk: FileDisk,
    /// Size in bytes, and its size when it was compacted last.
    size: usize,
    compacted_size: usize,
}

impl OriginLog {
    /// Opens the log and replaces its content, since an interrupted write may have damaged its end.
    fn open(data_folder: &Path, streams: Vec<StoredStream>) -> io::Result<Self> {
        let disk = FileDisk::open(&data_folder.join(FOLDER)).map_err(io::Error::other)?;
        let mut log = Self {
            disk,
            size: 0,
            compacted_size: 0,
        };
        log.replace(streams)?;
        Ok(log)
    }

    fn replace(&mut self, streams: Vec<StoredStream>) -> io::Result<()> {
        let frame = encode(streams)?;
        self.disk.replace(FILE, &frame)?;
        self.size = frame.len();
        self.compacted_size = frame.len();
        Ok(())
    }

    fn append(&mut self, streams: Vec<StoredStream>) -> io::Result<()> {
        let frame = encode(streams)?;
        self.disk.append(FILE, &frame)?;
        self.size += frame.len();
        self.disk.sync(FILE)
    }

    /// Whether most of the log is likely to have expired.
    fn needs_compaction(&self) -> bool {
        self.size > MIN_COMPACTED_BYTES.max(2 * self.compacted_size)
    }
}

/// Stores the streams that are reported to this replica, until it ends.
pub(crate) async fn run_origin_log(
    data_folder: PathBuf,
    endpoints: EndpointHub,
    ended: ShutdownSignal,
) {
    while let Err(error) = store(&data_folder, &endpoints, &ended).await {
        log_event!(warn, events::STREAM_ORIGINS_NOT_STORED, cause = error);
        tokio::select! {
            () = sleep(RETRY_PAUSE) => {}
            () = ended.requested() => return,
        }
    }
}

/// Opens the log and stores streams until the replica ends or a write fails.
async fn store(
    data_folder: &Path,
    endpoints: &EndpointHub,
    ended: &ShutdownSignal,
) -> io::Result<()> {
    let mut revisions = endpoints.watch_stream_revision();
    let (mut stored, streams) = endpoints.streams_since(0);
    let mut log = OriginLog::open(data_folder, streams)?;
    endpoints.note_streams_stored(stored);
    loop {
        let has_ended = tokio::select! {
            () = ended.requested() => true,
            changed = revisions.changed() => changed.is_err(),
        };
        let began = Instant::now();
        let (revision, streams) = endpoints.streams_since(stored);
        if log.needs_compaction() {
            log.replace(endpoints.streams_since(0).1)?;
        } else {
            log.append(streams)?;
        }
        stored = revision;
        endpoints.note_streams_stored(stored);
        if has_ended {
            return Ok(());
        }
        let pause = MIN_SYNC_PAUSE.max(began.elapsed() * SYNC_PAUSE_FACTOR);
        tokio::select! {
            () = sleep(pause) => {}
            () = ended.requested() => {}
        }
    }
}
