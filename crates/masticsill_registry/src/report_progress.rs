//! How far a control replica has been informed of what an entry records.

/// The revision of an entry's records up to which a replica has received them.
///
/// A replica that restarts may have lost what it had received. A report that was under way then may
/// have reached either of its incarnations, so that it doesn't count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportProgress {
    /// Number of restarts of the replica that the entry has noticed.
    restarts: u64,
    revision: u64,
}

impl ReportProgress {
    /// The revision after which records are to be reported.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that a report up to `revision` was received; `begun` is the progress with which it
    /// began.
    pub fn complete(&mut self, begun: Self, revision: u64) {
        if begun.restarts == self.restarts {
            self.revision = revision;
        }
    }

    /// Records that the replica has restarted: everything is to be reported again.
    pub fn restart(&mut self) {
        self.restarts += 1;
        self.revision = 0;
    }
}
