//! Other requests that may have caused the same crashes.

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;

use crate::crash::CrashedRun;
use crate::fingerprint::Fingerprint;
use crate::suspect::{Doubt, Standing, Suspect};

/// Largest number of a request's crashes that may be disputed without raising doubt.
const MAX_DISPUTED_CRASHES: usize = 1;

/// A run of a request that is near quarantine, at an endpoint that crashed.
#[derive(Clone, Copy)]
struct RivalRun<'a> {
    crash: &'a CrashedRun,
    /// Number of crashes that count or may still count against the run's request.
    crashes: usize,
    fingerprint: &'a Fingerprint,
}

/// The runs of all requests near quarantine, by crashed endpoint.
pub(crate) struct Rivals<'a> {
    by_endpoint: IndexMap<&'a EndpointId, Vec<RivalRun<'a>>>,
}

impl<'a> Rivals<'a> {
    pub(crate) fn of(suspects: impl Iterator<Item = (&'a Fingerprint, &'a Suspect)>) -> Self {
        let mut by_endpoint: IndexMap<_, Vec<_>> = IndexMap::new();
        for (fingerprint, suspect) in suspects.filter(|(_, it)| it.is_near_quarantine()) {
            let crashes = suspect.open_crashes().count();
            for crash in suspect.open_crashes() {
                let run = RivalRun {
                    crash,
                    crashes,
                    fingerprint,
                };
                by_endpoint.entry(&crash.endpoint).or_default().push(run);
            }
        }
        Self { by_endpoint }
    }

    /// The runs of other requests that ended with the same crash.
    fn other_runs_at(
        &self,
        fingerprint: &Fingerprint,
        crash: &CrashedRun,
    ) -> impl Iterator<Item = RivalRun<'a>> {
        let runs = self.by_endpoint.get(&crash.endpoint);
        let runs = runs.into_iter().flatten().copied();
        runs.filter(move |it| it.fingerprint != fingerprint)
    }

    /// Whether the crash has a likelier cause: another request had just begun to be answered at the
    /// endpoint, whereas the endpoint had answered this one for some time.
    pub(crate) fn has_likelier_cause(&self, fingerprint: &Fingerprint, crash: &CrashedRun) -> bool {
        let mut other_runs = self.other_runs_at(fingerprint, crash);
        other_runs.any(|it| crash.is_older_than(it.crash))
    }

    /// Number of a request's crashes that another request may have caused, under which at least
    /// `crashes` endpoints crashed.
    fn disputed_crashes(
        &self,
        fingerprint: &Fingerprint,
        suspect: &Suspect,
        crashes: usize,
    ) -> usize {
        let is_disputed = |crash: &&CrashedRun| {
            let mut other_runs = self.other_runs_at(fingerprint, crash);
            other_runs.any(|it| it.crashes >= crashes && !it.crash.is_older_than(crash))
        };
        suspect.open_crashes().filter(is_disputed).count()
    }

    /// The current standing of a request.
    pub(crate) fn standing(
        &self,
        now: ClockMs,
        fingerprint: &Fingerprint,
        suspect: &Suspect,
    ) -> Standing {
        let doubt = if suspect.may_be_doubted(now) {
            self.doubt_of(fingerprint, suspect)
        } else {
            Doubt::None
        };
        suspect.standing(now, doubt)
    }

    /// Whether other requests may have caused the crashes that count against this one.
    fn doubt_of(&self, fingerprint: &Fingerprint, suspect: &Suspect) -> Doubt {
        let own = suspect.open_crashes().count();
        let is_doubted =
            |crashes| self.disputed_crashes(fingerprint, suspect, crashes) > MAX_DISPUTED_CRASHES;
        if is_doubted(own + 1) {
            Doubt::LikelierRival
        } else if is_doubted(own) {
            Doubt::Rival
        } else {
            Doubt::None
        }
    }
}
