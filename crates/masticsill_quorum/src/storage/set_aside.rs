//! Setting aside the files of a data folder that can't be used.
//!
//! A marker is durable before the first file is renamed and until the last one is, so that a power
//! loss never leaves a folder that is set aside in part and used as a whole one.

use crate::storage::open::{is_replica_file, list, sync_names};
use crate::storage::{Disk, SET_ASIDE_MARKER_FILE, SET_ASIDE_SUFFIX, StorageError};

pub(crate) fn set_aside(disk: &mut dyn Disk) -> Result<(), StorageError> {
    for name in list(disk)? {
        if name.ends_with(SET_ASIDE_SUFFIX) {
            remove(disk, &name)?;
        }
    }
    let marked = disk.replace(SET_ASIDE_MARKER_FILE, &[]);
    marked.map_err(StorageError::io("replace", SET_ASIDE_MARKER_FILE))?;
    finish_setting_aside(disk)
}

/// Renames the replica's files if setting them aside was begun.
pub(crate) fn finish_setting_aside(disk: &mut dyn Disk) -> Result<(), StorageError> {
    let names = list(disk)?;
    if !names.iter().any(|name| name == SET_ASIDE_MARKER_FILE) {
        return Ok(());
    }
    for name in names.iter().filter(|name| is_replica_file(name)) {
        let renamed = disk.rename(name, &format!("{name}{SET_ASIDE_SUFFIX}"));
        renamed.map_err(StorageError::io("rename", name))?;
    }
    sync_names(disk)?;
    remove(disk, SET_ASIDE_MARKER_FILE)?;
    sync_names(disk)
}

fn remove(disk: &mut dyn Disk, name: &str) -> Result<(), StorageError> {
    let removed = disk.remove(name);
    removed.map_err(StorageError::io("remove", name))
}
