//! The catalogue's policies as this entry's router holds them.
//!
//! A limit of the catalogue is split evenly among the entries that the membership shows; what does
//! not divide goes to the first of them by name. While all entries see the same members and the
//! same catalogue version, their shares add up to the limit, so it is never passed, and callers
//! that prefer one entry may use that entry's share only.
//!
//! What a stale view costs: an entry that does not see another yet holds too large a share. Until
//! the membership reaches it, a few hundred milliseconds after a start, and for as long as entries
//! are cut off from each other, the limit may be passed by that share: with `n` entries cut into
//! `k` groups at most `k` times the limit. An entry that died holds its share until the membership
//! calls it gone, so less than the limit may be used. When shares shrink, work that runs is not
//! ended: the limit holds again once it has finished. Attempts left behind at a lost agent may run
//! until that agent ends them; they are not counted.

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::{BackEnd, CatalogueEntry, Limits};
use masticsill_membership::Role;
use masticsill_mesh::{CatalogueView, MembershipView};
use masticsill_routing::{BackEndTarget, EntryPolicy, EntryRank, LocalLimits, Router};
use masticsill_types::{CatalogueVersion, ClockMs, EntryId, NodeId, Refusal, RefusalKind};

const THOUSANDTHS: u64 = 1_000;
const RETRY_AFTER_MS: u64 = 1_000;

/// What the router was told last.
#[derive(Debug, Default)]
pub(crate) struct Policies {
    known: IndexMap<EntryId, EntryPolicy>,
    seat: EntryRank,
    version: Option<CatalogueVersion>,
}

impl Policies {
    /// Tells the router what changed in the catalogue and among the entries.
    pub(crate) fn refresh(
        &mut self,
        now: ClockMs,
        view: &CatalogueView,
        seat: EntryRank,
        router: &mut Router,
    ) {
        if self.version == Some(view.version()) && self.seat == seat {
            return;
        }
        self.version = Some(view.version());
        self.seat = seat;
        router.set_entry_rank(seat);
        let mut former: IndexSet<EntryId> = self.known.keys().cloned().collect();
        for versioned in view.catalogue().entries() {
            let entry = &versioned.entry;
            former.swap_remove(&entry.id);
            let policy = to_policy(entry, seat);
            if self.known.get(&entry.id) != Some(&policy) {
                router.set_entry(now, &entry.id, policy.clone());
                self.known.insert(entry.id.clone(), policy);
            }
        }
        for id in former {
            router.remove_entry(&id);
            self.known.swap_remove(&id);
        }
    }

    /// Refuses new work of an entry of which this node may run nothing.
    ///
    /// # Errors
    ///
    /// The refusal, *not run*.
    pub(crate) fn check_share(&self, id: &EntryId) -> Result<(), Refusal> {
        let policy = self.known.get(id);
        if policy.is_none_or(|policy| policy.limits.concurrent != Some(0)) {
            return Ok(());
        }
        let detail = "the limit of running requests leaves nothing to this entry; try another";
        Err(Refusal::not_run(RefusalKind::LimitReached, detail).retry_after(RETRY_AFTER_MS))
    }
}

/// This entry's place among the entries that the membership shows.
pub(crate) fn find_seat(view: &MembershipView, own: &NodeId) -> EntryRank {
    let others = view
        .members()
        .filter(|member| matches!(member.role, Role::Entry) && member.node != *own);
    let mut seat = EntryRank::default();
    for other in others {
        seat.count += 1;
        seat.rank += u32::from(other.node < *own);
    }
    seat
}

fn to_policy(entry: &CatalogueEntry, seat: EntryRank) -> EntryPolicy {
    EntryPolicy {
        class: entry.class,
        limits: split_limits(entry.limits, seat),
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

fn split_limits(limits: Limits, seat: EntryRank) -> LocalLimits {
    let count = |limit: u32| {
        let share = split(u64::from(limit), seat);
        u32::try_from(share).expect("a share is no larger than its limit")
    };
    let rate = |limit: u32| split(u64::from(limit) * THOUSANDTHS, seat);
    LocalLimits {
        concurrent: limits
            .concurrent_generations
            .map(|limit| count(limit.get())),
        queue_length: limits.queue_length.map(|limit| count(limit.get())),
        requests_milli_per_s: limits.requests_per_s.map(|limit| rate(limit.get())),
        tokens_milli_per_s: limits.tokens_per_s.map(|limit| rate(limit.get())),
    }
}

/// An equal share; the first entries get one more when it does not divide.
fn split(limit: u64, seat: EntryRank) -> u64 {
    let count = u64::from(seat.count);
    limit / count + u64::from(u64::from(seat.rank) < limit % count)
}
