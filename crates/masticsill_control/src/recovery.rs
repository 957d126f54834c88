//! What to do when the majority of the replicas is lost for good.

use std::path::Path;

use masticsill_quorum::storage::Storage;
use masticsill_types::NodeId;

use crate::error::ControlError;

/// Makes the replica of a data folder the only voter of its cluster. Its process must not run.
///
/// For the loss of a majority that can't be undone, and then on the one surviving replica with the
/// highest catalogue version only. Changes and claims that were accepted and had not reached this
/// folder are lost: a call that may not be repeated can run twice, and a catalogue version can be
/// given a second time. The folders of all other replicas must be destroyed before, or they would
/// go on as a second cluster; nodes must be restarted after, so that none keeps a lost version.
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
