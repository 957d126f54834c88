//! Requests that may have crashed the endpoints of others.

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;

use crate::crash::CrashedRun;
use crate::fingerprint::Fingerprint;
use crate::suspect::{Doubt, Standing, Suspect};

/// Crashes of a request that may also be another's doing without casting doubt on it.
const UNDOUBTED: usize = 1;

/// The run of a request under which several endpoints crashed.
#[derive(Clone, Copy)]
struct RivalRun<'a> {
    crash: &'a CrashedRun,
    /// Crashes that may be held against its request.
    crashes: usize,
    fingerprint: &'a Fingerprint,
}

/// The requests under which several endpoints crashed, by endpoint.
pub(crate) struct Rivals<'a> {
    by_endpoint: IndexMap<&'a EndpointId, Vec<RivalRun<'a>>>,
}

impl<'a> Rivals<'a> {
    pub(crate) fn of(suspects: impl Iterator<Item = (&'a Fingerprint, &'a Suspect)>) -> Self {
        let mut by_endpoint: IndexMap<_, Vec<_>> = IndexMap::new();
        for (fingerprint, suspect) in suspects.filter(|(_, it)| it.is_suspicious()) {
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

    /// The runs of other requests that ended with an endpoint.
    fn beside(
        &self,
        fingerprint: &Fingerprint,
        crash: &CrashedRun,
    ) -> impl Iterator<Item = RivalRun<'a>> {
        let runs = self.by_endpoint.get(&crash.endpoint);
        let runs = runs.into_iter().flatten().copied();
        runs.filter(move |it| it.fingerprint != fingerprint)
    }

    /// Whether another request had just begun to be answered at an endpoint that had borne this one for
    /// some time.
    pub(crate) fn is_likelier_cause(&self, fingerprint: &Fingerprint, crash: &CrashedRun) -> bool {
        let mut beside = self.beside(fingerprint, crash);
        beside.any(|it| crash.is_older_than(it.crash))
    }

    /// Crashes held against a request which may be the doing of another one under which so many
    /// endpoints crashed at least.
    fn disputed(&self, fingerprint: &Fingerprint, suspect: &Suspect, crashes: usize) -> usize {
        let is_disputed = |crash: &&CrashedRun| {
            let mut beside = self.beside(fingerprint, crash);
            beside.any(|it| it.crashes >= crashes && !it.crash.is_older_than(crash))
        };
        suspect.open_crashes().filter(is_disputed).count()
    }

    /// What is to become of a request.
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

    /// Whether other requests may have caused the crashes that are held against one.
    fn doubt_of(&self, fingerprint: &Fingerprint, suspect: &Suspect) -> Doubt {
        let own = suspect.open_crashes().count();
        let is_doubted = |crashes| self.disputed(fingerprint, suspect, crashes) > UNDOUBTED;
        if is_doubted(own + 1) {
            Doubt::LikelierRival
        } else if is_doubted(own) {
            Doubt::Rival
        } else {
            Doubt::None
        }
    }
}
