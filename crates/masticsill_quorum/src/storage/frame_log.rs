//! A file of checksummed frames, each durable once it has been appended.

use std::io;

use crate::storage::disk::Disk;
use crate::storage::frame::{encode_frame, scan_frames};

/// A log of frames in one file of a disk, open for writing.
///
/// After a failed write the state of the file is unknown: the log has to be created anew.
#[derive(Debug)]
pub struct FrameLog {
    disk: Box<dyn Disk>,
    file: String,
    size_bytes: usize,
}

impl FrameLog {
    /// Creates the log with one frame, in place of a former one, whose end an interrupted write may
    /// have damaged.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn create(disk: Box<dyn Disk>, file: &str, body: &[u8]) -> io::Result<Self> {
        let mut log = Self {
            disk,
            file: file.to_owned(),
            size_bytes: 0,
        };
        log.replace(body)?;
        Ok(log)
    }

    /// Appends a frame, and makes it durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn append(&mut self, body: &[u8]) -> io::Result<()> {
        let frame = encode_frame(body);
        self.disk.append(&self.file, &frame)?;
        self.size_bytes += frame.len();
        self.disk.sync(&self.file)
    }

    /// Replaces all frames by one, atomically and durably.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn replace(&mut self, body: &[u8]) -> io::Result<()> {
        let frame = encode_frame(body);
        self.disk.replace(&self.file, &frame)?;
        self.size_bytes = frame.len();
        Ok(())
    }

    /// Size of the file in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}

/// The bodies of a log's frames, in order; what a power loss has damaged is left out. None if there is
/// no log.
///
/// # Errors
///
/// The operating system's error.
pub fn read_frame_log(disk: &dyn Disk, file: &str) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(bytes) = disk.read(file)? else {
        return Ok(None);
    };
    let scan = scan_frames(&bytes);
    let bodies = scan.frames.iter().map(|(_, body)| body.to_vec());
    Ok(Some(bodies.collect()))
}
