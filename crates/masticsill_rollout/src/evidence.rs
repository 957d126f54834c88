//! What entries report of the versions' answers.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};
use serde::{Deserialize, Serialize};

use crate::order::RolloutNumber;

/// Number of buckets of a latency histogram.
const BUCKETS: usize = 20;

/// Latencies counted in buckets whose bounds double: bucket `n` holds latencies below `2^n`
/// milliseconds that the buckets before it don't hold; the last one holds all longer ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyHistogram {
    counts: [u32; BUCKETS],
}

impl LatencyHistogram {
    /// Counts one latency.
    pub fn note(&mut self, latency_ms: u64) {
        let bits = (u64::BITS - latency_ms.leading_zeros()) as usize;
        self.counts[bits.min(BUCKETS - 1)] += 1;
    }

    /// The counts, by bucket.
    #[must_use]
    pub fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// Adds another histogram's counts.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*more);
        }
    }
}

/// How one version answered requests of one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArmEvidence {
    /// Requests that endpoints ran and answered, successfully or not, or ended without an answer.
    pub answered: u64,
    /// Of these, those that failed: an error status of the endpoint's own, an answer that is not
    /// valid, or a connection that broke.
    pub failed: u64,
    /// Time to the whole answer of a plain service, or to the first event of a stream, of those that
    /// succeeded.
    pub latency: LatencyHistogram,
    /// Requests sent.
    pub sent: u64,
}

impl ArmEvidence {
    /// Adds other evidence of the same version and route.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.latency.add(&other.latency);
        self.sent += other.sent;
    }
}

/// How both versions answered requests of one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteEvidence {
    /// All versions but the target.
    pub old: ArmEvidence,
    /// The target version.
    pub target: ArmEvidence,
}

/// One run of an entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Reporter {
    /// A number drawn at the start of the process.
    pub incarnation: u64,
    /// The entry's node.
    pub node: NodeId,
}

/// Everything that an entry has seen of a roll-out so far. A later report of the same entry
/// contains all former ones, so that lost and repeated reports do no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceReport {
    /// Requests of the entry in flight at endpoints of any version but the target.
    pub old_in_flight: u32,
    /// The roll-out.
    pub number: RolloutNumber,
    /// The entry.
    pub reporter: Reporter,
    /// Evidence by name of the route.
    pub routes: IndexMap<String, RouteEvidence>,
    /// Rises with each report of the entry.
    pub sequence: u64,
}

/// The latest report of each entry, with its age.
#[derive(Clone, Debug, Default)]
pub struct EvidenceStore {
    reports: IndexMap<(RolloutNumber, Reporter), (EvidenceReport, ClockMs)>,
}

impl EvidenceStore {
    /// Records a report in place of an older one of the same entry.
    pub fn note(&mut self, now: ClockMs, report: EvidenceReport) {
        let key = (report.number, report.reporter.clone());
        let known = self.reports.get(&key);
        if known.is_none_or(|(known, _)| known.sequence < report.sequence) {
            self.reports.insert(key, (report, now));
        }
    }

    /// Drops the reports of other roll-outs than those given.
    pub fn retain(&mut self, numbers: &[RolloutNumber]) {
        self.reports
            .retain(|(number, _), _| numbers.contains(number));
    }

    /// The reports of a roll-out, each with the time at which it arrived.
    pub fn reports(
        &self,
        number: RolloutNumber,
    ) -> impl Iterator<Item = (&EvidenceReport, ClockMs)> {
        let reports = self.reports.iter();
        let reports = reports.filter(move |((of, _), _)| *of == number);
        reports.map(|(_, (report, at))| (report, *at))
    }
}
