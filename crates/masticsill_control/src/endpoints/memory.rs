//! The registry's records on the disk, so that a replica that starts again knows at once whom to
//! name: endpoints announce themselves only once a second. With them, which requests crash endpoints:
//! where all processes end at the same moment, nobody else could tell.
//!
//! Nothing relies on the records: they may be old, and requests name the incarnation that they mean.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticsill_quarantine::RequestRecord;
use masticsill_registry::EndpointRecord;
use masticsill_runtime::ShutdownSignal;
use masticsill_types::log_event;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::EndpointHub;
use crate::events;

const FILE: &str = "endpoints";
const TEMPORARY_FILE: &str = "endpoints.tmp";
/// Pause between writes, so that a burst of changes is one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// The durable form. Variants are only ever added at the end.
#[derive(Deserialize, Serialize)]
enum StoredEndpoints {
    /// Of former versions, whose records lack fields: they are not worth a second reader.
    V1,
    V2,
    V3(Vec<EndpointRecord>),
    V4,
    V5(Remembered),
}

/// What outlasts a life of this replica.
#[derive(Default, Deserialize, Serialize)]
pub(crate) struct Remembered {
    /// Endpoints that have not ended.
    pub(crate) endpoints: Vec<EndpointRecord>,
    /// Requests under which endpoints crashed, by their ages when this was written.
    pub(crate) suspects: Vec<RequestRecord>,
}

/// Reads what a former life left; nothing when there is none or it can't be read.
pub(crate) fn read(folder: &Path) -> Remembered {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Remembered::default(),
        Err(error) => {
            log_event!(warn, events::ENDPOINTS_NOT_KEPT, cause = error);
            return Remembered::default();
        }
    };
    match postcard::from_bytes(&bytes) {
        Ok(StoredEndpoints::V1 | StoredEndpoints::V2 | StoredEndpoints::V4) => {
            Remembered::default()
        }
        Ok(StoredEndpoints::V3(endpoints)) => Remembered {
            endpoints,
            suspects: Vec::new(),
        },
        Ok(StoredEndpoints::V5(remembered)) => remembered,
        Err(error) => {
            log_event!(warn, events::ENDPOINTS_NOT_KEPT, cause = error);
            Remembered::default()
        }
    }
}

/// Writes the records whenever they have changed, until the replica ends.
pub(crate) async fn run_memory(folder: PathBuf, endpoints: EndpointHub, ended: ShutdownSignal) {
    let mut revisions = endpoints.revisions();
    let mut suspects = endpoints.suspects().spread_revisions();
    loop {
        tokio::select! {
            changed = revisions.changed() => if changed.is_err() { return },
            changed = suspects.changed() => if changed.is_err() { return },
            () = ended.requested() => return,
        }
        let remembered = Remembered {
            endpoints: endpoints.records(),
            suspects: endpoints.suspects().broadcast_since(0),
        };
        if let Err(error) = write(&folder, remembered) {
            log_event!(warn, events::ENDPOINTS_NOT_KEPT, cause = error);
        }
        tokio::select! {
            () = sleep(WRITE_INTERVAL) => {}
            () = ended.requested() => return,
        }
    }
}

fn write(folder: &Path, remembered: Remembered) -> io::Result<()> {
    let bytes = postcard::to_stdvec(&StoredEndpoints::V5(remembered)).map_err(io::Error::other)?;
    let temporary = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    // A name that leads to half a file would be worse than an old one.
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))
}
