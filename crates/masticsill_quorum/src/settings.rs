//! Timing and size limits of a replica.

use thiserror::Error;

/// Timing and size limits of a replica. All replicas of a cluster must use the same settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSettings {
    /// Interval between a leader's heartbeat rounds, in milliseconds.
    pub heartbeat_ms: u64,
    /// Age of the newest quorum-acknowledged heartbeat round beyond which a leader steps down, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Shortest election timeout, in milliseconds. A follower that heard from a leader within this
    /// time refuses to vote.
    pub election_min_ms: u64,
    /// Longest election timeout, in milliseconds.
    pub election_max_ms: u64,
    /// Minimum number of voters needed to commit an entry or elect a leader, in addition to the
    /// majority rule; all voters if there are fewer.
    ///
    /// Set to one more than the number of disks that may be lost at once: even in a cluster founded
    /// with few voters, a committed entry then remains on at least one surviving disk.
    pub min_quorum: usize,
    /// Maximum payload bytes in one append message; a larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Maximum number of entries in one append message.
    pub max_append_entries: usize,
    /// Maximum number of entries in flight to a follower, sent but not yet acknowledged.
    pub max_in_flight_entries: u64,
    /// Maximum number of proposals waiting to be committed.
    pub max_pending_proposals: usize,
    /// Maximum snapshot data bytes in one message.
    pub max_snapshot_chunk_bytes: usize,
    /// Number of entries committed since the last snapshot at which a new one is requested.
    pub snapshot_interval_entries: u64,
    /// Number of entries before the snapshot that are kept in memory, so that followers slightly
    /// behind need no snapshot.
    pub retained_entries: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            lease_ms: 400,
            election_min_ms: 500,
            election_max_ms: 900,
            min_quorum: 1,
            max_append_bytes: 256 * 1024,
            max_append_entries: 1024,
            max_in_flight_entries: 8192,
            max_pending_proposals: 8192,
            max_snapshot_chunk_bytes: 256 * 1024,
            snapshot_interval_entries: 8192,
            retained_entries: 1024,
        }
    }
}

/// An inconsistency in [`ReplicaSettings`].
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// Followers could elect another leader while the old leader's lease is still valid.
    #[error("`lease_ms` must be at most nine tenths of `election_min_ms`; lower it")]
    LeaseTooLong,
    /// Losing a single heartbeat round would end the lease, or the interval is zero.
    #[error("`heartbeat_ms` must be above zero and at most half of `lease_ms`; change it")]
    HeartbeatTooSlow,
    /// The longest election timeout does not exceed the shortest.
    #[error("`election_max_ms` must be above `election_min_ms`; raise it")]
    ElectionRangeEmpty,
    /// A size limit is zero.
    #[error("append, window, pending and snapshot sizes must be above zero; raise them")]
    SizeZero,
}

impl ReplicaSettings {
    /// Checks that a leader's lease ends before its followers' election timeout, and that no size
    /// limit is zero.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], naming the setting to change.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.lease_ms.saturating_mul(10) > self.election_min_ms.saturating_mul(9) {
            return Err(SettingsError::LeaseTooLong);
        }
        if self.heartbeat_ms == 0 || self.heartbeat_ms * 2 > self.lease_ms {
            return Err(SettingsError::HeartbeatTooSlow);
        }
        if self.election_max_ms <= self.election_min_ms {
            return Err(SettingsError::ElectionRangeEmpty);
        }
        let sizes = [
            self.max_append_bytes,
            self.max_append_entries,
            self.max_pending_proposals,
            self.max_snapshot_chunk_bytes,
        ];
        let has_zero = sizes.contains(&0) || self.max_in_flight_entries == 0;
        if has_zero || self.snapshot_interval_entries == 0 {
            return Err(SettingsError::SizeZero);
        }
        Ok(())
    }
}
