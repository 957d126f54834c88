//! Roll-outs of versions as this relay knows them, and the versions that each request may be sent
//! to.
//!
//! All of this exists only where the relay's settings enable roll-outs.

use std::cell::RefCell;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_dispatch::{Endpoint, EndpointTable};
use masticsill_registry::{Announcement, EndpointRecord, QuorumShare};
use masticsill_rollout::{
    KnownVersion, Phase, Reporter, RequestVersions, RolloutNumber, ServiceVersions, ServingRollout,
    StartedRequest, VersionFilter, VersionRule,
};
use masticsill_types::{ClockMs, log_event};
use masticsill_wire::control::WatchReply;
use tokio::sync::Notify;

use crate::config::RelayRolloutConfig;
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::retry_state::RetryState;
use crate::rollout_evidence::EvidenceLog;

/// For how long the leader's word on a roll-out holds, counted from the moment at which the relay
/// asked for it.
const LEASE_MS: u64 = 1_000;

/// Time after a roll-back in which begun streams may still be sent to the target, in milliseconds.
/// Most of them end meanwhile, and the target must not get requests for long.
const WITHDRAWAL_MS: u64 = 2_000;

/// The latest roll-out of a service.
#[derive(Debug)]
struct KnownRollout {
    /// When this relay learned of it.
    learned_at: ClockMs,
    /// When this relay learned of its phase.
    phase_since: ClockMs,
    rule: VersionRule,
    /// Whether the lease was valid when that was last logged.
    was_leased: bool,
}

/// A version of a service.
#[derive(Debug)]
struct SeenVersion {
    first_seen_at: ClockMs,
    /// When an endpoint of the version was last known to be ready.
    ready_at: ClockMs,
    version: String,
}

/// What the control replicas have reported.
#[derive(Debug, Default)]
pub(crate) struct RolloutState {
    leader: Option<SocketAddr>,
    /// When the leader was last asked for the roll-outs, with an answer.
    leader_asked_at: Option<ClockMs>,
    /// The roll-outs that each replica reported last, and their revision.
    reported: IndexMap<SocketAddr, (u64, Vec<ServingRollout>)>,
    /// The latest roll-out by service.
    rollouts: IndexMap<String, KnownRollout>,
    /// The versions of each service that have, or lately had, ready endpoints.
    versions: IndexMap<String, Vec<SeenVersion>>,
}

/// Roll-outs, where they are enabled.
#[derive(Debug)]
pub(crate) struct Rollouts {
    config: RelayRolloutConfig,
    pub(crate) evidence: RefCell<EvidenceLog>,
    /// Notified when a report of evidence may be due earlier than before.
    pub(crate) evidence_changed: Notify,
    state: RefCell<RolloutState>,
}

impl Rollouts {
    pub(crate) fn new(config: RelayRolloutConfig, reporter: Reporter) -> Self {
        Self {
            config,
            evidence: RefCell::new(EvidenceLog::new(reporter)),
            evidence_changed: Notify::new(),
            state: RefCell::default(),
        }
    }

    /// The replica that leads, if known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.state.borrow().leader
    }

    /// The roll-outs in progress.
    pub(crate) fn in_progress(&self) -> Vec<ServingRollout> {
        let state = self.state.borrow();
        let rollouts = state.rollouts.values().map(|it| it.rule.rollout());
        let in_progress = rollouts.filter(|it| !it.phase.is_ended());
        in_progress.cloned().collect()
    }

    /// The roll-out of a service that is in progress and was known when a request was received, and
    /// whether a version is its target.
    pub(crate) fn side_of(
        &self,
        service: &str,
        version: &str,
        received_at: ClockMs,
    ) -> Option<(RolloutNumber, bool)> {
        let state = self.state.borrow();
        let known = state.rollouts.get(service)?;
        let is_counted = !known.rule.is_ended() && received_at >= known.learned_at;
        let number = known.rule.rollout().number;
        is_counted.then(|| (number, known.rule.target() == version))
    }

    /// The roll-out of a service that is in progress, if a version is not its target.
    pub(crate) fn number_if_old(&self, service: &str, version: &str) -> Option<RolloutNumber> {
        let state = self.state.borrow();
        let rule = &state.rollouts.get(service)?.rule;
        let is_old = !rule.is_ended() && rule.target() != version;
        is_old.then(|| rule.rollout().number)
    }

    /// Whether a version was rolled back so long ago that not even begun streams are sent to it.
    fn is_withdrawn(&self, now: ClockMs, service: &str, version: &str) -> bool {
        let state = self.state.borrow();
        state.rollouts.get(service).is_some_and(|known| {
            let is_rolled_back = matches!(known.rule.rollout().phase, Phase::RolledBack(_));
            let is_over = now.since(known.phase_since) >= WITHDRAWAL_MS;
            is_rolled_back && is_over && known.rule.target() == version
        })
    }

    /// Records the roll-outs that a replica reported; it was asked at `asked_at`.
    fn note_reply(&self, now: ClockMs, from: SocketAddr, asked_at: ClockMs, reply: &WatchReply) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let leased_until = reply.is_leading.then(|| asked_at + LEASE_MS);
        if reply.is_leading {
            state.leader_asked_at = state.leader_asked_at.max(Some(asked_at));
        }
        let reported = state.reported.entry(from).or_default();
        let (revision, rollouts) = reported;
        // A replica may leave out what has not changed since its last reply.
        if *revision != reply.rollouts_revision || !reply.rollouts.is_empty() {
            *revision = reply.rollouts_revision;
            rollouts.clone_from(&reply.rollouts);
        }
        let mut has_begun = false;
        for rollout in rollouts.iter() {
            let known = state.rollouts.get_mut(&rollout.service);
            let before = known.as_ref().map(|it| it.rule.rollout().clone());
            if let Some(known) = known {
                known.rule.note(rollout, leased_until);
            } else {
                let mut rule = VersionRule::new(rollout.clone());
                rule.note(rollout, leased_until);
                // A roll-out that has ended before this relay learned of it may have done so long ago.
                let phase_since = if rollout.phase.is_ended() {
                    ClockMs(0)
                } else {
                    now
                };
                let known = KnownRollout {
                    learned_at: now,
                    phase_since,
                    was_leased: rule.is_leased(now),
                    rule,
                };
                state.rollouts.insert(rollout.service.clone(), known);
            }
            let Some(known) = state.rollouts.get_mut(&rollout.service) else {
                continue;
            };
            let held = known.rule.rollout();
            let is_other = before.as_ref().is_none_or(|it| it.number != held.number);
            if is_other {
                known.learned_at = now;
                has_begun = true;
            }
            if before.as_ref().is_some_and(|it| it.phase != held.phase) {
                known.phase_since = now;
            }
            if is_other || before.is_some_and(|it| it.phase != held.phase) {
                log_rule(held, &from, known.rule.is_leased(now));
            }
        }
        let was_leader = state.leader == Some(from);
        if reply.is_leading && !was_leader {
            state.leader = Some(from);
            self.evidence.borrow_mut().repeat();
        } else if !reply.is_leading && was_leader {
            state.leader = None;
        }
        let is_new_leader = reply.is_leading && !was_leader;
        if has_begun || is_new_leader {
            self.evidence_changed.notify_one();
        }
    }

    fn note_lost(&self, address: &SocketAddr) {
        let mut state = self.state.borrow_mut();
        state.leader = state.leader.filter(|leader| leader != address);
        state.reported.swap_remove(address);
    }

    /// Records which versions have ready endpoints.
    fn note_versions(&self, now: ClockMs, endpoints: &EndpointTable) {
        let mut state = self.state.borrow_mut();
        for endpoint in endpoints.iter().filter(|it| it.is_ready()) {
            let Announcement {
                service, version, ..
            } = &endpoint.announcement;
            let Some(versions) = state.versions.get_mut(service) else {
                let seen = vec![SeenVersion::new(now, version)];
                state.versions.insert(service.clone(), seen);
                continue;
            };
            if let Some(seen) = versions.iter_mut().find(|it| it.version == *version) {
                seen.ready_at = now;
                continue;
            }
            log_event!(
                info,
                events::VERSION_APPEARED,
                service = service,
                version = version,
                beside = versions.len(),
                hold_ms = self.config.hold_ms
            );
            versions.push(SeenVersion::new(now, version));
        }
        state.versions.retain(|_, versions| {
            versions.retain(|it| now.since(it.ready_at) < self.config.hold_ms);
            !versions.is_empty()
        });
    }

    /// Decides with what is known of a service's versions; `None` if it has endpoints of one
    /// version only, so that there is nothing to decide.
    fn decide<T>(
        &self,
        endpoints: &EndpointTable,
        service: &str,
        decide: impl FnOnce(&ServiceVersions<'_>) -> T,
    ) -> Option<T> {
        let state = self.state.borrow();
        let seen = state.versions.get(service).filter(|it| it.len() > 1)?;
        let is_counted = |it: &&Endpoint| it.is_ready() && it.announcement.service == service;
        let mut versions: Vec<KnownVersion> = seen.iter().map(SeenVersion::without_ready).collect();
        for endpoint in endpoints.iter().filter(is_counted) {
            let version = &endpoint.announcement.version;
            if let Some(known) = versions.iter_mut().find(|it| it.version == *version) {
                known.ready += 1;
            }
        }
        let known = state.rollouts.get(service);
        Some(decide(&ServiceVersions {
            hold_ms: self.config.hold_ms,
            leader_asked_at: state.leader_asked_at,
            rule: known.map(|it| &it.rule),
            versions: &versions,
        }))
    }

    /// Logs which roll-outs in progress have lost or regained their lease.
    fn log_leases(&self, now: ClockMs) {
        let mut state = self.state.borrow_mut();
        for (service, known) in &mut state.rollouts {
            let is_leased = known.rule.is_leased(now);
            if is_leased == known.was_leased || known.rule.is_ended() {
                continue;
            }
            known.was_leased = is_leased;
            let rollout = known.rule.rollout();
            log_event!(
                info,
                events::ROLLOUT_LEASE,
                service = service,
                number = rollout.number.0,
                step = rollout.step,
                target = rollout.target,
                is_leased = is_leased
            );
        }
    }
}

impl SeenVersion {
    fn new(now: ClockMs, version: &str) -> Self {
        Self {
            first_seen_at: now,
            ready_at: now,
            version: version.to_owned(),
        }
    }

    fn without_ready(&self) -> KnownVersion {
        KnownVersion {
            first_seen_at: self.first_seen_at,
            ready: 0,
            version: self.version.clone(),
        }
    }
}

fn log_rule(rollout: &ServingRollout, from: &SocketAddr, is_leased: bool) {
    let (phase, share_permille) = match rollout.phase {
        Phase::Canary { share_permille } => ("canary", share_permille),
        Phase::Finishing => ("finishing", 1_000),
        Phase::Completed => ("completed", 1_000),
        Phase::RolledBack(_) => ("rolled_back", 0),
    };
    log_event!(
        info,
        events::ROLLOUT_CHANGED,
        service = rollout.service,
        number = rollout.number.0,
        step = rollout.step,
        target = rollout.target,
        phase = phase,
        share_permille = share_permille,
        from = from,
        is_leased = is_leased
    );
}

impl Relay {
    /// Records the roll-outs that a control replica reported; it was asked at `asked_at`.
    pub(crate) fn note_rollouts(&self, from: SocketAddr, asked_at: ClockMs, reply: &WatchReply) {
        if let Some(rollouts) = &self.rollouts {
            rollouts.note_reply(self.now(), from, asked_at, reply);
        }
    }

    /// Records that a control replica doesn't answer.
    pub(crate) fn note_rollouts_lost(&self, address: &SocketAddr) {
        if let Some(rollouts) = &self.rollouts {
            rollouts.note_lost(address);
        }
    }

    /// Whether a roll-out is in progress.
    pub(crate) fn has_rollouts_in_progress(&self) -> bool {
        let rollouts = self.rollouts.as_ref();
        rollouts.is_some_and(|it| !it.in_progress().is_empty())
    }

    /// Records the versions of the endpoints that a control replica reported, and those that it has
    /// stored.
    pub(crate) fn note_reported_versions(&self, from: SocketAddr, reply: &WatchReply) {
        if reply.endpoints.is_empty() && reply.stored_versions.is_empty() {
            return;
        }
        let endpoints = self.endpoints.borrow();
        let mut versions = self.confirmed_versions.borrow_mut();
        for EndpointRecord { announcement, .. } in &reply.endpoints {
            let Announcement {
                service, version, ..
            } = announcement;
            versions.note_known(service, version);
        }
        if !reply.stored_versions.is_empty() {
            versions.note_stored(from, reply.stored_versions.clone());
        }
        versions.prune(|service, version| {
            let mut known = endpoints.iter().map(|it| &it.announcement);
            known.any(|it| it.service == service && it.version == version)
        });
        drop(versions);
        self.confirm_versions();
    }

    /// Confirms the versions that a majority of the control replicas has stored.
    pub(crate) fn confirm_versions(&self) {
        let voters = self.control_voters.borrow();
        let is_majority = |replicas: &IndexSet<SocketAddr>| {
            voters.share(|it| replicas.contains(it)) >= QuorumShare::Majority
        };
        self.confirmed_versions.borrow_mut().confirm(is_majority);
    }

    /// The versions of a service at which no stream may begin yet.
    fn unconfirmed_versions(&self, endpoints: &EndpointTable, service: &str) -> Vec<String> {
        let versions = self.confirmed_versions.borrow();
        versions.unconfirmed(service, |version| {
            endpoints.has_ready(service, &VersionFilter::only(version), &[])
        })
    }

    /// Records the versions of the known endpoints.
    pub(crate) fn note_versions(&self) {
        if let Some(rollouts) = &self.rollouts {
            rollouts.note_versions(self.now(), &self.endpoints.borrow());
        }
    }

    /// Logs changes of the roll-outs' leases.
    pub(crate) fn log_rollout_leases(&self) {
        if let Some(rollouts) = &self.rollouts {
            rollouts.log_leases(self.now());
        }
    }

    /// The versions that a request may be sent to now.
    ///
    /// What two versions generate does not fit together, so that a stream of which the caller has
    /// events is bound to their version, whatever the roll-outs say.
    pub(crate) fn versions_for(
        &self,
        request: &RelayRequest,
        retry_state: &RetryState,
    ) -> RequestVersions {
        if let Some(version) = retry_state.stream_version() {
            return RequestVersions::of_begun_stream(version);
        }
        let endpoints = self.endpoints.borrow();
        let unconfirmed = self.unconfirmed_versions(&endpoints, &request.service);
        let versions = self.versions_by_rollouts(&endpoints, request, retry_state);
        versions.holding_back(&unconfirmed)
    }

    /// The versions that the roll-outs allow a request to be sent to.
    fn versions_by_rollouts(
        &self,
        endpoints: &EndpointTable,
        request: &RelayRequest,
        retry_state: &RetryState,
    ) -> RequestVersions {
        let Some(rollouts) = &self.rollouts else {
            return RequestVersions::default();
        };
        let now = self.now();
        let service = &request.service;
        let failed_dials = retry_state.failed_dials();
        let decided = rollouts.decide(endpoints, service, |known| {
            let is_usable = |versions: &VersionFilter| {
                endpoints.has_ready(service, versions, &retry_state.excluded)
            };
            let Some(first_version) = retry_state.first_version() else {
                return known.for_new(now, retry_state.version_draw(), failed_dials);
            };
            let started = StartedRequest {
                failed_dials,
                first_version,
            };
            known.for_started(now, &started, is_usable)
        });
        decided.unwrap_or_default()
    }

    /// Whether a request that was assigned an endpoint may still be sent there. The relay may have
    /// been frozen since, or the endpoint may have restarted with another version.
    pub(crate) fn may_use_version(
        &self,
        request: &RelayRequest,
        retry_state: &RetryState,
        endpoint: &Announcement,
    ) -> bool {
        if let Some(version) = retry_state.stream_version() {
            let endpoints = self.endpoints.borrow();
            let current = endpoints.get(&endpoint.id);
            return current.is_some_and(|it| it.announcement.version == version);
        }
        if self.rollouts.is_none() || retry_state.first_version().is_some() {
            return true;
        }
        let versions = self.versions_for(request, retry_state);
        let drawn = versions.drawn;
        let version = &endpoint.version;
        versions.allowed.allows(version) || drawn.is_some_and(|it| it.allows(version))
    }

    /// Whether the version that began a stream can still continue it: it has an endpoint, and was not
    /// rolled back. True for any other request.
    pub(crate) fn has_stream_version(
        &self,
        request: &RelayRequest,
        retry_state: &RetryState,
    ) -> bool {
        let Some(version) = retry_state.stream_version() else {
            return true;
        };
        if self.is_version_withdrawn(&request.service, version) {
            return false;
        }
        let endpoints = self.endpoints.borrow();
        endpoints.has_ready(&request.service, &VersionFilter::only(version), &[])
    }

    /// Whether a version was rolled back so long ago that not even begun streams are sent to it.
    pub(crate) fn is_version_withdrawn(&self, service: &str, version: &str) -> bool {
        let rollouts = self.rollouts.as_ref();
        rollouts.is_some_and(|it| it.is_withdrawn(self.now(), service, version))
    }

    /// The versions that queued requests of the services may be sent to, for services with several.
    pub(crate) fn queue_versions<'a>(
        &self,
        endpoints: &EndpointTable,
        services: impl Iterator<Item = &'a str>,
    ) -> Vec<(String, VersionFilter)> {
        let now = self.now();
        let listed = services.filter_map(|service| {
            let rollouts = self.rollouts.as_ref();
            let decided =
                rollouts.and_then(|it| it.decide(endpoints, service, |it| it.for_waiting(now)));
            let unconfirmed = self.unconfirmed_versions(endpoints, service);
            if decided.is_none() && unconfirmed.is_empty() {
                return None;
            }
            let versions = decided.unwrap_or_default().holding_back(&unconfirmed);
            Some((service.to_owned(), versions))
        });
        listed.collect()
    }
}
