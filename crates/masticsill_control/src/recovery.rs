//! Recovery after the permanent loss of a majority of the replicas.

use std::path::Path;

use masticsill_quorum::storage::Storage;
use masticsill_types::NodeId;

use crate::error::ControlError;

/// Makes the replica of a data folder the sole voter of its cluster. Its process must not run.
///
/// Use this only after the permanent loss of a majority, and only on the surviving replica with the
/// highest catalogue version. Changes and claims that were accepted but had not reached this folder
/// are lost: a call that may not be repeated can run twice, and a catalogue version can be assigned
/// a second time. Destroy the folders of all other replicas first, or those replicas would continue
/// as a second cluster; restart the nodes afterwards, so that none keeps a lost version.
///
/// # Errors
///
/// [`ControlError`] when the folder can't be used.
pub fn recover_as_sole_voter(
    data_folder: &Path,
    cluster: &str,
    node: &NodeId,
) -> Result<(), ControlError> {
    let (mut storage, mut recovered) = Storage::open(data_folder, cluster, node)?;
    storage.force_sole_voter(&mut recovered.state)?;
    Ok(())
}
