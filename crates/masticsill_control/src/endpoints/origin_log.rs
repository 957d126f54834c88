//! Stores the origins of streams on this replica's disk. Callers continue a stream because the entry
//! that began it has ended; if the replicas that keep its origin end too, only their disks know it.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticsill_quorum::storage::{FileDisk, FrameLog, read_frame_log};
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
    postcard::to_allocvec(&StoredStreams::V1(streams)).map_err(io::Error::other)
}

/// Reads the streams that a former process stored, in the order in which it did.
pub(crate) fn read(data_folder: &Path) -> Vec<StoredStream> {
    let disk = FileDisk::unlocked(&data_folder.join(FOLDER));
    let bodies = match read_frame_log(&disk, FILE) {
        Ok(bodies) => bodies.unwrap_or_default(),
        Err(error) => {
            log_event!(warn, events::STREAM_ORIGINS_NOT_STORED, cause = error);
            return Vec::new();
        }
    };
    // A frame of a later version says nothing to this one.
    let frames = bodies.iter().filter_map(|it| postcard::from_bytes(it).ok());
    frames
        .flat_map(|StoredStreams::V1(streams)| streams)
        .collect()
}

/// Size from which a log is compacted: most of it is likely to have expired by then.
fn next_compaction_bytes(log: &FrameLog) -> usize {
    MIN_COMPACTED_BYTES.max(2 * log.size_bytes())
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
    let disk = FileDisk::open(&data_folder.join(FOLDER)).map_err(io::Error::other)?;
    let mut log = FrameLog::create(Box::new(disk), FILE, &encode(streams)?)?;
    let mut compaction_bytes = next_compaction_bytes(&log);
    endpoints.note_streams_stored(stored);
    loop {
        let has_ended = tokio::select! {
            () = ended.requested() => true,
            changed = revisions.changed() => changed.is_err(),
        };
        let began = Instant::now();
        let (revision, streams) = endpoints.streams_since(stored);
        if log.size_bytes() > compaction_bytes {
            log.replace(&encode(endpoints.streams_since(0).1)?)?;
            compaction_bytes = next_compaction_bytes(&log);
        } else {
            log.append(&encode(streams)?)?;
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
