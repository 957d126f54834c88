//! Determines whether a run ended because its endpoint's process ended.
//!
//! A connection breaks for many reasons: a reset, a truncated response, or the end of the
//! endpoint's process. Only the last one may have been caused by the request.

use std::io::ErrorKind;
use std::rc::Rc;

use masticsill_dispatch::Failure;
use masticsill_quarantine::{CrashRecord, Weight};
use masticsill_registry::{Announcement, EndpointState};
use masticsill_types::log_event;
use masticsill_upstream::probe;
use tokio::task::spawn_local;

use crate::attempt::RunProgress;
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;

/// Time in which the probe connects: a running endpoint accepts within a few milliseconds.
pub(crate) const CRASH_PROBE_TIMEOUT_MS: u64 = 120;

/// What a failure says about the endpoint's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Suspicion {
    /// The process has ended.
    Down,
    /// The process may have ended; it counts as down if no connection can be made or stays open.
    Likely,
    /// The process is stalled or unreachable; it counts as down only if it refuses connections.
    Unlikely,
    /// The process runs.
    Up,
}

impl From<Failure> for Suspicion {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Replaced => Self::Down,
            Failure::Broken => Self::Likely,
            Failure::Silent | Failure::Stalled => Self::Unlikely,
            Failure::Malformed => Self::Up,
        }
    }
}

/// A run that was ended because another one replaces it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeftRun {
    /// Whether the run had sent events.
    pub(crate) is_stalled: bool,
    /// Prompt tokens that the other run prefills again.
    pub(crate) prompt_tokens_again: u64,
    pub(crate) silent_ms: u64,
}

/// Probes the endpoint of a failed run with a connection, and records a crash if it is down.
///
/// `left` describes a run that was ended only for its silence.
pub(crate) fn check_for_crash(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    endpoint: &Announcement,
    failure: Failure,
    progress: RunProgress,
    left: Option<LeftRun>,
) {
    let suspicion = Suspicion::from(failure);
    // An endpoint that is leaving exits regularly, and its remaining runs end with it.
    let is_expected_exit = suspicion != Suspicion::Down && is_leaving(relay, endpoint);
    if suspicion == Suspicion::Up || is_expected_exit {
        return;
    }
    let ended_at = relay.now();
    let (relay, endpoint) = (Rc::clone(relay), endpoint.clone());
    let (id, fingerprint) = (request.id.clone(), request.fingerprint);
    relay.crash_checks.borrow_mut().push(fingerprint);
    spawn_local(async move {
        let (is_down, is_alive) = probe_endpoint(&endpoint, suspicion).await;
        relay.finish_crash_check(fingerprint);
        if let Some(left) = left.filter(|_| is_alive) {
            relay.note_left_alive(&endpoint.id, left);
        }
        if is_down {
            let now = relay.now();
            let crash = CrashRecord {
                answered_ms: progress.answered_ms(ended_at),
                began_ago_ms: now.since(progress.began_at),
                endpoint: endpoint.id.clone(),
                ended_ago_ms: now.since(ended_at),
                reached_ms: progress.reached_ms(ended_at),
                weight: Weight::Pending,
                zone: endpoint.zone.clone(),
            };
            relay.note_crash(fingerprint, &crash);
        }
        log_event!(
            info,
            events::CRASH_CHECKED,
            request = id,
            fingerprint = fingerprint,
            endpoint = endpoint.id,
            zone = endpoint.zone,
            failure = failure.name(),
            is_down = is_down,
            is_alive = is_alive,
            prompt_tokens_again = left.map_or(0, |it| it.prompt_tokens_again),
            ran_ms = ended_at.since(progress.began_at),
            answered_ms = progress.answered_ms(ended_at),
            reached_ms = progress.reached_ms(ended_at),
            age_ms = relay.now().since(ended_at)
        );
    });
}

fn is_leaving(relay: &Relay, endpoint: &Announcement) -> bool {
    let endpoints = relay.endpoints.borrow();
    let known = endpoints.get(&endpoint.id);
    known.is_some_and(|it| it.announcement.state > EndpointState::Ready)
}

/// Whether the endpoint's process has ended, and whether it is known to run.
async fn probe_endpoint(endpoint: &Announcement, suspicion: Suspicion) -> (bool, bool) {
    if suspicion == Suspicion::Down {
        return (true, false);
    }
    match probe(endpoint.address, CRASH_PROBE_TIMEOUT_MS).await {
        Ok(()) => (false, true),
        Err(error) => {
            let is_refused = error.kind() == ErrorKind::ConnectionRefused;
            (suspicion == Suspicion::Likely || is_refused, false)
        }
    }
}
