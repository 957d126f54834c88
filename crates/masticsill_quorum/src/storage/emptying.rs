//! Emptying a data folder of its replica's files.
//!
//! A marker is durable before the first file is taken away and until the last one is, so that a power
//! loss never leaves a folder that is emptied in part and used as a whole one.

use crate::storage::disk::{list, remove, sync_names};
use crate::storage::replay::segment_sequence;
use crate::storage::{Disk, IDENTITY_FILE, SNAPSHOT_FILE, StorageError, VOTE_FILE};

/// Suffix of the files of a folder that was set aside.
const SET_ASIDE_SUFFIX: &str = ".set_aside";

/// Why a folder is emptied, and what becomes of its files.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Emptying {
    /// Its founding was abandoned: the files are removed.
    Abandoned,
    /// It can't be used: the files are renamed.
    SetAside,
}

impl Emptying {
    const ALL: [Self; 2] = [Self::Abandoned, Self::SetAside];

    fn marker(self) -> &'static str {
        match self {
            Self::Abandoned => "given_up",
            Self::SetAside => "set_aside",
        }
    }

    /// Begins to empty a folder; [`finish_emptying`] takes its files away.
    pub(crate) fn begin(self, disk: &mut dyn Disk) -> Result<(), StorageError> {
        let marked = disk.replace(self.marker(), &[]);
        marked.map_err(StorageError::io("replace", self.marker()))
    }

    fn take_away(self, disk: &mut dyn Disk, name: &str) -> Result<(), StorageError> {
        match self {
            Self::Abandoned => remove(disk, name),
            Self::SetAside => {
                let renamed = disk.rename(name, &format!("{name}{SET_ASIDE_SUFFIX}"));
                renamed.map_err(StorageError::io("rename", name))
            }
        }
    }
}

/// Sets the replica's files aside, in place of those that were set aside before.
pub(crate) fn set_aside(disk: &mut dyn Disk) -> Result<(), StorageError> {
    for name in list(disk)? {
        if name.ends_with(SET_ASIDE_SUFFIX) {
            remove(disk, &name)?;
        }
    }
    Emptying::SetAside.begin(disk)?;
    finish_emptying(disk).map(drop)
}

/// Takes the replica's files away if that was begun. Returns the names of the remaining files.
pub(crate) fn finish_emptying(disk: &mut dyn Disk) -> Result<Vec<String>, StorageError> {
    let mut names = list(disk)?;
    for emptying in Emptying::ALL {
        if !names.iter().any(|name| name == emptying.marker()) {
            continue;
        }
        for name in names.iter().filter(|name| is_replica_file(name)) {
            emptying.take_away(disk, name)?;
        }
        sync_names(disk)?;
        // If a power loss brings the marker back, the folder is emptied once more; the identity that
        // is written next makes the removal durable.
        remove(disk, emptying.marker())?;
        names = list(disk)?;
    }
    Ok(names)
}

fn is_replica_file(name: &str) -> bool {
    [IDENTITY_FILE, SNAPSHOT_FILE, VOTE_FILE].contains(&name) || segment_sequence(name).is_some()
}
