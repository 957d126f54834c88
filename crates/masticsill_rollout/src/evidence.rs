//! What entries report of the versions' answers.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId};
use serde::{Deserialize, Serialize};

use crate::order::RolloutNumber;

/// Number of buckets of a latency histogram; the last one begins at 185 s.
const BUCKETS: usize = 64;
/// Buckets in which a latency doubles. Versions that are "several times" slower have to be told from
/// those that are not; whole doublings blur a factor of three.
const BUCKETS_PER_DOUBLING: usize = 4;
/// Latencies below this are in the first bucket.
const FIRST_BOUND_MS: f64 = 4.0;

/// Latencies counted in buckets whose bounds double every four buckets: the first one holds latencies
/// below 4 ms, the last one all that are longer than the bounds of the others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyHistogram {
    /// Counts up to the highest bucket that is not empty.
    counts: Vec<u32>,
}

impl LatencyHistogram {
    /// Buckets in which a latency doubles.
    pub const PER_DOUBLING: usize = BUCKETS_PER_DOUBLING;

    /// Counts one latency.
    pub fn note(&mut self, latency_ms: u64) {
        let bucket = Self::bucket(latency_ms);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// The counts, by bucket, up to the highest bucket that is not empty.
    #[must_use]
    pub fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// Adds another histogram's counts.
    pub fn add(&mut self, other: &Self) {
        // A report comes from the network: its length is not trusted.
        let length = other.counts.len().min(BUCKETS);
        if self.counts.len() < length {
            self.counts.resize(length, 0);
        }
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*more);
        }
    }

    /// What was counted since an earlier state.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let earlier = earlier.counts.iter().copied().chain(std::iter::repeat(0));
        let counts = self.counts.iter().zip(earlier);
        Self {
            counts: counts
                .map(|(count, before)| count.saturating_sub(before))
                .collect(),
        }
    }

    /// Number of latencies.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.count_from(0)
    }

    /// Number of latencies in a bucket and those above it.
    #[must_use]
    pub fn count_from(&self, bucket: usize) -> u64 {
        let counts = self.counts.iter().skip(bucket);
        counts.map(|count| u64::from(*count)).sum()
    }

    /// The bucket below or in which a share of the latencies lies; none without latencies.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<usize> {
        let total = self.total();
        let mut below = 0;
        let wanted = share * as_f64(total);
        (0..self.counts.len()).find(|bucket| {
            below += u64::from(self.counts[*bucket]);
            below > 0 && as_f64(below) >= wanted
        })
    }

    /// The upper bound of a bucket, in milliseconds.
    #[must_use]
    pub fn upper_bound_ms(bucket: usize) -> u64 {
        let doublings = as_f64(bucket as u64) / as_f64(BUCKETS_PER_DOUBLING as u64);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a bound is positive and below 2^18"
        )]
        let bound = (FIRST_BOUND_MS * doublings.min(16.0).exp2()).ceil() as u64;
        bound
    }

    fn bucket(latency_ms: u64) -> usize {
        (0..BUCKETS - 1)
            .find(|bucket| latency_ms < Self::upper_bound_ms(*bucket))
            .unwrap_or(BUCKETS - 1)
    }
}

/// A count as a float; counts of requests are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}

/// How one version answered requests of one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArmEvidence {
    /// Requests that endpoints ran and answered, successfully or not, or ended without an answer.
    pub answered: u64,
    /// Of these, those that failed: an error status of the endpoint's own, an answer that is not
    /// valid, or a connection that broke.
    pub failed: u64,
    /// Requests counted in `sent` that have not ended at the time of the report.
    pub in_flight: u64,
    /// Time to the whole answer of a plain service, or to the first event of a stream, of those that
    /// succeeded. A stream is counted at its first event, before it is known how it ends.
    pub latency: LatencyHistogram,
    /// Requests sent.
    pub sent: u64,
    /// Ages of the requests that wait for their answer, or for the first event of a stream, at the
    /// time of the report. A slow version is noticed by them before it has answered anything.
    pub waiting: LatencyHistogram,
}

impl ArmEvidence {
    /// Adds other evidence of the same version and route.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.in_flight += other.in_flight;
        self.latency.add(&other.latency);
        self.sent += other.sent;
        self.waiting.add(&other.waiting);
    }

    /// What was seen since an earlier state; `in_flight` and `waiting` stay as they are now.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            in_flight: self.in_flight,
            latency: self.latency.since(&earlier.latency),
            sent: self.sent.saturating_sub(earlier.sent),
            waiting: self.waiting.clone(),
        }
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

impl RouteEvidence {
    /// Adds other evidence of the same route.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.target.add(&other.target);
    }

    /// What was seen since an earlier state.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            target: self.target.since(&earlier.target),
        }
    }
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
    /// How long requests at endpoints of any version but the target took from being sent to their
    /// end, of those that ended since the entry learned of the roll-out, whenever they were sent.
    pub old_durations: LatencyHistogram,
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
