//! The data folder's file operations.

use masticsill_quorum::storage::{Disk, FileDisk};

/// Guards against appending to a file that has been replaced under its name.
#[test]
fn appended_bytes_follow_the_replaced_content() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = FileDisk::open(folder.path()).unwrap();
    disk.append("log", b"old").unwrap();
    disk.replace("log", b"new").unwrap();
    disk.append("log", b" more").unwrap();
    disk.sync("log").unwrap();
    assert_eq!(disk.read("log").unwrap().unwrap(), b"new more");
}
