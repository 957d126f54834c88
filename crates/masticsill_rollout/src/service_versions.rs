//! Decides which versions of a service an entry may send a request to.
//!
//! The roll-out of the service decides between its target and all other versions. Versions that no
//! order covers are held back for a while when they appear beside others: an order for them may
//! have been accepted without this entry knowing it yet.

use std::cmp::Reverse;

use masticsill_types::ClockMs;

use crate::version_filter::{RequestVersions, VersionBinding, VersionFilter};
use crate::version_rule::{VersionChoice, VersionRule};

/// Versions first seen within this time of each other may have existed before an entry started: it
/// learns the endpoints from several control replicas, whose first replies take up to a second.
const SAME_TIME_MS: u64 = 1_000;
/// Consecutive failed connections of a request after which a side whose endpoints may have been
/// stopped is given up. Connections to stopped endpoints fail within a network round trip, and a
/// request is refused after eight.
const MAX_SIDE_DIALS: u32 = 3;

/// A version of a service of which this entry knows endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownVersion {
    /// When this entry first saw an endpoint of the version.
    pub first_seen_at: ClockMs,
    /// Endpoints of the version that are registered as ready.
    pub ready: u32,
    /// The version.
    pub version: String,
}

/// A request that may have run, and of which the caller has nothing yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedRequest<'a> {
    /// Connections to endpoints that failed since the last one that succeeded.
    pub failed_dials: u32,
    /// The version of the endpoint that ran it first.
    pub first_version: &'a str,
}

/// What an entry knows of the versions of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceVersions<'a> {
    /// Time for which a version without an order is held back, in milliseconds: as long as an order
    /// may take to be acknowledged.
    pub hold_ms: u64,
    /// When the leader was last asked for the roll-outs, with an answer; none if it never answered.
    pub leader_asked_at: Option<ClockMs>,
    /// The latest roll-out of the service.
    pub rule: Option<&'a VersionRule>,
    /// The versions that have endpoints.
    pub versions: &'a [KnownVersion],
}

impl ServiceVersions<'_> {
    /// Versions for a request that has not run anywhere. `random`, from 0 to 1, is drawn once for
    /// each request.
    #[must_use]
    pub fn for_new(&self, now: ClockMs, random: f64, failed_dials: u32) -> RequestVersions {
        let Some(rule) = self.rule else {
            return RequestVersions {
                allowed: self.allowed(VersionChoice::Any),
                ..RequestVersions::default()
            };
        };
        // The old endpoints may have been stopped after a completion that this entry can't know.
        let is_old_stopped =
            failed_dials >= MAX_SIDE_DIALS && !rule.is_ended() && !rule.is_leased(now);
        if is_old_stopped {
            return RequestVersions::default();
        }
        let allowed = self.for_waiting(now);
        let choice = rule.choose(now, random);
        let is_drawn = choice.allows(rule.target()) && !allowed.allows(rule.target());
        let has_target = self.is_ready(|version| version == rule.target());
        RequestVersions {
            allowed,
            drawn: (is_drawn && has_target).then(|| choice.into()),
            binding: VersionBinding::Unbound,
        }
    }

    /// Versions for new requests that wait for capacity.
    #[must_use]
    pub fn for_waiting(&self, now: ClockMs) -> VersionFilter {
        let choice = self
            .rule
            .map_or(VersionChoice::Any, |rule| rule.without_draw(now));
        self.allowed(choice)
    }

    /// Versions for a request that may have run: those of the side that ran it first, unless that
    /// side has no usable endpoint left. `is_usable` tells whether a filter has one.
    ///
    /// The request doesn't stay on a target that takes no new requests any more, or may not.
    #[must_use]
    pub fn for_started(
        &self,
        now: ClockMs,
        request: &StartedRequest<'_>,
        is_usable: impl Fn(&VersionFilter) -> bool,
    ) -> RequestVersions {
        let preferred = |allowed| RequestVersions {
            allowed,
            drawn: None,
            binding: VersionBinding::Preferred,
        };
        let side = match self.rule {
            Some(rule) if rule.target() != request.first_version || !rule.is_target_open(now) => {
                VersionChoice::Except(rule.target().to_owned())
            }
            Some(_) | None => VersionChoice::Only(request.first_version.to_owned()),
        };
        let may_be_stopped = self
            .rule
            .is_some_and(|rule| rule.is_ended() || !rule.is_leased(now));
        let is_stopped = may_be_stopped && request.failed_dials >= MAX_SIDE_DIALS;
        let side = VersionFilter::from(side);
        if is_usable(&side) && !is_stopped {
            return preferred(side);
        }
        let other = self.for_waiting(now);
        if is_usable(&other) && !is_stopped {
            preferred(other)
        } else {
            preferred(VersionFilter::ANY)
        }
    }

    /// The versions of a choice without those to be held back. If none of them has a ready
    /// endpoint, all versions: the old endpoints stop when a roll-out is completed, and this entry
    /// may not have learned of that yet.
    fn allowed(&self, choice: VersionChoice) -> VersionFilter {
        if !self.is_ready(|version| choice.allows(version)) {
            return VersionFilter::ANY;
        }
        let held_back = self.held_back(&choice);
        VersionFilter::new(choice, held_back)
    }

    fn is_ready(&self, is_counted: impl Fn(&str) -> bool) -> bool {
        let mut ready = self.versions.iter().filter(|it| it.ready > 0);
        ready.any(|it| is_counted(&it.version))
    }

    /// Versions of a choice that no order covers and that appeared beside others only lately.
    ///
    /// A version counts as established once the leader, asked a hold time after the version
    /// appeared, knew no order for it. If there is no such version, this entry has started lately.
    /// Of the versions that it has known from the start, only the one with the most endpoints is
    /// used.
    fn held_back(&self, choice: &VersionChoice) -> Vec<String> {
        let target = self.rule.map(VersionRule::target);
        let is_uncovered = |it: &&KnownVersion| {
            it.ready > 0 && choice.allows(&it.version) && target != Some(it.version.as_str())
        };
        let uncovered: Vec<&KnownVersion> = self.versions.iter().filter(is_uncovered).collect();
        if uncovered.len() < 2 {
            return Vec::new();
        }
        let is_established = |it: &&&KnownVersion| {
            let held_until = it.first_seen_at + self.hold_ms;
            self.leader_asked_at.is_some_and(|at| at >= held_until)
        };
        let mut used: Vec<&KnownVersion> =
            uncovered.iter().filter(is_established).copied().collect();
        if used.is_empty() {
            used.extend(main_version(&uncovered));
        }
        let held_back = uncovered.into_iter().filter(|it| !used.contains(it));
        held_back.map(|it| it.version.clone()).collect()
    }
}

/// The version with the most ready endpoints among those that were seen first.
fn main_version<'a>(versions: &[&'a KnownVersion]) -> Option<&'a KnownVersion> {
    let first_seen_at = versions.iter().map(|it| it.first_seen_at).min()?;
    let first = versions
        .iter()
        .filter(|it| it.first_seen_at.since(first_seen_at) < SAME_TIME_MS);
    let main = first.max_by_key(|it| (it.ready, Reverse(it.first_seen_at), Reverse(&it.version)));
    main.copied()
}
