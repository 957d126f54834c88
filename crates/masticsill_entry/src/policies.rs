//! Applies the policies of the catalogue to the router of this entry.
//!
//! A limit of the catalogue is split evenly among the entries in the membership view; the remainder
//! goes to the first entries by name. While all entries see the same members and the same catalogue
//! version, their shares add up to the limit, so the limit is never exceeded. Callers that prefer
//! one entry can use only the share of that entry.
//!
//! An entry with a stale view, which does not contain another entry yet, uses too large a share.
//! Until the membership update arrives, a few hundred milliseconds after a start, and while entries
//! are partitioned, the limit may be exceeded by that share: with `n` entries partitioned into `k`
//! groups, at most `k` times the limit is used. An entry that failed holds its share until the
//! membership declares it gone, so less than the limit may be used. When shares shrink, running
//! work is not ended, and the limit holds again once that work has finished. Attempts left behind
//! at a lost agent may run until that agent ends them. They are not counted.

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::{BackEnd, CatalogueEntry, Limits};
use masticsill_membership::Role;
use masticsill_mesh::{CatalogueView, MembershipView};
use masticsill_routing::{BackEndTarget, EntryPolicy, EntryRank, LocalLimits, Router};
use masticsill_types::{CatalogueVersion, ClockMs, EntryId, NodeId, Refusal, RefusalKind};

const MILLIS_PER_UNIT: u64 = 1_000;
const RETRY_AFTER_MS: u64 = 1_000;

/// The policies that were last applied to the router.
#[derive(Debug, Default)]
pub(crate) struct Policies {
    applied: IndexMap<EntryId, EntryPolicy>,
    entry_rank: EntryRank,
    version: Option<CatalogueVersion>,
}

impl Policies {
    /// Applies changes of the catalogue and of the set of entries to the router.
    pub(crate) fn refresh(
        &mut self,
        now: ClockMs,
        view: &CatalogueView,
        entry_rank: EntryRank,
        router: &mut Router,
    ) {
        if self.version == Some(view.version()) && self.entry_rank == entry_rank {
            return;
        }
        self.version = Some(view.version());
        self.entry_rank = entry_rank;
        router.set_entry_rank(entry_rank);
        let mut removed: IndexSet<EntryId> = self.applied.keys().cloned().collect();
        for versioned in view.catalogue().entries() {
            let entry = &versioned.entry;
            removed.swap_remove(&entry.id);
            let policy = to_policy(entry, entry_rank);
            if self.applied.get(&entry.id) != Some(&policy) {
                router.set_entry(now, &entry.id, policy.clone());
                self.applied.insert(entry.id.clone(), policy);
            }
        }
        for id in removed {
            router.remove_entry(&id);
            self.applied.swap_remove(&id);
        }
    }

    /// Refuses new work of a catalogue entry if the share of this node is zero.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the outcome *not run*.
    pub(crate) fn check_share(&self, id: &EntryId) -> Result<(), Refusal> {
        let policy = self.applied.get(id);
        if policy.is_none_or(|policy| policy.limits.concurrent != Some(0)) {
            return Ok(());
        }
        let detail = "the limit of running requests leaves nothing to this entry; try another";
        Err(Refusal::not_run(RefusalKind::LimitReached, detail).retry_after(RETRY_AFTER_MS))
    }
}

/// Returns the rank of this entry among the entries in the membership view, and their number.
pub(crate) fn find_entry_rank(view: &MembershipView, own: &NodeId) -> EntryRank {
    let others = view
        .members()
        .filter(|member| matches!(member.role, Role::Entry) && member.node != *own);
    let mut entry_rank = EntryRank::default();
    for other in others {
        entry_rank.count += 1;
        entry_rank.rank += u32::from(other.node < *own);
    }
    entry_rank
}

fn to_policy(entry: &CatalogueEntry, entry_rank: EntryRank) -> EntryPolicy {
    EntryPolicy {
        class: entry.class,
        limits: split_limits(entry.limits, entry_rank),
        target: to_target(&entry.back_end),
        zones: entry.placement.zones.clone(),
    }
}

fn to_target(back_end: &BackEnd) -> BackEndTarget {
    match back_end {
        BackEnd::Engine { target } => BackEndTarget::Engine(target.clone()),
        BackEnd::PlainService { service, .. } => BackEndTarget::PlainService(service.clone()),
    }
}

fn split_limits(limits: Limits, entry_rank: EntryRank) -> LocalLimits {
    let count = |limit: u32| {
        let share = split(u64::from(limit), entry_rank);
        u32::try_from(share).expect("a share is no larger than its limit")
    };
    let rate = |limit: u32| split(u64::from(limit) * MILLIS_PER_UNIT, entry_rank);
    LocalLimits {
        concurrent: limits
            .concurrent_generations
            .map(|limit| count(limit.get())),
        queue_length: limits.queue_length.map(|limit| count(limit.get())),
        requests_milli_per_s: limits.requests_per_s.map(|limit| rate(limit.get())),
        tokens_milli_per_s: limits.tokens_per_s.map(|limit| rate(limit.get())),
    }
}

/// Returns the share of the entry with this rank. The remainder of the division is distributed over
/// the first entries, one each.
fn split(limit: u64, entry_rank: EntryRank) -> u64 {
    let count = u64::from(entry_rank.count);
    limit / count + u64::from(u64::from(entry_rank.rank) < limit % count)
}
