//! Replacing a data folder that can't be used.
//!
//! A replica whose folder is damaged becomes a new one without an operator where the quorum
//! maintains its members: the files are set aside and the quorum admits the new identity in place of
//! the old one. Until then the cluster is short of a voter, as it is with the damaged folder, so that
//! nothing is set aside before the others have shown that they form a quorum by themselves. While
//! they don't, the files stay as they are, since an operator may still need them.

use std::time::Duration;

use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_quorum::storage::{RecoveredStorage, Storage, StorageError};
use masticsill_runtime::{ShutdownSignal, spawn_async_duty};
use masticsill_types::log_event;
use masticsill_wire::control::ReadRequest;
use tokio::time::sleep;

use crate::config::{ControlConfig, FoundingPolicy};
use crate::error::ControlError;
use crate::events;

/// Longest wait for a quorum; the start fails after that, and a later one tries again.
const QUORUM_TIMEOUT_MS: u64 = 5_000;

/// A data folder that was opened.
pub(crate) struct OpenedFolder {
    pub(crate) storage: Storage,
    pub(crate) recovered: RecoveredStorage,
    /// Who founds a cluster, if the folder belongs to none.
    pub(crate) founding: FoundingPolicy,
    /// Whether the folder belongs to no cluster.
    pub(crate) is_new: bool,
}

/// Opens the data folder, replacing one that is damaged if the other replicas form a quorum.
pub(crate) fn open_folder(config: &ControlConfig) -> Result<OpenedFolder, ControlError> {
    let error = match open(config, &config.founding) {
        Err(error) if error.is_folder_damaged() && config.admission.target_voters().is_some() => {
            error
        }
        opened => return Ok(opened?),
    };
    log_event!(error, events::FOLDER_DAMAGED, cause = error);
    if !is_quorum_formed_by_others(config)? {
        return Err(error.into());
    }
    Storage::set_aside(&config.data_folder)?;
    // A cluster exists.
    let opened = open(config, &FoundingPolicy::Never)?;
    log_event!(
        warn,
        events::FOLDER_SET_ASIDE,
        node = config.node,
        replica = opened.storage.id()
    );
    Ok(opened)
}

fn open(config: &ControlConfig, founding: &FoundingPolicy) -> Result<OpenedFolder, StorageError> {
    let (storage, recovered) = Storage::open(&config.data_folder, &config.cluster, &config.node)?;
    Ok(OpenedFolder {
        is_new: recovered.state.snapshot.is_none(),
        storage,
        recovered,
        founding: founding.clone(),
    })
}

/// Whether the other replicas have a leader that is confirmed without this one.
fn is_quorum_formed_by_others(config: &ControlConfig) -> Result<bool, ControlError> {
    let book = AddressBook::from_settings(config.peers.clone());
    let others = config.seeds.iter().copied();
    book.add_seeds(others.filter(|seed| *seed != config.rpc_address));
    let lease = Duration::from_millis(config.replica.lease_ms);
    let confirmed = ShutdownSignal::default();
    let confirm = confirmed.clone();
    let duty = spawn_async_duty("control_replacement", move || async move {
        // A lease that this replica confirmed before it stopped has ended by then.
        sleep(lease).await;
        // A leader answers a read only once a quorum has confirmed it.
        let read = ControlClient::new(book)
            .read(&ReadRequest::Replicas, QUORUM_TIMEOUT_MS)
            .await;
        if read.is_ok() {
            confirm.request();
        }
    })?;
    duty.join()?;
    Ok(confirmed.is_requested())
}
