//! Persists the registry's records, so that a restarted replica knows the endpoints at once:
//! endpoints announce themselves only once a second. The requests that crash endpoints are
//! persisted too: where all processes end at the same moment, no other process could report them.
//!
//! Where a request is sent does not depend on the age of the records: it names the incarnation that it
//! is meant for. Whether a version may have begun a stream does: entries are told which versions are
//! stored, and begin streams at no others.

use std::future::ready;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticsill_quarantine::RequestRecord;
use masticsill_quorum::storage::{Disk, FileDisk};
use masticsill_registry::EndpointRecord;
use masticsill_runtime::ShutdownSignal;
use masticsill_types::log_event;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::EndpointHub;
use super::origin_log::run_origin_log;
use crate::events;

const FILE: &str = "endpoints";
/// Pause between writes, so that a burst of changes is one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Durable encoding. Variants are only ever added at the end.
#[derive(Deserialize, Serialize)]
enum StoredEndpoints {
    /// V1 to V6 were written by former versions, whose records lack fields. Such a file is ignored:
    /// a decoder of its own is not worthwhile.
    V1,
    V2,
    V3,
    V4,
    V5,
    V6,
    V7(PersistedEndpoints),
}

/// The records that are kept over a restart of this replica.
#[derive(Default, Deserialize, Serialize)]
pub(crate) struct PersistedEndpoints {
    /// The endpoints, including ended ones that are retained: their versions may have begun streams.
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// Requests during which endpoints crashed, with their ages at the time of writing.
    pub(crate) suspects: Vec<RequestRecord>,
    /// Whether this replica knew the endpoints that the quorum knew.
    pub(crate) knows_past: bool,
}

/// Reads the records of a former process; empty when there are none or they can't be read.
pub(crate) fn read(folder: &Path) -> PersistedEndpoints {
    let bytes = match FileDisk::unlocked(folder).read(FILE) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return PersistedEndpoints::default(),
        Err(error) => {
            log_event!(warn, events::ENDPOINTS_NOT_KEPT, cause = error);
            return PersistedEndpoints::default();
        }
    };
    match postcard::from_bytes(&bytes) {
        Ok(
            StoredEndpoints::V1
            | StoredEndpoints::V2
            | StoredEndpoints::V3
            | StoredEndpoints::V4
            | StoredEndpoints::V5
            | StoredEndpoints::V6,
        ) => PersistedEndpoints::default(),
        Ok(StoredEndpoints::V7(persisted)) => persisted,
        Err(error) => {
            log_event!(warn, events::ENDPOINTS_NOT_KEPT, cause = error);
            PersistedEndpoints::default()
        }
    }
}

/// Stores the registry's records and the origins of streams whenever they have changed, until the
/// replica ends.
pub(crate) async fn run_persistence(
    folder: PathBuf,
    endpoints: EndpointHub,
    ended: ShutdownSignal,
) {
    tokio::join!(
        run_origin_log(folder.clone(), endpoints.clone(), ended.clone()),
        store_records(folder, endpoints, ended),
    );
}

async fn store_records(folder: PathBuf, endpoints: EndpointHub, ended: ShutdownSignal) {
    let mut revisions = endpoints.revisions();
    let mut suspects = endpoints.suspects().watch_broadcast_revision();
    let mut knows_past = endpoints.watch_knows_past();
    // What a killed process wrote may not be durable yet.
    let mut is_outdated = true;
    // The quorum's storage holds the folder's lock.
    let mut disk = FileDisk::unlocked(&folder);
    loop {
        tokio::select! {
            changed = revisions.changed() => if changed.is_err() { return },
            changed = suspects.changed() => if changed.is_err() { return },
            changed = knows_past.changed() => if changed.is_err() { return },
            () = ready(()), if is_outdated => {}
            () = ended.requested() => return,
        }
        let persisted = PersistedEndpoints {
            endpoints: endpoints.all_records(),
            suspects: endpoints.suspects().broadcast_since(0),
            knows_past: endpoints.knows_past(),
        };
        let records = persisted.endpoints.clone();
        let written = write(&mut disk, persisted);
        is_outdated = written.is_err();
        match written {
            Ok(()) => endpoints.note_versions_stored(&records),
            Err(error) => log_event!(warn, events::ENDPOINTS_NOT_KEPT, cause = error),
        }
        tokio::select! {
            () = sleep(WRITE_INTERVAL) => {}
            // Entries begin no stream at a version before it is stored.
            () = endpoints.await_unstored_version(), if !is_outdated => {}
            () = ended.requested() => return,
        }
    }
}

fn write(disk: &mut FileDisk, persisted: PersistedEndpoints) -> io::Result<()> {
    let bytes = postcard::to_stdvec(&StoredEndpoints::V7(persisted)).map_err(io::Error::other)?;
    // Durable, since an older file may name fewer versions than this replica has reported.
    disk.replace(FILE, &bytes)
}
