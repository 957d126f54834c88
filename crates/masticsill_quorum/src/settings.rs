//! Timing and sizes of a replica.

use thiserror::Error;

/// Timing and sizes of a replica. All replicas of a cluster use the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSettings {
    /// Interval between a leader's heartbeat rounds.
    pub heartbeat_ms: u64,
    /// Age of the last acknowledged round at which a leader stops.
    pub lease_ms: u64,
    /// Shortest silence after which a follower stands, and during which it refuses votes.
    pub election_min_ms: u64,
    /// Longest silence after which a follower stands.
    pub election_max_ms: u64,
    /// Voters that commit an entry or elect a leader at least, or all where fewer vote: one more
    /// than the disks that may be lost at once. A cluster that was founded by few then keeps an
    /// entry on a disk that is left.
    pub min_quorum: usize,
    /// Payload bytes in one append message, at most, unless one entry is larger.
    pub max_append_bytes: usize,
    /// Entries in one append message, at most.
    pub max_append_entries: usize,
    /// Entries sent to a follower ahead of its acknowledgement, at most.
    pub max_in_flight_entries: u64,
    /// Proposals that may wait for commitment.
    pub max_pending_proposals: usize,
    /// Data bytes in one snapshot message, at most.
    pub max_snapshot_chunk_bytes: usize,
    /// Entries after the last snapshot at which a new one is wanted.
    pub snapshot_interval_entries: u64,
    /// Entries kept in memory before a snapshot, for followers that lag a little.
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

/// Why settings are refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// A follower could elect another leader while the old one's lease runs.
    #[error("`lease_ms` must be at most nine tenths of `election_min_ms`; lower it")]
    LeaseTooLong,
    /// A lost heartbeat would end the lease.
    #[error("`heartbeat_ms` must be above zero and at most half of `lease_ms`; change it")]
    HeartbeatTooSlow,
    /// The longest election timeout is not above the shortest.
    #[error("`election_max_ms` must be above `election_min_ms`; raise it")]
    ElectionRangeEmpty,
    /// A size is zero.
    #[error("append, window, pending and snapshot sizes must be above zero; raise them")]
    SizeZero,
}

impl ReplicaSettings {
    /// Checks that the settings keep a leader's lease inside its followers' patience.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that names the setting to change.
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
