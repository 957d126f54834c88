//! A limit enforced across entries by leased shares.
//!
//! One process owns the ledger of a limit and leases shares of it to the entries. The sum of the
//! shares that entries may still use never exceeds the limit, whatever messages are lost, repeated
//! or delayed:
//!
//! - an entry counts a lease from when it sent the request, the ledger from when it granted it, so
//!   the lease ends at the entry first;
//! - the ledger counts for each entry the greatest of the grants that the entry may hold: the one
//!   that its last request named, and the one granted in answer to that request;
//! - a ledger that has just started grants nothing for one lease, because its predecessor may have
//!   granted the whole limit;
//! - an entry that restarts is another client: the lease of its former incarnation is counted until
//!   it ends.
//!
//! Shares follow demand: each entry states how much it could use and gets its max-min fair share.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// The entry's lease is shortened by its length divided by this, to allow for clock drift between
/// the entry and the ledger.
const DRIFT_MARGIN_DIVISOR: u64 = 50;

/// An entry's request for a share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareRequest {
    /// Sequence of the grant that the entry holds, zero for none.
    pub holding: u64,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// The most that the entry uses of the grant that it holds, from this request on, in the
    /// limit's unit.
    pub keeps: u64,
    /// The entry.
    pub node: NodeId,
    /// Rises with each request of this incarnation.
    pub sequence: u64,
    /// How much the entry could use, in the limit's unit.
    pub wanted: u64,
}

/// The ledger's answer to a [`ShareRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareGrant {
    /// The incarnation of the entry that sent the request.
    pub incarnation: Incarnation,
    /// How long the share may be used, in milliseconds from when the entry sent the request.
    pub lease_ms: u64,
    /// Sequence of the request.
    pub sequence: u64,
    /// The share, in the limit's unit.
    pub units: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ends_at: ClockMs,
    sequence: u64,
    units: u64,
}

impl Lease {
    fn units_at(&self, now: ClockMs) -> u64 {
        if self.ends_at > now { self.units } else { 0 }
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// Grants that the entry may hold.
    leases: Vec<Lease>,
    last_sequence: u64,
    wanted: u64,
}

impl Account {
    fn committed(&self, now: ClockMs) -> u64 {
        let units = self.leases.iter().map(|lease| lease.units_at(now));
        units.max().unwrap_or(0)
    }
}

/// The granting side of one limit.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    accounts: IndexMap<(NodeId, Incarnation), Account>,
    lease_ms: u64,
    limit: u64,
    grants_from: ClockMs,
}

impl ShareLedger {
    /// A ledger that starts at `now`. It grants nothing for one lease, because its predecessor may
    /// have granted the whole limit.
    #[must_use]
    pub fn new(now: ClockMs, limit: u64, lease_ms: u64) -> Self {
        Self {
            accounts: IndexMap::new(),
            lease_ms,
            limit,
            grants_from: now + lease_ms,
        }
    }

    /// Changes the limit. A lower limit takes full effect once the leases granted before have
    /// ended.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Sum of the shares that entries may still use.
    #[must_use]
    pub fn committed(&self, now: ClockMs) -> u64 {
        let accounts = self.accounts.values();
        accounts.map(|account| account.committed(now)).sum()
    }

    /// Answers a request; `None` if a request with the same or a higher sequence came before.
    pub fn grant(&mut self, now: ClockMs, request: &ShareRequest) -> Option<ShareGrant> {
        self.evict_expired(now);
        let key = (request.node.clone(), request.incarnation);
        let account = self.accounts.entry(key.clone()).or_default();
        if request.sequence <= account.last_sequence {
            return None;
        }
        account.last_sequence = request.sequence;
        account.wanted = request.wanted;
        // The entry accepts only the answer to its last request, so of the earlier grants it can
        // hold only the one that this request names.
        account
            .leases
            .retain(|lease| lease.sequence == request.holding);
        for lease in &mut account.leases {
            lease.units = lease.units.min(request.keeps);
        }
        let units = self.units_for(now, &key);
        let lease = Lease {
            ends_at: now + self.lease_ms,
            sequence: request.sequence,
            units,
        };
        self.accounts[&key].leases.push(lease);
        Some(ShareGrant {
            incarnation: request.incarnation,
            lease_ms: self.lease_ms,
            sequence: request.sequence,
            units,
        })
    }

    /// The smaller of an entry's fair share and what the other entries' leases leave.
    fn units_for(&self, now: ClockMs, key: &(NodeId, Incarnation)) -> u64 {
        if now < self.grants_from {
            return 0;
        }
        let own = self.accounts[key].committed(now);
        let others = self.committed(now) - own;
        let left = self.limit.saturating_sub(others);
        self.fair_share(key).min(left)
    }

    /// The max-min fair share of an entry: no entry gets more than it wants while others want more,
    /// and what some leave is divided among the others. Units that no entry wants are divided
    /// equally, so that an idle entry can start at once. The remainder of a division goes to the
    /// entries that come first by name.
    fn fair_share(&self, key: &(NodeId, Incarnation)) -> u64 {
        let own = self.accounts[key].wanted;
        let mut wants: Vec<u64> = self
            .accounts
            .values()
            .map(|account| account.wanted)
            .collect();
        wants.sort_unstable();
        let mut left = self.limit;
        let mut remaining = wants.len() as u64;
        for want in wants {
            let share = left / remaining;
            if want > share {
                return own.min(share + u64::from(self.rank(key, share) < left % remaining));
            }
            left -= want;
            remaining -= 1;
        }
        own + left / self.accounts.len() as u64
    }

    /// An entry's rank by name among those that want more than `share`.
    fn rank(&self, key: &(NodeId, Incarnation), share: u64) -> u64 {
        let wanting = self
            .accounts
            .iter()
            .filter(|(_, account)| account.wanted > share);
        wanting.filter(|(other, _)| *other < key).count() as u64
    }

    fn evict_expired(&mut self, now: ClockMs) {
        self.accounts.retain(|_, account| {
            account.leases.retain(|lease| lease.ends_at > now);
            !account.leases.is_empty()
        });
    }
}

/// The entry's side of one limit.
#[derive(Clone, Debug)]
pub struct ShareClient {
    requested_at: ClockMs,
    held: Option<Lease>,
    incarnation: Incarnation,
    node: NodeId,
    sequence: u64,
}

impl ShareClient {
    /// A client that holds nothing.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            requested_at: ClockMs::default(),
            held: None,
            incarnation,
            node,
            sequence: 0,
        }
    }

    /// The share that may be used at `now`.
    #[must_use]
    pub fn units(&self, now: ClockMs) -> u64 {
        self.held.map_or(0, |lease| lease.units_at(now))
    }

    /// Builds the next request for a share. Answers to earlier requests are ignored from now on.
    ///
    /// A held share is reduced to `wanted` at once, whether or not the request arrives.
    pub fn request(&mut self, now: ClockMs, wanted: u64) -> ShareRequest {
        self.sequence += 1;
        self.requested_at = now;
        if let Some(lease) = &mut self.held {
            lease.units = lease.units.min(wanted);
        }
        ShareRequest {
            holding: self.held.map_or(0, |lease| lease.sequence),
            incarnation: self.incarnation,
            keeps: self.held.map_or(0, |lease| lease.units),
            node: self.node.clone(),
            sequence: self.sequence,
            wanted,
        }
    }

    /// Applies the answer to the last request; any other grant, or a repeated one, is ignored.
    pub fn apply(&mut self, grant: ShareGrant) {
        let is_taken = self
            .held
            .is_some_and(|lease| lease.sequence == grant.sequence);
        let is_awaited = grant.incarnation == self.incarnation && grant.sequence == self.sequence;
        if !is_awaited || is_taken {
            return;
        }
        let usable_ms = grant.lease_ms - grant.lease_ms / DRIFT_MARGIN_DIVISOR;
        self.held = Some(Lease {
            ends_at: self.requested_at + usable_ms,
            sequence: grant.sequence,
            units: grant.units,
        });
    }
}
