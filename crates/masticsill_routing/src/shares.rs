//! A limit held across entries by leased shares.
//!
//! One holder keeps the ledger of a limit and leases parts of it to the entries. The sum of the
//! shares that any entry may still use never exceeds the limit, whatever messages are lost,
//! repeated or late:
//!
//! - an entry counts a lease from when it asked, the holder from when it answered, so the entry's
//!   right ends first;
//! - the holder counts for each entry the greatest of the grants that the entry may hold: the one
//!   it said it holds, and the one given since;
//! - a holder that starts grants nothing for one lease, because it may have granted all before;
//! - an entry that starts is another client: what its former life held is counted until it ends.
//!
//! Shares follow demand: each entry says how much it could use, and gets its max-min fair part.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// The entry's lease ends this part sooner than the holder's, for clocks that drift.
const DRIFT_MARGIN_DIVISOR: u64 = 50;

/// An entry's ask for a share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareRequest {
    /// Sequence of the grant that the entry holds now, zero for none.
    pub holding: u64,
    /// The entry's life.
    pub incarnation: Incarnation,
    /// What the entry uses at most of the grant that it holds, from this ask on.
    pub keeps: u64,
    /// The entry.
    pub node: NodeId,
    /// Rises with each ask of this life.
    pub sequence: u64,
    /// How much the entry could use, in the limit's unit.
    pub wanted: u64,
}

/// The holder's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareGrant {
    /// The life of the entry that asked.
    pub incarnation: Incarnation,
    /// How long the share may be used, counted from when the entry asked.
    pub lease_ms: u64,
    /// Sequence of the ask.
    pub sequence: u64,
    /// The share.
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

/// The holder's side of one limit.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    accounts: IndexMap<(NodeId, Incarnation), Account>,
    lease_ms: u64,
    limit: u64,
    grants_from: ClockMs,
}

impl ShareLedger {
    /// A holder that starts now. It grants nothing for one lease.
    #[must_use]
    pub fn new(now: ClockMs, limit: u64, lease_ms: u64) -> Self {
        Self {
            accounts: IndexMap::new(),
            lease_ms,
            limit,
            grants_from: now + lease_ms,
        }
    }

    /// Changes the limit. A lowered one is reached once the leases given before have ended.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Units that entries may still use.
    #[must_use]
    pub fn committed(&self, now: ClockMs) -> u64 {
        let accounts = self.accounts.values();
        accounts.map(|account| account.committed(now)).sum()
    }

    /// Answers an ask; `None` for one that was overtaken by a later one.
    pub fn grant(&mut self, now: ClockMs, request: &ShareRequest) -> Option<ShareGrant> {
        self.evict_expired(now);
        let key = (request.node.clone(), request.incarnation);
        let account = self.accounts.entry(key.clone()).or_default();
        if request.sequence <= account.last_sequence {
            return None;
        }
        account.last_sequence = request.sequence;
        account.wanted = request.wanted;
        // The entry takes only the answer to its last ask: of the others it can hold but this one.
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

    /// The smaller of an entry's fair part and what the others leave.
    fn units_for(&self, now: ClockMs, key: &(NodeId, Incarnation)) -> u64 {
        if now < self.grants_from {
            return 0;
        }
        let own = self.accounts[key].committed(now);
        let others = self.committed(now) - own;
        let left = self.limit.saturating_sub(others);
        self.fair_share(key).min(left)
    }

    /// The max-min fair part of an entry: nobody gets more than it wants, and what some leave is
    /// shared among the others. What nobody wants is shared equally, so that an idle entry can
    /// start at once. Units that don't divide go to those that come first by name.
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

    /// An entry's place by name among those that want more than a part.
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
    asked_at: ClockMs,
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
            asked_at: ClockMs::default(),
            held: None,
            incarnation,
            node,
            sequence: 0,
        }
    }

    /// The share that may be used now.
    #[must_use]
    pub fn units(&self, now: ClockMs) -> u64 {
        self.held.map_or(0, |lease| lease.units_at(now))
    }

    /// Asks for a share; the answers to earlier asks are void from now on.
    ///
    /// What is held beyond `wanted` is given up at once, whether or not the ask arrives.
    pub fn request(&mut self, now: ClockMs, wanted: u64) -> ShareRequest {
        self.sequence += 1;
        self.asked_at = now;
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

    /// Takes the answer to the last ask; any other is ignored.
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
            ends_at: self.asked_at + usable_ms,
            sequence: grant.sequence,
            units: grant.units,
        });
    }
}
